"""Plan which target owns which keys, by measured load and with few moves.

Works on whole key maps: from the present map, the targets that can own keys, and the load that
their daemons measured, it computes the next map, or none if a new map would gain nothing. No I/O;
the caller writes the result by compare-and-swap.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from pearward_state.eras import next_number
from pearward_state.keymap import KEY_SPACE, KeyMap, KeyRange

from .key_load import KeyRate
from .key_segments import (
    KeyOwner,
    Segment,
    cut_segments,
    map_of_segments,
    merged,
    rates_by_owner,
    split_large,
    split_segment,
)
from .mass_loss import LossDecision

__all__ = [
    "PlanLimits",
    "PlannedLoad",
    "first_map",
    "has_surged",
    "move_to_successors",
    "plan_moves",
    "planned_capacity",
    "without_targets",
]

MIN_RELATIVE_SPEED, MAX_RELATIVE_SPEED = 0.4, 2.5
"""Range of a target's speed relative to the mean of its service; measured speeds are clamped to
it. Real targets run at 0.6 to 1.6, and slow ones at less for some seconds."""


@dataclass(frozen=True, slots=True)
class PlannedLoad:
    """Requests per second by key, and the seconds of observation behind them."""

    rates: tuple[KeyRate, ...] = ()
    observed_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PlanLimits:
    """Thresholds for moving keys; a moved key is not served for some tenths of a second."""

    tolerance: float = 0.15
    """Tolerated utilisation above the mean; queues form well above a utilisation of 0.85."""
    idle_utilisation: float = 0.5
    """Utilisation below which an imbalance does not justify a move, as hardly any request waits."""
    significance: float = 2.0
    """Standard deviations by which an owner's request count must exceed its share: a small excess
    is random variation, and each move interrupts service for the keys."""
    moves: int = 24
    """Maximum number of segments that change owner in one plan; more if there are many owners."""
    moves_per_owner: int = 4
    """The same limit per owner: a hot owner's load has to spread over all others in one plan."""
    segments: int = 24
    """Number of segments that an owner's share of the load is cut into."""
    max_segments: int = 128
    """Maximum number of segments that one owner's load is cut into, however high the load is."""
    overload_ratio: float = 1.25
    """Ratio of one key's request rate to its owner's capacity above which a faster owner is sought.
    The move interrupts service for half a second, which has to pay off within a hot period of about
    four seconds."""
    surge: float = 1.5
    """Ratio of an owner's recent load to its usual load above which the usual load is
    disregarded."""
    surge_significance: float = 4.0
    """Standard deviations by which the recent load must be higher: every owner is checked five
    times a second, and a false alarm discards the load history of all owners."""
    heavy_keys: int = 4
    """Maximum number of overloaded keys considered per plan: hot keys follow one another within
    seconds."""
    min_speedup: float = 1.3
    """Minimum ratio of the new owner's capacity to the present one's; capacities are accurate to a
    tenth."""


def planned_capacity(capacity: float, mean: float, *, limited: bool) -> float:
    """Return the requests per second to plan with for an owner that reports *capacity*.

    A measured speed is clamped to a range about the *mean* of the service. A rate limit is exact:
    an owner with one gets keys for no more than it allows, and the others take over the rest.
    """
    least = 0.0 if limited else mean * MIN_RELATIVE_SPEED
    return min(max(capacity, least), mean * MAX_RELATIVE_SPEED)


def first_map(service: str, owners: Sequence[KeyOwner], era: int = 0) -> KeyMap:
    """Return the first map: consecutive keys by capacity, numbered in an era of the store."""
    number = next_number(0, era)
    ranges = _divide_by_capacity(0, KEY_SPACE - 1, owners, fence=number)
    return KeyMap(service, number, tuple(ranges), number)


def _divide_by_capacity(
    first: int, last: int, owners: Sequence[KeyOwner], fence: int
) -> list[KeyRange]:
    """Divide consecutive keys among *owners* by capacity."""
    total = sum(o.capacity for o in owners) or 1.0
    ranges: list[KeyRange] = []
    start = first
    taken = 0.0
    for number, owner in enumerate(owners):
        taken += owner.capacity
        end = first + round((last - first + 1) * taken / total) - 1
        if number == len(owners) - 1:
            end = last
        if end >= start:
            ranges.append(KeyRange(start, end, owner.target, fence))
            start = end + 1
    return ranges


def without_targets(key_map: KeyMap, ended: Iterable[str]) -> KeyMap | None:
    """Return the map without predecessors that have ended, or None if it has none of them."""
    removed = frozenset(ended)
    if not any(p.target in removed for r in key_map.ranges for p in r.predecessors):
        return None
    ranges = tuple(
        replace(r, predecessors=tuple(p for p in r.predecessors if p.target not in removed))
        for r in key_map.ranges
    )
    return replace(key_map, version=key_map.version + 1, ranges=merged(ranges))


def move_to_successors(
    key_map: KeyMap,
    decision: LossDecision,
    owners: Sequence[KeyOwner],
    ended: frozenset[str],
) -> KeyMap | None:
    """Return the map with all keys of lost owners at their successors, or None without a change.

    No other keys move, whatever their load.
    """
    by_target = {owner.target: owner for owner in owners}
    segments = [Segment(r, r.first, r.last, 0.0, r.owner) for r in key_map.ranges]
    moved = False
    for segment in segments:
        successor = decision.successors.get(segment.owner, "")
        if successor in by_target:
            segment.owner = successor
            moved = True
    return map_of_segments(key_map, segments, by_target, ended) if moved else None


def plan_moves(
    key_map: KeyMap,
    owners: Sequence[KeyOwner],
    load: PlannedLoad,
    ended: frozenset[str],
    limits: PlanLimits,
    fixed: frozenset[str] = frozenset(),
) -> KeyMap | None:
    """Return the next map, or None if the present one is good enough.

    Keys of a target that is not among *owners* go to owners with free capacity, regardless of the
    limits. *ended* names targets that certainly hold nothing any more, *fixed* targets that keep
    their keys and receive none.
    """
    if not owners:
        return None
    by_target = {owner.target: owner for owner in owners}
    min_rate = sum(row.rate for row in load.rates) / (len(owners) * limits.segments)
    segments = cut_segments(key_map, load.rates, min_rate, limits.max_segments)
    rates = {owner.target: 0.0 for owner in owners}
    for segment in segments:
        if segment.owner in rates:
            rates[segment.owner] += segment.rate
    moved = _place_unowned(segments, by_target, rates, fixed)
    moved = _place_heaviest(segments, by_target, rates, limits) or moved
    moved = _level_load(segments, by_target, rates, load.observed_s, limits) or moved
    moved = _give_new_targets(segments, by_target, rates) or moved
    if not moved:
        return None
    return map_of_segments(key_map, segments, by_target, ended)


def has_surged(
    key_map: KeyMap, recent: PlannedLoad, usual: PlannedLoad, limits: PlanLimits
) -> bool:
    """Return whether some owner's recent load is significantly above its usual load."""
    before = rates_by_owner(key_map, usual.rates)
    for owner, rate in rates_by_owner(key_map, recent.rates).items():
        excess = (rate - before[owner]) * recent.observed_s
        certain = excess > limits.surge_significance * float((rate * recent.observed_s) ** 0.5)
        if certain and rate > before[owner] * limits.surge:
            return True
    return False


def _utilisation(target: str, by_target: Mapping[str, KeyOwner], rates: dict[str, float]) -> float:
    return rates[target] / max(by_target[target].capacity, 1e-6)


def _place_unowned(
    segments: list[Segment],
    by_target: Mapping[str, KeyOwner],
    rates: dict[str, float],
    fixed: frozenset[str],
) -> bool:
    """Assign the keys of targets that can no longer own any to the least used targets."""
    unowned = [p for p in segments if p.owner not in by_target and p.owner not in fixed]
    if not unowned:
        return False
    # Without measurements the number of keys stands for load, at the mean rate of other keys.
    known = sum(p.rate for p in segments)
    keys = sum(p.last - p.first + 1 for p in segments if p.owner in by_target) or KEY_SPACE
    rate_per_key = max(known, 1.0) / keys
    for segment in split_large(unowned, segments, len(by_target)):
        if segment.rate == 0.0:
            segment.rate = rate_per_key * (segment.last - segment.first + 1)
        target = min(
            by_target,
            key=lambda t: (rates[t] + segment.rate) / max(by_target[t].capacity, 1e-6),
        )
        segment.owner = target
        rates[target] += segment.rate
    return True


def _place_heaviest(
    segments: list[Segment],
    by_target: Mapping[str, KeyOwner],
    rates: dict[str, float],
    limits: PlanLimits,
) -> bool:
    """Move keys whose request rate exceeds their owner's capacity to the fastest owners.

    A key cannot be shared, so only a faster owner can serve it; the remaining load of that owner is
    levelled afterwards. The heaviest keys are placed first, each at an owner of its own, because a
    key that has cooled down may still appear heavier than one that is hot now.
    """
    heavy = [
        segment
        for segment in segments
        if segment.owner in by_target
        and segment.rate > by_target[segment.owner].capacity * limits.overload_ratio
    ]
    heavy.sort(key=lambda segment: -segment.rate)
    free = dict(by_target)
    moved = False
    for segment in heavy[: limits.heavy_keys]:
        fastest = max(free.values(), key=lambda o: o.capacity)
        present = free.get(segment.owner)
        if present is not None and fastest.capacity < present.capacity * limits.min_speedup:
            fastest = present
        del free[fastest.target]
        if fastest.target != segment.owner:
            rates[segment.owner] -= segment.rate
            rates[fastest.target] += segment.rate
            segment.owner = fastest.target
            moved = True
        if not free:
            break
    return moved


def _level_load(
    segments: list[Segment],
    by_target: Mapping[str, KeyOwner],
    rates: dict[str, float],
    observed_s: float,
    limits: PlanLimits,
) -> bool:
    """Move segments from the busiest to the least used targets; return whether any moved."""
    mean = sum(rates.values()) / max(sum(o.capacity for o in by_target.values()), 1e-6)

    def used(target: str) -> float:
        return _utilisation(target, by_target, rates)

    def is_overloaded(target: str) -> bool:
        """Return whether a target's excess load is significant and causes queueing."""
        if used(target) <= max(mean + limits.tolerance, limits.idle_utilisation):
            return False
        excess = (rates[target] - mean * by_target[target].capacity) * observed_s
        return excess > limits.significance * float((rates[target] * observed_s) ** 0.5)

    donors = {target for target in rates if is_overloaded(target)}
    if not donors:
        return False
    by_owner: dict[str, list[Segment]] = {target: [] for target in by_target}
    for segment in segments:
        if segment.owner in by_owner:
            by_owner[segment.owner].append(segment)
    for segments_owned in by_owner.values():
        segments_owned.sort(key=lambda p: -p.rate)
    moved = 0
    most_moves = max(limits.moves, limits.moves_per_owner * len(by_target))
    while moved < most_moves and donors:
        busiest = max(donors, key=used)
        least_used = min(rates, key=used)
        excess = rates[busiest] - mean * by_target[busiest].capacity
        spare_rate = mean * by_target[least_used].capacity - rates[least_used]
        if used(busiest) - mean <= limits.tolerance / 3:
            donors.discard(busiest)
            continue
        fitting = _best_fit(by_owner[busiest], min(excess, spare_rate))
        if fitting is None:
            # The remaining keys of this owner are too heavy for any other.
            donors.discard(busiest)
            continue
        by_owner[busiest].remove(fitting)
        by_owner[least_used].append(fitting)
        fitting.owner = least_used
        rates[busiest] -= fitting.rate
        rates[least_used] += fitting.rate
        moved += 1
    return moved > 0


def _give_new_targets(
    segments: list[Segment], by_target: Mapping[str, KeyOwner], rates: dict[str, float]
) -> bool:
    """Give a share of the keys to each owner that has none, however small the load is."""
    owning = {segment.owner for segment in segments}
    new_targets = [target for target in by_target if target not in owning]
    for target in new_targets:
        _give_share(segments, by_target, rates, target)
    return bool(new_targets)


def _give_share(
    segments: list[Segment],
    by_target: Mapping[str, KeyOwner],
    rates: dict[str, float],
    target: str,
) -> None:
    """Move a fair share of keys or load to *target* from the owner with the most keys."""
    keys = dict.fromkeys(by_target, 0)
    for segment in segments:
        if segment.owner in keys:
            keys[segment.owner] += segment.last - segment.first + 1
    donor = max(keys, key=lambda t: keys[t])
    wanted_keys = min(KEY_SPACE // len(by_target), keys[donor] // 2)
    share = sum(rates.values()) / len(by_target)
    wanted_rate = min(share, rates[donor] / 2, by_target[target].capacity)
    got_keys, got_rate = 0, 0.0
    for segment in [p for p in segments if p.owner == donor]:
        size = segment.last - segment.first + 1
        if got_keys + size > wanted_keys and segment.rate == 0.0:
            size = wanted_keys - got_keys
            split_segment(segments, segment, size)
        if size <= 0 or got_rate + segment.rate > wanted_rate + 1e-9:
            break
        segment.owner = target
        got_keys += size
        got_rate += segment.rate
        rates[donor] -= segment.rate
        rates[target] += segment.rate
        if got_keys >= wanted_keys:
            break


def _best_fit(segments_owned: list[Segment], amount: float) -> Segment | None:
    """Return the heaviest segment that does not reverse the imbalance."""
    for segment in segments_owned:
        if 0.0 < segment.rate <= amount * 1.15:
            return segment
    return None
