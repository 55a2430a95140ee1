"""Decide when keys may be granted again after the store was restored from an older copy.

The store may have lost key maps that daemons still use, and a planner that started since then
cannot know which targets these maps assigned keys to. The first map of a new era is therefore
unsettled: targets that held keys without interruption keep them, and no other grants are made. The
map is settled once no lease granted under a map of an earlier era can still run: so many instances
have confirmed this that the others form no majority of any witness set.

Ranges that no target kept may have lower fences than a lost map has issued, so their owners are
granted them under fences of the new era. No I/O and no clock.
"""

from collections.abc import Sequence
from dataclasses import replace

from pearward_state.eras import era_of, next_number
from pearward_state.keymap import KeyMap, KeyRange

from .key_segments import KeyOwner
from .lease import majority

__all__ = ["FormerLeases", "has_old_fences", "settled", "with_new_fences"]


class FormerLeases:
    """Instances that have confirmed the end of all leases under maps of earlier eras."""

    def __init__(self) -> None:
        self._era = 0
        self._ended: set[str] = set()

    def note_ended_at(self, instance: str, version: int) -> None:
        """Record an instance's confirmation for the era of *version*, unless that era is past."""
        self._note_era(era_of(version))
        if era_of(version) == self._era:
            self._ended.add(instance)

    def unconfirmed(self, key_map: KeyMap, instances: frozenset[str]) -> frozenset[str]:
        """Return the instances without a confirmation for the era of a map."""
        self._note_era(key_map.era)
        return instances - self._ended

    def have_ended(self, key_map: KeyMap, instances: frozenset[str]) -> bool:
        """Return whether the unconfirmed instances form no majority of any witness set."""
        missing = len(self.unconfirmed(key_map, instances))
        sizes = [len(names) for row in key_map.witnesses for names in row.sets]
        return missing < majority(min(sizes, default=0))

    def _note_era(self, era: int) -> None:
        if era > self._era:
            self._era = era
            self._ended.clear()


def settled(key_map: KeyMap, owners: Sequence[KeyOwner]) -> KeyMap:
    """Return the next version of the map, in which no target can hold keys under a lost map."""
    now_settled = replace(key_map, version=key_map.version + 1, unsettled=False)
    fenced = with_new_fences(now_settled, owners)
    return replace(fenced or now_settled, version=now_settled.version)


def has_old_fences(key_map: KeyMap) -> bool:
    """Return whether a range has a fence of an earlier era than the map's."""
    return any(era_of(r.fence) < key_map.era for r in key_map.ranges)


def with_new_fences(key_map: KeyMap, owners: Sequence[KeyOwner]) -> KeyMap | None:
    """Return the next version of a settled map, or None if no fence has to change.

    A range with a fence of an earlier era gets one of the present era if its owner has reported
    under a map of this era and did not keep the range.
    """
    reported = {owner.target: owner for owner in owners if owner.reported}
    fence = next_number(key_map.fence, key_map.era)

    def needs_fence(r: KeyRange) -> bool:
        owner = reported.get(r.owner)
        return era_of(r.fence) < key_map.era and owner is not None and not owner.was_granted(r)

    if key_map.unsettled:
        return None
    ranges = tuple(
        # Earlier holders have released these keys, as all grants of earlier eras have expired.
        replace(r, fence=fence, predecessors=()) if needs_fence(r) else r
        for r in key_map.ranges
    )
    if ranges == key_map.ranges:
        return None
    return replace(key_map, version=key_map.version + 1, fence=fence, ranges=ranges)
