"""Field-by-field differences between two versions of a service's rows.

A row's address is ``service`` or ``servers/<name>``. Edits of different fields are merged. Edits
that set the same field to different values are a conflict, which is reported with both values.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["Conflict", "Edit", "apply_edits", "diff_rows", "find_conflicts"]

ABSENT = None
"""Value of a field or row that is missing from one of the versions."""


@dataclass(frozen=True, slots=True)
class Edit:
    """A change of one field or, if ``field`` is empty, the addition or removal of a row."""

    row: str
    field: str
    old: Any
    new: Any

    def __str__(self) -> str:
        where = f"{self.row}.{self.field}" if self.field else self.row
        if not self.field:
            return f"{'+' if self.new is not ABSENT else '-'} {where}"
        return f"~ {where}: {self.old!r} -> {self.new!r}"


@dataclass(frozen=True, slots=True)
class Conflict:
    """A field or row that a concurrent edit has set to a different value."""

    row: str
    field: str
    base: Any
    theirs: Any
    ours: Any

    def __str__(self) -> str:
        where = f"{self.row}.{self.field}" if self.field else self.row
        return f"{where}: was {self.base!r}, now {self.theirs!r}, you asked for {self.ours!r}"


def _flat(rows: Mapping[str, Any]) -> dict[str, Mapping[str, Any]]:
    """Return the rows by address."""
    flat: dict[str, Mapping[str, Any]] = {}
    if rows.get("service") is not None:
        flat["service"] = rows["service"]
    for name, row in (rows.get("servers") or {}).items():
        flat[f"servers/{name}"] = row or {}
    return flat


def diff_rows(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[Edit]:
    """Return the edits that turn *old* into *new*, sorted by address."""
    before, after = _flat(old), _flat(new)
    edits: list[Edit] = []
    for row in sorted(before.keys() | after.keys()):
        if row not in after:
            edits.append(Edit(row, "", dict(before[row]), ABSENT))
            continue
        if row not in before:
            edits.append(Edit(row, "", ABSENT, dict(after[row])))
            continue
        for name in sorted(before[row].keys() | after[row].keys()):
            was, now = before[row].get(name), after[row].get(name)
            if was != now:
                edits.append(Edit(row, name, was, now))
    return edits


def find_conflicts(edits: list[Edit], theirs: list[Edit]) -> list[Conflict]:
    """Return the conflicts of *edits* with *theirs*, the edits made concurrently."""
    by_field = {(edit.row, edit.field): edit for edit in theirs}
    whole_rows = {edit.row for edit in theirs if not edit.field}
    conflicts: list[Conflict] = []
    for edit in edits:
        other = by_field.get((edit.row, edit.field))
        if other is not None and other.new != edit.new:
            conflicts.append(Conflict(edit.row, edit.field, edit.old, other.new, edit.new))
        elif edit.field and edit.row in whole_rows:
            row_edit = by_field[edit.row, ""]
            conflicts.append(Conflict(edit.row, edit.field, edit.old, row_edit.new, edit.new))
        elif not edit.field and edit.new is ABSENT and other is None:
            in_row = [t for t in theirs if t.row == edit.row]
            conflicts.extend(Conflict(t.row, t.field, t.old, t.new, "row removed") for t in in_row)
    return conflicts


def apply_edits(rows: Mapping[str, Any], edits: list[Edit]) -> dict[str, Any]:
    """Return a copy of *rows* with *edits* applied."""
    flat = {address: dict(row) for address, row in _flat(rows).items()}
    for edit in edits:
        if edit.field:
            flat.setdefault(edit.row, {})[edit.field] = edit.new
        elif edit.new is ABSENT:
            flat.pop(edit.row, None)
        else:
            flat[edit.row] = dict(edit.new)
    return {
        "service": flat.get("service", {}),
        "servers": {
            address.removeprefix("servers/"): row
            for address, row in flat.items()
            if address.startswith("servers/")
        },
    }
