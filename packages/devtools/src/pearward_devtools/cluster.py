"""Run a platform, servers, daemons and a fault proxy as processes on loopback.

Each cluster has its own /16 network within 127.0.0.0/8, so that several clusters can use the same
ports at the same time. This is tooling: pearwardd itself starts no process.
"""

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from pearward_protocol.etcd import (
    encode_json,
    parse_range,
    parse_txn_succeeded,
    range_body,
    txn_body,
)
from pearward_state.keys import key_hash, service_seed
from pearward_state.records import CellRecord
from pearward_state.table import Change, ServiceTable

from .networks import ClaimedNetwork

__all__ = ["Cluster", "Node", "ServiceSpec", "wait_until"]

CALLER_PORT, PEER_PORT, ADMIN_PORT, SERVER_PORT = 7400, 7401, 7402, 8000
PLATFORM_PORT = 2379
WAIT_S = float(os.environ.get("WAIT_S", "30"))


def wait_until(condition: Callable[[], object], description: str, timeout_s: float = WAIT_S) -> Any:
    """Wait for *condition* to be true and return its value; raises TimeoutError."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {timeout_s} s for {description}")
        time.sleep(0.02)


@dataclass(frozen=True)
class ServiceSpec:
    """A service of a test cluster."""

    name: str
    kind: str
    servers: int
    fields: dict[str, Any] = field(default_factory=dict)
    server_fields: dict[str, Any] = field(default_factory=dict)


@dataclass
class Node:
    """One instance: a server and its local daemon."""

    name: str
    service: str
    server: str
    ip: str
    advertised_ip: str
    failure_domain: str
    settings: Path
    daemon: subprocess.Popen[bytes] | None = None
    server_process: subprocess.Popen[bytes] | None = None

    @property
    def caller(self) -> str:
        """Address for callers."""
        return f"{self.ip}:{CALLER_PORT}"

    @property
    def admin(self) -> str:
        """Address of the admin port."""
        return f"{self.ip}:{ADMIN_PORT}"

    @property
    def server_address(self) -> str:
        """Address of the server."""
        return f"{self.ip}:{SERVER_PORT}"


def http_json(address: str, method: str, path: str, body: object = None) -> Any:
    """Make an HTTP call and return its JSON body; raises OSError unless the status is 200."""
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        data = json.dumps(body).encode() if body is not None else None
        connection.request(method, path, data)
        response = connection.getresponse()
        content = response.read()
        if response.status != 200:
            raise OSError(f"{method} {address}{path}: HTTP {response.status}")
        return json.loads(content)
    finally:
        connection.close()


class Cluster:
    """All processes of one test or demonstration."""

    def __init__(
        self,
        services: list[ServiceSpec],
        domains: list[str],
        *,
        proxied: bool = False,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self._services = services
        self._domains = domains
        self._proxied = proxied
        self._extra = settings or {}
        self._network = ClaimedNetwork.claim()
        self._net = self._network.prefix
        self._dir = tempfile.TemporaryDirectory(prefix="pearward-")
        self._platform: subprocess.Popen[bytes] | None = None
        self._proxy: subprocess.Popen[bytes] | None = None
        self.nodes: list[Node] = []

    # -- properties -----------------------------------------------------------

    @property
    def directory(self) -> Path:
        """Folder of the processes' settings and logs."""
        return Path(self._dir.name)

    @property
    def platform_address(self) -> str:
        """Address of the platform stand-in."""
        return f"{self._net}.0.2:{PLATFORM_PORT}"

    def of(self, service: str) -> list[Node]:
        """Return the nodes of a service."""
        return [node for node in self.nodes if node.service == service]

    # -- lifecycle ----------------------------------------------------------------

    def start(self, *, wait: bool = True) -> None:
        """Start all processes and, by default, wait until every daemon is ready."""
        self.start_platform()
        self._create_nodes()
        for service in self._services:
            self.put_table(service.name, self._rows(service))
        for node in self.nodes:
            self.register_instance(node)
        if self._proxied:
            self._start_proxy()
        for node in self.nodes:
            self.start_server(node)
        for node in self.nodes:
            self.wait_server(node)
            self.start_daemon(node)
        if wait:
            self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until every running daemon is ready and has every service's record."""
        wait_until(self.ready, "daemons to be ready")

    def ready(self) -> bool:
        """Return whether every running daemon is ready and has every service's record."""
        expected = {f"cell/{s.name}" for s in self._services}
        for node in self.nodes:
            if node.daemon is None:
                continue
            status = self.status(node)
            if (
                status is None
                or status["ready"] != "ready"
                or not expected <= set(status["versions"])
            ):
                return False
        return True

    def stop(self) -> None:
        """Kill every process."""
        for node in self.nodes:
            self._kill(node.daemon)
            self._kill(node.server_process)
        self._kill(self._platform)
        self._kill(self._proxy)
        self._network.release()
        self._dir.cleanup()

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(self, *exc: object) -> None:
        self.stop()

    # -- single processes ---------------------------------------------------------

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        self._platform = self._run(
            "platform", "pearward_devtools.standin_platform", "--address", self.platform_address
        )
        wait_until(lambda: self._is_reachable(self.platform_address, "/"), "the platform")

    def start_server(self, node: Node) -> None:
        """Start a node's server."""
        rows = next(s for s in self._services if s.name == node.service).server_fields
        fenced = "--fenced" if rows.get("fenced", True) else "--unfenced"
        node.server_process = self._run(
            f"server-{node.name}", "pearward_devtools.standin_server",
            "--address", node.server_address, fenced,
        )  # fmt: skip

    def wait_server(self, node: Node) -> None:
        """Wait until a node's server responds to its health check."""
        wait_until(lambda: self._is_reachable(node.server_address, "/health"), node.server_address)

    def start_daemon(self, node: Node) -> None:
        """Start a node's daemon."""
        node.daemon = self._run(
            f"daemon-{node.name}", "pearward_daemon.main", "--settings", str(node.settings)
        )

    def kill_daemon(self, node: Node) -> None:
        """SIGKILL a node's daemon."""
        self._kill(node.daemon)
        node.daemon = None

    def kill_server(self, node: Node) -> None:
        """SIGKILL a node's server."""
        self._kill(node.server_process)
        node.server_process = None

    def terminate_daemon(self, node: Node) -> subprocess.Popen[bytes]:
        """Send SIGTERM to a node's daemon and return its process."""
        assert node.daemon is not None
        process, node.daemon = node.daemon, None
        process.send_signal(signal.SIGTERM)
        return process

    def freeze(self, node: Node, *, daemon: bool = True, server: bool = False) -> None:
        """SIGSTOP a node's processes."""
        for process in self._processes(node, daemon, server):
            process.send_signal(signal.SIGSTOP)

    def resume(self, node: Node) -> None:
        """SIGCONT a node's processes; running ones are not affected."""
        for process in self._processes(node, True, True):
            process.send_signal(signal.SIGCONT)

    def _processes(self, node: Node, daemon: bool, server: bool) -> list[subprocess.Popen[bytes]]:
        processes = [node.daemon if daemon else None, node.server_process if server else None]
        return [process for process in processes if process is not None]

    def owner_of(self, service: str, key: str) -> Node | None:
        """Return the node that owns a key in the platform's record, or None."""
        record = self.record(service)
        if record is None:
            return None
        position = key_hash(key.encode(), service_seed(service))
        owner = record.owner_of(record.shards.find(position))
        if owner is None:
            return None
        return next((n for n in self.nodes if n.name == owner.instance), None)

    # -- faults -------------------------------------------------------------------

    def platform_faults(self, **faults: Any) -> None:
        """Replace the platform stand-in's faults; without arguments, end all of them."""
        http_json(self.platform_address, "POST", "/standin/faults", faults)

    def platform_counts(self) -> dict[str, int]:
        """Return the number of calls to the platform stand-in, by path."""
        counts: dict[str, int] = http_json(self.platform_address, "GET", "/standin/counts")
        return counts

    def set_link_faults(self, faults: list[dict[str, Any]]) -> None:
        """Replace the faults on the links between daemons; see fault_proxy."""
        http_json(f"{self._net}.0.3:7900", "POST", "/faults", faults)

    # -- inspection ---------------------------------------------------------------

    def status(self, node: Node) -> dict[str, Any] | None:
        """Return a daemon's status, or None if the daemon does not respond."""
        try:
            reply: dict[str, Any] = http_json(node.admin, "GET", "/status")
        except (OSError, ValueError, http.client.HTTPException):
            return None
        return reply

    def runs(self, service: str) -> list[dict[str, Any]]:
        """Return the runs of all running servers of a service."""
        found: list[dict[str, Any]] = []
        for node in self.of(service):
            if node.server_process is not None:
                for run in http_json(node.server_address, "GET", "/standin/runs"):
                    found.append({**run, "server": node.server})
        return found

    def record(self, service: str) -> CellRecord | None:
        """Return a service's assignment record from the platform, or None."""
        pair = self._get(f"cell/{service}")
        return CellRecord.from_bytes(pair[0].value) if pair else None

    def placements(self, service: str) -> dict[int, str]:
        """Return the server of each shard by its start; empty for a shard without an owner."""
        record = self.record(service)
        if record is None:
            return {}
        owners = ((shard.start, record.owner_of(shard)) for shard in record.shards)
        return {start: owner.server if owner is not None else "" for start, owner in owners}

    # -- the platform's contents ----------------------------------------------------

    def put_table(self, service: str, rows: dict[str, Any]) -> None:
        """Write a service's table, and replace an existing one."""
        pairs = self._get(f"table/{service}")
        revision = pairs[0].revision if pairs else 0
        before = (
            ServiceTable.from_bytes(service, pairs[0].value)
            if pairs
            else ServiceTable.initial(service)
        )
        change = Change(before.version + 1, "tooling", "1970-01-01T00:00:00Z", "set")
        table = before.changed(rows, change, f"tooling:{before.version + 1}")
        self._compare_and_swap(f"table/{service}", revision, table.to_bytes())

    def register_instance(self, node: Node, state: str = "live") -> None:
        """Add an instance to the platform's list."""
        value = {
            "address": node.advertised_ip,
            "failure_domain": node.failure_domain,
            "state": state,
            "peer_port": PEER_PORT,
            "caller_port": CALLER_PORT,
            "admin_port": ADMIN_PORT,
            "admin_address": node.ip,
        }
        key = f"instances/{node.name}"
        pairs = self._get(key)
        self._compare_and_swap(key, pairs[0].revision if pairs else 0, json.dumps(value).encode())

    def deregister_instance(self, node: Node) -> None:
        """Remove an instance from the platform's list."""
        pairs = self._get(f"instances/{node.name}")
        if pairs:
            self._compare_and_swap(f"instances/{node.name}", pairs[0].revision, None)

    def _get(self, key: str) -> list[Any]:
        return parse_range(
            http_json(self.platform_address, "POST", "/v3/kv/range", range_body(key))
        )

    def _compare_and_swap(self, key: str, revision: int, value: bytes | None) -> None:
        body = json.loads(encode_json(txn_body(key, revision, value, 0)))
        reply = http_json(self.platform_address, "POST", "/v3/kv/txn", body)
        if not parse_txn_succeeded(reply):
            raise OSError(f"{key}: changed concurrently")

    # -- setup ------------------------------------------------------------------

    def _rows(self, service: ServiceSpec) -> dict[str, Any]:
        servers = {
            f"{service.name}-{i}": dict(service.server_fields) for i in range(service.servers)
        }
        return {"service": {"kind": service.kind, **service.fields}, "servers": servers}

    def _create_nodes(self) -> None:
        number = 10
        for service in self._services:
            for index in range(service.servers):
                ip = f"{self._net}.0.{number}"
                advertised = f"{self._net}.1.{number}" if self._proxied else ip
                name = f"{service.name}-{index}"
                domain = self._domains[index % len(self._domains)]
                path = self.directory / f"{name}.yaml"
                self.nodes.append(Node(name, service.name, name, ip, advertised, domain, path))
                path.write_text(yaml.safe_dump(self._settings(self.nodes[-1])), encoding="utf-8")
                number += 1

    def _settings(self, node: Node) -> dict[str, Any]:
        return {
            "failure_domains": self._domains,
            "instance": {
                "name": node.name,
                "failure_domain": node.failure_domain,
                "advertise_ip": node.advertised_ip,
            },
            "listen": {
                "ip": node.ip,
                "caller_port": CALLER_PORT,
                "peer_port": PEER_PORT,
                "admin_port": ADMIN_PORT,
            },
            "server": {
                "service": node.service,
                "name": node.server,
                "address": node.server_address,
            },
            "platform": {"endpoints": [self.platform_address]},
            **self._extra,
        }

    def _start_proxy(self) -> None:
        links = [
            part
            for node in self.nodes
            for part in ("--link", f"{node.advertised_ip}={node.ip}:{PEER_PORT}")
        ]
        control = f"{self._net}.0.3:7900"
        self._proxy = self._run(
            "proxy", "pearward_devtools.fault_proxy", "--control", control, *links
        )
        wait_until(lambda: self._is_reachable(control, "/"), "the proxy")

    def _run(self, name: str, module: str, *arguments: str) -> subprocess.Popen[bytes]:
        log = (self.directory / f"{name}.log").open("ab")
        return subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )

    def _is_reachable(self, address: str, path: str) -> bool:
        connection = http.client.HTTPConnection(address, timeout=2)
        try:
            connection.request("GET", path)
            return connection.getresponse().status < 500
        except OSError:
            return False
        finally:
            connection.close()

    def _kill(self, process: subprocess.Popen[bytes] | None) -> None:
        if process is not None and process.poll() is None:
            process.kill()
        if process is not None:
            process.wait()
