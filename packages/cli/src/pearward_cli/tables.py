"""Reading and changing the operators' table on the platform's service."""

import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from pearward_state.errors import InvalidField, InvalidRecord
from pearward_state.table import Change, ServiceTable
from pearward_state.tablediff import Edit, apply_edits, diff_rows, find_conflicts
from pearward_transport.errors import CasConflict, PlatformUnavailable
from pearward_transport.platform import KeyValueService

from .errors import ConflictingEdits, InvalidInput, PlatformDown

__all__ = ["Applied", "TableEditor"]

PREFIX = "table/"
MAX_TRIES = 20


@dataclass(frozen=True, slots=True)
class Applied:
    """An edit that is in the platform's service."""

    service: str
    version: int
    edits: tuple[Edit, ...]


@dataclass(frozen=True, slots=True)
class _Read:
    """A table as it was read, with the revision to compare on writing."""

    table: ServiceTable
    revision: int


class TableEditor:
    """Makes edits by compare-and-swap; two operators who race lose nothing."""

    def __init__(
        self, platform: KeyValueService, author: str, timestamp: Callable[[], str]
    ) -> None:
        self._platform = platform
        self._author = author
        self._timestamp = timestamp

    async def read_all(self) -> list[ServiceTable]:
        """Return every service's table."""
        try:
            pairs = await self._platform.scan(PREFIX)
        except PlatformUnavailable as error:
            raise PlatformDown(str(error)) from error
        return [_parse(pair.key.removeprefix(PREFIX), pair.value) for pair in pairs]

    async def read(self, service: str) -> ServiceTable:
        """Return one service's table; raises InvalidInput where there is none."""
        found = await self._read(service)
        if not found.revision:
            raise InvalidInput(f"unknown service {service!r}")
        return found.table

    async def plan(self, declared: Mapping[str, Mapping[str, Any]]) -> dict[str, list[Edit]]:
        """Return the edits that would make the table as *declared*."""
        planned: dict[str, list[Edit]] = {}
        for service, rows in declared.items():
            found = await self._read(service)
            before = found.table.to_mapping() if found.revision else {}
            planned[service] = diff_rows(before, rows)
        return planned

    async def apply(self, service: str, rows: Mapping[str, Any]) -> Applied | None:
        """Make a service's rows as declared; None where they are so already."""
        found = await self._read(service)
        before = found.table.to_mapping() if found.revision else {}
        return await self._make(service, found, diff_rows(before, rows))

    async def edit(self, service: str, row: str, values: Mapping[str, Any]) -> Applied | None:
        """Set fields of one row (``service`` or ``servers/<name>``)."""
        found = await self._read(service)
        if not found.revision:
            raise InvalidInput(f"unknown service {service!r}")
        rows = found.table.to_mapping()
        if row == "service":
            before = rows["service"]
        else:
            before = rows["servers"].get(row.removeprefix("servers/"))
            if before is None:
                raise InvalidInput(f"{service}: unknown server {row.removeprefix('servers/')!r}")
        for name in values:
            if name not in before:
                raise InvalidInput(f"{service}: {row}.{name}: unknown field")
        edits = [
            Edit(row, name, before[name], value)
            for name, value in values.items()
            if before[name] != value
        ]
        return await self._make(service, found, edits)

    async def _make(self, service: str, found: _Read, edits: list[Edit]) -> Applied | None:
        """Write *edits*; where somebody was quicker, on top of theirs if the fields differ."""
        write_id = secrets.token_hex(8)
        base = found.table.to_mapping() if found.revision else {}
        for _ in range(MAX_TRIES):
            if not edits:
                return None
            table = self._changed(service, found, edits, write_id)
            if await self._write(service, found.revision, table):
                return Applied(service, table.version, tuple(edits))
            found = await self._read(service)
            theirs = diff_rows(base, found.table.to_mapping())
            conflicts = find_conflicts(edits, theirs)
            if conflicts:
                raise ConflictingEdits(service, conflicts)
        raise PlatformDown(f"{service}: changed by others {MAX_TRIES} times in a row")

    def _changed(
        self, service: str, found: _Read, edits: list[Edit], write_id: str
    ) -> ServiceTable:
        before = found.table.to_mapping() if found.revision else {}
        summary = "; ".join(str(edit) for edit in edits)
        change = Change(found.table.version + 1, self._author, self._timestamp(), summary[:500])
        try:
            return found.table.changed(apply_edits(before, edits), change, write_id)
        except InvalidField as error:
            raise InvalidInput(str(error)) from error

    async def _write(self, service: str, revision: int, table: ServiceTable) -> bool:
        """Swap; a lost answer is settled by looking for the write id."""
        try:
            await self._platform.swap(PREFIX + service, revision, table.to_bytes())
        except CasConflict:
            return False
        except PlatformUnavailable as lost:
            try:
                found = await self._read(service)
            except PlatformDown:
                raise PlatformDown(f"{lost}; it is not known whether it was written") from lost
            if found.table.write_id == table.write_id:
                return True
            if found.revision == revision:
                raise PlatformDown(f"{lost}; nothing was written") from lost
            return False
        return True

    async def _read(self, service: str) -> _Read:
        try:
            pair = await self._platform.get(PREFIX + service)
        except PlatformUnavailable as error:
            raise PlatformDown(str(error)) from error
        if pair is None:
            return _Read(ServiceTable.initial(service), 0)
        return _Read(_parse(service, pair.value), pair.revision)


def _parse(service: str, value: bytes) -> ServiceTable:
    try:
        return ServiceTable.from_bytes(service, value)
    except InvalidRecord as error:
        raise InvalidInput(str(error)) from error
