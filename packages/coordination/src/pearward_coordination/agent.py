"""One daemon's roles in its cell: owner, witness and member.

:class:`CellAgent` takes events and the current time and returns actions. The runtime carries them
out: it sends the messages, grants shards to the server and aborts requests.
"""

from dataclasses import dataclass

from pearward_state.records import CellRecord
from pearward_state.shards import Shard

from .assignment import Joiner
from .lease import NEVER, LeaseTiming, OwnerLease
from .messages import (
    AskRelease,
    ControlMessage,
    Heartbeat,
    PeerId,
    Push,
    Released,
    ReleaseReply,
    Renew,
    RenewReply,
)
from .ownership import Ownership
from .witness import Witness

__all__ = ["Abort", "Action", "CellAgent", "GrantServer", "Send"]


@dataclass(frozen=True, slots=True)
class Send:
    """Send *message* to the daemon at *address* (IP:port)."""

    address: str
    message: ControlMessage


@dataclass(frozen=True, slots=True)
class GrantServer:
    """Send the local server the full set of shards that it may serve now."""

    version: int
    term: int
    shards: tuple[Shard, ...]


@dataclass(frozen=True, slots=True)
class Abort:
    """Abort these requests without a response, since their permits are no longer valid."""

    runs: tuple[int, ...]


Action = Send | GrantServer | Abort


class CellAgent:
    """State machine of one daemon as owner, witness and member of a cell."""

    def __init__(self, me: PeerId, identity: Joiner, cell: str, timing: LeaseTiming) -> None:
        self._me = me
        self._identity = identity
        self._cell = cell
        self._timing = timing
        self._lease = OwnerLease(timing)
        self._witness = Witness(me.incarnation, timing)
        self._ownership = Ownership(me.incarnation, self._lease)
        self._record_bytes = b""
        self._table_version = 0
        self._coordinator = ""
        self._next_renewal = NEVER
        self._next_heartbeat = NEVER
        self._next_release_poll = NEVER
        self._granted: tuple[int, int] | None = None
        """Lease term and ownership change counter at the last grant that was sent to the server."""
        self._granting = False
        self._votes: dict[tuple[str, int], set[str]] = {}
        self._release_notified = (0, 0)
        self._draining = False
        self._unreachable = False
        self._healthy = True

    # -- properties ---------------------------------------------------------

    @property
    def cell(self) -> str:
        """Name of the cell."""
        return self._cell

    @property
    def lease(self) -> OwnerLease:
        """Lease that must be held for this daemon to serve requests."""
        return self._lease

    @property
    def ownership(self) -> Ownership:
        """Shards that this daemon owns and may serve."""
        return self._ownership

    @property
    def record(self) -> CellRecord | None:
        """The record in force at this daemon, or None before the first."""
        return self._ownership.record

    @property
    def coordinator(self) -> str:
        """Address of the cell's coordinator; empty if unknown."""
        return self._coordinator

    @property
    def draining(self) -> bool:
        """Whether this daemon is leaving the cell."""
        return self._draining

    # -- inputs -------------------------------------------------------------

    def set_coordinator(self, address: str) -> None:
        """Send heartbeats to the daemon at *address*."""
        if address != self._coordinator:
            self._coordinator = address
            self._next_heartbeat = NEVER

    def set_table_version(self, version: int) -> None:
        """Record the version of the service's rows in force, unless a newer one is recorded."""
        self._table_version = max(self._table_version, version)

    def set_health(self, healthy: bool) -> None:
        """Record whether the local server responds."""
        if healthy != self._healthy:
            self._healthy = healthy
            self._granted = None
            self._next_heartbeat = NEVER

    def drain(self) -> None:
        """Request that this daemon's shards are moved to other members, because it is leaving."""
        self._draining = True
        self._next_heartbeat = NEVER

    def set_unreachable(self, unreachable: bool) -> None:
        """Request that other members take over while no reply reaches this daemon.

        Its own messages may still reach all others: no witness then reports it as silent, but its
        lease cannot be renewed either. Without this request, 20 of 118 requests were not served
        while the links towards one of four daemons were cut.
        """
        if unreachable != self._unreachable:
            self._unreachable = unreachable
            self._next_heartbeat = NEVER

    def adopt(self, record: CellRecord, value: bytes, now: float) -> list[Action]:
        """Replace the record with *record* (stored as *value*) if that is newer."""
        if record.version <= self._ownership.adopted:
            return []
        self._record_bytes = value
        self._ownership.adopt(record)
        member = record.member(self._me.incarnation)
        sets = (member.witnesses, member.former_witnesses) if member is not None else ()
        self._lease.set_witnesses(sets, now)
        self._witness.adopt(record, now)
        self._next_renewal = NEVER
        self._next_heartbeat = NEVER
        self._next_release_poll = NEVER
        return self.tick(now)

    def server_granted(self, grant: GrantServer, accepted: bool, now: float) -> list[Action]:
        """Record the server's response to *grant*; send it again if it was not accepted."""
        self._granting = False
        if accepted:
            self._ownership.server_granted(list(grant.shards), grant.term, now)
        else:
            self._granted = None
        self._ownership.server_revoked(grant.version)
        return self.tick(now)

    def server_lost_grants(self) -> None:
        """Send all grants again, after the server has refused a request because it had no grant."""
        self._granted = None

    def finished(self, run: int, now: float) -> list[Action]:
        """Record the end of a request; the last one on a taken shard completes its release."""
        before = self._ownership.released
        self._ownership.finished(run)
        return self._notify_successors(now) if self._ownership.released != before else []

    def receive(self, sender: PeerId, message: ControlMessage, now: float) -> list[Action]:
        """Process a message of the lease protocol; ignore other messages."""
        match message:
            case Renew():
                return self._on_renew(sender, message, now)
            case RenewReply():
                return self._on_renew_reply(sender, message, now)
            case AskRelease():
                return self._on_ask_release(sender, message, now)
            case ReleaseReply():
                return self._on_release_reply(sender, message, now)
            case Released():
                self._ownership.release_confirmed(sender.incarnation, message.version)
                return self.tick(now)
            case _:
                return []

    def tick(self, now: float) -> list[Action]:
        """Return the actions that are due at *now*."""
        actions: list[Action] = []
        lapsed = self._ownership.lapsed_runs(now)
        if lapsed:
            actions.append(Abort(tuple(lapsed)))
        if now >= self._next_renewal:
            self._next_renewal = now + self._timing.renew_s
            actions += self._renewals(now)
        if now >= self._next_release_poll:
            self._next_release_poll = now + self._timing.release_poll_s
            actions += self._release_polls(now)
        if now >= self._next_heartbeat and self._coordinator:
            self._next_heartbeat = now + self._timing.heartbeat_s
            actions.append(Send(self._coordinator, self.heartbeat(now)))
        actions += self._server_grant(now)
        actions += self._notify_successors(now)
        return actions

    def heartbeat(self, now: float) -> Heartbeat:
        """Return the heartbeat for the coordinator."""
        ownership = self._ownership
        record = ownership.record
        return Heartbeat(
            cell=self._cell,
            instance=self._identity.instance,
            server=self._identity.server,
            failure_domain=self._identity.failure_domain,
            caller=self._identity.caller,
            adopted=ownership.adopted,
            settled=ownership.settled if self._lease.held(now) else 0,
            released=ownership.released,
            table_version=self._table_version,
            draining=self._draining or self._unreachable,
            healthy=self._healthy,
            running=ownership.running,
            silent=self._witness.silent(record, now) if record is not None else (),
            stopping=self._draining,
        )

    # -- owner --------------------------------------------------------------

    def _renewals(self, now: float) -> list[Action]:
        """Request a renewal from every witness."""
        record = self._ownership.record
        member = record.member(self._me.incarnation) if record is not None else None
        if record is None or member is None:
            return []
        actions: list[Action] = []
        for name in dict.fromkeys((*member.witnesses, *member.former_witnesses)):
            witness = record.member(name)
            if witness is None:
                continue
            request = Renew(
                self._cell,
                self._lease.renewal_sent(name, now),
                record.version,
                self._ownership.released,
                self._table_version,
            )
            if name == self._me.incarnation:
                reply = self._witness.on_renew(name, request, record, self._table_version, now)
                actions += self._on_renew_reply(self._me, reply, now)
            else:
                actions.append(Send(witness.peer, request))
        return actions

    def _on_renew_reply(self, sender: PeerId, reply: RenewReply, now: float) -> list[Action]:
        if reply.owner != self._me.incarnation:
            return []
        held = self._lease.held(now)
        if reply.granted:
            self._lease.renewal_granted(sender.incarnation, reply.nonce, now)
        if reply.version < self._ownership.adopted and not reply.granted:
            return self._push_record(sender.address)
        if not held and self._lease.held(now):
            self._next_heartbeat = NEVER
            return self.tick(now)
        return []

    def _release_polls(self, now: float) -> list[Action]:
        """Query the witnesses of earlier owners whether these can still act."""
        record = self._ownership.record
        if record is None:
            return []
        actions: list[Action] = []
        for owner, version in self._ownership.awaited_releases().items():
            earlier = record.member(owner)
            if earlier is None:
                continue
            request = AskRelease(self._cell, owner, version)
            for name in dict.fromkeys((*earlier.witnesses, *earlier.former_witnesses)):
                witness = record.member(name)
                if name == self._me.incarnation:
                    reply = self._witness.on_ask_release(request, record, now)
                    self._count_release(name, reply)
                elif witness is not None:
                    actions.append(Send(witness.peer, request))
        return actions

    def _on_release_reply(self, sender: PeerId, reply: ReleaseReply, now: float) -> list[Action]:
        if reply.known < reply.version:
            return self._push_record(sender.address)
        if reply.released and self._count_release(sender.incarnation, reply):
            return self.tick(now)
        return []

    def _count_release(self, witness: str, reply: ReleaseReply) -> bool:
        """Count one witness's release; return whether a majority of each set has released."""
        if not reply.released:
            return False
        votes = self._votes.setdefault((reply.owner, reply.version), set())
        votes.add(witness)
        record = self._ownership.record
        earlier = record.member(reply.owner) if record is not None else None
        if earlier is None or not earlier.witnesses:
            return False
        for names in (earlier.witnesses, earlier.former_witnesses):
            if names and len(votes.intersection(names)) <= len(names) // 2:
                return False
        self._ownership.release_confirmed(reply.owner, reply.version)
        del self._votes[reply.owner, reply.version]
        return True

    def _server_grant(self, now: float) -> list[Action]:
        """Grant the server its current shards if they have changed since the last grant."""
        if not self._lease.held(now) or not self._healthy:
            # The server gets no requests now, and those it still has carry a start-before time.
            self._ownership.server_revoked(self._ownership.adopted)
            return []
        if self._granting:
            return []
        key = (self._lease.term, self._ownership.changes)
        if key == self._granted:
            return []
        self._granted = key
        self._granting = True
        shards = tuple(self._ownership.grantable_shards())
        return [GrantServer(self._ownership.adopted, self._lease.term, shards)]

    def _notify_successors(self, now: float) -> list[Action]:
        """Notify the new owners of taken shards, once, that these are released."""
        record = self._ownership.record
        released = self._ownership.released
        if record is None or record.taken_from.get(self._me.incarnation, released + 1) > released:
            return []
        if self._release_notified == (record.version, released):
            return []
        self._release_notified = (record.version, released)
        own_index = record.by_incarnation[self._me.incarnation]
        successors = {
            successor.peer
            for start, predecessors in record.shards.predecessors.items()
            if own_index in predecessors
            and (successor := record.owner_of(record.shards.find(start))) is not None
        }
        return [Send(peer, Released(self._cell, released)) for peer in sorted(successors)]

    # -- witness ------------------------------------------------------------

    def _on_renew(self, sender: PeerId, request: Renew, now: float) -> list[Action]:
        record = self._ownership.record
        if record is None:
            refused = RenewReply(self._cell, sender.incarnation, request.nonce, False, 0)
            return [Send(sender.address, refused)]
        reply = self._witness.on_renew(
            sender.incarnation, request, record, self._table_version, now
        )
        actions: list[Action] = [Send(sender.address, reply)]
        if request.adopted < record.version:
            actions += self._push_record(sender.address)
        return actions

    def _on_ask_release(self, sender: PeerId, request: AskRelease, now: float) -> list[Action]:
        record = self._ownership.record
        if record is None:
            return [
                Send(
                    sender.address,
                    ReleaseReply(self._cell, request.owner, request.version, False, 0, 0),
                )
            ]
        return [Send(sender.address, self._witness.on_ask_release(request, record, now))]

    def _push_record(self, address: str) -> list[Action]:
        """Return a push of this daemon's record to a peer, or nothing before the first record."""
        if not self._record_bytes:
            return []
        version = self._ownership.adopted
        return [Send(address, Push(f"cell/{self._cell}", version, self._record_bytes))]
