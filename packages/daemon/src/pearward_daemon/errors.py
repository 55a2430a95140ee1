"""Errors of the daemon."""

from pearward_state.errors import PearwardError

__all__ = ["DaemonError", "SettingsError"]


class DaemonError(PearwardError):
    """Root of the daemon's errors."""


class SettingsError(DaemonError):
    """The settings cannot be used; one line that names file, key path and value."""
