"""Errors of the coordination layer."""

from pearward_state.errors import PearwardError

__all__ = ["CoordinationError", "InvalidAssignment"]


class CoordinationError(PearwardError):
    """Root of the coordination layer's errors."""


class InvalidAssignment(CoordinationError):
    """A record breaks a rule that every version must keep."""
