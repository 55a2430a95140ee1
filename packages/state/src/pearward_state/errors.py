"""Exceptions of the state layer; each message includes the offending value."""

from reprlib import Repr

__all__ = ["InvalidField", "InvalidRecord", "PearwardError", "StateError", "abridged"]

_ABRIDGED = Repr()
_ABRIDGED.maxlevel = 4
_ABRIDGED.maxdict = _ABRIDGED.maxlist = _ABRIDGED.maxtuple = 10
_ABRIDGED.maxstring = _ABRIDGED.maxother = 200


def abridged(value: object) -> str:
    """Return the representation of a value of any size and depth, shortened for a message."""
    return _ABRIDGED.repr(value)


class PearwardError(Exception):
    """Base class of all exceptions that pearward raises deliberately."""


class StateError(PearwardError):
    """Base class of the state layer's exceptions."""


class InvalidField(StateError):
    """A field of a table row or of the settings has an invalid value."""

    def __init__(self, path: str, value: object, reason: str) -> None:
        super().__init__(f"{path}: {abridged(value)}: {reason}")
        self.path = path
        self.value = value
        self.reason = reason


class InvalidRecord(StateError):
    """A stored record cannot be decoded or is inconsistent."""
