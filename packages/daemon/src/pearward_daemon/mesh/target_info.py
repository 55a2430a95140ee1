"""The published state of the local target, and the interface of those that use its changes."""

from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from pearward_state.members import Departure, TargetState

__all__ = ["LocalTargetListener", "TargetInfo"]


@dataclass(frozen=True, slots=True)
class TargetInfo:
    """State of the local target as published to other daemons."""

    target: str
    slots: int
    state: TargetState
    cold_until: float


class LocalTargetListener(Protocol):
    """Receives changes of the local target."""

    def target_info_changed(self, info: TargetInfo | None) -> None:
        """Handle a target that started, changed or terminated (None)."""

    def departure_announced(self, departure: Departure) -> "Deferred[None]":
        """Record that the target leaves; the Deferred fires once a later process would know."""

    def departure_over(self, target: str) -> None:
        """Remove the record of a departure, as the process under the id *target* has ended."""

    def keys_changed(self) -> None:
        """Handle keys that the target released, or a new set of keys that it owns."""

    def keys_missing(self) -> None:
        """Request keys from their predecessors."""

    def map_outdated(self) -> None:
        """Fetch the key map: the target has seen a newer one than this daemon."""
