"""Steps for the operators' command ``pearward``."""

import json
import socket
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import yaml
from behave import given, then, when
from environment import parsed, run_pearward

from pearward_coordination.messages import Push
from pearward_devtools.cluster import PEER_PORT, wait_until
from pearward_protocol.heads import Hello
from pearward_protocol.streams import Multiplexer
from pearward_state.table import ServiceTable
from pearward_state.tablediff import Edit, apply_edits


def _table(context: Any, service: str) -> ServiceTable:
    pairs = context.cluster._get(f"table/{service}")
    return ServiceTable.from_bytes(service, pairs[0].value)


@given(
    'a file that sets limit to {limit:d} and server "{server}" to weight {weight:d} for "{name}"'
)
def declared_file(context: Any, limit: int, server: str, weight: int, name: str) -> None:
    rows = _table(context, name).to_mapping()
    rows["service"]["limit"] = limit
    rows["servers"][server]["weight"] = weight
    path = Path(context.cluster.directory) / "declared" / f"{name}.yaml"
    path.parent.mkdir(exist_ok=True)
    path.write_text(yaml.safe_dump(rows), encoding="utf-8")
    context.notes["file"] = str(path)


def _arguments(context: Any, command: str) -> list[str]:
    return [context.notes["file"] if part == "FILE" else part for part in command.split()]


@when('the command "{command}" is run')
@then('the command "{command}" succeeds')
def run_command(context: Any, command: str) -> None:
    result = run_pearward(context, *_arguments(context, command))
    context.notes["result"] = result
    assert result.returncode == 0, result.stderr + result.stdout


@when('the command "{command}" is tried')
def try_command(context: Any, command: str) -> None:
    context.notes["result"] = run_pearward(context, *_arguments(context, command))


@then('it shows that "{first}" and "{second}" change')
def shows_changes(context: Any, first: str, second: str) -> None:
    text = context.notes["result"].stdout
    assert first in text and second in text and "2 changes" in text, text


@then("it shows no change")
def shows_none(context: Any) -> None:
    assert "0 changes" in context.notes["result"].stdout


@then('it shows "{text}"')
def shows(context: Any, text: str) -> None:
    assert text in context.notes["result"].stdout, context.notes["result"].stdout


@then('it ends with exit code {code:d} and names "{text}"')
def ends_and_names(context: Any, code: int, text: str) -> None:
    result = context.notes["result"]
    assert result.returncode == code, (result.returncode, result.stderr)
    assert text in result.stderr and "Traceback" not in result.stderr, result.stderr


@then('every daemon acts on the newest rows of "{service}"')
def all_up_to_date(context: Any, service: str) -> None:
    version = _table(context, service).version

    def behind() -> list[str]:
        reports = {n.name: context.cluster.status(n) for n in context.cluster.nodes}
        return [
            name
            for name, report in reports.items()
            if report is None or report["versions"].get(f"table/{service}") != version
        ]

    wait_until(lambda: not behind(), "the newest rows")


@when('two operators set "{first}" and "{second}" on "{service}" at once')
def concurrent_edits(context: Any, first: str, second: str, service: str) -> None:
    context.notes["version"] = _table(context, service).version
    with ThreadPoolExecutor(2) as pool:
        jobs = [pool.submit(run_pearward, context, "set", service, a) for a in (first, second)]
        context.notes["results"] = [job.result() for job in jobs]


@then("both succeed and both values are in the table")
def both_in_table(context: Any) -> None:
    assert all(r.returncode == 0 for r in context.notes["results"]), context.notes["results"]
    service = _table(context, "paypost").service
    assert (service.limit, service.churn_price) == (11, 3.5)


@when('two operators set "{first}" and "{second}" on "{service}" in a forced race')
def forced_race(context: Any, first: str, second: str, service: str) -> None:
    # With slow responses both read before either has written.
    context.cluster.platform_faults(delay_s=0.7)
    concurrent_edits(context, first, second, service)
    context.cluster.platform_faults()


@then("one has exit code 4 and its message names both values")
def failed_one_names_both(context: Any) -> None:
    codes = sorted(r.returncode for r in context.notes["results"])
    assert codes == [0, 4], context.notes["results"]
    failed = next(r for r in context.notes["results"] if r.returncode == 4)
    assert "21" in failed.stderr and "22" in failed.stderr, failed.stderr


@then('the table of "{service}" has limit {limit:d}')
def has_limit(context: Any, service: str, limit: int) -> None:
    assert _table(context, service).service.limit == limit


@then("its history has this change once, and each version once")
def in_history_once(context: Any) -> None:
    history = _table(context, "paypost").history
    assert [c.version for c in history] == sorted({c.version for c in history})
    assert sum("-> 31" in c.summary for c in history) == 1


@when('the table is exported, limit of "{service}" is edited to {limit:d} and it is imported')
def spreadsheet(context: Any, service: str, limit: int) -> None:
    path = Path(context.cluster.directory) / "table.csv"
    assert run_pearward(context, "export", str(path)).returncode == 0
    lines = path.read_text(encoding="utf-8").splitlines()
    column = lines[0].split(",").index("limit")
    for number, line in enumerate(lines):
        cells = line.split(",")
        if cells[0] == service and not cells[1]:
            cells[column] = str(limit)
            lines[number] = ",".join(cells)
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    result = run_pearward(context, "--json", "import", str(path))
    assert result.returncode == 0, result.stderr
    (applied,) = parsed(result)
    assert applied["service"] == service and len(applied["edits"]) == 1


@when('the daemon "{name}" is frozen by name')
def freeze_named(context: Any, name: str) -> None:
    context.cluster.freeze(next(n for n in context.cluster.nodes if n.name == name))


@when('an older version of "{service}" is pushed to every daemon')
def push_older(context: Any, service: str) -> None:
    table = _table(context, service)
    edits = [Edit("service", "limit", None, 1)]
    rows = apply_edits(table.to_mapping(), edits)
    older = json.loads(table.to_bytes())
    older["version"], older["rows"] = table.version - 1, rows
    push = Push(f"table/{service}", table.version - 1, json.dumps(older).encode())
    for node in context.cluster.nodes:
        mux = Multiplexer(opener=True)
        mux.send_hello(Hello("test", "127.0.0.1:9"))
        mux.send_control(push)
        mux.send_ping()
        with socket.create_connection((node.ip, PEER_PORT), timeout=5) as sock:
            sock.sendall(b"".join(mux.take_output()))
            sock.settimeout(5)
            # Read the greeting and the ping's reply, which follows the processing of the push.
            received = b""
            while len(received) < 12 or b"\x08\x01" not in received:
                received += sock.recv(4096)
