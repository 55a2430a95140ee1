"""Unavailable time of keys and number of moved shards for each fault, with real processes."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median

from pearward_devtools.caller import Caller
from pearward_devtools.cluster import Cluster, Node, ServiceSpec, wait_until

from .path import keys_of
from .report import emit

__all__ = ["run"]

SERVICE = "premview"
DOMAINS = ["waco-a", "waco-b", "temple-a", "temple-b"]
SERVERS = 8
KEYS_PER_NODE = 3
DEADLINE_MS = 4000
OBSERVATION_S = 4.0
"""Seconds for which the probes continue after a fault."""


@dataclass
class _Probe:
    """Results of the repeated requests for one key; times in seconds."""

    key: str
    gaps: list[float] = field(default_factory=list)
    failed: int = 0
    sent: int = 0


class _Probes:
    """Sends requests for keys through running daemons and records the time between responses."""

    def __init__(self, keys: list[str], addresses: list[str]) -> None:
        self._addresses = addresses
        self._stop = threading.Event()
        self.probes = [_Probe(key) for key in keys]
        self._threads = [
            threading.Thread(target=self._send_requests, args=(probe, number), daemon=True)
            for number, probe in enumerate(self.probes)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[_Probe]:
        """Stop the threads and return the results."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.probes

    def _send_requests(self, probe: _Probe, number: int) -> None:
        caller = Caller(DEADLINE_MS / 1000 + 5)
        address = self._addresses[number % len(self._addresses)]
        last = time.monotonic()
        while not self._stop.is_set():
            probe.sent += 1
            try:
                response = caller.call(
                    address, SERVICE, probe.key, headers={"Pearward-Deadline-Ms": str(DEADLINE_MS)}
                )
                served = response.outcome == "served"
            except OSError:
                served = False
            now = time.monotonic()
            if served:
                probe.gaps.append(now - last)
                last = now
            else:
                probe.failed += 1
            time.sleep(0.005)


def _platform_calls(cluster: Cluster) -> int:
    counts = cluster.platform_counts()
    waiting = counts.pop("watches_waiting", 0)
    return sum(counts.values()) + waiting


def _measure(
    cluster: Cluster,
    name: str,
    affected: list[Node],
    inject_fault: Callable[[], None],
    *,
    min_moved: int,
) -> None:
    """Inject a fault and print its effects.

    *min_moved* is the smallest number of shards that the fault forces to move; 0 if none.
    """
    keys = [key for owner in affected for key in keys_of(cluster, owner, KEYS_PER_NODE)]
    caller_addresses = [n.caller for n in cluster.nodes if n not in affected]
    probes = _Probes(keys, caller_addresses)
    time.sleep(0.5)
    before, calls = cluster.placements(SERVICE), _platform_calls(cluster)
    inject_fault()
    time.sleep(OBSERVATION_S)
    results = probes.stop()
    after = cluster.placements(SERVICE)
    moved = sum(after.get(start) != server for start, server in before.items())
    gaps = [max(p.gaps, default=OBSERVATION_S) for p in results]
    emit(f"unavailable_{name}_p50_s", median(gaps), "s", 2.0)
    emit(f"unavailable_{name}_max_s", max(gaps), "s", 2.0)
    emit(f"failed_{name}", sum(p.failed for p in results), "requests", 0)
    if min_moved:
        emit(f"shards_moved_ratio_{name}", moved / min_moved, "ratio", 1.0)
    else:
        emit(f"shards_moved_{name}", moved, "shards", 0)
    emit(f"platform_calls_{name}", _platform_calls(cluster) - calls, "calls")


def _recover(cluster: Cluster) -> None:
    """Restart or resume all daemons and servers, and wait until every server owns shards."""
    for node in cluster.nodes:
        cluster.resume(node)
        if node.server_process is None:
            cluster.start_server(node)
            cluster.wait_server(node)
        if node.daemon is None:
            cluster.start_daemon(node)
    cluster.wait_ready()
    wait_until(
        lambda: len(set(cluster.placements(SERVICE).values())) == SERVERS, "shards at every server"
    )
    time.sleep(0.5)


def _owned(cluster: Cluster, nodes: list[Node]) -> int:
    names = {n.server for n in nodes}
    return sum(server in names for server in cluster.placements(SERVICE).values())


def _coordinator(cluster: Cluster) -> Node:
    def find() -> Node | None:
        for node in cluster.nodes:
            status = cluster.status(node)
            if status is not None and status["coordinating"]:
                return node
        return None

    found: Node = wait_until(find, "a coordinator")
    return found


def _kill(cluster: Cluster, nodes: list[Node], *, daemon: bool, server: bool) -> None:
    for node in nodes:
        if daemon:
            cluster.kill_daemon(node)
        if server:
            cluster.kill_server(node)


def _measure_quick_policy(cluster: Cluster) -> None:
    """Measure kills of daemons, servers and a failure domain, and a freeze, under policy quick."""
    for name, daemon, server in (
        ("daemon_kill", True, False),
        ("server_kill", False, True),
        ("both_kill", True, True),
    ):
        coordinator = _coordinator(cluster)
        affected = [next(n for n in cluster.nodes if n is not coordinator)]
        min_moved = _owned(cluster, affected)
        _measure(
            cluster, name, affected,
            lambda v=affected, d=daemon, s=server: _kill(cluster, v, daemon=d, server=s),  # type: ignore[misc]
            min_moved=min_moved,
        )  # fmt: skip
        _recover(cluster)
    coordinator = _coordinator(cluster)
    _measure(
        cluster, "coordinator_kill", [coordinator],
        lambda: _kill(cluster, [coordinator], daemon=True, server=False),
        min_moved=_owned(cluster, [coordinator]),
    )  # fmt: skip
    _recover(cluster)
    domain = _coordinator(cluster).failure_domain
    affected = [n for n in cluster.nodes if n.failure_domain == domain]
    _measure(
        cluster, "domain_kill", affected,
        lambda: _kill(cluster, affected, daemon=True, server=True),
        min_moved=_owned(cluster, affected),
    )  # fmt: skip
    _recover(cluster)
    frozen = next(n for n in cluster.nodes if n is not _coordinator(cluster))
    _measure(
        cluster, "daemon_freeze", [frozen], lambda: cluster.freeze(frozen),
        min_moved=_owned(cluster, [frozen]),
    )  # fmt: skip
    _recover(cluster)


def _stop_daemon(cluster: Cluster, node: Node) -> None:
    cluster.terminate_daemon(node).wait(60)


def _measure_planned_stop(cluster: Cluster) -> None:
    """Measure the planned stop of a daemon."""
    node = next(n for n in cluster.nodes if n is not _coordinator(cluster))
    min_moved = _owned(cluster, [node])
    _measure(
        cluster, "planned_stop", [node], lambda: _stop_daemon(cluster, node), min_moved=min_moved
    )
    _recover(cluster)


def _measure_idle(cluster: Cluster) -> None:
    before = _platform_calls(cluster)
    time.sleep(6.0)
    emit("platform_calls_idle", (_platform_calls(cluster) - before) * 10, "calls/min")


def run() -> None:
    """Run all measurements of this group."""
    quick = ServiceSpec(SERVICE, "keyed", SERVERS, {"policy": "quick"})
    with Cluster([quick], DOMAINS) as cluster:
        cluster.start()
        _measure_idle(cluster)
        _measure_quick_policy(cluster)
        _measure_planned_stop(cluster)
    patient = ServiceSpec(SERVICE, "keyed", 4, {"policy": "patient", "wait_return_s": 8.0})
    with Cluster([patient], DOMAINS) as cluster:
        cluster.start()
        node = next(n for n in cluster.nodes if n is not _coordinator(cluster))

        def restart() -> None:
            cluster.kill_daemon(node)
            cluster.start_daemon(node)

        _measure(cluster, "patient_restart", [node], restart, min_moved=0)
