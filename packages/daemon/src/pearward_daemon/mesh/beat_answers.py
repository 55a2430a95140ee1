"""Answers to the target's heartbeats, held back so that a change of its keys finds one waiting."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from pearward_coordination.grants import GrantKeeper
from pearward_transport.clock import boot_time

from .dialect import BeatAnswer
from .log import DecisionLog

__all__ = ["HeartbeatResponses"]

MAX_RESPONSE_DELAY_S = 0.75
"""Seconds for which a heartbeat's answer waits for a change of the target's keys: targets
take an answer within a second, and a change that finds a waiting answer takes effect at once."""
GRANT_EFFECT_DELAY_S = 0.01
"""Seconds after which a target acts on a written answer; requests for its new keys follow."""


@dataclass(slots=True)
class _PendingResponse:
    """A heartbeat whose answer is held back."""

    received: float
    answer: "Deferred[BeatAnswer]"
    timer: Any


class HeartbeatResponses:
    """Holds back and gives the answers to one target's heartbeats."""

    def __init__(
        self,
        reactor: Any,
        keeper: GrantKeeper,
        log: DecisionLog,
        on_granted: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._grant_manager = keeper
        self._log = log
        self._on_granted = on_granted
        self._pending: _PendingResponse | None = None
        self._keyed = False

    def set_keyed(self, keyed: bool) -> None:
        """Say whether the target holds keys at all; other targets are answered at once."""
        self._keyed = keyed

    def target_changed(self) -> None:
        """Another incarnation is there: it says itself what it holds."""

    def respond(self, received: float, *, at_once: bool) -> "Deferred[BeatAnswer]":
        """Return the answer to a heartbeat, which comes now or after a while."""
        self.deliver()
        answer: Deferred[BeatAnswer] = Deferred()
        timer = self._reactor.callLater(MAX_RESPONSE_DELAY_S, self.deliver)
        self._pending = _PendingResponse(received, answer, timer)
        if at_once or not self._keyed:
            self.deliver()
        return answer

    def deliver(self) -> None:
        """Answer the heartbeat that waits, with what its target is to hold now."""
        waiting, self._pending = self._pending, None
        if waiting is None:
            return
        if waiting.timer.active():
            waiting.timer.cancel()
        waiting.answer.callback(self._answer(waiting.received))

    def _answer(self, received: float) -> BeatAnswer:
        if not self._keyed:
            return BeatAnswer()
        now = boot_time()
        granted = self._grant_manager.grant(received, now)
        if granted is None:
            key_map = self._grant_manager.key_map
            self._log.decided(
                "hold_not_renewed", target=self._grant_manager.target,
                map=key_map.version if key_map is not None else 0,
                lease_left_s=round(self._grant_manager.lease_ends - now, 3),
            )  # fmt: skip
            return BeatAnswer()
        rows, hold_s = granted
        self._reactor.callLater(GRANT_EFFECT_DELAY_S, self._on_granted)
        return BeatAnswer(tuple(rows), hold_s)
