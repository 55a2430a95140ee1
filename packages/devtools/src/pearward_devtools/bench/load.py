"""Processing time of one owner's load report at the planner, by number of owners and keys."""

import time
from random import Random

from pearward_coordination.key_load import KeyCount, KeyLoadTable

from .report import emit

__all__ = ["measure_report", "run"]

REPORT_INTERVAL_S = 0.4
ROWS = 8
"""Rows of a typical report: an owner receives about 20 requests per second."""
REPORTS = 300


def _report(rng: Random, keys: int) -> tuple[KeyCount, ...]:
    sampled = sorted(rng.randrange(keys) for _ in range(ROWS))
    return tuple(KeyCount(key, key, 2) for key in sampled)


def measure_report(owners: int, keys: int) -> None:
    """Measure the mean time of a report for one number of owners and keys, and print it."""
    rng = Random(3)
    table = KeyLoadTable()
    now = 1000.0
    table.add((KeyCount(key, key, 50) for key in range(keys)), now)
    elapsed_s = 0.0
    for number in range(REPORTS):
        now += REPORT_INTERVAL_S / owners
        report = _report(rng, keys)
        began = time.perf_counter()
        table.add(report, now)
        elapsed_s += time.perf_counter() - began
        if number == 0:
            elapsed_s = 0.0
    emit(f"load_report_{owners}_owners_{keys}_keys", elapsed_s / (REPORTS - 1) * 1e6, "us")


def run() -> None:
    """Run all measurements of this group."""
    for owners in (10, 100, 1000):
        measure_report(owners, 10_000)
