"""Errors of the command-line interface with their exit codes."""

from pearward_state.errors import PearwardError
from pearward_state.tablediff import Conflict

__all__ = [
    "CliError",
    "ConflictingEdits",
    "DaemonDown",
    "InvalidInput",
    "NotConfirmed",
    "PlatformDown",
]


class CliError(PearwardError):
    """Base class of the errors of the command-line interface."""

    exit_code = 1


class InvalidInput(CliError):
    """A file, a row or an argument is invalid."""

    exit_code = 2


class PlatformDown(CliError):
    """The platform's service did not respond; a write may or may not have been applied."""

    exit_code = 3


class DaemonDown(CliError):
    """A required daemon did not respond."""

    exit_code = 3


class ConflictingEdits(CliError):
    """The same fields were changed concurrently; no part of this edit was written."""

    exit_code = 4

    def __init__(self, service: str, conflicts: list[Conflict]) -> None:
        lines = "\n".join(f"  {conflict}" for conflict in conflicts)
        super().__init__(f"{service}: changed concurrently by another operator:\n{lines}")
        self.conflicts = conflicts


class NotConfirmed(CliError):
    """Not all live daemons confirmed the change in time."""

    exit_code = 5
