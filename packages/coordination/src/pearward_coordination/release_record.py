"""Removal of predecessors that have released their shards from a cell record. No I/O."""

from dataclasses import replace

from pearward_state.records import CellRecord

__all__ = ["awaited_release", "without_release_of"]


def awaited_release(record: CellRecord, incarnation: str) -> int:
    """Return the version for which an earlier owner's release is outstanding; 0 for none."""
    return record.taken_from.get(incarnation, 0)


def without_release_of(
    record: CellRecord, incarnation: str, released: int, write_id: str
) -> CellRecord | None:
    """Return the next record after *incarnation* has released the shards that *released* took.

    This is the owner's own report, equivalent to the Released message to peers: none of its
    requests runs on those shards, and its server has been notified. Return None if the record does
    not wait for this release.
    """
    index = record.by_incarnation.get(incarnation)
    shards = record.shards
    predecessors = {
        start: tuple(
            earlier for earlier in row if earlier != index or shards.find(start).epoch > released
        )
        for start, row in shards.predecessors.items()
    }
    if predecessors == dict(shards.predecessors):
        return None
    kept = {start: row for start, row in predecessors.items() if row}
    return record.next_version(write_id, shards=replace(shards, predecessors=kept))
