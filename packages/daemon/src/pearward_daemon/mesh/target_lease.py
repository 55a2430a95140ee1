"""The lease under which this daemon grants keys, and the releases that witnesses confirm.

A majority of the target's witnesses renews the lease. The same instances confirm to the daemon
of a new owner that the former owner's lease has expired. None of this needs the store, so
owners keep their keys while the store is unavailable.
"""

from collections.abc import Callable

from pearward_coordination.directory import Directory
from pearward_coordination.grants import GrantManager, GrantTiming, ReleasedRow
from pearward_coordination.lease import OwnerLease, majority
from pearward_coordination.messages import (
    AskRelease,
    ControlMessage,
    PeerId,
    ReleaseReply,
    Renew,
    RenewReply,
)
from pearward_coordination.target_witness import TargetWitness
from pearward_state.keymap import KeyMap, Predecessor
from pearward_transport.clock import boot_time

from .key_maps import KeyMaps
from .log import DecisionLog

__all__ = ["LocalWitness", "TargetLease"]

QUERY_DELAY_S = 0.5
"""Seconds without a release by the former owner's daemon before its witnesses are queried."""

Send = Callable[[str, ControlMessage], None]


class LocalWitness:
    """Serves this instance's role as a witness, with one record for each service."""

    def __init__(self, timing: GrantTiming, key_maps: KeyMaps) -> None:
        self._timing = timing
        self._maps = key_maps
        self._started = boot_time()
        self._read_era: int | None = None
        """Era of the store in which this daemon first read the key maps; None before."""
        self._by_service: dict[str, TargetWitness] = {}

    def maps_read(self, era: int) -> None:
        """Record that key maps were read from the store in *era*; only the first call counts."""
        if self._read_era is not None:
            return
        self._read_era = era
        for witness in self._by_service.values():
            witness.map_read(era)

    def renew(self, request: Renew) -> RenewReply:
        """Grant or refuse the renewal of an owner's lease."""
        known = self._maps.version(request.cell)
        return self._witness(request.cell).on_renew(request, known, boot_time())

    def release(self, request: AskRelease) -> ReleaseReply:
        """Return whether an owner's lease has expired."""
        known = self._maps.version(request.cell)
        return self._witness(request.cell).on_ask_release(request, known, boot_time())

    def _witness(self, service: str) -> TargetWitness:
        witness = self._by_service.get(service)
        if witness is None:
            witness = self._by_service[service] = TargetWitness(self._started, self._timing.lease)
            if self._read_era is not None:
                witness.map_read(self._read_era)
        return witness


class TargetLease:
    """Holds the lease of the local target, and queries the releases that it waits for."""

    def __init__(
        self,
        instance: str,
        service: str,
        timing: GrantTiming,
        grant_manager: GrantManager,
        key_maps: KeyMaps,
        directory: Directory,
        witnesses: LocalWitness,
        log: DecisionLog,
        send: Send,
    ) -> None:
        self._instance = instance
        self._service = service
        self._timing = timing
        self._grant_manager = grant_manager
        self._maps = key_maps
        self._directory = directory
        self._witnesses = witnesses
        self._log = log
        self._send = send
        self._lease = OwnerLease(timing.lease)
        self._target = ""
        self._witness_set: tuple[str, ...] = ()
        self._held = False
        self._pending_since: dict[str, float] = {}
        self._released: dict[tuple[str, int], set[str]] = {}

    # -- the local target's lease ---------------------------------------------------

    def renew(self) -> bool:
        """Request a renewal from all witnesses; return whether the lease was regained by it."""
        now = boot_time()
        key_map = self._maps.of(self._service)
        target = self._grant_manager.target
        if key_map is None or not target:
            return False
        self._update_witnesses(key_map, target, now)
        for name in self._witness_set:
            nonce = self._lease.renewal_sent(name, now)
            request = Renew(self._service, nonce, key_map.version, 0, 0, target)
            if name == self._instance:
                self._count_renewal(name, self._witnesses.renew(request), now)
            elif (member := self._directory.instance(name)) is not None:
                self._send(member.peer_address, request)
        return self._update_held(now)

    def map_adopted(self) -> bool:
        """Request the first renewals at once if a map has the first witnesses of the local target.

        Returns whether the lease was regained, as by a renewal that this daemon granted itself.
        """
        key_map, target = self._maps.of(self._service), self._grant_manager.target
        if key_map is None or not target or (target == self._target and self._witness_set):
            return False
        return bool(key_map.witnesses_of(target)) and self.renew()

    def _update_witnesses(self, key_map: KeyMap, target: str, now: float) -> None:
        """Use the current witness set; drop renewals that were granted to another target."""
        if target != self._target:
            self._target = target
            self._lease = OwnerLease(self._timing.lease)
            self._witness_set = ()
        sets = key_map.witnesses_of(target)
        current = sets[0] if sets else ()
        if current != self._witness_set:
            self._witness_set = current
            self._lease.set_witnesses([current], now)
            self._grant_manager.set_lease_end(self._lease.valid_until)

    def renewed(self, sender: PeerId, reply: RenewReply) -> bool:
        """Process a witness's renewal reply; return whether the lease was regained by it.

        A reply for a target that has been replaced meanwhile has no effect: the next target has a
        lease of its own, which other witnesses may renew.
        """
        now = boot_time()
        name = self._name_of(sender.address)
        if name is not None and reply.owner == self._target == self._grant_manager.target:
            self._count_renewal(name, reply, now)
        return self._update_held(now)

    def _count_renewal(self, name: str, reply: RenewReply, now: float) -> None:
        if reply.granted:
            self._lease.renewal_granted(name, reply.nonce, now)
            self._grant_manager.set_lease_end(self._lease.valid_until)

    def _update_held(self, now: float) -> bool:
        """Log a change of the lease's state; return whether the lease was regained."""
        held = self._lease.held(now)
        if held == self._held:
            return False
        self._held = held
        self._log.emit(
            "lease_held" if held else "lease_not_held", failure=not held, target=self._target,
            witnesses=list(self._witness_set), ends_in_s=round(self._lease.valid_until - now, 3)
            if held else 0.0,
        )  # fmt: skip
        return held

    def _name_of(self, address: str) -> str | None:
        for name in self._witness_set:
            member = self._directory.instance(name)
            if member is not None and member.peer_address == address:
                return name
        return None

    # -- releases by predecessors ------------------------------------------------------

    def query_releases(self) -> None:
        """Query the witnesses of predecessors whose keys have been pending for QUERY_DELAY_S."""
        now = boot_time()
        key_map = self._maps.of(self._service)
        if key_map is None:
            return
        awaited = {p.target for r in self._grant_manager.pending(now) for p in r.predecessors}
        self._pending_since = {t: self._pending_since.get(t, now) for t in awaited}
        for target, since in self._pending_since.items():
            if now - since >= QUERY_DELAY_S and target != self._grant_manager.target:
                self._query(key_map, target)

    def _query(self, key_map: KeyMap, target: str) -> None:
        request = AskRelease(self._service, target, key_map.version)
        sets = key_map.witnesses_of(target)
        if not sets:
            # Without witnesses the target never had a lease, so it cannot hold keys.
            self._confirm(key_map, target)
            return
        for name in {name for names in sets for name in names}:
            if name == self._instance:
                self._count_release(name, self._witnesses.release(request), key_map)
            elif (member := self._directory.instance(name)) is not None:
                self._send(member.peer_address, request)

    def released(self, sender: PeerId, reply: ReleaseReply) -> bool:
        """Process a witness's release reply; return whether keys can be granted by it."""
        key_map = self._maps.of(self._service)
        if key_map is None or not reply.released:
            return False
        names = {name for names in key_map.witnesses_of(reply.owner) for name in names}
        confirmed = False
        for name in names:
            member = self._directory.instance(name)
            if member is not None and member.peer_address == sender.address:
                confirmed = self._count_release(name, reply, key_map) or confirmed
        return confirmed

    def _count_release(self, name: str, reply: ReleaseReply, key_map: KeyMap) -> bool:
        """Count a release; confirm it once a majority of each of the target's sets agrees."""
        if not reply.released or reply.version != key_map.version:
            return False
        self._released = {k: v for k, v in self._released.items() if k[1] == key_map.version}
        released = self._released.setdefault((reply.owner, reply.version), set())
        released.add(name)
        sets = key_map.witnesses_of(reply.owner)
        if all(len(released.intersection(s)) >= majority(len(s)) for s in sets):
            return self._confirm(key_map, reply.owner)
        return False

    def _confirm(self, key_map: KeyMap, target: str) -> bool:
        """Mark the pending keys of a former owner as released: its lease has expired."""
        confirmed = 0
        for pending in self._grant_manager.pending(boot_time()):
            for predecessor in pending.predecessors:
                if predecessor.target == target:
                    row = ReleasedRow(pending.first, pending.last, "")
                    self._grant_manager.note_predecessor_released(
                        Predecessor(target, predecessor.fence), row
                    )
                    confirmed += 1
        if confirmed:
            self._log.emit(
                "released_by_witnesses", former=target, map=key_map.version, ranges=confirmed
            )
        return confirmed > 0
