"""Decision when a daemon in a planned stop has handed everything over. No I/O."""

from dataclasses import dataclass

from pearward_state.records import CellRecord, Member

from .ownership import Ownership

__all__ = ["PlannedStop"]

MIN_DRAIN_S = 1.0
"""Minimum time in s of draining, in which peers that have no newer record yet may send requests."""
RECORD_WAIT_S = 3.0
"""Time in s for which a daemon that owns nothing waits until the record names its planned stop:
until then a coordinator may give it shards. Coordinators of an earlier version do not write that,
and without the store no record can. The only member of a cell waits as long for a daemon that
joins."""


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A daemon's planned stop."""

    incarnation: str
    started_at: float

    def is_handed_over(self, ownership: Ownership, now: float, *, server_healthy: bool) -> bool:
        """Return whether no shard is left that could be handed over, and none will be given."""
        waited_s = now - self.started_at
        if waited_s < MIN_DRAIN_S:
            return False
        record = ownership.record
        if record is None:
            return True
        member = record.member(self.incarnation)
        if member is None or not _has_successor(record, member):
            return waited_s >= RECORD_WAIT_S
        if not server_healthy:
            return True
        if ownership.shard_count or ownership.released < record.version:
            return False
        return member.stopping or waited_s >= RECORD_WAIT_S


def _has_successor(record: CellRecord, member: Member) -> bool:
    """Return whether *record* has another member."""
    return any(other is not member for other in record.members)
