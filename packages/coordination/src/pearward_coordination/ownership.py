"""Shard ownership of this daemon: which requests it may pass to its server, and until when.

A request is admitted with a :class:`Permit`. The permit is checked immediately before the request
is sent to the server and again before the server's response is returned. It is valid only in the
lease term in which it was issued, while the lease is held.
"""

from dataclasses import dataclass
from enum import Enum

from pearward_state.records import CellRecord, Member, MemberState
from pearward_state.shards import Shard

from .lease import OwnerLease

__all__ = ["Admission", "Ownership", "Permit", "Verdict"]


class Verdict(Enum):
    """Decision on a request."""

    SERVE = "serve"
    WAIT = "wait"
    """This daemon holds no lease, or no grant of its shard, yet: the request waits briefly."""
    MOVED = "moved"
    """Another member owns the shard."""
    NOT_READY = "not-ready"
    """The shard has no known owner, or this daemon is not an active member: nothing is served."""


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to run one request."""

    position: int
    """Hash of the key; 0 for a pooled service."""
    start: int
    end: int
    epoch: int
    term: int
    granted_at: float
    """Time at which this daemon started to serve the shard."""


@dataclass(frozen=True, slots=True)
class Admission:
    """Verdict with the permit if it is SERVE, or the owner if it is MOVED."""

    verdict: Verdict
    permit: Permit | None = None
    owner: Member | None = None


@dataclass(frozen=True, slots=True)
class _Serving:
    """Shard that has been granted to the server."""

    epoch: int
    term: int
    since: float


class Ownership:
    """Shards that one daemon owns and serves in one cell."""

    def __init__(self, incarnation: str, lease: OwnerLease) -> None:
        self._incarnation = incarnation
        self._lease = lease
        self._record: CellRecord | None = None
        self._owned: dict[int, Shard] = {}
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
        """The record in force at this daemon, or None before the first."""
        return self._record

    @property
    def adopted(self) -> int:
        """Version of the record in force; 0 before the first."""
        return self._record.version if self._record is not None else 0

    @property
    def released(self) -> int:
        """Highest version whose taken shards have no running request or server grant left."""
        return self._released

    @property
    def running(self) -> int:
        """Number of requests that hold a permit."""
        return len(self._running)

    @property
    def shard_count(self) -> int:
        """Number of shards that the record assigns to this daemon."""
        return len(self._owned)

    @property
    def serving_count(self) -> int:
        """Number of shards that the server has accepted in this lease term."""
        term = self._lease.term
        return sum(serving.term == term for serving in self._serving.values())

    @property
    def settled(self) -> int:
        """The adopted version if all shards that it assigns here are being served, else 0."""
        return 0 if self.pending_shards() else self.adopted

    @property
    def changes(self) -> int:
        """Counter that is incremented when the set of grantable shards may have changed."""
        return self._changes

    # -- records and releases -----------------------------------------------

    def adopt(self, record: CellRecord) -> None:
        """Replace the record; shards that it takes from this daemon admit no more requests."""
        self._record = record
        self._changes += 1
        owned = {shard.start: shard for shard in record.owned_by(self._incarnation)}
        # An unchanged shard keeps its grant; a moved, split or merged one needs a new grant.
        self._serving = {
            start: serving
            for start, serving in self._serving.items()
            if start in owned
            and owned[start].epoch == serving.epoch
            and owned[start].end == self._owned[start].end
        }
        self._owned = owned
        self._update_released()

    def server_revoked(self, version: int) -> None:
        """Record that the server has no grants from before *version*, or gets no requests."""
        self._revoked = max(self._revoked, version)
        self._update_released()

    def release_confirmed(self, incarnation: str, version: int) -> None:
        """Record that an earlier owner can no longer act on the shards that *version* took."""
        if version > self._released_by.get(incarnation, 0):
            self._released_by[incarnation] = version
            self._changes += 1

    def awaited_releases(self) -> dict[str, int]:
        """Return the earlier owners whose release is outstanding, with the version for each."""
        awaited: dict[str, int] = {}
        if self._record is None:
            return awaited
        for shard in self._owned.values():
            for index in shard.predecessors:
                name = self._record.members[index].incarnation
                if self._released_by.get(name, 0) < shard.epoch:
                    awaited[name] = max(awaited.get(name, 0), shard.epoch)
        return awaited

    def pending_shards(self) -> list[Shard]:
        """Return the shards of this daemon that are not being served in this lease term."""
        term = self._lease.term
        return [
            shard
            for start, shard in self._owned.items()
            if start not in self._serving or self._serving[start].term != term
        ]

    def grantable_shards(self) -> list[Shard]:
        """Return the shards that no earlier owner can act on: the server may be granted these."""
        return [shard for shard in self._owned.values() if self._predecessors_released(shard)]

    def server_granted(self, shards: list[Shard], term: int, now: float) -> None:
        """Record that the server accepted the grant of *shards* made in lease term *term*."""
        if term != self._lease.term or not self._lease.held(now):
            return
        for shard in shards:
            if self._owned.get(shard.start) != shard or not self._predecessors_released(shard):
                continue
            serving = self._serving.get(shard.start)
            if serving is None or serving.term != term:
                since = now if serving is None else serving.since
                self._serving[shard.start] = _Serving(shard.epoch, term, since)

    def _predecessors_released(self, shard: Shard) -> bool:
        """Return whether every earlier owner of *shard* has released it."""
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
        """Record that a request runs under *permit* and return its number."""
        self._next_run += 1
        self._running[self._next_run] = permit
        return self._next_run

    def finished(self, run: int) -> None:
        """Record that the request numbered *run* has ended."""
        if self._running.pop(run, None) is not None and self._released < self.adopted:
            self._update_released()

    def is_permit_valid(self, permit: Permit, now: float) -> bool:
        """Return whether *permit* is still valid at *now*.

        A pooled request needs no exclusive owner, so the lease matters at its admission only.
        """
        return permit.end == 0 or (permit.term == self._lease.term and self._lease.held(now))

    def lapsed_runs(self, now: float) -> list[int]:
        """Return the numbers of the running requests whose permits are no longer valid."""
        return [
            run for run, permit in self._running.items() if not self.is_permit_valid(permit, now)
        ]

    def _has_lost_shard(self, permit: Permit) -> bool:
        """Return whether this daemon no longer owns *permit*'s shard at its epoch."""
        shard = self._owned.get(permit.start)
        if shard is not None and shard.epoch == permit.epoch:
            return False
        # A split or merge changes the bounds of a shard but not its owner.
        return not any(
            s.start <= permit.position < s.end and s.epoch == permit.epoch
            for s in self._owned.values()
        )

    def _update_released(self) -> None:
        """Advance the released version if no request runs on a shard that was taken."""
        record = self._record
        if record is None or self._released >= record.version:
            return
        if self._revoked < record.version and self._takes_unreleased(record):
            return
        keyed = (p for p in self._running.values() if p.end)
        if not any(self._has_lost_shard(permit) for permit in keyed):
            self._released = record.version

    def _takes_unreleased(self, record: CellRecord) -> bool:
        """Return whether *record* takes shards from this daemon that it has not released."""
        return record.taken_from.get(self._incarnation, 0) > self._released
