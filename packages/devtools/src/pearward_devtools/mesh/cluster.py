"""Run a platform's store, its targets and the daemons as processes on loopback, for tests.

This is tooling: pearwardd itself starts no process. Each process is ended by its own id.
"""

import contextlib
import http.client
import itertools
import json
import os
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from ..cluster import wait_until
from ..networks import ClaimedNetwork

__all__ = ["MeshCluster", "MeshNode", "Reply"]

STORE_PORT, CALLERS, HEARTBEATS, READINESS, TARGET, PEERS, METRICS = range(8200, 8207)
_NETWORKS = itertools.count(1)
PROXY_CONTROL = 8207
PROXY_OFFSET = 100
"""Offset from the last byte of a daemon's IP to that of the proxy address in front of it."""
HOST = "app.example"
COLD_PER_S = 5.0
"""Requests per second that a cold target accepts."""
SILENT_MS = 12_000
"""Silence after which an owner loses its keys.

A killed daemon needs up to 7 s to restart on a loaded machine; a shorter limit would reassign its
keys in tests of other behaviour.
"""
LINK_MBIT_PER_S = 40.0
"""Link rate configured in the daemons, so that long responses are sent in interleaved chunks."""


@dataclass
class MeshNode:
    """One instance: a target and its local daemon."""

    name: str
    ip: str
    service: str
    zone: str
    keyed: bool
    daemon: subprocess.Popen[bytes] | None = None
    target: subprocess.Popen[bytes] | None = None


@dataclass(frozen=True)
class Reply:
    """A response to a caller."""

    status: int
    headers: dict[str, str]
    body: bytes


class MeshCluster:
    """All processes of one test."""

    def __init__(
        self,
        services: dict[str, int],
        keyed: str,
        *,
        proxied: bool = False,
        grants: str = "heartbeat",
    ) -> None:
        self._claimed = ClaimedNetwork.claim()
        self._network = f"{self._claimed.prefix}.{next(_NETWORKS)}"
        self._directory = tempfile.TemporaryDirectory()
        self._services = services
        self._keyed = keyed
        self._proxied = proxied
        self._grants = grants
        self._proxy: subprocess.Popen[bytes] | None = None
        self._store: subprocess.Popen[bytes] | None = None
        self.version = 1
        self.nodes: list[MeshNode] = []
        for service, count in services.items():
            for _ in range(count):
                number = len(self.nodes) + 10
                name = f"{service}-{number}"
                self.nodes.append(
                    MeshNode(name, f"{self._network}.{number}", service, f"z{number % 3}",
                             service == keyed)
                )  # fmt: skip

    @property
    def logs(self) -> Path:
        """Folder of the processes' logs."""
        return Path(self._directory.name)

    # -- lifecycle ---------------------------------------------------------------------

    def start(self) -> None:
        """Start all processes and wait until every key is served."""
        self._store = self._spawn(
            "store", "-m", "pearward_devtools.mesh.store", "--ip", f"{self._network}.1",
            "--port", str(STORE_PORT),
        )  # fmt: skip
        wait_until(lambda: self._is_reachable(f"{self._network}.1:{STORE_PORT}"), "the store")
        self.configure()
        if self._proxied:
            self._start_proxy()
        for node in self.nodes:
            self.start_daemon(node)
            self.start_target(node)
        self.wait_served()
        keyed = [node for node in self.nodes if node.keyed]
        wait_until(lambda: all(self.state(n)["rows"] for n in keyed), "all targets to hold keys")

    def stop(self) -> None:
        """Kill every process and release the network."""
        for node in self.nodes:
            for process in (node.daemon, node.target):
                _kill_process(process)
        _kill_process(self._store)
        _kill_process(self._proxy)
        self._claimed.release()
        self._directory.cleanup()

    def start_daemon(self, node: MeshNode) -> None:
        """Start a daemon."""
        path = self.logs / f"{node.name}.yaml"
        path.write_text(yaml.safe_dump(self._settings(node)), encoding="utf-8")
        environment = {**os.environ, "PEARWARD_BOOT": str(path)}
        node.daemon = self._spawn(
            node.name, "-m", "pearward_platform.main", environment=environment
        )

    def start_target(self, node: MeshNode) -> None:
        """Start a new incarnation of a target."""
        arguments = [
            "-m", "pearward_devtools.mesh.target", "--address", f"{node.ip}:{TARGET}",
            "--beats-to", f"{node.ip}:{HEARTBEATS}", "--service", node.service,
            "--zone", node.zone,
        ]  # fmt: skip
        keyed = ["--keyed"] if node.keyed else []
        by_call = ["--by-call"] if self._grants == "call" else []
        node.target = self._spawn(f"{node.name}-target", *arguments, *keyed, *by_call)

    def _start_proxy(self) -> None:
        """Start the fault proxy on the links between daemons."""
        control = f"{self._network}.2:{PROXY_CONTROL}"
        links = [
            part for n in self.nodes for part in ("--link", f"{self._proxy_ip(n)}={n.ip}:{PEERS}")
        ]
        self._proxy = self._spawn(
            "proxy", "-m", "pearward_devtools.fault_proxy", "--control", control, *links
        )
        wait_until(lambda: self._is_reachable(control), "the proxy")

    def _proxy_ip(self, node: MeshNode) -> str:
        """Return the IP at which the proxy accepts connections for a daemon."""
        network, _, number = node.ip.rpartition(".")
        return f"{network}.{int(number) + PROXY_OFFSET}"

    def set_link_faults(self, faults: list[dict[str, Any]]) -> None:
        """Replace the faults on the links between daemons; see fault_proxy."""
        body = json.dumps(faults).encode()
        self._http(f"{self._network}.2:{PROXY_CONTROL}", "POST", "/faults", body)

    def _spawn(
        self, name: str, *arguments: str, environment: dict[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        with (self.logs / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, *arguments], stdout=log, stderr=log, env=environment
            )

    def _settings(self, node: MeshNode) -> dict[str, Any]:
        ip = node.ip
        return {
            "instance": node.name,
            "failure_domain": node.zone,
            "target": {"service": node.service, "address": f"{ip}:{TARGET}"},
            "listen": {
                "callers": f"{ip}:{CALLERS}",
                "heartbeats": f"{ip}:{HEARTBEATS}",
                "readiness": f"{ip}:{READINESS}",
                "peers": f"{ip}:{PEERS}",
                "peers_reached_at": f"{self._proxy_ip(node) if self._proxied else ip}:{PEERS}",
                "metrics": f"{ip}:{METRICS}",
            },
            "store": {"address": f"{self._network}.1:{STORE_PORT}"},
            "grants": self._grants,
            "limits": {"silent_ms": SILENT_MS, "link_mbit_per_s": LINK_MBIT_PER_S},
            "log": {"lines_per_s": 1000},
        }

    # -- the operators ------------------------------------------------------------------

    def configure(self, **routes: dict[str, Any]) -> None:
        """Write the next version of the configuration, with additional routes."""
        document: dict[str, Any] = {
            "version": f"r{self.version}",
            "routes": {},
            "services": {},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_000_000,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        }  # fmt: skip
        for service in self._services:
            document["services"][service] = {
                "maxConnections": 100, "enableSharding": service == self._keyed, "warmupS": 0.0,
                "coldPerS": COLD_PER_S,
            }  # fmt: skip
            for kind in ("safe", "unsafe"):
                document["routes"][f"{service}-{kind}"] = {
                    "host": HOST, "pathPrefix": f"/{service}/{kind}/", "kind": kind,
                    "timeoutMs": 3000, "targetLatencyMs": 1500, "priority": 1,
                    "maxAttempts": 2, "service": service,
                }  # fmt: skip
        document["routes"].update(routes)
        self.write_configuration(json.dumps(document))
        self.version += 1

    def write_configuration(self, document: str) -> None:
        """Write a configuration document unchanged."""
        self.store_call("/standin/configuration", document)

    def drain(self, domain: str, entry: str | None = "{}") -> None:
        """Drain a failure domain, or cancel its drain if *entry* is None."""
        self.store_call("/standin/drain", json.dumps({"domain": domain, "entry": entry}))

    def store_call(self, path: str, body: str = "{}") -> Any:
        """Make one call to the store stand-in."""
        return self._http(f"{self._network}.1:{STORE_PORT}", "POST", path, body.encode())

    # -- callers ------------------------------------------------------------------------

    def call(
        self,
        node: MeshNode,
        path: str,
        *,
        method: str = "GET",
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 10.0,
    ) -> Reply:
        """Send a request to the daemon of an instance."""
        connection = http.client.HTTPConnection(f"{node.ip}:{CALLERS}", timeout=timeout_s)
        try:
            connection.request(method, path, body or None, {"Host": HOST, **(headers or {})})
            response = connection.getresponse()
            return Reply(response.status, dict(response.getheaders()), response.read())
        finally:
            connection.close()

    def state(self, node: MeshNode) -> dict[str, Any]:
        """Return a target's state: its id, held key ranges and executed requests."""
        found: dict[str, Any] = json.loads(
            self._http(f"{node.ip}:{TARGET}", "GET", "/standin/state")
        )
        return found

    def control_target(self, node: MeshNode, what: str, body: str = "{}") -> None:
        """Send a control request to a target, such as ``drain``, ``leave`` or ``cold``."""
        self._http(f"{node.ip}:{TARGET}", "POST", f"/standin/{what}", body.encode())

    def metrics(self, node: MeshNode) -> str:
        """Return a daemon's metrics."""
        return self._http(f"{node.ip}:{METRICS}", "GET", "/metrics").decode()

    def ready(self, node: MeshNode) -> bool:
        """Return whether a daemon reports itself ready."""
        return self._is_reachable(f"{node.ip}:{READINESS}")

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the log records of all daemons, not sorted by time."""
        found: list[dict[str, Any]] = []
        for path in self.logs.glob("*.log"):
            for line in path.read_text(encoding="utf-8").splitlines():
                with contextlib.suppress(json.JSONDecodeError):
                    found.append(json.loads(line))
        # Targets also log JSON lines, one per request; only daemon records have a message type.
        return [line for line in found if "message_type" in line]

    def wait_served(self) -> None:
        """Wait until all daemons are ready and every key is served."""
        wait_until(lambda: all(self.ready(node) for node in self.nodes), "daemons to be ready")
        wait_until(self._all_keys_served, "every key to be served")

    def _all_keys_served(self) -> bool:
        keyed = f"/{self._keyed}/safe/"
        return all(
            self.call(
                self.nodes[-1], keyed, headers={"Request-Id": f"w{key}", "Shard-Key": str(key)}
            ).status == 200
            for key in range(0, 65_536, 4096)
        )  # fmt: skip

    def all_pooled_served(self) -> bool:
        """Return whether every daemon serves the services without sharding."""
        pooled = [name for name in self._services if name != self._keyed]
        return all(
            self.call(node, f"/{name}/safe/", headers={"Request-Id": "w"}).status == 200
            for node in self.nodes
            for name in pooled
        )

    def kill(self, node: MeshNode) -> None:
        """Kill a daemon."""
        assert node.daemon is not None
        node.daemon.send_signal(signal.SIGKILL)
        node.daemon.wait()

    def _is_reachable(self, address: str) -> bool:
        try:
            self._http(address, "GET", "/")
        except OSError as error:
            return isinstance(error, _StatusError) and error.status == 404
        return True

    def _http(self, address: str, method: str, path: str, body: bytes = b"") -> bytes:
        connection = http.client.HTTPConnection(address, timeout=5)
        try:
            connection.request(method, path, body or None)
            response = connection.getresponse()
            data = response.read()
        finally:
            connection.close()
        if response.status != 200:
            raise _StatusError(response.status, f"{method} {address}{path}")
        return data


class _StatusError(OSError):
    """An HTTP response with a status other than 200."""

    def __init__(self, status: int, call: str) -> None:
        super().__init__(f"{call}: HTTP {status}")
        self.status = status


def _kill_process(process: subprocess.Popen[bytes] | None) -> None:
    """Kill a process of this cluster, if it runs."""
    if process is not None and process.poll() is None:
        process.kill()
        process.wait()
