"""Steps for the table of the score that is lost, by cause."""

import json
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then

from pearward_devtools.bench.worth import read_days, table


def _entry(name: str, at: str, worth: float, broken: list[str]) -> dict[str, Any]:
    day = {
        "name": name,
        "G": worth,
        "parts": [["whole day", 0.6, 0.9], ["worst windows", 0.4, 0.5]],
        "prices": [["memory", 3.0, 0.01], ["machine-seconds", 9.0, 0.04], ["probes", 0.0, 0.0]],
        "rules": dict.fromkeys(broken, 1),
    }
    return {
        "site": "a-site", "cmd": "run", "argv": ["a-site.toml"], "at": [at, at], "days": [day],
    }  # fmt: skip


def _table(entries: list[dict[str, Any]]) -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        for number, entry in enumerate(entries):
            (Path(folder) / f"{number}.json").write_text(json.dumps(entry), encoding="utf-8")
        return table(read_days(Path(folder))).splitlines()[2:]


@given('entries of two runs of "{name}" with worth {first:g} and then {second:g}, '
       "and of a drawn day")  # fmt: skip
def two_runs(context: Any, name: str, first: float, second: float) -> None:
    context.rows = _table(
        [
            _entry(name, "2026-01-02", second, []),
            _entry(name, "2026-01-01", first, []),
            _entry("fresh-1234", "2026-01-03", 0.1, []),
            {**_entry(name, "2026-01-04", 0.2, []), "argv": ["a-site.toml", "--until", "9"]},
        ]
    )


@given('an entry of "{name}" in which the rule "{rule}" was broken')
def broken_rule(context: Any, name: str, rule: str) -> None:
    context.rows = _table([_entry(name, "2026-01-01", 0.5, [rule])])


@then("the table has one row, with worth {worth}, the largest loss first and no broken rule")
def one_row(context: Any, worth: str) -> None:
    wanted = (
        f"| a-site | quiet-1 | {worth} | worst windows 0.200, whole day 0.060 "
        "| machine-seconds 0.040, memory 0.010 | none |"
    )
    assert context.rows == [wanted], context.rows


@then('the table\'s row names "{rule}"')
def names_rule(context: Any, rule: str) -> None:
    assert len(context.rows) == 1 and context.rows[0].endswith(f"| {rule} |"), context.rows
