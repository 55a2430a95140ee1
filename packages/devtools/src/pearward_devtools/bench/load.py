"""What one owner's report costs the planner, by the owners and keys that it knows already."""

import time
from random import Random

from pearward_coordination.key_load import KeyCount, KeyLoadTable

from .report import emit

__all__ = ["measure_report", "run"]

REPORT_INTERVAL_S = 0.4
ROWS = 8
"""Rows of a usual report: an owner gets some twenty requests a second."""
REPORTS = 300


def _report(rng: Random, keys: int) -> tuple[KeyCount, ...]:
    chosen = sorted(rng.randrange(keys) for _ in range(ROWS))
    return tuple(KeyCount(key, key, 2) for key in chosen)


def measure_report(owners: int, keys: int) -> None:
    """Measure one size and print it."""
    rng = Random(3)
    table = KeyLoadTable()
    now = 1000.0
    table.add((KeyCount(key, key, 50) for key in range(keys)), now)
    spent = 0.0
    for number in range(REPORTS):
        now += REPORT_INTERVAL_S / owners
        report = _report(rng, keys)
        began = time.perf_counter()
        table.add(report, now)
        spent += time.perf_counter() - began
        if number == 0:
            spent = 0.0
    emit(f"load_report_{owners}_owners_{keys}_keys", spent / (REPORTS - 1) * 1e6, "us")


def run() -> None:
    """Run the group."""
    for owners in (10, 100, 1000):
        measure_report(owners, 10_000)
