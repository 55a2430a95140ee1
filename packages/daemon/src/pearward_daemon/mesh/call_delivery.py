"""Delivery of grants and releases to the local target by calls to it."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from pearward_coordination.grant_calls import (
    CALL_SEND_TIMEOUT_S,
    CALL_TRANSIT_S,
    GrantCall,
    GrantCalls,
    ReleaseCall,
)
from pearward_coordination.grants import GrantManager
from pearward_transport.clock import boot_time
from pearward_transport.errors import ServerUnreachable

from .dialect import GrantPort, GrantReply, GrantVerdict, HeartbeatResponse, ReleaseReply
from .log import DecisionLog

__all__ = ["CallDelivery"]

CHECK_INTERVAL_S = 0.1
"""Seconds between checks for due renewals and for calls that must be repeated."""


class CallDelivery:
    """Makes the grant and release calls that are due and processes their replies."""

    def __init__(
        self,
        reactor: Any,
        grant_manager: GrantManager,
        port: GrantPort,
        log: DecisionLog,
        on_granted: Callable[[int, int], None],
        on_released: Callable[[], None],
        on_map_outdated: Callable[[], None],
        on_other_target: Callable[[str], None],
    ) -> None:
        self._reactor = reactor
        self._grant_manager = grant_manager
        self._port = port
        self._log = log
        self._on_granted = on_granted
        self._on_released = on_released
        self._on_map_outdated = on_map_outdated
        self._on_other_target = on_other_target
        self._calls = GrantCalls(grant_manager)
        self._keyed = False
        self._was_attached = False
        """Whether a connection to the present process has been made."""
        self._is_unconfirmed = False
        """Whether the present connections were made after all earlier ones had closed, and no
        heartbeat has been received since."""
        self._timer: Any = None

    @property
    def process_ended(self) -> bool:
        """Whether all connections to the process that sent earlier heartbeats have closed."""
        return self._was_attached and not self._is_attached

    @property
    def _is_attached(self) -> bool:
        """Whether a connection to the process that sent the last heartbeat is open."""
        return self._port.attached and not self._is_unconfirmed

    def set_keyed(self, keyed: bool) -> None:
        """Set whether the target's service is keyed; start the periodic check if it is."""
        self._keyed = keyed
        if keyed and self._timer is None:
            self._check_due()

    def target_changed(self) -> None:
        """Drop calls in transit, which concern the former incarnation."""
        self._port.close()
        self._was_attached = self._is_unconfirmed = False
        self._calls.target_changed()
        self._grant_manager.assume_unknown_grants(CALL_TRANSIT_S)

    def respond(self, received: float, *, at_once: bool) -> "Deferred[HeartbeatResponse]":
        """Answer a heartbeat at once, without keys; attach to the process that sent it.

        Once all connections have closed, the heartbeat may be a late one of a process that has
        ended: the process that accepts the next connection gets no keys before it sends another.
        """
        if self._keyed:
            self._is_unconfirmed = self._was_attached and not self._port.attached
            self._port.attach().addCallbacks(lambda _: self._attached(), self._not_attached)
        return succeed(HeartbeatResponse())

    def _attached(self) -> None:
        self._was_attached = self._was_attached or self._port.attached
        self.deliver()

    def _not_attached(self, failure: Failure) -> None:
        failure.trap(ServerUnreachable)
        self._log.emit(
            "target_not_reached", failure=True, target=self._grant_manager.target,
            error=failure.getErrorMessage(),
        )  # fmt: skip

    def deliver(self) -> None:
        """Make the grant and release calls that are due."""
        if not self._keyed or not self._grant_manager.target:
            return
        for call in self._calls.due(boot_time(), attached=self._is_attached):
            if isinstance(call, GrantCall):
                self._grant(call)
            else:
                self._release(call)

    def _check_due(self) -> None:
        self._timer = self._reactor.callLater(CHECK_INTERVAL_S, self._check_due)
        self.deliver()

    # -- grants -------------------------------------------------------------------------

    def _grant(self, call: GrantCall) -> None:
        target = self._grant_manager.target
        if call.first_time:
            self._log.emit(
                "grant_sent", target=target, first=call.row.first, last=call.row.last,
                fence=call.row.fence, warm=bool(call.row.token), hold_s=round(call.hold_s, 3),
            )  # fmt: skip
        send_by = call.hold.sent + CALL_SEND_TIMEOUT_S
        self._port.grant(target, call.row, call.hold_s, send_by).addCallback(
            self._grant_replied, call, target
        )

    def _grant_replied(self, reply: GrantReply, call: GrantCall, target: str) -> None:
        if reply.verdict is GrantVerdict.TAKEN:
            if self._calls.granted(call) and call.first_time:
                self._on_granted(call.row.first, call.row.last)
            self.deliver()
            return
        if reply.verdict is GrantVerdict.UNANSWERED:
            self._calls.unanswered(call)
        elif reply.verdict is GrantVerdict.NOT_SENT:
            self._calls.not_sent(call)
        else:
            self._calls.refused(call, boot_time())
        key_map = self._grant_manager.key_map
        self._log.emit(
            "grant_not_taken", failure=True, target=target, reply=reply.verdict.value,
            detail=reply.detail, first=call.row.first, last=call.row.last, fence=call.row.fence,
            map=key_map.version if key_map is not None else 0,
        )  # fmt: skip
        if reply.verdict is GrantVerdict.NEWER_SEEN:
            self._on_map_outdated()
        if reply.other_target:
            self._on_other_target(target)

    # -- releases -------------------------------------------------------------------------

    def _release(self, call: ReleaseCall) -> None:
        sent = boot_time()
        self._log.emit(
            "release_sent", target=self._grant_manager.target, first=call.row.first,
            last=call.row.last, fence=call.row.fence,
        )  # fmt: skip
        response = self._port.release(self._grant_manager.target, call.row)
        response.addCallback(self._release_replied, call, sent)

    def _release_replied(self, reply: ReleaseReply, call: ReleaseCall, sent: float) -> None:
        took_s = round(boot_time() - sent, 3)
        if not reply.released:
            self._calls.release_unanswered(call)
            self._log.emit(
                "release_unanswered", failure=True, target=self._grant_manager.target,
                first=call.row.first, last=call.row.last, fence=call.row.fence, took_s=took_s,
                detail=reply.detail,
            )  # fmt: skip
            return
        if self._calls.released(call, reply.token):
            self._log.emit(
                "keys_released", target=self._grant_manager.target, first=call.row.first,
                last=call.row.last, fence=call.row.fence, took_s=took_s,
            )  # fmt: skip
            self._on_released()
