"""Errors of the daemon."""

from pearward_state.errors import PearwardError

__all__ = ["DaemonError", "MapNotSettled", "SettingsError"]


class DaemonError(PearwardError):
    """Root of the daemon's errors."""


class MapNotSettled(DaemonError):
    """A key map cannot be written anew yet: others may know a newer one than this daemon."""


class SettingsError(DaemonError):
    """The settings cannot be used; one line that names file, key path and value."""
