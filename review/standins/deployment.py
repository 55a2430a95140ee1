"""A small deployment: pearward's daemons as processes, with stand-ins of all around them."""

import asyncio
import json
import os
import re
import secrets
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from .http1 import Answer, call
from .server import Server
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2
LATEST_END_S = 117
"""Seconds after which a script ends in any case, with all processes that it started."""
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "inContactMs": 3000, "acknowledgeMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "gracePeriodS": 6, "lostMs": 200, "configurationMs": 2000,
    "rollbackSlackMs": 250, "outerMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
    "retryBudgetSlack": 58, "recoveryS": 15, "holdMaxMs": 10000, "thawMs": 300,
}
"""Bounds of the sheets of the two small sites."""
PORTS = ("outbound", "control", "ready", "inbound", "application", "peers", "metrics")


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to record.txt, and keeps it for the check."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.rows: list[tuple[float, str, dict]] = []
        self._file = path.open("w", encoding="utf-8")

    def __call__(self, what: str, /, **fields: object) -> None:
        now = time.monotonic()
        self.rows.append((now, what, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now - self.began:9.3f} {what} {text}\n")
        self._file.flush()

    def of(self, what: str) -> list[tuple[float, dict]]:
        """Return the times and fields of all rows of one kind."""
        return [(at, fields) for at, kind, fields in self.rows if kind == what]


def _lookup(fields: object, path: str) -> object:
    for part in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)] if int(part) < len(fields) else None
        else:
            fields = fields.get(part) if isinstance(fields, dict) else None
    return fields


def fill_template(text: str, fields: dict, entry: object = None, key: object = None) -> str:
    """Fill a settings template as DEPLOY.md describes it, as far as this project's uses it."""

    def section(found: re.Match) -> str:
        value = _lookup(fields, found[2])
        if found[1] == "^":
            return fill_template(found[3], fields) if not value else ""
        if value is None or value is False:
            return ""
        rows = value.items() if isinstance(value, dict) else (
            enumerate(value) if isinstance(value, list) else [(0, value)])
        rows = list(rows)
        return "".join(
            fill_template(found[3].replace("{{,}}", "," if i < len(rows) - 1 else ""), fields, v, k)
            for i, (k, v) in enumerate(rows)
        )

    def gap(found: re.Match) -> str:
        name, _, form = found[1].partition("|")
        value = entry if name == "." else key if name == "@" else _lookup(fields, name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else json.dumps(value) if isinstance(value, dict) else str(value)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.@|]+)\}\}", gap, text)


@dataclass
class Machine:
    """One machine with a daemon and the server of a service."""

    name: str
    ip: str
    zone: str
    service: str
    ports: dict[str, int]
    heartbeats_through: str = ""
    """Address at which the server reaches the daemon's `control`; empty for the daemon's own."""
    process: subprocess.Popen | None = None
    server: Server | None = None
    settings: dict = field(default_factory=dict)

    def at(self, name: str) -> str:
        """Return the address of one of its ports."""
        return f"{self.ip}:{self.ports[name]}"


class Deployment:
    """The store, the operator, the machines and their processes."""

    def __init__(self, record: Record, *, grants: str = "heartbeat") -> None:
        self.record = record
        self.store = Store()
        self.machines: list[Machine] = []
        self.version = 7
        self._grants = grants
        self._folder = tempfile.TemporaryDirectory()
        self.logs = Path(self._folder.name)
        self._network = f"127.{secrets.randbelow(200) + 20}.{secrets.randbelow(250) + 1}"
        self._ports = self._free_ports(f"{self._network}.10", len(PORTS))
        self.store_address = f"{self._network}.1:{self._free_ports(f'{self._network}.1', 1)[0]}"
        with (ROOT / "deploy/system.toml").open("rb") as file:
            self._role = next(iter(tomllib.load(file)["roles"].values()))

    @staticmethod
    def _free_ports(ip: str, count: int) -> list[int]:
        """Return free ports; all machines use the same ones, at addresses of their own."""
        sockets = [socket.socket() for _ in range(count)]
        try:
            for each in sockets:
                each.bind((ip, 0))
            return [each.getsockname()[1] for each in sockets]
        finally:
            for each in sockets:
                each.close()

    def address(self, number: int, name: str) -> str:
        """Return an address outside the machines, for a proxy."""
        return f"{self._network}.{number}:{self._ports[PORTS.index(name)]}"

    def add_machine(self, service: str, zone: str) -> Machine:
        """Add a machine; its processes are not started yet."""
        number = len(self.machines) + 10
        ports = dict(zip(PORTS, self._ports, strict=True))
        machine = Machine(f"sidecar-{zone}-{number}", f"{self._network}.{number}", zone, service,
                          ports)
        self.machines.append(machine)
        return machine

    async def start_store(self, document: dict) -> None:
        """Start the store and write the first configuration."""
        await self.store.listen(self.store_address)
        await self.configure(document)

    async def configure(self, document: dict) -> None:
        """Write the next configuration."""
        self.version += 2
        document = {"version": f"r{self.version}", **document}
        await self.store.operator_put("op/config", document)
        self.record("configuration", version=document["version"])

    # -- daemons -------------------------------------------------------------

    def _fields(self, machine: Machine) -> dict:
        """Return the settings fields of DEPLOY.md for a machine."""
        zones = {m.zone: "region" for m in self.machines}
        return {
            "nodeName": machine.name, "role": "pearwardd", "machineClass": "sidecar",
            "serves": ["sidecar"], "ipAddress": machine.ip, "zone": machine.zone,
            "region": "region", "zones": zones,
            "listenAddresses": {n: machine.at(n) for n in ("inbound", "outbound", "ready",
                                                           "control")},
            "internalPortRange": [machine.ports["peers"], machine.ports["metrics"]],
            "seedNodes": [], "bootstrap": True, "limits": {"linkMbps": 1000.0},
            "heartbeatIntervalMs": 1500, "bounds": BOUNDS, "grants": self._grants,
            "applicationAddress": machine.at("application"), "service": machine.service,
            "platform": {"address": self.store_address, "form": "kv", "ttl_min_ms": 1000},
        }

    def start_daemon(self, machine: Machine) -> None:
        """Start a daemon with the command of the deploy file."""
        template = (ROOT / self._role["template"]).read_text(encoding="utf-8")
        path = self.logs / f"{machine.name}.yaml"
        path.write_text(fill_template(template, self._fields(machine)), encoding="utf-8")
        environment = {
            "PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"), "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"), "PEARWARD_BOOT": str(path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.logs / f"{machine.name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                shlex.split(self._role["run"]), cwd=ROOT, env=environment, stdout=log, stderr=log,
            )
        self.record("daemon_started", machine=machine.name)

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to a daemon."""
        assert machine.process is not None
        machine.process.send_signal(number)
        self.record("daemon_signalled", machine=machine.name, signal=number.name)

    async def start_daemons(self) -> None:
        """Start all daemons and wait until each is ready."""
        for machine in self.machines:
            self.start_daemon(machine)
        await self.wait("all daemons to be ready", self._all_ready, 20.0)

    async def ready(self, machine: Machine) -> bool:
        """Return whether a daemon says that it is ready."""
        try:
            answer = await call(machine.at("ready"), "GET", "/pearward/readiness", {}, timeout_s=1)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    async def _all_ready(self) -> bool:
        return all([await self.ready(machine) for machine in self.machines])

    async def wait(
        self, what: str, test: Callable[[], Awaitable[bool]], timeout_s: float
    ) -> None:
        """Wait until a test holds; raises CannotRun if it does not."""
        until = time.monotonic() + timeout_s
        while not await test():
            if time.monotonic() > until:
                raise CannotRun(f"waited {timeout_s} s for {what}")
            await asyncio.sleep(0.1)

    def log_rows(self, machine: Machine, message: str) -> list[dict]:
        """Return the rows of one message in a daemon's log."""
        rows = []
        for line in (self.logs / f"{machine.name}.log").read_text(errors="replace").splitlines():
            try:
                row = json.loads(line)
            except ValueError:
                continue
            if row.get("message_type") == message:
                rows.append(row)
        return rows

    # -- servers and clients ---------------------------------------------------

    def new_server(self, machine: Machine, **options: object) -> Server:
        """Return the next incarnation of a machine's server; it is not started."""
        machine.server = Server(
            machine.service, machine.at("application"),
            machine.heartbeats_through or machine.at("control"), machine.zone, self.record,
            **options,
        )
        return machine.server

    async def request(
        self, machine: Machine, method: str, path: str, host: str, deadline_ms: int,
        key: int | None = None, body: bytes = b"",
    ) -> tuple[str, Answer | None]:
        """Send one client request; return its id and its answer, None without one."""
        named = secrets.token_hex(8)
        headers = {"Host": host, "Request-Id": named, "Deadline-Ms": str(deadline_ms)}
        if key is not None:
            headers["Shard-Key"] = str(key)
        self.record("sent", request=named, method=method, path=path, key=key,
                    machine=machine.name)
        try:
            answer = await call(machine.at("outbound"), method, path, headers, body,
                                deadline_ms / 1000)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record("unanswered", request=named, error=type(error).__name__)
            return named, None
        self.record("answered", request=named, status=answer.status,
                    signed="server-signature" in answer.headers)
        return named, answer

    def stop(self) -> None:
        """End every process that was started, and remove the temporary folder."""
        for machine in self.machines:
            if machine.server is not None:
                machine.server.crash()
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        self.store.close()
        if kept := os.environ.get("KEEP_LOGS"):
            Path(kept).mkdir(parents=True, exist_ok=True)
            for path in self.logs.glob("*.log"):
                (Path(kept) / path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()


def run_case(folder: Path, case: Callable[[Deployment, bool], Awaitable[list[str]]],
             *, grants: str = "heartbeat", limit_s: float = 110.0) -> None:
    """Run a case, print the breaches that it returns, and exit with the case's status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    deployment = Deployment(record, grants=grants)

    async def bounded() -> list[str]:
        # Stand-ins that are closed while they answer are no matter of the case.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(case(deployment, trouble), limit_s)

    def ended_from_outside(number: int, frame: object) -> None:
        raise SystemExit(NOT_RUN)

    for number in (signal.SIGTERM, signal.SIGALRM):
        signal.signal(number, ended_from_outside)
    signal.alarm(LATEST_END_S)
    status = NOT_RUN
    try:
        # Not asyncio.run(), which waits for every cancelled task of the stand-ins.
        breaches = asyncio.new_event_loop().run_until_complete(bounded())
        for breach in breaches:
            record("breach", what=breach)
            print(breach)
        status = BROKEN if breaches else HELD
        print("rule broken" if breaches else "rule held")
    except CannotRun as error:
        print(f"could not run: {error}")
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {type(error).__name__}: {error}")
    finally:
        deployment.stop()
        record("result", status=status)
    sys.stdout.flush()
    os._exit(status)
