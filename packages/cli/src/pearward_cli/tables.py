"""Reads and edits the operators' table in the platform's key-value service."""

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

__all__ = ["AppliedEdits", "TableEditor"]

PREFIX = "table/"
MAX_ATTEMPTS = 20


@dataclass(frozen=True, slots=True)
class AppliedEdits:
    """An edit that was written to the platform's service."""

    service: str
    version: int
    edits: tuple[Edit, ...]


@dataclass(frozen=True, slots=True)
class _Read:
    """A table, and the revision at which it was read, to be compared on writing."""

    table: ServiceTable
    revision: int


class TableEditor:
    """Writes edits by compare-and-swap, so that concurrent edits are not lost."""

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
        """Return one service's table; raises InvalidInput if there is none."""
        found = await self._read(service)
        if not found.revision:
            raise InvalidInput(f"unknown service {service!r}")
        return found.table

    async def plan(self, declared: Mapping[str, Mapping[str, Any]]) -> dict[str, list[Edit]]:
        """Return the edits that change the table to *declared*."""
        planned: dict[str, list[Edit]] = {}
        for service, rows in declared.items():
            found = await self._read(service)
            before = found.table.to_mapping() if found.revision else {}
            planned[service] = diff_rows(before, rows)
        return planned

    async def apply(self, service: str, rows: Mapping[str, Any]) -> AppliedEdits | None:
        """Change a service's rows to *rows*; return None if nothing differs."""
        found = await self._read(service)
        before = found.table.to_mapping() if found.revision else {}
        return await self._commit(service, found, diff_rows(before, rows))

    async def edit(self, service: str, row: str, values: Mapping[str, Any]) -> AppliedEdits | None:
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
        return await self._commit(service, found, edits)

    async def _commit(self, service: str, found: _Read, edits: list[Edit]) -> AppliedEdits | None:
        """Write *edits*; after a concurrent edit of other fields, retry on top of it.

        Raises ConflictingEdits if the same fields were changed.
        """
        write_id = secrets.token_hex(8)
        base = found.table.to_mapping() if found.revision else {}
        for _ in range(MAX_ATTEMPTS):
            if not edits:
                return None
            table = self._changed(service, found, edits, write_id)
            if await self._write(service, found.revision, table):
                return AppliedEdits(service, table.version, tuple(edits))
            found = await self._read(service)
            concurrent_edits = diff_rows(base, found.table.to_mapping())
            conflicts = find_conflicts(edits, concurrent_edits)
            if conflicts:
                raise ConflictingEdits(service, conflicts)
        raise PlatformDown(f"{service}: {MAX_ATTEMPTS} writes in a row failed due to other changes")

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
        """Swap the table and return whether it was written.

        If the response was lost, the write id in the store shows the outcome.
        """
        try:
            await self._platform.swap(PREFIX + service, revision, table.to_bytes())
        except CasConflict:
            return False
        except PlatformUnavailable as lost:
            try:
                found = await self._read(service)
            except PlatformDown:
                raise PlatformDown(f"{lost}; the change may or may not have been written") from lost
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
