"""Which requests the target beside this daemon may run, by what crashed targets lately.

Stands between a request that has a slot and the target: requests in quarantine go no further.
It also finds out what the target was running when it crashed, and says so.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from pearward_coordination.broken_exchanges import BrokenExchange, BrokenExchanges
from pearward_coordination.quarantine import Quarantine, Standing
from pearward_state.crashes import CrashRecord
from pearward_state.outcome import Outcome, Reason

from .log import DecisionLog

__all__ = ["CrashGuard", "GuardedRequest", "QuarantineRejection"]


_ABORTED_REASONS = frozenset({Reason.SERVER_FAILED, Reason.CANCELLED, Reason.DEADLINE})
"""Ends of requests that the target may have been working on until then."""


class GuardedRequest(Protocol):
    """A request for the target beside this daemon."""

    @property
    def content(self) -> str:
        """What it asks for, the same for every id under which it comes."""


@dataclass(frozen=True, slots=True)
class QuarantineRejection:
    """Why a request may not run, and when its caller may come back."""

    detail: str
    back_after_s: float


class CrashGuard:
    """The crashes of one daemon's targets, and the requests that are kept from them."""

    def __init__(
        self,
        quarantine: Quarantine,
        log: DecisionLog,
        on_crash: Callable[[CrashRecord], None],
    ) -> None:
        self._quarantine = quarantine
        self._log = log
        self._on_crash = on_crash
        self._broken = BrokenExchanges()
        self._completed: set[str] = set()
        """Contents that crashes were held against until the present target ran them to an end."""
        self._running_suspect: GuardedRequest | None = None
        """The one suspected request that the target runs."""

    @property
    def doubts_target(self) -> bool:
        """Whether the target broke exchanges off and has not shown since that it lives."""
        return self._broken.by_target

    # -- requests -----------------------------------------------------------------

    def barred(
        self, request: GuardedRequest, usual_s: float, now: float
    ) -> QuarantineRejection | None:
        """Return why a request may not be sent to the target now; None where it may.

        A suspected one is taken for running from then on. *usual_s* is the time in s that the
        target's requests take.
        """
        if not self._quarantine:
            return None
        content = request.content
        match self._quarantine.standing(content, now):
            case Standing.FREE:
                return None
            case Standing.REFUSED:
                return QuarantineRejection(
                    f"content {content}", self._quarantine.left_s(content, now)
                )
            case Standing.ALONE:
                if self._running_suspect is not None and self._running_suspect is not request:
                    return QuarantineRejection("another suspected request runs", usual_s)
                self._running_suspect = request
                return None

    def ended(
        self,
        request: GuardedRequest,
        request_id: str,
        outcome: Outcome,
        reason: Reason | None,
        now: float,
    ) -> str:
        """Take the end of a request; return its content where it was at the target till then."""
        if self._running_suspect is request:
            self._running_suspect = None
        if outcome is Outcome.SERVED:
            self._broken.answered(now)
            self._note_completed(request)
            return ""
        if outcome is not Outcome.UNKNOWN or reason not in _ABORTED_REASONS:
            return ""
        content = request.content
        by_target = reason is Reason.SERVER_FAILED
        self._broken.broke(BrokenExchange(request_id, content, now, by_target))
        return content

    def _note_completed(self, request: GuardedRequest) -> None:
        """Clear a request that the target has run to an end."""
        if self._quarantine and self._quarantine.ran(request.content):
            self._completed.add(request.content)

    # -- the target -----------------------------------------------------------------

    def target_listening(self, now: float) -> None:
        """A connection to the target could be made: it lives."""
        self._broken.answered(now)

    def target_began(self) -> None:
        """Another incarnation of the target is beside this daemon."""
        self._completed.clear()

    def target_left(self, now: float) -> None:
        """The target ended after it had said so: what broke off does not tell anything."""
        self._broken.take(now)

    def target_crashed(self, target: str, shown_by: str, now: float, unix_now: float) -> None:
        """The target ended without notice: hold it against what it was running."""
        broken = self._broken.take(now)
        self._log.decided(
            "target_crashed", failure=True, target=target, shown_by=shown_by,
            requests=[exchange.request_id for exchange in broken],
            contents=[exchange.content for exchange in broken],
        )  # fmt: skip
        contents = tuple(
            dict.fromkeys(b.content for b in broken if b.content not in self._completed)
        )
        if contents:
            self._on_crash(CrashRecord(target, unix_now, contents))
