"""What the target beside this daemon may hold of its service's keys, and for how long.

A target enforces its own lease: it counts a hold from the moment it sent the heartbeat, on
a clock that may run slow. The daemon beside it grants a hold only

* for ranges that the key map gives to exactly this incarnation of the target,
* after every predecessor of the range has let it go, and
* for a time that ends within the daemon's own lease, which a majority of the target's
  witnesses renews, and which they wait out before they release the target's keys.

No I/O and no clock: times are seconds of one steady clock, handed in.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from pearward_state.eras import era_of
from pearward_state.keymap import KEY_SPACE, KeyMap, KeyRange, Predecessor, covered

from .hold_ledger import Hold, HoldLedger
from .lease import NEVER, LeaseTiming

__all__ = [
    "CLOCK_SLACK",
    "HOLD_S",
    "GrantKeeper",
    "GrantTiming",
    "GrantedRow",
    "HeldRow",
    "ReleasedRow",
]

HOLD_S = 2.7
"""Seconds of one hold: a daemon that is killed stands again after 1.4 s and hears the
target's next heartbeat up to 0.9 s later; a target that leaves without notice keeps its
keys as long."""
LEASE_S = 3.2
"""Seconds of a daemon's own lease: a hold, and two renewals that may be lost. The keys of
an instance that is lost for good rest as long."""
RENEW_S = 0.4
CLOCK_SLACK = 1.02
"""Factor by which a target's clock may run slow. Source: the interface of the targets."""
SHORTEST_HOLD_S = 0.3
"""A hold that would be shorter is not granted."""
TOKENS_KEPT = 256
"""Hand-over tokens that are kept for those who ask for them, the newest."""
BEAT_TRANSIT_S = 0.1
"""A hold is taken to have begun this long before its heartbeat was received."""
GRANT_TRANSIT_S = 0.008
"""Requests follow a grant after this pause: the two travel on different connections."""


@dataclass(frozen=True, slots=True)
class GrantTiming:
    """Times of the holds that a daemon grants, and of its own lease."""

    hold_s: float = HOLD_S
    lease: LeaseTiming = field(
        default_factory=lambda: LeaseTiming(lease_s=LEASE_S, renew_s=RENEW_S)
    )


@dataclass(frozen=True, slots=True)
class HeldRow:
    """Keys that a target says it holds, or still works on."""

    first: int
    last: int
    fence: int


@dataclass(frozen=True, slots=True)
class ReleasedRow:
    """Keys that a target has let go, with the token that hands its warm state over."""

    first: int
    last: int
    token: str


@dataclass(frozen=True, slots=True)
class GrantedRow:
    """Keys that a target is to hold."""

    first: int
    last: int
    fence: int
    token: str
    """Hand-over token of the former holder; empty where there is none."""


class GrantKeeper:
    """Grants to one target, one incarnation of it after the other."""

    def __init__(self, service: str, started: float, timing: GrantTiming) -> None:
        self._service = service
        self._timing = timing
        self._started = started
        self._target = ""
        self._map: KeyMap | None = None
        self._owned: tuple[KeyRange, ...] = ()
        """Ranges that the map gives to the target."""
        self._lease_ends = NEVER
        self._ledger = HoldLedger()
        self._released_by: dict[Predecessor, list[ReleasedRow]] = {}
        self._tokens: list[ReleasedRow] = []
        self._begun: set[HeldRow] = set()
        self._heard = False
        self._ended: set[str] = set()
        self._lingering: dict[str, float] = {}
        """Former incarnations that may live yet, and when all that they may hold has run out."""

    # -- properties -------------------------------------------------------------

    @property
    def service(self) -> str:
        """Service that the target belongs to."""
        return self._service

    @property
    def target(self) -> str:
        """Id of the target's incarnation; empty before its first heartbeat."""
        return self._target

    @property
    def key_map(self) -> KeyMap | None:
        """The key map that is acted on."""
        return self._map

    @property
    def ledger(self) -> HoldLedger:
        """What the target may hold, and surely holds."""
        return self._ledger

    @property
    def timing(self) -> GrantTiming:
        """Times of the holds."""
        return self._timing

    @property
    def lease_ends(self) -> float:
        """Time by which the last hold must have ended: the end of the daemon's lease."""
        return self._lease_ends

    # -- what becomes known -------------------------------------------------------

    def target_changed(self, target: str) -> None:
        """Another incarnation beats: what the former one held ended with it."""
        if target == self._target:
            return
        if self._target:
            self._ended.add(self._target)
        self._begin(target)

    def target_supposed(self, target: str, now: float) -> None:
        """Another incarnation seems to beat, under the same id: the former one may live yet.

        It counts as ended when all that it may hold has run out.
        """
        self._lingering[self._target] = now + self._timing.hold_s * CLOCK_SLACK
        self._begin(target)

    def _begin(self, target: str) -> None:
        self._target = target
        self._ledger.clear()
        self._begun.clear()
        self._tokens.clear()
        self._heard = False
        self._find_owned()

    def target_ended(self) -> None:
        """The target's process is known to be gone."""
        self.target_changed("")

    def note_ended(self, target: str) -> None:
        """An incarnation that an earlier life of this daemon served is known to be gone."""
        if target != self._target:
            self._ended.add(target)

    def has_ended(self, target: str) -> bool:
        """Return whether an incarnation beside this daemon is known to be gone."""
        return target in self._ended

    def ended_by(self, now: float) -> list[str]:
        """Return former incarnations that might have lived, and now count as ended."""
        over = [target for target, until in self._lingering.items() if now >= until]
        for target in over:
            del self._lingering[target]
            self._ended.add(target)
        return over

    def adopt(self, key_map: KeyMap, now: float) -> bool:
        """Act on a newer map; return whether it was newer."""
        former = self._map
        if former is not None and key_map.version <= former.version:
            return False
        self._map = key_map
        self._find_owned()
        begun = [r for r in self._owned if self._has_begun(r) and self._goes_on(r, former, now)]
        self._begun = {HeldRow(r.first, r.last, r.fence) for r in begun}
        predecessors = {p for r in self._owned for p in r.predecessors}
        self._released_by = {p: rows for p, rows in self._released_by.items() if p in predecessors}
        return True

    def _goes_on(self, owned: KeyRange, former: KeyMap | None, now: float) -> bool:
        """Whether the target goes on with a range that it was granted by a former map.

        Where keys were not held all along, a map that the store has lost may have given them away.
        """
        key_map = self._map
        assert key_map is not None
        if era_of(owned.fence) >= key_map.era:
            return True
        if former is None:
            return not key_map.unsettled
        if former.era == key_map.era:
            return True
        return self._ledger.surely_holds(owned.first, owned.last, owned.fence, now)

    def _find_owned(self) -> None:
        self._owned = self._map.owned_by(self._target) if self._map is not None else ()

    def lease_until(self, until: float) -> None:
        """The daemon's own lease, as its witnesses renewed it, runs until *until*."""
        self._lease_ends = until

    def heartbeat(
        self, now: float, held: Iterable[HeldRow], released: Iterable[ReleasedRow]
    ) -> None:
        """Take what the target says it holds and has let go."""
        for row in released:
            self.let_go(row)
        if not self._heard:
            # Granted by an earlier life of this daemon, whose grants ended before it did.
            self._heard = True
            until = now + self._timing.hold_s * CLOCK_SLACK
            for row_held in held:
                self._ledger.add(Hold(row_held.first, row_held.last, row_held.fence, until, now))
                self.note_begun(row_held.first, row_held.last, row_held.fence)

    def let_go(self, row: ReleasedRow) -> None:
        """The target said that it has let keys go."""
        self._tokens.append(row)
        del self._tokens[:-TOKENS_KEPT]
        self._ledger.cut(row.first, row.last)

    def begun_unknown(self, transit_s: float) -> None:
        """The target is there, and does not say what it holds.

        An earlier life of this daemon may have granted it any keys, by a call that was on
        its way for *transit_s* seconds.
        """
        if not self._heard:
            self._heard = True
            until = self._started + transit_s + self._timing.hold_s * CLOCK_SLACK
            self._ledger.expect(Hold(0, KEY_SPACE - 1, 0, until, self._started))

    def released(self, predecessor: Predecessor, row: ReleasedRow) -> None:
        """A predecessor's daemon confirmed that the target there let keys go."""
        rows = self._released_by.setdefault(predecessor, [])
        if row.token or not covered(row.first, row.last, ((r.first, r.last) for r in rows)):
            rows.append(row)

    def _has_begun(self, owned: KeyRange) -> bool:
        """Whether the target was granted all keys of a range under its present fence."""
        if HeldRow(owned.first, owned.last, owned.fence) in self._begun:
            return True
        spans = ((b.first, b.last) for b in self._begun if b.fence == owned.fence)
        return covered(owned.first, owned.last, spans)

    # -- grants -----------------------------------------------------------------------

    def hold_s(self, received: float) -> float:
        """Return the hold in seconds that a heartbeat received at *received* may be given.

        The target counts from its own, earlier sending, so its hold ends by
        ``received + hold * CLOCK_SLACK`` however late the answer is.
        """
        within_lease = (self._lease_ends - received) / CLOCK_SLACK
        return min(self._timing.hold_s, within_lease)

    def grant(self, received: float, now: float) -> tuple[list[GrantedRow], float] | None:
        """Return the rows to hold and the hold in seconds; None renews nothing."""
        hold = self.hold_s(received)
        if self._map is None or not self._target or received + hold < now + SHORTEST_HOLD_S:
            return None
        until = received + hold * CLOCK_SLACK
        sure_until = received - BEAT_TRANSIT_S + hold
        rows: list[GrantedRow] = []
        for owned in self._owned:
            if not self._ready(owned, now):
                continue
            begun = self._has_begun(owned)
            rows.extend(self._continued(owned) if begun else self.first_rows(owned))
            self._begun.add(HeldRow(owned.first, owned.last, owned.fence))
            begins = now if begun else now + GRANT_TRANSIT_S
            # The answer replaces what the target held of these keys, also where it is shorter.
            self._ledger.cut(owned.first, owned.last)
            self._ledger.add(Hold(owned.first, owned.last, owned.fence, until, sure_until, begins))
        return rows, hold

    def _continued(self, owned: KeyRange) -> list[GrantedRow]:
        return [GrantedRow(owned.first, owned.last, owned.fence, "")]

    def ready_ranges(self, now: float) -> list[KeyRange]:
        """Return the target's ranges that nobody else can hold any more, by key."""
        if self._map is None or not self._target:
            return []
        return [owned for owned in self._owned if self._ready(owned, now)]

    def note_begun(self, first: int, last: int, fence: int) -> None:
        """The target confirmed that it holds keys under a fence."""
        key_map = self._map
        if key_map is None or not key_map.unsettled or era_of(fence) >= key_map.era:
            self._begun.add(HeldRow(first, last, fence))

    def first_rows(self, owned: KeyRange) -> list[GrantedRow]:
        """Return the rows of a range that the target gets anew, one for each token."""
        rows: list[GrantedRow] = []
        start = owned.first
        for released in self._tokens_for(owned):
            first, last = max(released.first, start), min(released.last, owned.last)
            if first > last:
                continue
            if first > start:
                rows.append(GrantedRow(start, first - 1, owned.fence, ""))
            rows.append(GrantedRow(first, last, owned.fence, released.token))
            start = last + 1
        if start <= owned.last:
            rows.append(GrantedRow(start, owned.last, owned.fence, ""))
        return rows

    def _tokens_for(self, owned: KeyRange) -> list[ReleasedRow]:
        """Return the tokens that the last holder of a range gave, in the order of the keys."""
        for predecessor in sorted(owned.predecessors, key=lambda p: -p.fence):
            rows = [row for row in self._released_by.get(predecessor, ()) if row.token]
            if rows:
                return sorted(rows, key=lambda row: row.first)
        return []

    def _ready(self, owned: KeyRange, now: float) -> bool:
        """Whether nobody else can hold the range any more, nor has held it under a later fence."""
        if self._has_begun(owned):
            return True
        key_map = self._map
        if key_map is None or key_map.unsettled or era_of(owned.fence) < key_map.era:
            return False
        return all(self._let_go(p, owned, now) for p in owned.predecessors)

    def _let_go(self, predecessor: Predecessor, owned: KeyRange, now: float) -> bool:
        if predecessor.target == self._target:
            return not self.may_hold(owned.first, owned.last, now, below=owned.fence)
        spans = ((row.first, row.last) for row in self._released_by.get(predecessor, ()))
        return covered(owned.first, owned.last, spans)

    # -- questions -----------------------------------------------------------------------

    def serves(self, key: int, now: float) -> int:
        """Return the fence under which the target surely holds *key* now, or 0.

        Keys that the map has given away are not served, though they may be held yet.
        """
        owned = self._map.range_of(key) if self._map is not None else None
        if owned is None or owned.owner != self._target:
            return 0
        fence = self._ledger.fence_at(key, now)
        return fence if fence == owned.fence else 0

    def may_hold(self, first: int, last: int, now: float, below: int = 2**62) -> bool:
        """Return whether the target may hold any of these keys, under a fence below *below*."""
        return self._ledger.may_hold(first, last, now, below)

    def pending(self, now: float) -> list[KeyRange]:
        """Return the ranges that the map gives to the target and a predecessor still has."""
        if self._map is None or not self._target:
            return []
        return [r for r in self._owned if not self._ready(r, now)]

    def ready_to_begin(self, now: float) -> bool:
        """Return whether a range could be granted now that the target does not hold yet."""
        if self._map is None or not self._target or self._lease_ends <= now:
            return False
        return any(not self._has_begun(r) and self._ready(r, now) for r in self._owned)

    def must_let_go(self, now: float) -> bool:
        """Return whether the target may hold keys that the map no longer gives to it."""
        return any(True for _ in self.unwanted(now))

    def unwanted(self, now: float) -> Iterator[HeldRow]:
        """Yield keys that the target may hold and that the map no longer gives to it."""
        if self._map is None:
            return
        for hold in self._ledger:
            if hold.until <= now:
                continue
            for r in self._map.overlapping(hold.first, hold.last):
                if r.owner != self._target or r.fence != hold.fence:
                    first, last = max(r.first, hold.first), min(r.last, hold.last)
                    yield HeldRow(first, last, hold.fence)

    def release_of(
        self, target: str, first: int, last: int, fence: int, version: int, now: float
    ) -> list[ReleasedRow] | None:
        """Answer whether *target*, once beside this daemon, has let keys go for good.

        Returns rows that together hold the keys from *first* to *last*, with the tokens
        where there are some, or None while the target may still hold one of the keys.
        *version* is that of the map that took them away: a daemon that acts on an older
        one may yet grant them, though nothing is held now. One of an earlier era of the store
        tells nothing of who owns them now.
        """
        if self._map is None or self._map.version < version or era_of(version) < self._map.era:
            return None
        if target == self._target:
            if not self._heard or self.may_hold(first, last, now, below=fence + 1):
                return None
            return self._tokens_between(first, last)
        run_out = now >= self._started + self._timing.hold_s * CLOCK_SLACK
        if now < self._lingering.get(target, 0.0):
            return None
        if target in self._ended or run_out:
            # Not heard of in this life: what an earlier one granted has run out.
            return [ReleasedRow(first, last, "")]
        return None

    def _tokens_between(self, first: int, last: int) -> list[ReleasedRow]:
        """Cut the keys from *first* to *last* by the newest tokens they were let go with."""
        rows: list[ReleasedRow] = []
        start = first
        while start <= last:
            token, end = "", last
            for row in self._tokens:
                if row.first <= start <= row.last:
                    token, end = row.token, min(row.last, last)
                elif start < row.first <= end:
                    end = row.first - 1
            rows.append(ReleasedRow(start, end, token))
            start = end + 1
        return rows

    def confirmed(self) -> list[HeldRow]:
        """Return the ranges of the present map that the target was granted."""
        return sorted(self._begun, key=lambda row: row.first)
