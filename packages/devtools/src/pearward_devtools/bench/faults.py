"""Unavailable time of keys and churn, fault by fault, with real processes."""

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
WATCH_S = 4.0


@dataclass
class _Probe:
    """One key that is asked for again and again."""

    key: str
    gaps: list[float] = field(default_factory=list)
    failed: int = 0
    asked: int = 0


class _Probes:
    """Asks for keys through daemons that live, and notes how long each stays unanswered."""

    def __init__(self, keys: list[str], addresses: list[str]) -> None:
        self._addresses = addresses
        self._stop = threading.Event()
        self.probes = [_Probe(key) for key in keys]
        self._threads = [
            threading.Thread(target=self._work, args=(probe, number), daemon=True)
            for number, probe in enumerate(self.probes)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[_Probe]:
        """End and return what was seen."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.probes

    def _work(self, probe: _Probe, number: int) -> None:
        caller = Caller(DEADLINE_MS / 1000 + 5)
        address = self._addresses[number % len(self._addresses)]
        last = time.monotonic()
        while not self._stop.is_set():
            probe.asked += 1
            try:
                answer = caller.call(
                    address, SERVICE, probe.key, headers={"Pearward-Deadline-Ms": str(DEADLINE_MS)}
                )
                served = answer.outcome == "served"
            except OSError:
                served = False
            now = time.monotonic()
            if served:
                probe.gaps.append(now - last)
                last = now
            else:
                probe.failed += 1
            time.sleep(0.005)


def _calls(cluster: Cluster) -> int:
    counts = cluster.platform_counts()
    waiting = counts.pop("watches_waiting", 0)
    return sum(counts.values()) + waiting


def _measure(
    cluster: Cluster, name: str, victims: list[Node], act: Callable[[], None], *, least: int
) -> None:
    """Do one fault and print what it cost; *least* is the fewest shards that must move."""
    keys = [key for victim in victims for key in keys_of(cluster, victim, KEYS_PER_NODE)]
    living = [n.caller for n in cluster.nodes if n not in victims]
    probes = _Probes(keys, living)
    time.sleep(0.5)
    before, calls = cluster.placements(SERVICE), _calls(cluster)
    act()
    time.sleep(WATCH_S)
    seen = probes.stop()
    after = cluster.placements(SERVICE)
    moved = sum(after.get(start) != server for start, server in before.items())
    gaps = [max(p.gaps, default=WATCH_S) for p in seen]
    emit(f"unavailable_{name}_p50_s", median(gaps), "s", 2.0)
    emit(f"unavailable_{name}_max_s", max(gaps), "s", 2.0)
    emit(f"failed_{name}", sum(p.failed for p in seen), "requests", 0)
    if least:
        emit(f"shards_moved_ratio_{name}", moved / least, "ratio", 1.0)
    else:
        emit(f"shards_moved_{name}", moved, "shards", 0)
    emit(f"platform_calls_{name}", _calls(cluster) - calls, "calls")


def _recover(cluster: Cluster) -> None:
    """Bring everything back."""
    for node in cluster.nodes:
        cluster.resume(node)
        if node.server_process is None:
            cluster.start_server(node)
            cluster.wait_server(node)
        if node.daemon is None:
            cluster.start_daemon(node)
    cluster.wait_ready()
    wait_until(lambda: len(set(cluster.placements(SERVICE).values())) == SERVERS, "shares for all")
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


def _quick_faults(cluster: Cluster) -> None:
    """Every fault under the quick policy."""
    for name, daemon, server in (
        ("daemon_kill", True, False),
        ("server_kill", False, True),
        ("both_kill", True, True),
    ):
        leader = _coordinator(cluster)
        victims = [next(n for n in cluster.nodes if n is not leader)]
        least = _owned(cluster, victims)
        _measure(
            cluster, name, victims,
            lambda v=victims, d=daemon, s=server: _kill(cluster, v, daemon=d, server=s),  # type: ignore[misc]
            least=least,
        )  # fmt: skip
        _recover(cluster)
    leader = _coordinator(cluster)
    _measure(
        cluster, "coordinator_kill", [leader],
        lambda: _kill(cluster, [leader], daemon=True, server=False),
        least=_owned(cluster, [leader]),
    )  # fmt: skip
    _recover(cluster)
    domain = _coordinator(cluster).failure_domain
    victims = [n for n in cluster.nodes if n.failure_domain == domain]
    _measure(
        cluster, "domain_kill", victims,
        lambda: _kill(cluster, victims, daemon=True, server=True),
        least=_owned(cluster, victims),
    )  # fmt: skip
    _recover(cluster)
    frozen = next(n for n in cluster.nodes if n is not _coordinator(cluster))
    _measure(
        cluster, "daemon_freeze", [frozen], lambda: cluster.freeze(frozen),
        least=_owned(cluster, [frozen]),
    )  # fmt: skip
    _recover(cluster)


def _stop(cluster: Cluster, node: Node) -> None:
    cluster.terminate_daemon(node).wait(60)


def _planned(cluster: Cluster) -> None:
    """A planned stop, and a daemon that is killed and returns."""
    node = next(n for n in cluster.nodes if n is not _coordinator(cluster))
    least = _owned(cluster, [node])
    _measure(cluster, "planned_stop", [node], lambda: _stop(cluster, node), least=least)
    _recover(cluster)


def _idle(cluster: Cluster) -> None:
    before = _calls(cluster)
    time.sleep(6.0)
    emit("platform_calls_idle", (_calls(cluster) - before) * 10, "calls/min")


def run() -> None:
    """Run the group."""
    quick = ServiceSpec(SERVICE, "keyed", SERVERS, {"policy": "quick"})
    with Cluster([quick], DOMAINS) as cluster:
        cluster.start()
        _idle(cluster)
        _quick_faults(cluster)
        _planned(cluster)
    patient = ServiceSpec(SERVICE, "keyed", 4, {"policy": "patient", "wait_return_s": 8.0})
    with Cluster([patient], DOMAINS) as cluster:
        cluster.start()
        node = next(n for n in cluster.nodes if n is not _coordinator(cluster))

        def restart() -> None:
            cluster.kill_daemon(node)
            cluster.start_daemon(node)

        _measure(cluster, "patient_restart", [node], restart, least=0)
