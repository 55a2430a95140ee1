"""When keys may be given out again after the store has gone back to an older copy.

The store may have lost key maps that daemons still act on, and a planner that was started since
does not know whom they gave keys to. The first map of a new era is therefore unsettled: whoever
held keys all along goes on with them, and nobody is granted any others. It is settled once no
lease can run that was granted by a map of an earlier era: as many instances have said so that
those which have not make up no majority of any witness set.

Of the ranges that nobody went on with, the fences may be lower than some that a lost map gave
out; so their owners begin them under fences of the new era. No I/O and no clock.
"""

from collections.abc import Sequence
from dataclasses import replace

from pearward_state.eras import era_of, next_number
from pearward_state.keymap import KeyMap, KeyRange

from .key_pieces import KeyOwner
from .lease import majority

__all__ = ["FormerLeases", "fenced_anew", "has_former_fences", "settled"]


class FormerLeases:
    """Which instances have said that no lease runs there by a map of an earlier era."""

    def __init__(self) -> None:
        self._era = 0
        self._over: set[str] = set()

    def over_at(self, instance: str, version: int) -> None:
        """An instance says so for the era of a version; an answer of an earlier era is late."""
        self._note_era(era_of(version))
        if era_of(version) == self._era:
            self._over.add(instance)

    def waits_for(self, key_map: KeyMap, instances: frozenset[str]) -> frozenset[str]:
        """Return the instances that have not said so, in the era of a map."""
        self._note_era(key_map.era)
        return instances - self._over

    def are_over(self, key_map: KeyMap, instances: frozenset[str]) -> bool:
        """Return whether those that have not said so make up no majority of a witness set."""
        missing = len(self.waits_for(key_map, instances))
        sizes = [len(names) for row in key_map.witnesses for names in row.sets]
        return missing < majority(min(sizes, default=0))

    def _note_era(self, era: int) -> None:
        if era > self._era:
            self._era = era
            self._over.clear()


def settled(key_map: KeyMap, owners: Sequence[KeyOwner]) -> KeyMap:
    """Return the next version, in which nobody can hold keys by a lost map any more."""
    now_settled = replace(key_map, version=key_map.version + 1, unsettled=False)
    fenced = fenced_anew(now_settled, owners)
    return replace(fenced or now_settled, version=now_settled.version)


def has_former_fences(key_map: KeyMap) -> bool:
    """Return whether a range has a fence of an earlier era than the map's."""
    return any(era_of(r.fence) < key_map.era for r in key_map.ranges)


def fenced_anew(key_map: KeyMap, owners: Sequence[KeyOwner]) -> KeyMap | None:
    """Return the next version of a settled map, or None where each range can be held.

    A range with a fence of an earlier era gets one of the present era where its owner has
    reported by a map of this era and did not go on with it.
    """
    reported = {owner.target: owner for owner in owners if owner.reported}
    fence = next_number(key_map.fence, key_map.era)

    def rests(r: KeyRange) -> bool:
        owner = reported.get(r.owner)
        return era_of(r.fence) < key_map.era and owner is not None and not owner.was_granted(r)

    if key_map.unsettled:
        return None
    ranges = tuple(
        # Whoever held these keys before has let them go: what earlier eras granted is over.
        replace(r, fence=fence, predecessors=()) if rests(r) else r
        for r in key_map.ranges
    )
    if ranges == key_map.ranges:
        return None
    return replace(key_map, version=key_map.version + 1, fence=fence, ranges=ranges)
