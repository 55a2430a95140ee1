"""``make capacity``: run the bench and update the tables of the capacity page from its figures.

``--figures FILE`` uses the figures of an earlier run instead of running the bench.
"""

import json
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import click

__all__ = ["main"]

PAGE = Path("docs/design/cells-capacity.md")
FIGURES = Path("docs/figures.jsonl")
BEGIN, END = "<!-- figures: begin -->", "<!-- figures: end -->"
GROUPS = ("path", "slopes", "spread", "faults")
SECONDS_PER_DAY = 86_400
SHARDS_PER_SERVER = 64
SHARD_BYTES = 18
MEMBER_BYTES = 900
"""Size of a member object with its strings, by sys.getsizeof for one member of a cell of 128."""
TABLE_BYTES_PER_SERVER = 105
TABLE_BYTES_FIXED = 9_000
"""Size of a service's row and a history of fifty changes."""


@dataclass(frozen=True)
class Size:
    """The size and daily changes of a fleet."""

    name: str
    daemons: int
    cells: int
    requests: float
    changes_per_day: float
    failures_per_day: float
    replaced_per_day: float


SIZES = (
    Size("Munkalap", 14, 3, 14 * 12 * 10, 20, 0.1, 1),
    Size("Brazos", 12, 3, 12 * 12 * 10, 20, 0.1, 1),
    Size("in two years", 14_000, 100, 100e6, 26_000, 72, 1_800),
)


class Figures:
    """Measured figures by name."""

    def __init__(self, rows: list[dict[str, float]]) -> None:
        self._values = {str(row["name"]): float(row["value"]) for row in rows}

    @classmethod
    def from_lines(cls, text: str) -> "Figures":
        """Parse the bench's output."""
        return cls([json.loads(line) for line in text.splitlines() if line.startswith("{")])

    def __getitem__(self, name: str) -> float:
        return self._values[name]


def _number(value: float) -> str:
    if value >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _cell_servers(size: Size) -> float:
    return size.daemons / size.cells


def _row_name(size: Size) -> str:
    """Return the smallest measured cell with at least a size's servers, or the largest one."""
    servers = _cell_servers(size)
    return next((f"{n}x64" for n in (4, 16, 64, 128) if n >= servers), "128x64")


Formula = Callable[[Figures, Size], float]


def _request_cores(f: Figures, s: Size) -> float:
    per_request_us = f["cpu_ingress_us"] + f["cpu_owner_us"]
    return s.requests / s.daemons * per_request_us / 1e6


def _version_bytes(f: Figures, s: Size) -> float:
    """Return the bytes per second of new tables and records that a daemon receives."""
    table = TABLE_BYTES_FIXED + TABLE_BYTES_PER_SERVER * _cell_servers(s)
    record = f[f"record_bytes_{_row_name(s)}"]
    writes = f[f"loss_record_writes_{_row_name(s)}"]
    records_per_day = (s.failures_per_day + s.replaced_per_day) * writes
    values = f["spread_values_per_daemon_14000"]
    return (s.changes_per_day * table + records_per_day * record) * values / SECONDS_PER_DAY


def _routes_mb(f: Figures, s: Size) -> float:
    shards = s.daemons * SHARDS_PER_SERVER * SHARD_BYTES
    return (shards + s.daemons * MEMBER_BYTES) / 1e6


ROWS: tuple[tuple[str, str, Formula], ...] = (
    ("**ingress and owner**", "", lambda f, s: 0.0),
    ("requests a daemon", "1/s", lambda f, s: s.requests / s.daemons),
    ("cores for them, one leg of each kind", "cores", _request_cores),
    ("memory for 1,000 open streams", "MB",
     lambda f, s: f["rss_ingress_per_1000_streams_mb"] + f["rss_owner_per_1000_streams_mb"]),
    ("memory idle", "MB", lambda f, s: f["rss_idle_mb"]),
    ("memory for routes to every cell", "MB", _routes_mb),
    ("**member: owner's lease, witness, heartbeat**", "", lambda f, s: 0.0),
    ("servers in a cell", "", lambda f, s: _cell_servers(s)),
    ("processor time of the cores", "% of a core",
     lambda f, s: f[f"control_cpu_percent_{_row_name(s)}"]),
    ("processor time idle, the whole daemon", "% of a core", lambda f, s: f["cpu_idle_percent"]),
    ("bytes sent for leases and heartbeats", "KB/s",
     lambda f, s: f[f"control_bytes_per_s_{_row_name(s)}"] / 1000),
    ("messages sent", "1/s", lambda f, s: f[f"control_messages_per_s_{_row_name(s)}"]),
    ("bytes received of new tables and records", "KB/s",
     lambda f, s: _version_bytes(f, s) / 1000),
    ("**coordinator of a cell**", "", lambda f, s: 0.0),
    ("processor time", "% of a core",
     lambda f, s: f[f"coordinator_cpu_percent_{_row_name(s)}"]),
    ("record", "KB", lambda f, s: f[f"record_bytes_{_row_name(s)}"] / 1000),
    ("bytes a member for one loss", "KB",
     lambda f, s: f[f"loss_bytes_per_daemon_{_row_name(s)}"] / 1000),
    ("**platform's service**", "", lambda f, s: 0.0),
    ("calls a second, nothing happening", "1/s",
     lambda f, s: f["platform_calls_idle"] / 60 * s.cells),
    ("waiting watches", "", lambda f, s: 2.0 * s.cells),
    ("writes a second for failures and replacements", "1/s",
     lambda f, s: (s.failures_per_day + s.replaced_per_day)
     * f[f"loss_record_writes_{_row_name(s)}"] / SECONDS_PER_DAY),
    ("writes a second for the table", "1/s", lambda f, s: s.changes_per_day / SECONDS_PER_DAY),
    ("**a configuration change**", "", lambda f, s: 0.0),
    ("message delays until all have it, 14,000 daemons", "",
     lambda f, s: f["spread_rounds_all_14000"]),
    ("**a lost daemon**", "", lambda f, s: 0.0),
    ("shards that move", "", lambda f, s: SHARDS_PER_SERVER),
    ("keys unavailable for it", "s", lambda f, s: f["unavailable_daemon_kill_max_s"]),
)  # fmt: skip


def _tables(figures: Figures) -> str:
    """Return the page's table in Markdown."""
    head = "| | unit | " + " | ".join(size.name for size in SIZES) + " |"
    lines = [head, "|---" * (2 + len(SIZES)) + "|"]
    for name, unit, formula in ROWS:
        if name.startswith("**"):
            lines.append(f"| {name} |" + " |" * (1 + len(SIZES)))
            continue
        cells = " | ".join(_number(formula(figures, size)) for size in SIZES)
        lines.append(f"| {name} | {unit} | {cells} |")
    return "\n".join(lines)


def _measure() -> str:
    """Run the bench and return its output."""
    output = ""
    for group in GROUPS:
        command = [sys.executable, "-m", "pearward_devtools.bench", "--only", group]
        output += subprocess.run(command, capture_output=True, text=True, check=True).stdout
    return output


@click.command()
@click.option(
    "--figures", type=click.Path(exists=True, path_type=Path), help="Figures of an earlier run."
)
def main(figures: Path | None) -> None:
    """Rewrite the capacity page's tables."""
    text = figures.read_text(encoding="utf-8") if figures else _measure()
    FIGURES.write_text(
        "".join(line + "\n" for line in text.splitlines() if line.startswith("{")),
        encoding="utf-8",
    )
    page = PAGE.read_text(encoding="utf-8")
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    table = _tables(Figures.from_lines(text))
    PAGE.write_text(f"{before}{BEGIN}\n\n{table}\n\n{END}{after}", encoding="utf-8")
    click.echo(table)


if __name__ == "__main__":
    main()
