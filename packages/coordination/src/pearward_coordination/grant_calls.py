"""Which keys are granted to a target, and taken back from it, by calls to the target.

Some targets are told their keys in the answers to their heartbeats, others by calls of
their daemon. A call differs in three ways. A hold runs from the call's arrival, so the
daemon sets the pace of renewals. Keys are taken back by a call of its own, answered when
the work on them has ended. And a grant that goes unanswered may be taken seconds later,
behind newer calls; so keys that were let go rest until every grant of them that was
neither answered nor refused has surely run out. And a call names the target's id alone, which
the target's next process may have as well: grants are made while the process that was heard
runs.

No I/O and no clock.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from pearward_state.keymap import KeyRange

from .grants import CLOCK_SLACK, SHORTEST_HOLD_S, GrantedRow, GrantKeeper, HeldRow, ReleasedRow
from .hold_ledger import Hold

__all__ = ["CALL_SENT_S", "CALL_TRANSIT_S", "GrantCall", "GrantCalls", "ReleaseCall"]

CALL_TRANSIT_S = 0.15
"""Seconds in which a call surely arrives at a target on the same instance; written ones
take under a millisecond, so that this covers a busy processor many times."""
CALL_SENT_S = 0.05
"""Seconds within which a call has to be with the kernel: a daemon that stood still since it
reckoned the end of the hold does not send it any more."""
MOST_UNDER_WAY = 16
"""Grants that are under way at once. A daemon that has many to make after a restart would
otherwise open a connection for each, and send the last ones long after it reckoned their holds."""
REFUSED_REST_S = 0.5
"""Seconds for which a refused grant is not made again: a newer map is here by then."""
RENEWED_AFTER = 0.5
"""Part of a hold after which it is renewed. A call that goes unanswered is made again after
0.35 s, so that three may be lost in the rest of a hold of 2.7 s before the keys are."""


@dataclass(frozen=True, slots=True, eq=False)
class GrantCall:
    """A grant, or its renewal, on its way to the target."""

    row: GrantedRow
    hold_s: float
    hold: Hold
    """What the target may hold by it from now on."""
    first_time: bool
    """Whether the target has not confirmed these keys under this fence before."""


@dataclass(frozen=True, slots=True, eq=False)
class ReleaseCall:
    """A call that takes keys back."""

    row: HeldRow


class GrantCalls:
    """The calls to one target, one incarnation of it after the other."""

    def __init__(self, keeper: GrantKeeper) -> None:
        self._keeper = keeper
        self._grants: set[GrantCall] = set()
        self._releases: set[ReleaseCall] = set()
        self._refused: dict[GrantedRow, float] = {}
        """Until when a refused row is not offered again."""

    def target_changed(self) -> None:
        """Another incarnation is there: answers to earlier calls tell nothing of it."""
        self._grants.clear()
        self._releases.clear()
        self._refused.clear()

    # -- calls that are due ------------------------------------------------------------

    def due(self, now: float, *, attached: bool) -> list[GrantCall | ReleaseCall]:
        """Return the calls to make now; each counts as under way until it is told otherwise.

        *attached* says that the process whose heartbeats were heard surely runs: the next one
        under its id would take a renewal, and hold keys under the former one's fence.
        """
        self._keeper.ledger.expire(now)
        calls: list[GrantCall | ReleaseCall] = []
        for row in list(self._keeper.unwanted(now)):
            if not self._under_way(row.first, row.last):
                release = ReleaseCall(row)
                self._releases.add(release)
                calls.append(release)
        hold_s = self._keeper.hold_s(now + CALL_TRANSIT_S)
        if hold_s < SHORTEST_HOLD_S or not attached:
            return calls
        for granted, first_time in self._rows_due(now):
            if len(self._grants) >= MOST_UNDER_WAY:
                break
            refused = self._refused.get(granted, now) > now
            if not refused and not self._under_way(granted.first, granted.last):
                calls.append(self._grant(granted, first_time, hold_s, now))
        return calls

    def _under_way(self, first: int, last: int) -> bool:
        """Whether a call on any of these keys has not been answered yet."""
        return any(c.hold.overlaps(first, last) for c in self._grants) or any(
            c.row.first <= last and first <= c.row.last for c in self._releases
        )

    def _rows_due(self, now: float) -> Iterator[tuple[GrantedRow, bool]]:
        """Yield the rows to grant or renew now, and whether they are new to the target."""
        ledger = self._keeper.ledger
        held: list[KeyRange] = []
        for owned in self._keeper.ready_ranges(now):
            if ledger.oldest_sent(owned.first, owned.last, owned.fence, now) is not None:
                held.append(owned)
                continue
            for row in self._keeper.first_rows(owned):
                if ledger.oldest_sent(row.first, row.last, row.fence, now) is None:
                    yield row, True
        renew_s = self._keeper.timing.hold_s * RENEWED_AFTER
        for span in _joined(held):
            sent = ledger.oldest_sent(span.first, span.last, span.fence, now)
            if sent is not None and now - sent >= renew_s:
                yield GrantedRow(span.first, span.last, span.fence, ""), False

    def _grant(self, row: GrantedRow, first_time: bool, hold_s: float, now: float) -> GrantCall:
        hold = Hold(
            row.first, row.last, row.fence,
            until=now + CALL_TRANSIT_S + hold_s * CLOCK_SLACK,
            sure_until=now + hold_s, sent=now,
        )  # fmt: skip
        call = GrantCall(row, hold_s, hold, first_time)
        self._keeper.ledger.expect(hold)
        self._grants.add(call)
        return call

    # -- what became of them -------------------------------------------------------------

    def granted(self, call: GrantCall) -> bool:
        """The target took a grant; return whether that is news of its present incarnation."""
        if call not in self._grants:
            return False
        self._grants.discard(call)
        self._keeper.ledger.settle(call.hold)
        self._keeper.ledger.add(call.hold)
        if call.first_time:
            self._keeper.note_begun(call.row.first, call.row.last, call.row.fence)
        return True

    def refused(self, call: GrantCall, now: float) -> None:
        """The target refused a grant: it has seen a higher fence, and this daemon is behind.

        The row is not offered again for a while, in which a newer map is asked for. A fence
        is never raised here: only a newer map does that.
        """
        if call not in self._grants:
            return
        self.not_sent(call)
        self._refused = {row: until for row, until in self._refused.items() if until > now}
        self._refused[call.row] = now + REFUSED_REST_S

    def not_sent(self, call: GrantCall) -> None:
        """The call did not go out: the target cannot take it, and it is made again."""
        if call in self._grants:
            self._grants.discard(call)
            self._keeper.ledger.settle(call.hold)

    def unanswered(self, call: GrantCall) -> None:
        """No answer came: the grant may be taken yet, and is made again."""
        self._grants.discard(call)

    def released(self, call: ReleaseCall, token: str) -> bool:
        """The target let keys go; return whether that is news of its present incarnation."""
        if call not in self._releases:
            return False
        self._releases.discard(call)
        self._keeper.let_go(ReleasedRow(call.row.first, call.row.last, token))
        return True

    def release_unanswered(self, call: ReleaseCall) -> None:
        """No answer came: the keys are asked for again, or their hold runs out."""
        self._releases.discard(call)


def _joined(ranges: list[KeyRange]) -> Iterator[HeldRow]:
    """Yield neighbouring ranges under one fence as one: each call carries one range."""
    span: HeldRow | None = None
    for owned in ranges:
        if span is not None and owned.first == span.last + 1 and owned.fence == span.fence:
            span = HeldRow(span.first, owned.last, span.fence)
            continue
        if span is not None:
            yield span
        span = HeldRow(owned.first, owned.last, owned.fence)
    if span is not None:
        yield span
