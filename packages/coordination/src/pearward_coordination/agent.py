"""One daemon's part in its cell: owner, witness and member at once.

:class:`CellAgent` takes events and the time and returns actions. The runtime sends
the messages, asks the server for grants and aborts the requests that it is told to.
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
    """Tell the server beside this daemon all the shards that it owns now."""

    version: int
    term: int
    shards: tuple[Shard, ...]


@dataclass(frozen=True, slots=True)
class Abort:
    """End these requests without an answer: the permits they run under are void."""

    runs: tuple[int, ...]


Action = Send | GrantServer | Abort


class CellAgent:
    """Owner, witness and member of one cell."""

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
        """Lease term and state of ownership that the server was last told of."""
        self._granting = False
        self._votes: dict[tuple[str, int], set[str]] = {}
        self._told_at = (0, 0)
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
        """The lease that all serving depends on."""
        return self._lease

    @property
    def ownership(self) -> Ownership:
        """What this daemon may serve."""
        return self._ownership

    @property
    def record(self) -> CellRecord | None:
        """The record that is acted on."""
        return self._ownership.record

    @property
    def coordinator(self) -> str:
        """Address of the cell's coordinator, as far as it is known."""
        return self._coordinator

    @property
    def draining(self) -> bool:
        """Whether this daemon is leaving."""
        return self._draining

    # -- inputs -------------------------------------------------------------

    def set_coordinator(self, address: str) -> None:
        """Send heartbeats to the daemon at *address*."""
        if address != self._coordinator:
            self._coordinator = address
            self._next_heartbeat = NEVER

    def set_table_version(self, version: int) -> None:
        """Act on *version* of the service's rows."""
        self._table_version = max(self._table_version, version)

    def set_health(self, healthy: bool) -> None:
        """Note whether the server beside this daemon answers."""
        if healthy != self._healthy:
            self._healthy = healthy
            self._granted = None
            self._next_heartbeat = NEVER

    def drain(self) -> None:
        """Ask for this daemon's work to be handed over; it is leaving."""
        self._draining = True
        self._next_heartbeat = NEVER

    def set_unreachable(self, unreachable: bool) -> None:
        """Ask others to take over for as long as no answer reaches this daemon.

        Its own messages may reach everybody: then nobody misses it, and nobody can renew its
        lease either (20 of 118 requests unserved, as long as links towards one of four were cut).
        """
        if unreachable != self._unreachable:
            self._unreachable = unreachable
            self._next_heartbeat = NEVER

    def adopt(self, record: CellRecord, value: bytes, now: float) -> list[Action]:
        """Act on *record* (stored as *value*) if it is newer than the present one."""
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
        """Note the server's answer to *grant*; a refusal or silence is tried again."""
        self._granting = False
        if accepted:
            self._ownership.server_granted(list(grant.shards), grant.term, now)
        else:
            self._granted = None
        self._ownership.server_revoked(grant.version)
        return self.tick(now)

    def server_forgot(self) -> None:
        """Grant everything anew: the server refused a request for want of a grant."""
        self._granted = None

    def finished(self, run: int, now: float) -> list[Action]:
        """Note the end of a request; the last one on a taken shard completes its release."""
        before = self._ownership.released
        self._ownership.finished(run)
        return self._tell_successors(now) if self._ownership.released != before else []

    def receive(self, sender: PeerId, message: ControlMessage, now: float) -> list[Action]:
        """Act on a message of the lease protocol."""
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
        """Do what is due at *now*."""
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
        actions += self._tell_successors(now)
        return actions

    def heartbeat(self, now: float) -> Heartbeat:
        """Return the report to the coordinator."""
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
        )

    # -- owner --------------------------------------------------------------

    def _renewals(self, now: float) -> list[Action]:
        """Ask every witness for a renewal."""
        record = self._ownership.record
        member = record.member(self._me.incarnation) if record is not None else None
        if record is None or member is None:
            return []
        actions: list[Action] = []
        for name in dict.fromkeys((*member.witnesses, *member.former_witnesses)):
            witness = record.member(name)
            if witness is None:
                continue
            ask = Renew(
                self._cell,
                self._lease.renewal_sent(name, now),
                record.version,
                self._ownership.released,
                self._table_version,
            )
            if name == self._me.incarnation:
                reply = self._witness.on_renew(name, ask, record, self._table_version, now)
                actions += self._on_renew_reply(self._me, reply, now)
            else:
                actions.append(Send(witness.peer, ask))
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
        """Ask the witnesses of earlier owners whether those can still act."""
        record = self._ownership.record
        if record is None:
            return []
        actions: list[Action] = []
        for owner, version in self._ownership.awaited_releases().items():
            earlier = record.member(owner)
            if earlier is None:
                continue
            ask = AskRelease(self._cell, owner, version)
            for name in dict.fromkeys((*earlier.witnesses, *earlier.former_witnesses)):
                witness = record.member(name)
                if name == self._me.incarnation:
                    reply = self._witness.on_ask_release(ask, record, now)
                    self._count_release(name, reply)
                elif witness is not None:
                    actions.append(Send(witness.peer, ask))
        return actions

    def _on_release_reply(self, sender: PeerId, reply: ReleaseReply, now: float) -> list[Action]:
        if reply.known < reply.version:
            return self._push_record(sender.address)
        if reply.released and self._count_release(sender.incarnation, reply):
            return self.tick(now)
        return []

    def _count_release(self, witness: str, reply: ReleaseReply) -> bool:
        """Note one witness's release; return whether a majority of each set has given it."""
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
        """Grant the server what it may have, if that changed since the last grant."""
        if not self._lease.held(now) or not self._healthy:
            # Nothing is sent to the server now, and what it still holds has a start-before time.
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

    def _tell_successors(self, now: float) -> list[Action]:
        """Tell the new owners of taken shards, once, that they are given up."""
        record = self._ownership.record
        released = self._ownership.released
        if record is None or record.taken_from.get(self._me.incarnation, released + 1) > released:
            return []
        if self._told_at == (record.version, released):
            return []
        self._told_at = (record.version, released)
        mine = record.by_incarnation[self._me.incarnation]
        heirs = {
            heir.peer
            for start, predecessors in record.shards.predecessors.items()
            if mine in predecessors
            and (heir := record.owner_of(record.shards.find(start))) is not None
        }
        return [Send(peer, Released(self._cell, released)) for peer in sorted(heirs)]

    # -- witness ------------------------------------------------------------

    def _on_renew(self, sender: PeerId, ask: Renew, now: float) -> list[Action]:
        record = self._ownership.record
        if record is None:
            refused = RenewReply(self._cell, sender.incarnation, ask.nonce, False, 0)
            return [Send(sender.address, refused)]
        reply = self._witness.on_renew(sender.incarnation, ask, record, self._table_version, now)
        actions: list[Action] = [Send(sender.address, reply)]
        if ask.adopted < record.version:
            actions += self._push_record(sender.address)
        return actions

    def _on_ask_release(self, sender: PeerId, ask: AskRelease, now: float) -> list[Action]:
        record = self._ownership.record
        if record is None:
            return [
                Send(
                    sender.address,
                    ReleaseReply(self._cell, ask.owner, ask.version, False, 0, 0),
                )
            ]
        return [Send(sender.address, self._witness.on_ask_release(ask, record, now))]

    def _push_record(self, address: str) -> list[Action]:
        """Return the message that brings a peer up to this daemon's record, if it has one."""
        if not self._record_bytes:
            return []
        version = self._ownership.adopted
        return [Send(address, Push(f"cell/{self._cell}", version, self._record_bytes))]
