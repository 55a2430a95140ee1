"""Quarantine of requests at the local target, based on recent crashes of targets.

It rejects quarantined requests that already have a slot, before they are sent to the target. It
also determines which requests the target was running when it crashed, and reports them.
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
"""Reasons with which a request ends while the target may still be processing it."""


class GuardedRequest(Protocol):
    """A request for the local target."""

    @property
    def content(self) -> str:
        """Digest of what it asks for, the same for every request id."""


@dataclass(frozen=True, slots=True)
class QuarantineRejection:
    """The reason to reject a request, and the seconds after which its caller may retry."""

    detail: str
    retry_delay_s: float


class CrashGuard:
    """Detects crashes of the local target, and rejects requests that are quarantined."""

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
        """Contents that the current target completed after crashes had been attributed to them."""
        self._running_suspect: GuardedRequest | None = None
        """The suspected request that the target runs; at most one at a time."""

    @property
    def target_suspected(self) -> bool:
        """Whether the target aborted exchanges and has not been seen alive since."""
        return self._broken.by_target

    # -- requests -----------------------------------------------------------------

    def rejection(
        self, request: GuardedRequest, mean_run_s: float, now: float
    ) -> QuarantineRejection | None:
        """Return why a request may not be sent to the target now, or None if it may.

        A suspected request that is accepted counts as running from then on. *mean_run_s* is the
        usual processing time of the target's requests in s.
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
                    return QuarantineRejection("another suspected request runs", mean_run_s)
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
        """Record the end of a request; return its content if the target was running it, else ""."""
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
        """Clear the suspicion of a request that the target has completed."""
        if self._quarantine and self._quarantine.ran(request.content):
            self._completed.add(request.content)

    # -- the target -----------------------------------------------------------------

    def target_listening(self, now: float) -> None:
        """Record that the target accepted a connection: it is running."""
        self._broken.answered(now)

    def target_began(self) -> None:
        """Handle a new incarnation of the target."""
        self._completed.clear()

    def target_left(self, now: float) -> None:
        """Handle an announced termination: aborted exchanges are no evidence of a crash."""
        self._broken.take(now)

    def target_crashed(self, target: str, shown_by: str, now: float, unix_now: float) -> None:
        """Handle a crash: report the contents that the target was running."""
        broken = self._broken.take(now)
        self._log.emit(
            "target_crashed", failure=True, target=target, evidence=shown_by,
            requests=[exchange.request_id for exchange in broken],
            contents=[exchange.content for exchange in broken],
        )  # fmt: skip
        contents = tuple(
            dict.fromkeys(b.content for b in broken if b.content not in self._completed)
        )
        if contents:
            self._on_crash(CrashRecord(target, unix_now, contents))
