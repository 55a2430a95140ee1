"""Differences between two versions of a service's rows, field by field.

A row's address is ``service`` or ``servers/<name>``. Two edits that touch
different fields merge; two that set one field to different values are a
conflict, which shows both values.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["Conflict", "Edit", "apply_edits", "diff_rows", "find_conflicts"]

ABSENT = None
"""Value of a field that one side does not have."""


@dataclass(frozen=True, slots=True)
class Edit:
    """One field that is to change, or (with ``field`` empty) one row to come or go."""

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
    """A field that somebody else changed meanwhile to another value."""

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
    """Return the edits that turn *old* into *new*, in the order of their addresses."""
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
    """Return those of *edits* that *theirs*, made since, contradict."""
    by_field = {(edit.row, edit.field): edit for edit in theirs}
    whole_rows = {edit.row for edit in theirs if not edit.field}
    conflicts: list[Conflict] = []
    for edit in edits:
        other = by_field.get((edit.row, edit.field))
        if other is not None and other.new != edit.new:
            conflicts.append(Conflict(edit.row, edit.field, edit.old, other.new, edit.new))
        elif edit.field and edit.row in whole_rows:
            gone = by_field[edit.row, ""]
            conflicts.append(Conflict(edit.row, edit.field, edit.old, gone.new, edit.new))
        elif not edit.field and edit.new is ABSENT and other is None:
            touched = [t for t in theirs if t.row == edit.row]
            conflicts.extend(Conflict(t.row, t.field, t.old, t.new, "row removed") for t in touched)
    return conflicts


def apply_edits(rows: Mapping[str, Any], edits: list[Edit]) -> dict[str, Any]:
    """Return *rows* with *edits* made; neither argument changes."""
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
