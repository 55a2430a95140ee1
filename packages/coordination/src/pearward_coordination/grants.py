"""Decide which keys of its service the local target may hold, and for how long.

A target enforces its own lease: it counts a hold from the moment it sent the heartbeat, on a clock
that may run slow. Its daemon grants a hold only

* for ranges that the key map assigns to exactly this incarnation of the target,
* after every predecessor of the range has released it, and
* for a time that ends within the daemon's own lease. A majority of the target's witnesses renews
  this lease, and they wait for its end before they release the target's keys.

No I/O and no clock: times are seconds of one steady clock, passed in by the caller.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from pearward_state.eras import era_of
from pearward_state.keymap import KEY_SPACE, KeyMap, KeyRange, Predecessor, covered

from .hold_ledger import Hold, HoldLedger
from .lease import NEVER, LeaseTiming

__all__ = [
    "CLOCK_SLACK",
    "HOLD_S",
    "GrantManager",
    "GrantTiming",
    "GrantedRow",
    "HeldRow",
    "ReleasedRow",
]

HOLD_S = 2.7
"""Seconds of one hold. A killed daemon runs again after 1.4 s and receives the target's next
heartbeat up to 0.9 s later. A target that leaves without notice keeps its keys this long."""
LEASE_S = 3.2
"""Seconds of a daemon's own lease: one hold plus two renewals that may be lost. The keys of an
instance that is permanently lost are unavailable this long."""
RENEW_S = 0.4
CLOCK_SLACK = 1.02
"""Factor by which a target's clock may run slow, as the interface of the targets states."""
MIN_HOLD_S = 0.3
"""Minimum seconds of a hold; a shorter one is not granted."""
MAX_TOKENS = 256
"""Number of handover tokens kept for replies to later requests; the oldest are dropped first."""
HEARTBEAT_TRANSIT_S = 0.1
"""Seconds before the receipt of its heartbeat at which a hold is assumed to have started."""
GRANT_TRANSIT_S = 0.008
"""Seconds after a grant before requests follow it, as the two use different connections."""


@dataclass(frozen=True, slots=True)
class GrantTiming:
    """Durations of the holds that a daemon grants, and of its own lease."""

    hold_s: float = HOLD_S
    lease: LeaseTiming = field(
        default_factory=lambda: LeaseTiming(lease_s=LEASE_S, renew_s=RENEW_S)
    )


@dataclass(frozen=True, slots=True)
class HeldRow:
    """Keys that a target reports as held, or as still in use by running requests."""

    first: int
    last: int
    fence: int


@dataclass(frozen=True, slots=True)
class ReleasedRow:
    """Keys that a target has released, with the handover token for its warm state."""

    first: int
    last: int
    token: str


@dataclass(frozen=True, slots=True)
class GrantedRow:
    """Keys that a target is granted."""

    first: int
    last: int
    fence: int
    token: str
    """Handover token of the former holder; empty if there is none."""


class GrantManager:
    """Manages the grants to the incarnations of one target, one at a time."""

    def __init__(self, service: str, started: float, timing: GrantTiming) -> None:
        self._service = service
        self._timing = timing
        self._started = started
        self._target = ""
        self._map: KeyMap | None = None
        self._owned: tuple[KeyRange, ...] = ()
        """Ranges that the map assigns to the target."""
        self._lease_ends = NEVER
        self._ledger = HoldLedger()
        self._released_by: dict[Predecessor, list[ReleasedRow]] = {}
        self._tokens: list[ReleasedRow] = []
        self._granted: set[HeldRow] = set()
        self._holds_known = False
        self._ended: set[str] = set()
        self._lingering: dict[str, float] = {}
        """Former incarnations that may still run, with the latest end of all their holds."""

    # -- properties -------------------------------------------------------------

    @property
    def service(self) -> str:
        """Service that the target belongs to."""
        return self._service

    @property
    def target(self) -> str:
        """Id of the target's incarnation; empty before its first heartbeat."""
        return self._target

    @property
    def key_map(self) -> KeyMap | None:
        """The key map in use."""
        return self._map

    @property
    def ledger(self) -> HoldLedger:
        """Keys that the target possibly and certainly holds."""
        return self._ledger

    @property
    def timing(self) -> GrantTiming:
        """Durations of holds and leases."""
        return self._timing

    @property
    def lease_ends(self) -> float:
        """Time by which the last hold must have ended: the end of the daemon's lease."""
        return self._lease_ends

    # -- state changes ---------------------------------------------------------

    def target_changed(self, target: str) -> None:
        """Note heartbeats of another incarnation; all holds of the former one ended with it."""
        if target == self._target:
            return
        if self._target:
            self._ended.add(self._target)
        self._reset_for(target)

    def target_presumed_replaced(self, target: str, now: float) -> None:
        """Note that heartbeats under the same id seem to come from another incarnation.

        The former one possibly still runs and counts as ended only when all its holds have expired.
        """
        self._lingering[self._target] = now + self._timing.hold_s * CLOCK_SLACK
        self._reset_for(target)

    def _reset_for(self, target: str) -> None:
        self._target = target
        # The witnesses have renewed the lease of the former incarnation, not of this one.
        self._lease_ends = NEVER
        self._ledger.clear()
        self._granted.clear()
        self._tokens.clear()
        self._holds_known = False
        self._find_owned()

    def target_ended(self) -> None:
        """Note that the target's process has terminated."""
        self.target_changed("")

    def target_identified(self, target: str) -> None:
        """Replace a provisional id of the target, under which it was granted nothing."""
        self._reset_for(target)

    def note_ended(self, target: str) -> None:
        """Note the end of an incarnation that an earlier process of this daemon served."""
        if target != self._target and target not in self._lingering:
            self._ended.add(target)

    def note_presumed_ended(self, target: str, transit_s: float) -> None:
        """Note an incarnation, served by an earlier process of this daemon, that possibly runs.

        It counts as ended when all holds have expired that were granted before this process
        started, by calls that were in transit for *transit_s* seconds.
        """
        if target not in self._ended:
            until = self._started + transit_s + self._timing.hold_s * CLOCK_SLACK
            self._lingering.setdefault(target, until)

    def has_ended(self, target: str) -> bool:
        """Return whether an incarnation of the local target has certainly ended."""
        return target in self._ended

    def take_expired_incarnations(self, now: float) -> list[str]:
        """Return former incarnations that possibly still ran until now and now count as ended."""
        expired = [target for target, until in self._lingering.items() if now >= until]
        for target in expired:
            del self._lingering[target]
            self._ended.add(target)
        return expired

    def adopt(self, key_map: KeyMap, now: float) -> bool:
        """Use a newer map; return whether it was newer."""
        former = self._map
        if former is not None and key_map.version <= former.version:
            return False
        self._map = key_map
        self._find_owned()
        granted = [
            r for r in self._owned if self._is_granted(r) and self._keeps_range(r, former, now)
        ]
        self._granted = {HeldRow(r.first, r.last, r.fence) for r in granted}
        predecessors = {p for r in self._owned for p in r.predecessors}
        self._released_by = {p: rows for p, rows in self._released_by.items() if p in predecessors}
        return True

    def _keeps_range(self, owned: KeyRange, former: KeyMap | None, now: float) -> bool:
        """Return whether the target keeps a range that it was granted under a former map.

        If it did not hold the keys without interruption, a map that the store has lost may have
        assigned them to another target.
        """
        key_map = self._map
        assert key_map is not None
        if era_of(owned.fence) >= key_map.era:
            return True
        if former is None:
            return not key_map.unsettled
        if former.era == key_map.era:
            return True
        return self._ledger.certainly_holds(owned.first, owned.last, owned.fence, now)

    def _find_owned(self) -> None:
        self._owned = self._map.owned_by(self._target) if self._map is not None else ()

    def set_lease_end(self, until: float) -> None:
        """Set the end of the daemon's own lease, as renewed by its witnesses."""
        self._lease_ends = until

    def heartbeat(
        self, now: float, held: Iterable[HeldRow], released: Iterable[ReleasedRow]
    ) -> None:
        """Record the keys that the target reports as held and as released."""
        for row in released:
            self.note_released(row)
        if not self._holds_known:
            # Granted by an earlier process of this daemon, whose grants ended before it did.
            self._holds_known = True
            until = now + self._timing.hold_s * CLOCK_SLACK
            for row_held in held:
                self._ledger.add(Hold(row_held.first, row_held.last, row_held.fence, until, now))
                self.note_granted(row_held.first, row_held.last, row_held.fence)

    def note_released(self, row: ReleasedRow) -> None:
        """Record keys that the target has released."""
        self._tokens.append(row)
        del self._tokens[:-MAX_TOKENS]
        self._ledger.remove_range(row.first, row.last)

    def assume_unknown_grants(self, transit_s: float) -> None:
        """Note that the target runs but does not report its holds.

        An earlier process of this daemon may have granted it any keys, by a call that was in
        transit for *transit_s* seconds.
        """
        if not self._holds_known:
            self._holds_known = True
            until = self._started + transit_s + self._timing.hold_s * CLOCK_SLACK
            self._ledger.add_unconfirmed(Hold(0, KEY_SPACE - 1, 0, until, self._started))

    def note_predecessor_released(self, predecessor: Predecessor, row: ReleasedRow) -> None:
        """Record the confirmation of a predecessor's daemon that its target has released keys."""
        rows = self._released_by.setdefault(predecessor, [])
        if row.token or not covered(row.first, row.last, ((r.first, r.last) for r in rows)):
            rows.append(row)

    def _is_granted(self, owned: KeyRange) -> bool:
        """Return whether the target was granted all keys of a range under its present fence."""
        if HeldRow(owned.first, owned.last, owned.fence) in self._granted:
            return True
        spans = ((b.first, b.last) for b in self._granted if b.fence == owned.fence)
        return covered(owned.first, owned.last, spans)

    # -- grants -----------------------------------------------------------------------

    def hold_s(self, received: float) -> float:
        """Return the hold in seconds that a heartbeat received at *received* may be granted.

        The target counts from the earlier time of sending, so its hold ends by
        ``received + hold * CLOCK_SLACK`` regardless of the response's delay.
        """
        within_lease = (self._lease_ends - received) / CLOCK_SLACK
        return min(self._timing.hold_s, within_lease)

    def grant(self, received: float, now: float) -> tuple[list[GrantedRow], float] | None:
        """Return the rows to hold and the hold in seconds, or None if nothing is renewed."""
        hold = self.hold_s(received)
        if self._map is None or not self._target or received + hold < now + MIN_HOLD_S:
            return None
        until = received + hold * CLOCK_SLACK
        certain_until = received - HEARTBEAT_TRANSIT_S + hold
        rows: list[GrantedRow] = []
        for owned in self._owned:
            if not self._ready(owned, now):
                continue
            granted = self._is_granted(owned)
            rows.extend(self._continued(owned) if granted else self.first_rows(owned))
            self._granted.add(HeldRow(owned.first, owned.last, owned.fence))
            effective_from = now if granted else now + GRANT_TRANSIT_S
            # The response replaces the target's present holds on these keys, even if it is shorter.
            self._ledger.remove_range(owned.first, owned.last)
            self._ledger.add(
                Hold(owned.first, owned.last, owned.fence, until, certain_until, effective_from)
            )
        return rows, hold

    def _continued(self, owned: KeyRange) -> list[GrantedRow]:
        return [GrantedRow(owned.first, owned.last, owned.fence, "")]

    def ready_ranges(self, now: float) -> list[KeyRange]:
        """Return the target's ranges that no other target can hold any more, in key order."""
        if self._map is None or not self._target:
            return []
        return [owned for owned in self._owned if self._ready(owned, now)]

    def note_granted(self, first: int, last: int, fence: int) -> None:
        """Record the target's confirmation that it holds keys under a fence."""
        key_map = self._map
        if key_map is None or not key_map.unsettled or era_of(fence) >= key_map.era:
            self._granted.add(HeldRow(first, last, fence))

    def first_rows(self, owned: KeyRange) -> list[GrantedRow]:
        """Return the rows of a range that is granted for the first time, one per token."""
        rows: list[GrantedRow] = []
        start = owned.first
        for released in self._tokens_for(owned):
            first, last = max(released.first, start), min(released.last, owned.last)
            if first > last:
                continue
            if first > start:
                rows.append(GrantedRow(start, first - 1, owned.fence, ""))
            rows.append(GrantedRow(first, last, owned.fence, released.token))
            start = last + 1
        if start <= owned.last:
            rows.append(GrantedRow(start, owned.last, owned.fence, ""))
        return rows

    def _tokens_for(self, owned: KeyRange) -> list[ReleasedRow]:
        """Return the tokens from the last holder of a range, in key order."""
        for predecessor in sorted(owned.predecessors, key=lambda p: -p.fence):
            rows = [row for row in self._released_by.get(predecessor, ()) if row.token]
            if rows:
                return sorted(rows, key=lambda row: row.first)
        return []

    def _ready(self, owned: KeyRange, now: float) -> bool:
        """Return whether no other target can hold the range or has held it under a later fence."""
        if self._is_granted(owned):
            return True
        key_map = self._map
        if key_map is None or key_map.unsettled or era_of(owned.fence) < key_map.era:
            return False
        return all(self._has_released(p, owned, now) for p in owned.predecessors)

    def _has_released(self, predecessor: Predecessor, owned: KeyRange, now: float) -> bool:
        if predecessor.target == self._target:
            return not self.may_hold(owned.first, owned.last, now, below=owned.fence)
        spans = ((row.first, row.last) for row in self._released_by.get(predecessor, ()))
        return covered(owned.first, owned.last, spans)

    # -- queries ---------------------------------------------------------------

    def serves(self, key: int, now: float) -> int:
        """Return the fence under which the target certainly holds *key* now, or 0.

        Keys that the map has assigned to another target are not served, even if still held.
        """
        owned = self._map.range_of(key) if self._map is not None else None
        if owned is None or owned.owner != self._target:
            return 0
        fence = self._ledger.fence_at(key, now)
        return fence if fence == owned.fence else 0

    def may_hold(self, first: int, last: int, now: float, below: int = 2**62) -> bool:
        """Return whether any of these keys is possibly held under a fence below *below*."""
        return self._ledger.may_hold(first, last, now, below)

    def pending(self, now: float) -> list[KeyRange]:
        """Return the ranges assigned to the target that a predecessor may still hold."""
        if self._map is None or not self._target:
            return []
        return [r for r in self._owned if not self._ready(r, now)]

    def has_new_grants_ready(self, now: float) -> bool:
        """Return whether a range that the target does not hold yet could be granted now."""
        if self._map is None or not self._target or self._lease_ends <= now:
            return False
        return any(not self._is_granted(r) and self._ready(r, now) for r in self._owned)

    def must_release(self, now: float) -> bool:
        """Return whether the target may hold keys that the map no longer assigns to it."""
        return any(True for _ in self.unwanted(now))

    def unwanted(self, now: float) -> Iterator[HeldRow]:
        """Yield keys that the target may hold but that the map no longer assigns to it."""
        if self._map is None:
            return
        for hold in self._ledger:
            if hold.until <= now:
                continue
            for r in self._map.overlapping(hold.first, hold.last):
                if r.owner != self._target or r.fence != hold.fence:
                    first, last = max(r.first, hold.first), min(r.last, hold.last)
                    yield HeldRow(first, last, hold.fence)

    def released_rows(
        self, target: str, first: int, last: int, fence: int, version: int, now: float
    ) -> list[ReleasedRow] | None:
        """Return proof that *target*, now or formerly local, has permanently released keys.

        The rows returned cover the keys from *first* to *last*, with tokens where there are any;
        None means that the target may still hold one of the keys. *version* is the version of the
        map that reassigned them: a daemon that uses an older one may still grant them, even if none
        is held now. A version of an earlier era of the store does not show the present owners.
        """
        if self._map is None or self._map.version < version or era_of(version) < self._map.era:
            return None
        if target == self._target:
            if not self._holds_known or self.may_hold(first, last, now, below=fence + 1):
                return None
            return self._tokens_between(first, last)
        all_expired = now >= self._started + self._timing.hold_s * CLOCK_SLACK
        if now < self._lingering.get(target, 0.0):
            return None
        if target in self._ended or all_expired:
            # Unknown to this process: the grants of an earlier one have expired.
            return [ReleasedRow(first, last, "")]
        return None

    def _tokens_between(self, first: int, last: int) -> list[ReleasedRow]:
        """Split the keys from *first* to *last* by the newest tokens they were released with."""
        rows: list[ReleasedRow] = []
        start = first
        while start <= last:
            token, end = "", last
            for row in self._tokens:
                if row.first <= start <= row.last:
                    token, end = row.token, min(row.last, last)
                elif start < row.first <= end:
                    end = row.first - 1
            rows.append(ReleasedRow(start, end, token))
            start = end + 1
        return rows

    def confirmed(self) -> list[HeldRow]:
        """Return the ranges of the present map that the target was granted."""
        return sorted(self._granted, key=lambda row: row.first)
