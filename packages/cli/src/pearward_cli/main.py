"""The command-line interface of pearward."""

import getpass
import json
import socket
import sys
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click

from pearward_state.errors import PearwardError
from pearward_state.keys import key_hash, service_seed
from pearward_state.records import CellRecord
from pearward_state.table import Kind
from pearward_state.tablediff import Edit

from .errors import CliError, DaemonDown, InvalidInput, NotConfirmed, PlatformDown
from .files import parse_value, read_csv, read_declared, write_csv
from .tables import AppliedEdits, TableEditor

__all__ = ["main"]

DEFAULT_PLATFORM = "127.0.0.1:2379"
CONFIRMATION_TIMEOUT_S = 7.0


@dataclass
class Session:
    """Options and helpers shared by all commands."""

    endpoints: tuple[str, ...]
    as_json: bool

    def run(self, work: Callable[[Any, Any], Awaitable[Any]]) -> Any:
        """Run *work(reactor, platform)* in the event loop; on an error exit with its code."""
        from twisted.internet import reactor
        from twisted.internet.defer import ensureDeferred
        from twisted.python.failure import Failure

        from pearward_transport.platform import EtcdService

        platform = EtcdService.from_config(reactor, self.endpoints)
        outcome: dict[str, Any] = {}

        def finish(result: Any) -> None:
            outcome["result"] = result
            reactor.callLater(0, reactor.stop)

        reactor.callWhenRunning(
            lambda: ensureDeferred(work(reactor, platform)).addBoth(finish)  # type: ignore[arg-type]
        )
        reactor.run()
        result = outcome.get("result")
        if isinstance(result, Failure):
            self.fail(result.value)
        return result

    def fail(self, error: BaseException) -> None:
        """Print an error and exit with its code."""
        if not isinstance(error, PearwardError):
            raise error
        code = error.exit_code if isinstance(error, CliError) else 1
        if self.as_json:
            click.echo(json.dumps({"error": str(error), "exit_code": code}))
        else:
            click.echo(f"pearward: {error}", err=True)
        sys.exit(code)

    def show(self, data: Any, text: str) -> None:
        """Print *data* as JSON if --json was given, else *text*."""
        click.echo(json.dumps(data, indent=2, default=str) if self.as_json else text)

    def editor(self, platform: Any) -> TableEditor:
        """Return an editor that records USER@HOST of this operator as author."""
        author = f"{getpass.getuser()}@{socket.gethostname()}"
        return TableEditor(
            platform, author, lambda: datetime.now(UTC).isoformat(timespec="seconds")
        )


pass_session = click.make_pass_decorator(Session)


@click.group()
@click.option(
    "--platform",
    "endpoints",
    multiple=True,
    envvar="PEARWARD_PLATFORM",
    default=(DEFAULT_PLATFORM,),
    show_default=True,
    help="IP:port of the platform's key-value service; may be repeated.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def main(context: click.Context, endpoints: tuple[str, ...], as_json: bool) -> None:
    """Plan, apply and edit the table of services; show the state of the daemons.

    Exit codes: 0 success, 1 unexpected error, 2 invalid input, 3 no response from the
    platform's service or a daemon, 4 conflicting changes of the same fields, 5 not confirmed
    in time.
    """
    context.obj = Session(endpoints, as_json)


# -- the table ------------------------------------------------------------------


def _edit_rows(edits: list[Edit]) -> list[dict[str, Any]]:
    return [asdict(edit) for edit in edits]


def _edit_text(planned: dict[str, list[Edit]]) -> str:
    lines: list[str] = []
    for service, edits in planned.items():
        lines.append(f"{service}: {len(edits)} change{'s' if len(edits) != 1 else ''}")
        lines.extend(f"  {edit}" for edit in edits)
    return "\n".join(lines)


@main.command()
@click.argument("paths", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@pass_session
def plan(session: Session, paths: tuple[Path, ...]) -> None:
    """Show the changes that apply would make. PATHS are <service>.yaml files or folders of them."""
    declared = _declared(session, lambda: read_declared(list(paths)))

    async def work(reactor: Any, platform: Any) -> Any:
        return await session.editor(platform).plan(declared)

    planned = session.run(work)
    session.show({s: _edit_rows(e) for s, e in planned.items()}, _edit_text(planned))


def _declared(session: Session, read: Callable[[], Any]) -> Any:
    try:
        return read()
    except CliError as error:
        session.fail(error)


async def _await_confirmations(
    reactor: Any, platform: Any, applied: list[AppliedEdits], wait: bool, timeout_s: float
) -> list[AppliedEdits]:
    """Wait for confirmations if *wait* is set; raises NotConfirmed after *timeout_s*."""
    from .fleet import Fleet

    if wait and applied:
        versions = {f"table/{a.service}": a.version for a in applied}
        behind = await Fleet(reactor, platform).wait_confirmed(versions, timeout_s)
        if behind:
            names = ", ".join(
                f"{r.instance.name} ({'behind' if r.status else 'no answer'})" for r in behind
            )
            raise NotConfirmed(f"accepted, but not confirmed within {timeout_s} s by: {names}")
    return applied


def _show_applied(session: Session, applied: list[AppliedEdits]) -> None:
    data = [
        {"service": a.service, "version": a.version, "edits": _edit_rows(list(a.edits))}
        for a in applied
    ]
    lines = [f"{a.service}: version {a.version}, {len(a.edits)} changed" for a in applied]
    session.show(data, "\n".join(lines) or "nothing to change")


def _wait_options(command: Any) -> Any:
    command = click.option(
        "--timeout",
        default=CONFIRMATION_TIMEOUT_S,
        show_default=True,
        help="Seconds to wait for confirmations.",
    )(command)
    return click.option(
        "--wait", is_flag=True, help="Return when all live daemons have applied the change."
    )(command)


def _apply_all(session: Session, declared: dict[str, Any], wait: bool, timeout: float) -> None:
    async def work(reactor: Any, platform: Any) -> list[AppliedEdits]:
        editor = session.editor(platform)
        results = [await editor.apply(service, rows) for service, rows in declared.items()]
        applied = [result for result in results if result is not None]
        return await _await_confirmations(reactor, platform, applied, wait, timeout)

    _show_applied(session, session.run(work))


@main.command()
@click.argument("paths", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@_wait_options
@pass_session
def apply(session: Session, paths: tuple[Path, ...], wait: bool, timeout: float) -> None:
    """Apply the files to the table. Services without a file are unchanged."""
    declared = _declared(session, lambda: read_declared(list(paths)))
    _apply_all(session, declared, wait, timeout)


@main.command()
@click.argument("output", type=click.File("w"), default="-")
@pass_session
def export(session: Session, output: Any) -> None:
    """Write the table as CSV, one line per service and per server."""

    async def work(reactor: Any, platform: Any) -> Any:
        return await session.editor(platform).read_all()

    output.write(write_csv(session.run(work)))


@main.command("import")
@click.argument("path", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@_wait_options
@pass_session
def import_(session: Session, path: Path, wait: bool, timeout: float) -> None:
    """Apply a CSV file to the table. Services that it does not contain are unchanged."""
    _apply_all(session, _declared(session, lambda: read_csv(path)), wait, timeout)


def _row_address(row: str) -> tuple[str, str]:
    """Split ``SERVICE[/SERVER]`` into the service and the row's address within its table."""
    service, _, server = row.partition("/")
    return service, f"servers/{server}" if server else "service"


@main.command("set")
@click.argument("row")
@click.argument("assignments", nargs=-1, required=True, metavar="FIELD=VALUE...")
@_wait_options
@pass_session
def set_(
    session: Session, row: str, assignments: tuple[str, ...], wait: bool, timeout: float
) -> None:
    """Set fields of one row: SERVICE or SERVICE/SERVER."""
    values: dict[str, Any] = {}
    for assignment in assignments:
        name, found, text = assignment.partition("=")
        if not found:
            session.fail(InvalidInput(f"{assignment!r}: expected FIELD=VALUE"))
        values[name] = parse_value(text)
    _set_values(session, row, values, wait, timeout)


def _set_values(
    session: Session, row: str, values: dict[str, Any], wait: bool, timeout: float
) -> None:
    service, address = _row_address(row)

    async def work(reactor: Any, platform: Any) -> list[AppliedEdits]:
        made = await session.editor(platform).edit(service, address, values)
        applied = [made] if made is not None else []
        return await _await_confirmations(reactor, platform, applied, wait, timeout)

    _show_applied(session, session.run(work))


@main.command()
@click.argument("row", metavar="SERVICE/SERVER")
@click.option("--off", is_flag=True, help="End the drain, so that the server receives work again.")
@_wait_options
@pass_session
def drain(session: Session, row: str, off: bool, wait: bool, timeout: float) -> None:
    """Drain a server: running requests finish, and it receives no new ones."""
    if "/" not in row:
        session.fail(InvalidInput(f"{row!r}: expected SERVICE/SERVER"))
    _set_values(session, row, {"drain": not off}, wait, timeout)


@main.command()
@click.argument("service")
@pass_session
def log(session: Session, service: str) -> None:
    """Show the latest accepted changes of a service's rows."""

    async def work(reactor: Any, platform: Any) -> Any:
        return await session.editor(platform).read(service)

    table = session.run(work)
    rows = [asdict(change) for change in reversed(table.history)]
    lines = [f"{r['version']:>5}  {r['time']}  {r['author']}  {r['summary']}" for r in rows]
    session.show(rows, "\n".join(lines))


# -- state of the daemons -------------------------------------------------------


@main.command()
@pass_session
def status(session: Session) -> None:
    """Show every instance of the platform's list with the status of its daemon."""
    from .fleet import Fleet

    async def work(reactor: Any, platform: Any) -> Any:
        fleet = Fleet(reactor, platform)
        return await fleet.reports(await fleet.instances())

    reports = session.run(work)
    data = [{"instance": asdict(r.instance), "status": r.status} for r in reports]
    header = (
        f"{'INSTANCE':<20} {'DOMAIN':<12} {'SERVICE':<14} {'STATE':<24} "
        f"{'SHARDS':>6} {'RUN':>4} {'WAIT':>4} {'RECORD':>6}"
    )
    lines = [header]
    for report in reports:
        lines.append(_status_line(report.instance, report.status))
    session.show(data, "\n".join(lines))


def _status_line(instance: Any, status: dict[str, Any] | None) -> str:
    if status is None:
        return f"{instance.name:<20} {instance.failure_domain:<12} {'?':<14} no answer"
    state = str(status["ready"]) + (" *" if status["coordinating"] else "")
    return (
        f"{instance.name:<20} {instance.failure_domain:<12} {status['service']:<14} {state:<24} "
        f"{status['shards']:>6} {status['running']:>4} {status['waiting']:>4} "
        f"{status['record_version']:>6}"
    )


@main.command()
@click.argument("row", metavar="SERVICE/SERVER")
@click.option(
    "--i-am-sure-it-has-ended",
    "sure",
    is_flag=True,
    help="If the daemon still runs, two servers may own a key: data may be lost or duplicated.",
)
@pass_session
def release(session: Session, row: str, sure: bool) -> None:
    """Release the keys of a lost server after you have verified that its daemon has ended.

    Needed only if too many witnesses were lost with it to establish this automatically.
    """
    from .fleet import Fleet

    service, _, server = row.partition("/")
    if not server:
        session.fail(InvalidInput(f"{row!r}: expected SERVICE/SERVER"))
    if not sure:
        session.fail(InvalidInput("refused without --i-am-sure-it-has-ended; see --help"))

    async def work(reactor: Any, platform: Any) -> list[str]:
        record = await _read_record(platform, service)
        lost = [m.incarnation for m in record.members if m.server == server]
        if not lost:
            raise InvalidInput(f"{row}: not in the record")
        fleet = Fleet(reactor, platform)
        reports = await fleet.reports(await fleet.instances())
        running = [r for r in reports if r.status and r.status["service"] == service]
        for report in running:
            if report.status and report.status["incarnation"] in lost:
                raise InvalidInput(f"{row}: refused: its daemon is running")
        for report in running:
            if report.status and report.status["coordinating"]:
                for incarnation in lost:
                    await fleet.release(report.instance, incarnation)
                return lost
        raise DaemonDown(f"{service}: no coordinator responded")

    released = session.run(work)
    session.show(released, f"released: {', '.join(released)}")


async def _read_record(platform: Any, service: str) -> CellRecord:
    """Return a service's assignment record; raises InvalidInput if there is none."""
    try:
        pair = await platform.get(f"cell/{service}")
    except PearwardError as error:
        raise PlatformDown(str(error)) from error
    if pair is None:
        raise InvalidInput(f"service {service!r} has no servers yet")
    return CellRecord.from_bytes(pair.value)


@main.command()
@click.argument("service")
@click.argument("key", default="")
@pass_session
def route(session: Session, service: str, key: str) -> None:
    """Show the owner of a key and the assignment state of its shard."""

    async def work(reactor: Any, platform: Any) -> Any:
        table = await session.editor(platform).read(service)
        return table, await _read_record(platform, service)

    table, record = session.run(work)
    data = _explain(table, record, service, key)
    session.show(data, "\n".join(f"{name}: {value}" for name, value in data.items()))


def _explain(table: Any, record: CellRecord, service: str, key: str) -> dict[str, Any]:
    """Return the data that determines the route of a key."""
    if table.service.kind is Kind.POOLED:
        names = [m.server for m in record.members if m.state.value == "active"]
        return {"service": service, "kind": "pooled", "candidates": ", ".join(names)}
    position = key_hash(key.encode(), service_seed(service))
    shard = record.shards.find(position)
    owner = record.owner_of(shard)
    return {
        "service": service,
        "key": key,
        "hash": f"{position:016x}",
        "shard": f"{shard.start:016x}-{shard.end - 1:016x}",
        "owner": owner.server if owner else None,
        "instance": owner.instance if owner else None,
        "address": owner.caller if owner else None,
        "state": owner.state.value if owner else None,
        "epoch": shard.epoch,
        "record_version": record.version,
        "waits_for": ", ".join(record.members[i].server for i in shard.predecessors) or None,
    }


if __name__ == "__main__":
    main()
