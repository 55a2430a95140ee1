"""Checked reading of plain mappings (parsed YAML or JSON) into typed values.

Every check raises :class:`~pearward_state.errors.InvalidField` with the dotted
path of the field, so that a message can point at one line of one file.
"""

import ipaddress
from collections.abc import Mapping
from enum import StrEnum
from typing import Any, TypeVar

from .errors import InvalidField

__all__ = ["FieldReader"]

PORTS = 65_536
_E = TypeVar("_E", bound=StrEnum)


class FieldReader:
    """Reads the fields of one mapping and remembers which ones were asked for.

    Call :meth:`finish` last: it refuses fields that nobody read, which is how a
    misspelt name is found.
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
        """Return the unchecked value of *name*."""
        self._seen.add(name)
        value = self._data.get(name, default)
        return default if value is None else value

    def section(self, name: str) -> "FieldReader":
        """Return a reader for the mapping under *name*; an absent one is empty."""
        return FieldReader(self.raw(name, {}), self.path(name))

    def text(self, name: str, default: str | None = None) -> str:
        """Return a non-empty string."""
        value = self.raw(name, default)
        if value is None:
            raise InvalidField(self.path(name), None, "is required")
        if not isinstance(value, str) or not value:
            raise InvalidField(self.path(name), value, "expected a non-empty string")
        return value

    def texts(self, name: str) -> list[str]:
        """Return a list of non-empty strings; an absent one is empty."""
        values = self.items(name)
        for value in values:
            if not isinstance(value, str) or not value:
                raise InvalidField(self.path(name), value, "expected a non-empty string")
        return values

    def address(self, name: str, default: str | None = None) -> str:
        """Return an IP address and a port, as IP:port."""
        value = self.text(name, default)
        ip, _, port = value.rpartition(":")
        try:
            ipaddress.ip_address(ip)
        except ValueError:
            raise InvalidField(self.path(name), value, "expected IP:port") from None
        if not port.isdecimal() or not 0 < int(port) < PORTS:
            raise InvalidField(self.path(name), value, f"expected a port in 1..{PORTS - 1}")
        return value

    def text_or_empty(self, name: str) -> str:
        """Return a string that may be empty, but has to be there."""
        value = self.raw(name)
        if not isinstance(value, str):
            raise InvalidField(self.path(name), value, "expected a string")
        return value

    def whole(self, name: str, *, low: int = 0, high: int = 2**53) -> int:
        """Return a whole number within ``low..high`` that has to be there."""
        if self.raw(name) is None:
            raise InvalidField(self.path(name), None, "is required")
        return self.integer(name, 0, low=low, high=high)

    def integer(self, name: str, default: int, *, low: int = 0, high: int = 2**63 - 1) -> int:
        """Return a whole number within ``low..high``."""
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
        """Return a truth value."""
        value = self.raw(name, default)
        if not isinstance(value, bool):
            raise InvalidField(self.path(name), value, "expected true or false")
        return value

    def choice(self, name: str, kind: type[_E], default: _E | None = None) -> _E:
        """Return a member of the string enumeration *kind*."""
        value = self.raw(name, default)
        if value is None:
            raise InvalidField(self.path(name), None, "is required")
        try:
            return kind(value)
        except ValueError:
            allowed = ", ".join(kind)
            raise InvalidField(self.path(name), value, f"expected one of {allowed}") from None

    def items(self, name: str) -> list[Any]:
        """Return a list; an absent one is empty."""
        value = self.raw(name, [])
        if not isinstance(value, list):
            raise InvalidField(self.path(name), value, "expected a list")
        return value

    def finish(self) -> None:
        """Refuse fields that were never asked for."""
        for name in self._data:
            if name not in self._seen:
                raise InvalidField(self.path(str(name)), self._data[name], "unknown field")
