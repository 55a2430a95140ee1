"""The record that no longer waits for an owner that has given its shards up. No I/O."""

from dataclasses import replace

from pearward_state.records import CellRecord

__all__ = ["awaited_release", "without_release_of"]


def awaited_release(record: CellRecord, incarnation: str) -> int:
    """Return the version that an earlier owner's release is awaited for; 0 for none."""
    return record.taken_from.get(incarnation, 0)


def without_release_of(
    record: CellRecord, incarnation: str, released: int, write_id: str
) -> CellRecord | None:
    """Return the record to follow once *incarnation* has given up what *released* took.

    It is the owner's own word, as peers get it by a message: no request of its runs on those
    shards, and its server knows. None where the record waits for nothing of that.
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
