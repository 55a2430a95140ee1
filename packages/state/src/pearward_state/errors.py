"""Errors of the state layer; each names the offending value."""

__all__ = ["InvalidField", "InvalidRecord", "PearwardError", "StateError"]


class PearwardError(Exception):
    """Root of every error that pearward raises on purpose."""


class StateError(PearwardError):
    """Root of the state layer's errors."""


class InvalidField(StateError):
    """A field of a row or of the settings has a value that is not allowed."""

    def __init__(self, path: str, value: object, reason: str) -> None:
        super().__init__(f"{path}: {value!r}: {reason}")
        self.path = path
        self.value = value
        self.reason = reason


class InvalidRecord(StateError):
    """The bytes of a stored record cannot be understood."""
