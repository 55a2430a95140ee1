"""Grant keys to a target, and take them back, by calls to the target.

Some targets receive their grants in the responses to their heartbeats, others by calls from their
daemon. Calls differ in four ways:

* A hold runs from the arrival of the call, so the daemon sets the rate of renewals.
* Keys are taken back by a separate call, which is answered when the work on them has ended.
* A grant without a reply may take effect seconds later, after newer calls. Released keys therefore
  stay unavailable until every grant of them that was neither answered nor refused has certainly
  expired.
* A call names only the target's id, which the target's next process may share. Grants are therefore
  made only while the process that sent the heartbeats runs.

No I/O and no clock.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from pearward_state.keymap import KeyRange

from .grants import CLOCK_SLACK, MIN_HOLD_S, GrantedRow, GrantManager, HeldRow, ReleasedRow
from .hold_ledger import Hold

__all__ = ["CALL_SEND_TIMEOUT_S", "CALL_TRANSIT_S", "GrantCall", "GrantCalls", "ReleaseCall"]

CALL_TRANSIT_S = 0.15
"""Seconds within which a call certainly arrives at a target on the same instance. A written call
takes under a millisecond, which leaves a large margin for a busy processor."""
CALL_SEND_TIMEOUT_S = 0.05
"""Seconds within which a call must be written to the kernel. A daemon that was suspended after it
computed the end of the hold does not send the call any more."""
MAX_CONCURRENT_GRANTS = 16
"""Maximum number of concurrent grants. After a restart a daemon with many grants would otherwise
open a connection for each, and send the last ones long after it computed their holds."""
REFUSED_RETRY_S = 0.5
"""Seconds before a refused grant is retried; a newer map has arrived by then."""
RENEW_AT_SHARE = 0.5
"""Part of a hold after which it is renewed. A call without a reply is retried after 0.35 s, so that
three calls may be lost in the rest of a hold of 2.7 s before the keys are lost."""


@dataclass(frozen=True, slots=True, eq=False)
class GrantCall:
    """A grant or renewal in transit to the target."""

    row: GrantedRow
    hold_s: float
    hold: Hold
    """Keys that the target possibly holds from now on because of this call."""
    first_time: bool
    """Whether the target has not yet confirmed these keys under this fence."""


@dataclass(frozen=True, slots=True, eq=False)
class ReleaseCall:
    """A call that takes keys back."""

    row: HeldRow


class GrantCalls:
    """Calls to the incarnations of one target, one incarnation at a time."""

    def __init__(self, grant_manager: GrantManager) -> None:
        self._grant_manager = grant_manager
        self._grants: set[GrantCall] = set()
        self._releases: set[ReleaseCall] = set()
        self._refused: dict[GrantedRow, float] = {}
        """Rows that were refused, and the time until which each is not sent again."""

    def target_changed(self) -> None:
        """Reset the calls for another incarnation, to which earlier replies do not apply."""
        self._grants.clear()
        self._releases.clear()
        self._refused.clear()

    # -- due calls -------------------------------------------------------------

    def due(self, now: float, *, attached: bool) -> list[GrantCall | ReleaseCall]:
        """Return the calls to make now; each counts as in flight until its outcome is reported.

        *attached* states that the process that sent the heartbeats certainly runs: the next process
        under its id would accept a renewal and hold keys under the former one's fence.
        """
        self._grant_manager.ledger.expire(now)
        calls: list[GrantCall | ReleaseCall] = []
        for row in list(self._grant_manager.unwanted(now)):
            if not self._in_flight(row.first, row.last):
                release = ReleaseCall(row)
                self._releases.add(release)
                calls.append(release)
        hold_s = self._grant_manager.hold_s(now + CALL_TRANSIT_S)
        if hold_s < MIN_HOLD_S or not attached:
            return calls
        for granted, first_time in self._rows_due(now):
            if len(self._grants) >= MAX_CONCURRENT_GRANTS:
                break
            refused = self._refused.get(granted, now) > now
            if not refused and not self._in_flight(granted.first, granted.last):
                calls.append(self._grant(granted, first_time, hold_s, now))
        return calls

    def _in_flight(self, first: int, last: int) -> bool:
        """Return whether a call on any of these keys has no reply yet."""
        return any(c.hold.overlaps(first, last) for c in self._grants) or any(
            c.row.first <= last and first <= c.row.last for c in self._releases
        )

    def _rows_due(self, now: float) -> Iterator[tuple[GrantedRow, bool]]:
        """Yield the rows to grant or renew now, and whether each is new to the target."""
        ledger = self._grant_manager.ledger
        held: list[KeyRange] = []
        for owned in self._grant_manager.ready_ranges(now):
            if ledger.oldest_sent(owned.first, owned.last, owned.fence, now) is not None:
                held.append(owned)
                continue
            for row in self._grant_manager.first_rows(owned):
                if ledger.oldest_sent(row.first, row.last, row.fence, now) is None:
                    yield row, True
        renew_s = self._grant_manager.timing.hold_s * RENEW_AT_SHARE
        for span in _join_adjacent(held):
            sent = ledger.oldest_sent(span.first, span.last, span.fence, now)
            if sent is not None and now - sent >= renew_s:
                yield GrantedRow(span.first, span.last, span.fence, ""), False

    def _grant(self, row: GrantedRow, first_time: bool, hold_s: float, now: float) -> GrantCall:
        hold = Hold(
            row.first, row.last, row.fence,
            until=now + CALL_TRANSIT_S + hold_s * CLOCK_SLACK,
            certain_until=now + hold_s, sent=now,
        )  # fmt: skip
        call = GrantCall(row, hold_s, hold, first_time)
        self._grant_manager.ledger.add_unconfirmed(hold)
        self._grants.add(call)
        return call

    # -- outcomes --------------------------------------------------------------

    def granted(self, call: GrantCall) -> bool:
        """Record an accepted grant; return whether it concerns the target's present incarnation."""
        if call not in self._grants:
            return False
        self._grants.discard(call)
        self._grant_manager.ledger.remove_unconfirmed(call.hold)
        self._grant_manager.ledger.add(call.hold)
        if call.first_time:
            self._grant_manager.note_granted(call.row.first, call.row.last, call.row.fence)
        return True

    def refused(self, call: GrantCall, now: float) -> None:
        """Record a refused grant: the target has seen a higher fence than this daemon's.

        The row is not sent again for a while, in which a newer map is requested. Fences are never
        raised here, only by a newer map.
        """
        if call not in self._grants:
            return
        self.not_sent(call)
        self._refused = {row: until for row, until in self._refused.items() if until > now}
        self._refused[call.row] = now + REFUSED_RETRY_S

    def not_sent(self, call: GrantCall) -> None:
        """Record a call that was not sent: the target cannot accept it, and it is retried."""
        if call in self._grants:
            self._grants.discard(call)
            self._grant_manager.ledger.remove_unconfirmed(call.hold)

    def unanswered(self, call: GrantCall) -> None:
        """Record a call without a reply: the grant may still take effect, and is retried."""
        self._grants.discard(call)

    def released(self, call: ReleaseCall, token: str) -> bool:
        """Record released keys; return whether this concerns the target's present incarnation."""
        if call not in self._releases:
            return False
        self._releases.discard(call)
        self._grant_manager.note_released(ReleasedRow(call.row.first, call.row.last, token))
        return True

    def release_unanswered(self, call: ReleaseCall) -> None:
        """Record a release without a reply: it is retried, unless the hold expires first."""
        self._releases.discard(call)


def _join_adjacent(ranges: list[KeyRange]) -> Iterator[HeldRow]:
    """Yield adjacent ranges under one fence as one, since each call carries one range."""
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
