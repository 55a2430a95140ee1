"""Errors of the command line, each with its exit code."""

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
    """Root of the command line's errors."""

    exit_code = 1


class InvalidInput(CliError):
    """A file, a row or an argument cannot be used."""

    exit_code = 2


class PlatformDown(CliError):
    """The platform's service did not answer; what was to be written may or may not be."""

    exit_code = 3


class DaemonDown(CliError):
    """A daemon that is needed did not answer."""

    exit_code = 3


class ConflictingEdits(CliError):
    """Somebody else changed the same fields meanwhile; nothing of this edit was written."""

    exit_code = 4

    def __init__(self, service: str, conflicts: list[Conflict]) -> None:
        lines = "\n".join(f"  {conflict}" for conflict in conflicts)
        super().__init__(f"{service}: changed by somebody else meanwhile:\n{lines}")
        self.conflicts = conflicts


class NotConfirmed(CliError):
    """Not every live daemon has confirmed the change in time."""

    exit_code = 5
