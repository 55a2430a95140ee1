"""Which instances time the lease of which target. No I/O."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from zlib import crc32

from pearward_state.keymap import KeyMap, TargetWitnesses

__all__ = ["WitnessCandidate", "choose_witnesses", "with_witnesses"]

MOST_WITNESSES = 5
"""Witnesses of a target where there are enough instances: two may be lost at once."""


@dataclass(frozen=True, slots=True)
class WitnessCandidate:
    """An instance that can be a witness."""

    instance: str
    failure_domain: str


def choose_witnesses(
    target: str, own_instance: str, candidates: Sequence[WitnessCandidate]
) -> tuple[str, ...]:
    """Return an odd number of instances, spread over failure domains and evenly over targets.

    The target's own instance is one only where there is no other: it goes when the target does.
    """
    others = [c for c in candidates if c.instance != own_instance]
    if not others:
        return (own_instance,)
    others.sort(key=lambda c: crc32(f"{target}/{c.instance}".encode()))
    by_domain: dict[str, list[str]] = {}
    for candidate in others:
        by_domain.setdefault(candidate.failure_domain, []).append(candidate.instance)
    turns: list[str] = []
    while len(turns) < len(others):
        turns.extend(names.pop(0) for names in by_domain.values() if names)
    count = min(MOST_WITNESSES, len(turns))
    return tuple(sorted(turns[: count if count % 2 else count - 1]))


def with_witnesses(
    key_map: KeyMap,
    candidates: Sequence[WitnessCandidate],
    instances: Mapping[str, str],
    settled: frozenset[str],
) -> KeyMap:
    """Return the same version with a witness set for each target of the map.

    A set that names an instance which is no candidate any more is replaced; the former one
    stays behind it until the target is in *settled*: its daemon acts on the newer set, and
    what was granted by the former one has run out. *instances* tells where targets run.
    """
    present = {c.instance for c in candidates}
    rows: list[TargetWitnesses] = []
    for target in sorted(key_map.targets):
        sets = key_map.witnesses_of(target)
        if target in settled:
            sets = sets[:1]
        own = instances.get(target)
        if own is not None and (not sets or not present.issuperset(sets[0])):
            chosen = choose_witnesses(target, own, candidates)
            if not sets or chosen != sets[0]:
                sets = (chosen, *sets)
        if sets:
            rows.append(TargetWitnesses(target, sets))
    return replace(key_map, witnesses=tuple(rows))
