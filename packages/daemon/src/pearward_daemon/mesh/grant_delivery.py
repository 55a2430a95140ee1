"""The port by which the target beside this daemon learns which keys it holds."""

from typing import Protocol

from twisted.internet.defer import Deferred

from .dialect import BeatAnswer

__all__ = ["GrantDelivery"]


class GrantDelivery(Protocol):
    """Tells a target its keys: in answers to its heartbeats, or by calls."""

    def set_keyed(self, keyed: bool) -> None:
        """Say whether the target holds keys at all."""

    def target_changed(self) -> None:
        """Another incarnation of the target is there."""

    def respond(self, received: float, *, at_once: bool) -> "Deferred[BeatAnswer]":
        """Return the answer to a heartbeat that was received at *received*."""

    def deliver(self) -> None:
        """Tell the target now what has changed of its keys."""
