"""Parts of a key map's ranges that can change hands, and the map that they make up.

A range is cut where its load is, one key is never cut. Pieces change their owners while a
plan is made; the next map has them as ranges again, with the former owners named. No I/O.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from pearward_state.eras import next_number
from pearward_state.keymap import KeyMap, KeyRange, Predecessor, covered

from .grants import HeldRow
from .key_load import KeyRate

__all__ = [
    "KeyOwner",
    "Piece",
    "cut_pieces",
    "map_of_pieces",
    "merged",
    "rates_by_owner",
    "split_large",
    "split_piece",
]


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """A target that can own keys."""

    target: str
    capacity: float
    """Requests a second that it can run: slots over mean time of one."""
    confirmed: tuple[HeldRow, ...] = ()
    """Keys that it was granted, by a map of the present era of the store."""
    reported: bool = False
    """Whether it has reported by such a map."""

    def was_granted(self, key_range: KeyRange) -> bool:
        """Return whether the target holds, or held, a range under its present fence."""
        spans = ((c.first, c.last) for c in self.confirmed if c.fence == key_range.fence)
        return covered(key_range.first, key_range.last, spans)


@dataclass(slots=True)
class Piece:
    """Part of a range that can change hands."""

    range: KeyRange
    first: int
    last: int
    rate: float
    owner: str


def cut_pieces(
    key_map: KeyMap, rates: Sequence[KeyRate], least: float, most_pieces: int
) -> list[Piece]:
    """Cut all ranges into pieces of about *least* requests a second; one key is never cut.

    Pieces of an owner with very many requests are larger, so that a few moves help it.
    """
    by_owner = rates_by_owner(key_map, rates)
    pieces: list[Piece] = []
    at = 0
    for r in key_map.ranges:
        most = max(least, by_owner[r.owner] / most_pieces)
        start, rate = r.first, 0.0
        while at < len(rates) and rates[at].key <= r.last:
            row = rates[at]
            if rate > 0.0 and rate + row.rate > most:
                pieces.append(Piece(r, start, row.key - 1, rate, r.owner))
                start, rate = row.key, 0.0
            rate += row.rate
            at += 1
        pieces.append(Piece(r, start, r.last, rate, r.owner))
    return pieces


def rates_by_owner(key_map: KeyMap, rates: Sequence[KeyRate]) -> dict[str, float]:
    """Return the requests a second for the keys of each owner."""
    result = {r.owner: 0.0 for r in key_map.ranges}
    at = 0
    for r in key_map.ranges:
        while at < len(rates) and rates[at].key <= r.last:
            result[r.owner] += rates[at].rate
            at += 1
    return result


def split_large(orphans: list[Piece], pieces: list[Piece], parts: int) -> list[Piece]:
    """Cut pieces without a measured load so that several targets can share them."""
    result: list[Piece] = []
    for piece in orphans:
        size = piece.last - piece.first + 1
        count = min(parts, size // 256) if piece.rate == 0.0 else 1
        if count <= 1:
            result.append(piece)
            continue
        pieces.remove(piece)
        step = -(-size // count)
        for first in range(piece.first, piece.last + 1, step):
            last = min(first + step - 1, piece.last)
            part = Piece(piece.range, first, last, 0.0, piece.owner)
            pieces.append(part)
            result.append(part)
    pieces.sort(key=lambda p: p.first)
    return result


def split_piece(pieces: list[Piece], piece: Piece, size: int) -> None:
    """Cut a piece without load after *size* keys; the rest becomes a piece of its own."""
    if not 0 < size < piece.last - piece.first + 1:
        return
    rest = Piece(piece.range, piece.first + size, piece.last, 0.0, piece.owner)
    piece.last = piece.first + size - 1
    pieces.insert(pieces.index(piece) + 1, rest)


def map_of_pieces(
    key_map: KeyMap,
    pieces: list[Piece],
    by_target: Mapping[str, KeyOwner],
    ended: frozenset[str],
) -> KeyMap:
    """Return the next version with the pieces' owners."""
    # One above the map's own would be a fence that was given before, where the store lost that.
    fence = next_number(key_map.fence, key_map.era)
    ranges: list[KeyRange] = []
    for piece in pieces:
        old = piece.range
        if piece.owner == old.owner:
            kept = tuple(p for p in old.predecessors if p.target not in ended)
            ranges.append(replace(old, first=piece.first, last=piece.last, predecessors=kept))
            continue
        before = _predecessors(old, by_target, ended)
        ranges.append(KeyRange(piece.first, piece.last, piece.owner, fence, before))
    return replace(key_map, version=key_map.version + 1, ranges=merged(tuple(ranges)), fence=fence)


def _predecessors(
    old: KeyRange, by_target: Mapping[str, KeyOwner], ended: frozenset[str]
) -> tuple[Predecessor, ...]:
    """Return who may still hold keys of a range that changes hands."""
    owner = by_target.get(old.owner)
    begun = owner is not None and owner.was_granted(old)
    # An owner that was granted the range shows that all before it had let go.
    before = () if begun else old.predecessors
    if old.owner:
        before = (*before, Predecessor(old.owner, old.fence))
    return tuple(p for p in before if p.target not in ended)


def merged(ranges: Sequence[KeyRange]) -> tuple[KeyRange, ...]:
    """Join neighbours that differ in nothing but their keys."""
    result: list[KeyRange] = []
    for r in ranges:
        last = result[-1] if result else None
        if last is not None and (last.owner, last.fence, last.predecessors) == (
            r.owner, r.fence, r.predecessors,
        ):  # fmt: skip
            result[-1] = replace(last, last=r.last)
        else:
            result.append(r)
    return tuple(result)
