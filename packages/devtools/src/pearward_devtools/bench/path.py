"""Throughput, added latency, memory and processor time of the request path, by leg."""

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
    """Combined results of several load generators."""

    rps: float
    p50_ms: float
    p99_ms: float
    errors: int
    bytes: int
    seconds: float
    count: int


@dataclass(frozen=True)
class _Setup:
    """The cluster, its ingress and owner daemons, and the keys of the owner."""

    cluster: Cluster
    ingress: Node
    owner: Node
    keys: list[str]

    @property
    def headers(self) -> list[str]:
        """Headers of every request, as ``NAME=VALUE``."""
        return [f"Pearward-Service={SERVICE}"]


def keys_of(cluster: Cluster, node: Node, count: int) -> list[str]:
    """Return *count* keys that a node's server owns."""
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


def _run_generators(
    setup: _Setup, target: str, *, path: str = "/standin/plain", rate: float = 0.0,
    generators: int = GENERATORS, workers: int = 32, seconds: float = SECONDS,
) -> _Load:  # fmt: skip
    """Run load generators in parallel and combine their results."""
    command = [
        sys.executable, "-m", "pearward_devtools.loadgen", "--target", target, "--path", path,
        "--workers", str(workers), "--seconds", str(seconds), "--rate", str(rate / generators),
    ]  # fmt: skip
    for header in setup.headers:
        command += ["--header", header]
    for key in setup.keys:
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


def _daemon_process(node: Node) -> psutil.Process:
    assert node.daemon is not None
    return psutil.Process(node.daemon.pid)


def _rss_mb(node: Node) -> float:
    return _daemon_process(node).memory_info().rss / MIB


def _cpu_s(node: Node) -> float:
    times = _daemon_process(node).cpu_times()
    return float(times.user + times.system)


def _server_cpu_s(node: Node) -> float:
    assert node.server_process is not None
    times = psutil.Process(node.server_process.pid).cpu_times()
    return float(times.user + times.system)


def _measure_throughput(setup: _Setup) -> float:
    """Measure the maximum request rate: direct, local and over one hop; return the last.

    The three are measured in turn in each round, and the ratios are medians over the rounds,
    because the machine's speed drifts. The baseline of the processor time per request is that
    of the stand-in server.
    """
    rounds: list[tuple[float, float, float]] = []
    cpu: dict[str, list[float]] = {"direct": [], "local": [], "ingress": [], "owner": []}
    errors = 0
    for _ in range(ROUNDS):
        before = _server_cpu_s(setup.owner)
        direct = _run_generators(setup, setup.owner.server_address, seconds=ROUND_S)
        cpu["direct"].append((_server_cpu_s(setup.owner) - before) / direct.count)
        before = _cpu_s(setup.owner)
        local = _run_generators(setup, setup.owner.caller, seconds=ROUND_S)
        cpu["local"].append((_cpu_s(setup.owner) - before) / local.count)
        before_in, before = _cpu_s(setup.ingress), _cpu_s(setup.owner)
        onehop = _run_generators(setup, setup.ingress.caller, seconds=ROUND_S)
        cpu["ingress"].append((_cpu_s(setup.ingress) - before_in) / onehop.count)
        cpu["owner"].append((_cpu_s(setup.owner) - before) / onehop.count)
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


def _measure_added_latency(setup: _Setup, rate: float) -> None:
    """Measure the latency added to that of direct calls, at half load and in turn."""
    targets = {
        "direct": setup.owner.server_address,
        "local": setup.owner.caller,
        "onehop": setup.ingress.caller,
    }
    p50: dict[str, list[float]] = {name: [] for name in targets}
    p99: dict[str, list[float]] = {name: [] for name in targets}
    for _ in range(LATENCY_ROUNDS):
        for name, target in targets.items():
            load = _run_generators(
                setup, target, rate=rate, generators=2, workers=24, seconds=LATENCY_ROUND_S
            )
            p50[name].append(load.p50_ms)
            p99[name].append(load.p99_ms)
    emit("half_load_rps", rate, "1/s")
    for name in ("local", "onehop"):
        for label, values in (("p50", p50), ("p99", p99)):
            direct = median(values["direct"])
            emit(f"{name}_added_{label}_ms", median(values[name]) - direct, "ms", direct)


@dataclass(frozen=True)
class _MemoryResult:
    """Result of one load generator, and the growth of each daemon's memory during its run."""

    row: dict[str, Any]
    ingress_mb: float
    owner_mb: float


def _run_with_memory(setup: _Setup, command: list[str]) -> _MemoryResult:
    """Run a load generator and record the peak memory of both daemons."""
    before = (_rss_mb(setup.ingress), _rss_mb(setup.owner))
    peak = list(before)
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    while process.poll() is None:
        peak[0] = max(peak[0], _rss_mb(setup.ingress))
        peak[1] = max(peak[1], _rss_mb(setup.owner))
        time.sleep(0.02)
    assert process.stdout is not None
    row = json.loads(process.stdout.read())
    return _MemoryResult(row, peak[0] - before[0], peak[1] - before[1])


def _generator_command(setup: _Setup, path: str, workers: int, seconds: float) -> list[str]:
    """Return the command of a load generator that requests one key through the ingress."""
    return [
        sys.executable, "-m", "pearward_devtools.loadgen", "--target", setup.ingress.caller,
        "--path", path, "--workers", str(workers), "--seconds", str(seconds),
        "--header", setup.headers[0], "--key", setup.keys[0],
    ]  # fmt: skip


def _measure_streaming(setup: _Setup) -> None:
    """Measure throughput and memory growth while two daemons stream 1 GiB."""
    command = _generator_command(setup, f"/download?bytes={STREAM_BYTES}", 1, 0.01)
    result = _run_with_memory(setup, command)
    row = result.row
    command[command.index(setup.ingress.caller)] = setup.owner.server_address
    direct = json.loads(subprocess.run(command, capture_output=True, check=True).stdout)
    emit("stream_bytes_short", STREAM_BYTES - row["bytes"], "bytes", 0)
    emit("stream_rss_growth_mb", max(result.ingress_mb, result.owner_mb), "MB", 16)
    rate = row["bytes"] / row["seconds"] / MIB
    emit("stream_mb_s", rate, "MB/s", direct["bytes"] / direct["seconds"] / MIB)


def _measure_open_streams(setup: _Setup) -> None:
    """Measure the memory that concurrently open requests take in each daemon."""
    result = _run_with_memory(
        setup, _generator_command(setup, "/work?work_ms=4000", OPEN_STREAMS, 1.0)
    )
    emit("open_streams_errors", result.row["errors"], "requests", 0)
    per_thousand = 1000 / OPEN_STREAMS
    emit("rss_ingress_per_1000_streams_mb", result.ingress_mb * per_thousand, "MB")
    emit("rss_owner_per_1000_streams_mb", result.owner_mb * per_thousand, "MB")


def run() -> None:
    """Run all measurements of this group."""
    spec = ServiceSpec(SERVICE, "keyed", 3, server_fields={"slots": 2000, "connections": 4000})
    settings = {"limits": {"queue": 4000}}
    with Cluster([spec], ["a", "b", "c"], settings=settings) as cluster:
        cluster.start()
        ingress, owner = cluster.nodes[0], cluster.nodes[1]
        setup = _Setup(cluster, ingress, owner, keys_of(cluster, owner, 20))
        time.sleep(1.0)
        emit("rss_idle_mb", _rss_mb(owner), "MB", 64)
        before = _cpu_s(owner)
        time.sleep(4.0)
        emit("cpu_idle_percent", (_cpu_s(owner) - before) / 4.0 * 100, "% of a core", 2.9)
        # Memory is measured first: memory that the allocator keeps after load would hide the
        # growth that open streams cause.
        _measure_open_streams(setup)
        _measure_streaming(setup)
        onehop_rps = _measure_throughput(setup)
        _measure_added_latency(setup, onehop_rps / 2)
