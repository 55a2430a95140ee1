"""The interface through which the local target is notified of the keys it holds."""

from typing import Protocol

from twisted.internet.defer import Deferred

from .dialect import HeartbeatResponse

__all__ = ["GrantDelivery"]


class GrantDelivery(Protocol):
    """Delivers grants and releases to a target, in heartbeat responses or by calls."""

    @property
    def process_ended(self) -> bool:
        """Whether the process to which keys were delivered is known to have ended."""

    def set_keyed(self, keyed: bool) -> None:
        """Set whether the target's service is keyed."""

    def target_changed(self) -> None:
        """Handle a new incarnation of the target."""

    def respond(self, received: float, *, at_once: bool) -> "Deferred[HeartbeatResponse]":
        """Return the response to a heartbeat received at *received*, delayed unless *at_once*."""

    def deliver(self) -> None:
        """Deliver changes of the target's keys now."""
