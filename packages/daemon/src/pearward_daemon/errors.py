"""Errors of the daemon."""

from pearward_state.errors import PearwardError

__all__ = ["DaemonError", "MapNotSettled", "SettingsError"]


class DaemonError(PearwardError):
    """Base class of the daemon's errors."""


class MapNotSettled(DaemonError):
    """A key map cannot be written yet, since other daemons may hold a newer one."""


class SettingsError(DaemonError):
    """The settings are invalid; the message is one line with file, key path and value."""
