"""Exceptions of the state layer; each message includes the offending value."""

__all__ = ["InvalidField", "InvalidRecord", "PearwardError", "StateError"]


class PearwardError(Exception):
    """Base class of all exceptions that pearward raises deliberately."""


class StateError(PearwardError):
    """Base class of the state layer's exceptions."""


class InvalidField(StateError):
    """A field of a table row or of the settings has an invalid value."""

    def __init__(self, path: str, value: object, reason: str) -> None:
        super().__init__(f"{path}: {value!r}: {reason}")
        self.path = path
        self.value = value
        self.reason = reason


class InvalidRecord(StateError):
    """A stored record cannot be decoded or is inconsistent."""
