"""Validated reading of plain mappings (parsed YAML or JSON) into typed values.

A failed check raises :class:`~pearward_state.errors.InvalidField` with the dotted path
of the field, so that the error message locates the field in its file.
"""

import ipaddress
from collections.abc import Mapping
from enum import StrEnum
from typing import Any, TypeVar

from .errors import InvalidField

__all__ = ["FieldReader"]

MAX_NAME = 256
"""Maximum length of a name; keys of the platform's store are shorter."""
PORT_LIMIT = 65_536
"""Port numbers are below this value."""
MAX_PORT_DIGITS = 5
_E = TypeVar("_E", bound=StrEnum)


class FieldReader:
    """Reads the fields of one mapping and records which ones have been read.

    Call :meth:`finish` last: it rejects fields that were not read, so that a misspelt
    name is reported instead of ignored.
    """

    def __init__(self, data: object, path: str) -> None:
        if data is None:
            data = {}
        if not isinstance(data, Mapping):
            raise InvalidField(path, data, "expected a mapping")
        self._data: Mapping[str, Any] = data
        self._path = path
        self._seen: set[str] = set()

    def path(self, name: str) -> str:
        """Return the dotted path of field *name*."""
        return f"{self._path}.{name}" if self._path else name

    def raw(self, name: str, default: Any = None) -> Any:
        """Return the value of *name* without validation; null counts as absent."""
        self._seen.add(name)
        value = self._data.get(name, default)
        return default if value is None else value

    def section(self, name: str) -> "FieldReader":
        """Return a reader for the mapping under *name*, empty if it is absent."""
        return FieldReader(self.raw(name, {}), self.path(name))

    def text(self, name: str, default: str | None = None) -> str:
        """Return a non-empty string; required unless *default* is given."""
        value = self.raw(name, default)
        if value is None:
            raise InvalidField(self.path(name), None, "is required")
        if not isinstance(value, str) or not value:
            raise InvalidField(self.path(name), value, "expected a non-empty string")
        return value

    def name(self, name: str) -> str:
        """Return a required name of at most MAX_NAME printable characters."""
        value = self.text(name)
        if len(value) > MAX_NAME or not value.isprintable():
            raise InvalidField(self.path(name), value, f"expected up to {MAX_NAME} characters")
        return value

    def texts(self, name: str) -> list[str]:
        """Return a list of non-empty strings, empty if it is absent."""
        values = self.items(name)
        for value in values:
            if not isinstance(value, str) or not value:
                raise InvalidField(self.path(name), value, "expected a non-empty string")
        return values

    def address(self, name: str, default: str | None = None) -> str:
        """Return an address of the form IP:port."""
        value = self.text(name, default)
        ip, _, port = value.rpartition(":")
        try:
            ipaddress.ip_address(ip)
        except ValueError:
            raise InvalidField(self.path(name), value, "expected IP:port") from None
        digits = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
        if not digits or not 0 < int(port) < PORT_LIMIT:
            raise InvalidField(self.path(name), value, f"expected a port in 1..{PORT_LIMIT - 1}")
        return value

    def text_or_empty(self, name: str) -> str:
        """Return a required string, which may be empty."""
        value = self.raw(name)
        if not isinstance(value, str):
            raise InvalidField(self.path(name), value, "expected a string")
        return value

    def required_int(self, name: str, *, low: int = 0, high: int = 2**53) -> int:
        """Return a required integer within ``low..high``."""
        if self.raw(name) is None:
            raise InvalidField(self.path(name), None, "is required")
        return self.integer(name, 0, low=low, high=high)

    def integer(self, name: str, default: int, *, low: int = 0, high: int = 2**63 - 1) -> int:
        """Return an integer within ``low..high``."""
        value = self.raw(name, default)
        if isinstance(value, bool) or not isinstance(value, int):
            raise InvalidField(self.path(name), value, "expected a whole number")
        if not low <= value <= high:
            raise InvalidField(self.path(name), value, f"expected {low}..{high}")
        return value

    def number(self, name: str, default: float, *, low: float = 0.0, high: float = 1e12) -> float:
        """Return a number within ``low..high``."""
        value = self.raw(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise InvalidField(self.path(name), value, "expected a number")
        if not low <= value <= high:
            raise InvalidField(self.path(name), value, f"expected {low}..{high}")
        return float(value)

    def flag(self, name: str, default: bool) -> bool:
        """Return a boolean."""
        value = self.raw(name, default)
        if not isinstance(value, bool):
            raise InvalidField(self.path(name), value, "expected true or false")
        return value

    def choice(self, name: str, kind: type[_E], default: _E | None = None) -> _E:
        """Return a member of the string enumeration *kind*."""
        value = self.raw(name, default)
        if value is None:
            raise InvalidField(self.path(name), None, "is required")
        # The enumeration's own error contains the value, which may be nested to any depth.
        if not isinstance(value, str) or value not in set(kind):
            raise InvalidField(self.path(name), value, f"expected one of {', '.join(kind)}")
        return kind(value)

    def items(self, name: str) -> list[Any]:
        """Return a list, empty if it is absent."""
        value = self.raw(name, [])
        if not isinstance(value, list):
            raise InvalidField(self.path(name), value, "expected a list")
        return value

    def finish(self) -> None:
        """Raise InvalidField if the mapping has a field that was not read."""
        for name in self._data:
            if name not in self._seen:
                raise InvalidField(self.path(str(name)), self._data[name], "unknown field")
