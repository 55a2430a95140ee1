"""Delivery of grants and releases in delayed responses to the local target's heartbeats."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from pearward_coordination.grants import GrantManager
from pearward_transport.clock import boot_time

from .dialect import HeartbeatResponse
from .log import DecisionLog

__all__ = ["HeartbeatResponses"]

MAX_RESPONSE_DELAY_S = 0.75
"""Maximum delay in s of a heartbeat's response, which waits for a change of the target's keys.
Targets accept a response within one second, and a change takes effect at once if a response is
pending."""
GRANT_EFFECT_DELAY_S = 0.01
"""Seconds from writing a response until the target applies it; requests for new keys follow."""


@dataclass(slots=True)
class _PendingResponse:
    """A heartbeat whose response is delayed."""

    received: float
    response: "Deferred[HeartbeatResponse]"
    timer: Any


class HeartbeatResponses:
    """Delays and sends the responses to one target's heartbeats."""

    def __init__(
        self,
        reactor: Any,
        grant_manager: GrantManager,
        log: DecisionLog,
        on_granted: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._grant_manager = grant_manager
        self._log = log
        self._on_granted = on_granted
        self._pending: _PendingResponse | None = None
        self._keyed = False

    @property
    def process_ended(self) -> bool:
        """Never: no connection to the target is kept."""
        return False

    def set_keyed(self, keyed: bool) -> None:
        """Set whether the target's service is keyed; otherwise responses are not delayed."""
        self._keyed = keyed

    def target_changed(self) -> None:
        """Do nothing: the new incarnation reports the keys it holds in its heartbeats."""

    def respond(self, received: float, *, at_once: bool) -> "Deferred[HeartbeatResponse]":
        """Return the response to a heartbeat; it is delayed unless *at_once* or not keyed."""
        self.deliver()
        response: Deferred[HeartbeatResponse] = Deferred()
        timer = self._reactor.callLater(MAX_RESPONSE_DELAY_S, self.deliver)
        self._pending = _PendingResponse(received, response, timer)
        if at_once or not self._keyed:
            self.deliver()
        return response

    def deliver(self) -> None:
        """Answer the pending heartbeat with the keys that its target may hold now."""
        pending, self._pending = self._pending, None
        if pending is None:
            return
        if pending.timer.active():
            pending.timer.cancel()
        pending.response.callback(self._response(pending.received))

    def _response(self, received: float) -> HeartbeatResponse:
        if not self._keyed:
            return HeartbeatResponse()
        now = boot_time()
        granted = self._grant_manager.grant(received, now)
        if granted is None:
            key_map = self._grant_manager.key_map
            self._log.emit(
                "hold_not_renewed", target=self._grant_manager.target,
                map=key_map.version if key_map is not None else 0,
                lease_left_s=round(self._grant_manager.lease_ends - now, 3),
            )  # fmt: skip
            return HeartbeatResponse()
        rows, hold_s = granted
        self._reactor.callLater(GRANT_EFFECT_DELAY_S, self._on_granted)
        return HeartbeatResponse(tuple(rows), hold_s)
