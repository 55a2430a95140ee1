"""Segments of a key map's ranges, the units that change owner, and the map built from them.

Ranges are cut by load, but never within one key. A plan assigns owners to segments; the next map
joins them to ranges again and records the former owners as predecessors. No I/O.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from pearward_state.eras import next_number
from pearward_state.keymap import KeyMap, KeyRange, Predecessor, covered

from .grants import HeldRow
from .key_load import KeyRate

__all__ = [
    "KeyOwner",
    "Segment",
    "cut_segments",
    "map_of_segments",
    "merged",
    "rates_by_owner",
    "split_large",
    "split_segment",
]


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """A target that can own keys."""

    target: str
    capacity: float
    """Requests per second that it can run: slots divided by the mean running time."""
    confirmed: tuple[HeldRow, ...] = ()
    """Keys that it was granted under a map of the store's present era."""
    reported: bool = False
    """Whether it has sent a report based on such a map."""

    def was_granted(self, key_range: KeyRange) -> bool:
        """Return whether the target holds, or held, a range under its present fence."""
        spans = ((c.first, c.last) for c in self.confirmed if c.fence == key_range.fence)
        return covered(key_range.first, key_range.last, spans)


@dataclass(slots=True)
class Segment:
    """Part of a range that can change owner as a unit."""

    range: KeyRange
    first: int
    last: int
    rate: float
    owner: str


def cut_segments(
    key_map: KeyMap, rates: Sequence[KeyRate], min_rate: float, max_segments: int
) -> list[Segment]:
    """Cut all ranges into segments of about *min_rate* requests per second, never within one key.

    Segments of an owner with a very high rate are larger, so that a few moves relieve it.
    """
    by_owner = rates_by_owner(key_map, rates)
    segments: list[Segment] = []
    at = 0
    for r in key_map.ranges:
        max_rate = max(min_rate, by_owner[r.owner] / max_segments)
        start, rate = r.first, 0.0
        while at < len(rates) and rates[at].key <= r.last:
            row = rates[at]
            if rate > 0.0 and rate + row.rate > max_rate:
                segments.append(Segment(r, start, row.key - 1, rate, r.owner))
                start, rate = row.key, 0.0
            rate += row.rate
            at += 1
        segments.append(Segment(r, start, r.last, rate, r.owner))
    return segments


def rates_by_owner(key_map: KeyMap, rates: Sequence[KeyRate]) -> dict[str, float]:
    """Return the requests per second for the keys of each owner."""
    result = {r.owner: 0.0 for r in key_map.ranges}
    at = 0
    for r in key_map.ranges:
        while at < len(rates) and rates[at].key <= r.last:
            result[r.owner] += rates[at].rate
            at += 1
    return result


def split_large(unowned: list[Segment], segments: list[Segment], parts: int) -> list[Segment]:
    """Cut segments without measured load so that several targets can share them."""
    result: list[Segment] = []
    for segment in unowned:
        size = segment.last - segment.first + 1
        count = min(parts, size // 256) if segment.rate == 0.0 else 1
        if count <= 1:
            result.append(segment)
            continue
        segments.remove(segment)
        step = -(-size // count)
        for first in range(segment.first, segment.last + 1, step):
            last = min(first + step - 1, segment.last)
            part = Segment(segment.range, first, last, 0.0, segment.owner)
            segments.append(part)
            result.append(part)
    segments.sort(key=lambda p: p.first)
    return result


def split_segment(segments: list[Segment], segment: Segment, size: int) -> None:
    """Cut a segment without load after *size* keys; the rest becomes a segment of its own."""
    if not 0 < size < segment.last - segment.first + 1:
        return
    rest = Segment(segment.range, segment.first + size, segment.last, 0.0, segment.owner)
    segment.last = segment.first + size - 1
    segments.insert(segments.index(segment) + 1, rest)


def map_of_segments(
    key_map: KeyMap,
    segments: list[Segment],
    by_target: Mapping[str, KeyOwner],
    ended: frozenset[str],
) -> KeyMap:
    """Return the next version of the map, with the owners of the segments."""
    # Incrementing the map's own fence could repeat a fence of a map that the store has lost.
    fence = next_number(key_map.fence, key_map.era)
    ranges: list[KeyRange] = []
    for segment in segments:
        old = segment.range
        if segment.owner == old.owner:
            kept = tuple(p for p in old.predecessors if p.target not in ended)
            ranges.append(replace(old, first=segment.first, last=segment.last, predecessors=kept))
            continue
        before = _predecessors(old, by_target, ended)
        ranges.append(KeyRange(segment.first, segment.last, segment.owner, fence, before))
    return replace(key_map, version=key_map.version + 1, ranges=merged(tuple(ranges)), fence=fence)


def _predecessors(
    old: KeyRange, by_target: Mapping[str, KeyOwner], ended: frozenset[str]
) -> tuple[Predecessor, ...]:
    """Return the targets that may still hold keys of a range that changes owner."""
    owner = by_target.get(old.owner)
    granted = owner is not None and owner.was_granted(old)
    # A grant to the owner proves that all earlier holders had released the range.
    before = () if granted else old.predecessors
    if old.owner:
        before = (*before, Predecessor(old.owner, old.fence))
    return tuple(p for p in before if p.target not in ended)


def merged(ranges: Sequence[KeyRange]) -> tuple[KeyRange, ...]:
    """Join adjacent ranges that differ only in their keys."""
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
