"""The request path: throughput, added latency, memory and processor time by leg."""

import json
import subprocess
import sys
import time
from dataclasses import dataclass
from statistics import median
from typing import Any

import psutil

from pearward_devtools.cluster import Cluster, Node, ServiceSpec
from pearward_state.keys import key_hash, service_seed

from .report import emit

__all__ = ["run"]

SERVICE = "roster-app"
GENERATORS = 3
SECONDS = 4.0
ROUNDS = 3
ROUND_S = 1.2
LATENCY_ROUNDS = 3
LATENCY_ROUND_S = 1.0
MIB = 1024 * 1024
STREAM_BYTES = 1024 * MIB
OPEN_STREAMS = 1000


@dataclass(frozen=True)
class _Load:
    """The sum of some load generators."""

    rps: float
    p50_ms: float
    p99_ms: float
    errors: int
    bytes: int
    seconds: float
    count: int


@dataclass(frozen=True)
class _Scene:
    """Who plays which part."""

    cluster: Cluster
    ingress: Node
    owner: Node
    keys: list[str]

    @property
    def headers(self) -> list[str]:
        """Headers of every request."""
        return [f"Pearward-Service={SERVICE}"]


def keys_of(cluster: Cluster, node: Node, count: int) -> list[str]:
    """Return keys that a node's server owns."""
    record = cluster.record(node.service)
    assert record is not None
    seed = service_seed(node.service)
    found: list[str] = []
    number = 0
    while len(found) < count:
        key = f"key-{number}"
        owner = record.owner_of(record.shards.find(key_hash(key.encode(), seed)))
        if owner is not None and owner.server == node.server:
            found.append(key)
        number += 1
    return found


def _generate(
    scene: _Scene, target: str, *, path: str = "/standin/plain", rate: float = 0.0,
    generators: int = GENERATORS, workers: int = 32, seconds: float = SECONDS,
) -> _Load:  # fmt: skip
    """Run load generators side by side and add them up."""
    command = [
        sys.executable, "-m", "pearward_devtools.loadgen", "--target", target, "--path", path,
        "--workers", str(workers), "--seconds", str(seconds), "--rate", str(rate / generators),
    ]  # fmt: skip
    for header in scene.headers:
        command += ["--header", header]
    for key in scene.keys:
        command += ["--key", key]
    processes = [subprocess.Popen(command, stdout=subprocess.PIPE) for _ in range(generators)]
    rows: list[dict[str, Any]] = [json.loads(p.communicate()[0]) for p in processes]
    return _Load(
        sum(r["count"] / r["seconds"] for r in rows),
        max(r["p50_ms"] for r in rows),
        max(r["p99_ms"] for r in rows),
        sum(r["errors"] for r in rows),
        sum(r["bytes"] for r in rows),
        max(r["seconds"] for r in rows),
        max(1, sum(r["count"] for r in rows)),
    )


def _process(node: Node) -> psutil.Process:
    assert node.daemon is not None
    return psutil.Process(node.daemon.pid)


def _rss_mb(node: Node) -> float:
    return _process(node).memory_info().rss / MIB


def _cpu_s(node: Node) -> float:
    times = _process(node).cpu_times()
    return float(times.user + times.system)


def _server_cpu_s(node: Node) -> float:
    assert node.server_process is not None
    times = psutil.Process(node.server_process.pid).cpu_times()
    return float(times.user + times.system)


def _throughput(scene: _Scene) -> float:
    """Measure requests a second as fast as possible: direct, local and over one hop.

    The three take turns and the medians of the ratios count, since the machine's speed
    drifts. Processor time a request is given beside the stand-in server's own.
    """
    rounds: list[tuple[float, float, float]] = []
    cpu: dict[str, list[float]] = {"direct": [], "local": [], "ingress": [], "owner": []}
    errors = 0
    for _ in range(ROUNDS):
        before = _server_cpu_s(scene.owner)
        direct = _generate(scene, scene.owner.server_address, seconds=ROUND_S)
        cpu["direct"].append((_server_cpu_s(scene.owner) - before) / direct.count)
        before = _cpu_s(scene.owner)
        local = _generate(scene, scene.owner.caller, seconds=ROUND_S)
        cpu["local"].append((_cpu_s(scene.owner) - before) / local.count)
        before_in, before = _cpu_s(scene.ingress), _cpu_s(scene.owner)
        onehop = _generate(scene, scene.ingress.caller, seconds=ROUND_S)
        cpu["ingress"].append((_cpu_s(scene.ingress) - before_in) / onehop.count)
        cpu["owner"].append((_cpu_s(scene.owner) - before) / onehop.count)
        rounds.append((direct.rps, local.rps, onehop.rps))
        errors += direct.errors + local.errors + onehop.errors
    direct_rps = median(r[0] for r in rounds)
    onehop_rps = median(r[2] for r in rounds)
    emit("direct_rps", direct_rps, "1/s")
    emit("local_rps", median(r[1] for r in rounds), "1/s", direct_rps)
    emit("local_rps_ratio", median(r[1] / r[0] for r in rounds), "ratio", 1.0)
    emit("onehop_rps", onehop_rps, "1/s", direct_rps)
    emit("onehop_rps_ratio", median(r[2] / r[0] for r in rounds), "ratio", 1.0)
    emit("path_errors", errors, "requests", 0)
    server_us = median(cpu["direct"]) * 1e6
    for leg in ("local", "ingress", "owner"):
        emit(f"cpu_{leg}_us", median(cpu[leg]) * 1e6, "us/request", server_us)
    return onehop_rps


def _added_latency(scene: _Scene, rate: float) -> None:
    """Measure latency at half load beside a direct call at the same rate, in turns."""
    targets = {
        "direct": scene.owner.server_address,
        "local": scene.owner.caller,
        "onehop": scene.ingress.caller,
    }
    p50: dict[str, list[float]] = {name: [] for name in targets}
    p99: dict[str, list[float]] = {name: [] for name in targets}
    for _ in range(LATENCY_ROUNDS):
        for name, target in targets.items():
            load = _generate(
                scene, target, rate=rate, generators=2, workers=24, seconds=LATENCY_ROUND_S
            )
            p50[name].append(load.p50_ms)
            p99[name].append(load.p99_ms)
    emit("half_load_rps", rate, "1/s")
    for name in ("local", "onehop"):
        for label, values in (("p50", p50), ("p99", p99)):
            direct = median(values["direct"])
            emit(f"{name}_added_{label}_ms", median(values[name]) - direct, "ms", direct)


@dataclass(frozen=True)
class _Watched:
    """One load generator's result, and how far each daemon's memory rose meanwhile."""

    row: dict[str, Any]
    ingress_mb: float
    owner_mb: float


def _watch_memory(scene: _Scene, command: list[str]) -> _Watched:
    """Run a load generator and watch both daemons' memory."""
    before = (_rss_mb(scene.ingress), _rss_mb(scene.owner))
    peak = list(before)
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    while process.poll() is None:
        peak[0] = max(peak[0], _rss_mb(scene.ingress))
        peak[1] = max(peak[1], _rss_mb(scene.owner))
        time.sleep(0.02)
    assert process.stdout is not None
    row = json.loads(process.stdout.read())
    return _Watched(row, peak[0] - before[0], peak[1] - before[1])


def _one_key_command(scene: _Scene, path: str, workers: int, seconds: float) -> list[str]:
    """Return the load generator's command for one key through the ingress."""
    return [
        sys.executable, "-m", "pearward_devtools.loadgen", "--target", scene.ingress.caller,
        "--path", path, "--workers", str(workers), "--seconds", str(seconds),
        "--header", scene.headers[0], "--key", scene.keys[0],
    ]  # fmt: skip


def _streaming(scene: _Scene) -> None:
    """Stream a gigabyte through two daemons and watch their memory."""
    command = _one_key_command(scene, f"/download?bytes={STREAM_BYTES}", 1, 0.01)
    watched = _watch_memory(scene, command)
    row = watched.row
    command[command.index(scene.ingress.caller)] = scene.owner.server_address
    direct = json.loads(subprocess.run(command, capture_output=True, check=True).stdout)
    emit("stream_bytes_short", STREAM_BYTES - row["bytes"], "bytes", 0)
    emit("stream_rss_growth_mb", max(watched.ingress_mb, watched.owner_mb), "MB", 16)
    rate = row["bytes"] / row["seconds"] / MIB
    emit("stream_mb_s", rate, "MB/s", direct["bytes"] / direct["seconds"] / MIB)


def _open_streams(scene: _Scene) -> None:
    """Hold many requests open at once and see what each costs in memory."""
    watched = _watch_memory(scene, _one_key_command(scene, "/work?work_ms=4000", OPEN_STREAMS, 1.0))
    emit("open_streams_errors", watched.row["errors"], "requests", 0)
    per = 1000 / OPEN_STREAMS
    emit("rss_ingress_per_1000_streams_mb", watched.ingress_mb * per, "MB")
    emit("rss_owner_per_1000_streams_mb", watched.owner_mb * per, "MB")


def run() -> None:
    """Run the group."""
    spec = ServiceSpec(SERVICE, "keyed", 3, server_fields={"slots": 2000, "connections": 4000})
    settings = {"limits": {"queue": 4000}}
    with Cluster([spec], ["a", "b", "c"], settings=settings) as cluster:
        cluster.start()
        ingress, owner = cluster.nodes[0], cluster.nodes[1]
        scene = _Scene(cluster, ingress, owner, keys_of(cluster, owner, 20))
        time.sleep(1.0)
        emit("rss_idle_mb", _rss_mb(owner), "MB", 64)
        before = _cpu_s(owner)
        time.sleep(4.0)
        emit("cpu_idle_percent", (_cpu_s(owner) - before) / 4.0 * 100, "% of a core", 2.9)
        # Memory first: what load leaves to the allocator would hide what streams take.
        _open_streams(scene)
        _streaming(scene)
        onehop_rps = _throughput(scene)
        _added_latency(scene, onehop_rps / 2)
