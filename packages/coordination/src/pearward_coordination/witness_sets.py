"""Choice of the instances that are witnesses of each target's lease. No I/O."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from zlib import crc32

from pearward_state.keymap import KeyMap, TargetWitnesses

__all__ = ["WitnessCandidate", "choose_witnesses", "with_witnesses"]

MAX_WITNESSES = 5
"""Maximum number of witnesses of a target; with five, two may be lost at once."""


@dataclass(frozen=True, slots=True)
class WitnessCandidate:
    """Instance that is eligible as a witness."""

    instance: str
    failure_domain: str


def choose_witnesses(
    target: str, own_instance: str, candidates: Sequence[WitnessCandidate]
) -> tuple[str, ...]:
    """Return an odd number of instances, spread over failure domains and evenly over targets.

    The target's own instance is chosen only if there is no other, since it fails together with
    the target.
    """
    others = [c for c in candidates if c.instance != own_instance]
    if not others:
        return (own_instance,)
    others.sort(key=lambda c: crc32(f"{target}/{c.instance}".encode()))
    by_domain: dict[str, list[str]] = {}
    for candidate in others:
        by_domain.setdefault(candidate.failure_domain, []).append(candidate.instance)
    ordered: list[str] = []
    while len(ordered) < len(others):
        ordered.extend(names.pop(0) for names in by_domain.values() if names)
    count = min(MAX_WITNESSES, len(ordered))
    return tuple(sorted(ordered[: count if count % 2 else count - 1]))


def with_witnesses(
    key_map: KeyMap,
    candidates: Sequence[WitnessCandidate],
    instances: Mapping[str, str],
    settled: frozenset[str],
) -> KeyMap:
    """Return the same version with a witness set for each target of the map.

    A set that names an instance which is no longer a candidate is replaced. The former set stays
    in the row until the target is in *settled*, that is, until its daemon acts on the newer set
    and the grants of the former one have expired. *instances* maps targets to their instances.
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
