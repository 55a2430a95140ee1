"""Which requests this daemon may hand to its server now, and until when.

A request is admitted with a :class:`Permit`. The permit is checked as the last step
before bytes go to the server and again before its answer goes back: it is good only
for the lease term in which it was given, while the lease holds.
"""

from dataclasses import dataclass
from enum import Enum

from pearward_state.records import CellRecord, Member, MemberState
from pearward_state.shards import Shard

from .lease import OwnerLease

__all__ = ["Admission", "Ownership", "Permit", "Verdict"]


class Verdict(Enum):
    """What the owner's side says to a request."""

    SERVE = "serve"
    WAIT = "wait"
    """The shard is this daemon's but not ready yet: hold the request briefly."""
    MOVED = "moved"
    """Another member owns the shard."""
    NOT_READY = "not-ready"
    """Not a member, or the lease is lost: nothing may be served now."""


@dataclass(frozen=True, slots=True)
class Permit:
    """Leave to run one request."""

    position: int
    """Hash of the key; 0 for a pooled service."""
    start: int
    end: int
    epoch: int
    term: int
    granted_at: float
    """When this daemon began to serve the shard."""


@dataclass(frozen=True, slots=True)
class Admission:
    """A verdict with what goes with it."""

    verdict: Verdict
    permit: Permit | None = None
    owner: Member | None = None


@dataclass(frozen=True, slots=True)
class _Serving:
    """A shard that the server has been granted."""

    epoch: int
    term: int
    since: float


class Ownership:
    """The shards of one daemon in one cell."""

    def __init__(self, incarnation: str, lease: OwnerLease) -> None:
        self._incarnation = incarnation
        self._lease = lease
        self._record: CellRecord | None = None
        self._mine: dict[int, Shard] = {}
        self._serving: dict[int, _Serving] = {}
        self._released_by: dict[str, int] = {}
        self._running: dict[int, Permit] = {}
        self._next_run = 0
        self._released = 0
        self._revoked = 0
        self._changes = 0

    # -- properties ---------------------------------------------------------

    @property
    def record(self) -> CellRecord | None:
        """The record that is acted on."""
        return self._record

    @property
    def adopted(self) -> int:
        """Version of that record; 0 before the first."""
        return self._record.version if self._record is not None else 0

    @property
    def released(self) -> int:
        """Highest version whose taken shards are given up: no request runs, the server knows."""
        return self._released

    @property
    def running(self) -> int:
        """Requests that hold a permit."""
        return len(self._running)

    @property
    def shard_count(self) -> int:
        """Shards that the record gives this daemon."""
        return len(self._mine)

    @property
    def serving_count(self) -> int:
        """Shards that the server has taken in this term of the lease."""
        term = self._lease.term
        return sum(serving.term == term for serving in self._serving.values())

    @property
    def settled(self) -> int:
        """The adopted version if everything it gives this daemon is being served, else 0."""
        return 0 if self.pending_shards() else self.adopted

    @property
    def changes(self) -> int:
        """Number that grows whenever what may be granted to the server may have changed."""
        return self._changes

    # -- records and releases -----------------------------------------------

    def adopt(self, record: CellRecord) -> None:
        """Act on *record* from now on; shards it takes stop admitting at once."""
        self._record = record
        self._changes += 1
        mine = {shard.start: shard for shard in record.owned_by(self._incarnation)}
        # A moved, split or merged shard starts over; one that stays keeps its grant.
        self._serving = {
            start: serving
            for start, serving in self._serving.items()
            if start in mine
            and mine[start].epoch == serving.epoch
            and mine[start].end == self._mine[start].end
        }
        self._mine = mine
        self._update_released()

    def server_revoked(self, version: int) -> None:
        """Note that the server no longer has grants from before *version*, or cannot be asked."""
        self._revoked = max(self._revoked, version)
        self._update_released()

    def release_confirmed(self, incarnation: str, version: int) -> None:
        """Note that an earlier owner can no longer act on what *version* took."""
        if version > self._released_by.get(incarnation, 0):
            self._released_by[incarnation] = version
            self._changes += 1

    def awaited_releases(self) -> dict[str, int]:
        """Return the earlier owners still waited for, with the version asked of each."""
        awaited: dict[str, int] = {}
        if self._record is None:
            return awaited
        for shard in self._mine.values():
            for index in shard.predecessors:
                name = self._record.members[index].incarnation
                if self._released_by.get(name, 0) < shard.epoch:
                    awaited[name] = max(awaited.get(name, 0), shard.epoch)
        return awaited

    def pending_shards(self) -> list[Shard]:
        """Return the shards of this daemon that are not being served."""
        term = self._lease.term
        return [
            shard
            for start, shard in self._mine.items()
            if start not in self._serving or self._serving[start].term != term
        ]

    def grantable_shards(self) -> list[Shard]:
        """Return the shards that may be granted to the server now: nobody else can act on them."""
        return [shard for shard in self._mine.values() if self._is_free(shard)]

    def server_granted(self, shards: list[Shard], term: int, now: float) -> None:
        """Note that the server accepted the grant of *shards* made in lease term *term*."""
        if term != self._lease.term or not self._lease.held(now):
            return
        for shard in shards:
            if self._mine.get(shard.start) != shard or not self._is_free(shard):
                continue
            serving = self._serving.get(shard.start)
            if serving is None or serving.term != term:
                since = now if serving is None else serving.since
                self._serving[shard.start] = _Serving(shard.epoch, term, since)

    def _is_free(self, shard: Shard) -> bool:
        """Return whether every earlier owner of *shard* has given it up."""
        assert self._record is not None
        return all(
            self._released_by.get(self._record.members[index].incarnation, 0) >= shard.epoch
            for index in shard.predecessors
        )

    # -- requests -----------------------------------------------------------

    def admit(self, position: int, now: float) -> Admission:
        """Decide on a request for the key at *position* of a keyed service."""
        record = self._record
        if record is None or not len(record.shards):
            return Admission(Verdict.NOT_READY)
        shard = record.shards.find(position)
        owner = record.owner_of(shard)
        if owner is None:
            return Admission(Verdict.NOT_READY)
        if owner.incarnation != self._incarnation:
            return Admission(Verdict.MOVED, owner=owner)
        serving = self._serving.get(shard.start)
        if not self._lease.held(now) or serving is None or serving.term != self._lease.term:
            return Admission(Verdict.WAIT)
        permit = Permit(position, shard.start, shard.end, shard.epoch, serving.term, serving.since)
        return Admission(Verdict.SERVE, permit)

    def admit_pooled(self, now: float) -> Admission:
        """Decide on a request of a pooled service."""
        if self._record is None:
            return Admission(Verdict.NOT_READY)
        member = self._record.member(self._incarnation)
        if member is None or member.state is not MemberState.ACTIVE:
            return Admission(Verdict.NOT_READY)
        if not self._lease.held(now):
            return Admission(Verdict.WAIT)
        return Admission(Verdict.SERVE, Permit(0, 0, 0, 0, self._lease.term, 0.0))

    def started(self, permit: Permit) -> int:
        """Note that a request runs under *permit* and return its number."""
        self._next_run += 1
        self._running[self._next_run] = permit
        return self._next_run

    def finished(self, run: int) -> None:
        """Note that the request of that number has ended."""
        if self._running.pop(run, None) is not None and self._released < self.adopted:
            self._update_released()

    def still_good(self, permit: Permit, now: float) -> bool:
        """Return whether work under *permit* may go on at *now*.

        A pooled request needs no sole owner, so only its admission depends on the lease.
        """
        return permit.end == 0 or (permit.term == self._lease.term and self._lease.held(now))

    def lapsed_runs(self, now: float) -> list[int]:
        """Return the numbers of the requests whose permits are no longer good."""
        return [run for run, permit in self._running.items() if not self.still_good(permit, now)]

    def _is_foreign(self, permit: Permit) -> bool:
        """Return whether *permit*'s shard is no longer this daemon's at that epoch."""
        shard = self._mine.get(permit.start)
        if shard is not None and shard.epoch == permit.epoch:
            return False
        # A split or merge changes the bounds, not the owner.
        return not any(
            s.start <= permit.position < s.end and s.epoch == permit.epoch
            for s in self._mine.values()
        )

    def _update_released(self) -> None:
        """Advance the released version when nothing runs on shards that were taken."""
        record = self._record
        if record is None or self._released >= record.version:
            return
        if self._revoked < record.version and self._takes_from_me(record):
            return
        keyed = (p for p in self._running.values() if p.end)
        if not any(self._is_foreign(permit) for permit in keyed):
            self._released = record.version

    def _takes_from_me(self, record: CellRecord) -> bool:
        """Return whether *record* names this daemon as somebody's predecessor."""
        return record.taken_from.get(self._incarnation, 0) > self._released
