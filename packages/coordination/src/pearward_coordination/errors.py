"""Errors of the coordination layer."""

from pearward_state.errors import PearwardError

__all__ = ["CoordinationError", "InvalidAssignment"]


class CoordinationError(PearwardError):
    """Base class of the coordination layer's errors."""


class InvalidAssignment(CoordinationError):
    """Raised for a record that violates an invariant of all versions."""
