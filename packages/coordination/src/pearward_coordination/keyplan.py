"""Which target is to own which keys: sizing by measured load, moving as little as helps.

Works on whole key maps: from the present map, the targets that can own keys, and the
load that their daemons measured, it makes the next map, or none where nothing is gained.
No I/O; the caller writes the result by compare-and-swap.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from pearward_state.eras import next_number
from pearward_state.keymap import KEY_SPACE, KeyMap, KeyRange

from .key_load import KeyRate
from .key_pieces import (
    KeyOwner,
    Piece,
    cut_pieces,
    map_of_pieces,
    merged,
    rates_by_owner,
    split_large,
    split_piece,
)

__all__ = [
    "PlanLimits",
    "PlannedLoad",
    "first_map",
    "has_surged",
    "plan_moves",
    "without_targets",
]


@dataclass(frozen=True, slots=True)
class PlannedLoad:
    """Requests a second by key, and for how many seconds they were seen."""

    rates: tuple[KeyRate, ...] = ()
    seen_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PlanLimits:
    """When a move is worth what it costs: the keys rest for some tenths of a second."""

    tolerance: float = 0.15
    """Utilisation above the mean that is put up with; a queue forms well above 0.85."""
    idle: float = 0.5
    """Utilisation under which no imbalance is worth a move: hardly anybody waits there."""
    certainty: float = 2.0
    """Standard deviations by which an owner's count must be over its share: a few requests
    more than usual are chance, and each move costs the keys a pause."""
    moves: int = 24
    """Pieces that change hands in one plan, at most; more where there are many owners."""
    moves_per_owner: int = 4
    """The same for each owner: a hot owner's load is to be spread over all others at once."""
    pieces: int = 24
    """Pieces that an owner's share of the load is cut into."""
    most_pieces: int = 128
    """Pieces that one owner's load is cut into, at most, however much it is."""
    too_much: float = 1.25
    """What one key asks for, over its owner's capacity, from which a faster owner is sought:
    it rests for half a second, which a hot time of some four seconds has to make up for."""
    surge: float = 1.5
    """An owner's recent load over its usual one from which the usual one tells nothing."""
    surge_certainty: float = 4.0
    """Standard deviations by which it must be more: every owner is looked at five times a
    second, and a false alarm costs what was known of all owners' load."""
    heavy_keys: int = 4
    """Keys that are looked at for that, at most: hot ones follow one another in seconds."""
    faster: float = 1.3
    """How much more that owner must be able to run; speeds are known to a tenth."""


def first_map(service: str, owners: Sequence[KeyOwner], era: int = 0) -> KeyMap:
    """Return the first map: consecutive keys by capacity, numbered in an era of the store."""
    number = next_number(0, era)
    ranges = _dealt(0, KEY_SPACE - 1, owners, fence=number)
    return KeyMap(service, number, tuple(ranges), number)


def _dealt(first: int, last: int, owners: Sequence[KeyOwner], fence: int) -> list[KeyRange]:
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
    """Return the map without the ended predecessors that nobody needs to wait for."""
    gone = frozenset(ended)
    if not any(p.target in gone for r in key_map.ranges for p in r.predecessors):
        return None
    ranges = tuple(
        replace(r, predecessors=tuple(p for p in r.predecessors if p.target not in gone))
        for r in key_map.ranges
    )
    return replace(key_map, version=key_map.version + 1, ranges=merged(ranges))


def plan_moves(
    key_map: KeyMap,
    owners: Sequence[KeyOwner],
    load: PlannedLoad,
    ended: frozenset[str],
    limits: PlanLimits,
    fixed: frozenset[str] = frozenset(),
) -> KeyMap | None:
    """Return the next map, or None where the present one is good enough.

    Keys of a target that is not among *owners* go to those that have room, whatever the
    limits say. *ended* names targets that surely hold nothing any more, *fixed* those
    that keep what they have and get nothing.
    """
    if not owners:
        return None
    by_target = {owner.target: owner for owner in owners}
    least = sum(row.rate for row in load.rates) / (len(owners) * limits.pieces)
    pieces = cut_pieces(key_map, load.rates, least, limits.most_pieces)
    rates = {owner.target: 0.0 for owner in owners}
    for piece in pieces:
        if piece.owner in rates:
            rates[piece.owner] += piece.rate
    moved = _place_orphans(pieces, by_target, rates, fixed)
    moved = _place_heaviest(pieces, by_target, rates, limits) or moved
    moved = _level(pieces, by_target, rates, load.seen_s, limits) or moved
    moved = _give_newcomers(pieces, by_target, rates) or moved
    if not moved:
        return None
    return map_of_pieces(key_map, pieces, by_target, ended)


def has_surged(
    key_map: KeyMap, recent: PlannedLoad, usual: PlannedLoad, limits: PlanLimits
) -> bool:
    """Return whether some owner's recent load is surely far above its usual one."""
    before = rates_by_owner(key_map, usual.rates)
    for owner, rate in rates_by_owner(key_map, recent.rates).items():
        excess = (rate - before[owner]) * recent.seen_s
        certain = excess > limits.surge_certainty * float((rate * recent.seen_s) ** 0.5)
        if certain and rate > before[owner] * limits.surge:
            return True
    return False


def _utilisation(target: str, by_target: Mapping[str, KeyOwner], rates: dict[str, float]) -> float:
    return rates[target] / max(by_target[target].capacity, 1e-6)


def _place_orphans(
    pieces: list[Piece],
    by_target: Mapping[str, KeyOwner],
    rates: dict[str, float],
    fixed: frozenset[str],
) -> bool:
    """Give the keys of targets that cannot own any more to the least used ones."""
    orphans = [p for p in pieces if p.owner not in by_target and p.owner not in fixed]
    if not orphans:
        return False
    # Where nothing was measured, keys stand for load, at the others' mean rate a key.
    known = sum(p.rate for p in pieces)
    keys = sum(p.last - p.first + 1 for p in pieces if p.owner in by_target) or KEY_SPACE
    a_key = max(known, 1.0) / keys
    for piece in split_large(orphans, pieces, len(by_target)):
        if piece.rate == 0.0:
            piece.rate = a_key * (piece.last - piece.first + 1)
        target = min(
            by_target,
            key=lambda t: (rates[t] + piece.rate) / max(by_target[t].capacity, 1e-6),
        )
        piece.owner = target
        rates[target] += piece.rate
    return True


def _place_heaviest(
    pieces: list[Piece],
    by_target: Mapping[str, KeyOwner],
    rates: dict[str, float],
    limits: PlanLimits,
) -> bool:
    """Give keys that ask for more than their owners can run to the fastest owners.

    A key cannot be shared, so nothing else helps it; what the fastest owners had goes
    elsewhere when the rest is levelled. The heaviest keys choose first, each an owner of
    its own: one that has cooled down may still look heavier than one that is hot now.
    """
    heavy = [
        piece
        for piece in pieces
        if piece.owner in by_target
        and piece.rate > by_target[piece.owner].capacity * limits.too_much
    ]
    heavy.sort(key=lambda piece: -piece.rate)
    free = dict(by_target)
    moved = False
    for piece in heavy[: limits.heavy_keys]:
        fastest = max(free.values(), key=lambda o: o.capacity)
        present = free.get(piece.owner)
        if present is not None and fastest.capacity < present.capacity * limits.faster:
            fastest = present
        del free[fastest.target]
        if fastest.target != piece.owner:
            rates[piece.owner] -= piece.rate
            rates[fastest.target] += piece.rate
            piece.owner = fastest.target
            moved = True
        if not free:
            break
    return moved


def _level(
    pieces: list[Piece],
    by_target: Mapping[str, KeyOwner],
    rates: dict[str, float],
    seen_s: float,
    limits: PlanLimits,
) -> bool:
    """Move pieces from the busiest targets to the least used ones; return whether any moved."""
    mean = sum(rates.values()) / max(sum(o.capacity for o in by_target.values()), 1e-6)

    def used(target: str) -> float:
        return _utilisation(target, by_target, rates)

    def uneven(target: str) -> bool:
        """Whether a target has surely more than its share, and so much that others wait."""
        if used(target) <= max(mean + limits.tolerance, limits.idle):
            return False
        excess = (rates[target] - mean * by_target[target].capacity) * seen_s
        return excess > limits.certainty * float((rates[target] * seen_s) ** 0.5)

    donors = {target for target in rates if uneven(target)}
    if not donors:
        return False
    by_owner: dict[str, list[Piece]] = {target: [] for target in by_target}
    for piece in pieces:
        if piece.owner in by_owner:
            by_owner[piece.owner].append(piece)
    for own in by_owner.values():
        own.sort(key=lambda p: -p.rate)
    moved = 0
    most_moves = max(limits.moves, limits.moves_per_owner * len(by_target))
    while moved < most_moves and donors:
        busiest = max(donors, key=used)
        idlest = min(rates, key=used)
        excess = rates[busiest] - mean * by_target[busiest].capacity
        room = mean * by_target[idlest].capacity - rates[idlest]
        if used(busiest) - mean <= limits.tolerance / 3:
            donors.discard(busiest)
            continue
        fitting = _best_fit(by_owner[busiest], min(excess, room))
        if fitting is None:
            # What it has left are keys that are too heavy for anybody.
            donors.discard(busiest)
            continue
        by_owner[busiest].remove(fitting)
        by_owner[idlest].append(fitting)
        fitting.owner = idlest
        rates[busiest] -= fitting.rate
        rates[idlest] += fitting.rate
        moved += 1
    return moved > 0


def _give_newcomers(
    pieces: list[Piece], by_target: Mapping[str, KeyOwner], rates: dict[str, float]
) -> bool:
    """Give a share of the keys to each owner that has none, however small the load is."""
    owning = {piece.owner for piece in pieces}
    newcomers = [target for target in by_target if target not in owning]
    for target in newcomers:
        _give_share(pieces, by_target, rates, target)
    return bool(newcomers)


def _give_share(
    pieces: list[Piece],
    by_target: Mapping[str, KeyOwner],
    rates: dict[str, float],
    target: str,
) -> None:
    """Move about its part of keys, or of the load, from the owner with the most keys."""
    keys = dict.fromkeys(by_target, 0)
    for piece in pieces:
        if piece.owner in keys:
            keys[piece.owner] += piece.last - piece.first + 1
    donor = max(keys, key=lambda t: keys[t])
    wanted_keys = min(KEY_SPACE // len(by_target), keys[donor] // 2)
    share = sum(rates.values()) / len(by_target)
    wanted_rate = min(share, rates[donor] / 2, by_target[target].capacity)
    got_keys, got_rate = 0, 0.0
    for piece in [p for p in pieces if p.owner == donor]:
        size = piece.last - piece.first + 1
        if got_keys + size > wanted_keys and piece.rate == 0.0:
            size = wanted_keys - got_keys
            split_piece(pieces, piece, size)
        if size <= 0 or got_rate + piece.rate > wanted_rate + 1e-9:
            break
        piece.owner = target
        got_keys += size
        got_rate += piece.rate
        rates[donor] -= piece.rate
        rates[target] += piece.rate
        if got_keys >= wanted_keys:
            break


def _best_fit(own: list[Piece], amount: float) -> Piece | None:
    """Return the heaviest piece that does not turn the imbalance round."""
    for piece in own:
        if 0.0 < piece.rate <= amount * 1.15:
            return piece
    return None
