"""A randomised soak test: daemons, targets and a store as processes, under injected faults.

``python -m pearward_devtools.mesh.soak --seed 7 --seconds 40`` runs one seed; ``--seeds 50`` runs
50 consecutive seeds, starting with ``--seed``. Faults overlap: daemons and targets are killed,
paused and stopped; links between daemons are cut in one direction, stalled, delayed or reset; the
store is silent, rejects calls, drops its history and loses responses. With ``--returns`` the store
is also restored from an older copy, in some cases while all processes are killed. With ``--leaves``
targets also leave while some of their heartbeats are held up, and starting daemons get SIGHUP.
Callers use persistent connections. After the last fault has ended, every key must be served again.
"""

import contextlib
import http.client
import itertools
import json
import math
import random
import shutil
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

import click

from ..cluster import wait_until
from .cluster import CALLERS, HOST, MeshCluster, MeshNode
from .soak_checks import (
    DaemonKill,
    Disturbance,
    Leave,
    LimitedTarget,
    NodeFault,
    ResponseRecord,
    Run,
    find_violations,
    over_limit,
)
from .target import CRASHED

__all__ = ["SoakFault", "plan", "play"]

KEYED, POOLED = "roster", "sheets"
SERVICES = {KEYED: 4, POOLED: 2}
CALLERS_PER_DAEMON = 2
KEYS = 24
FAULT_FREE_S = 1.0
"""Seconds without a fault at the start, and between the end of the last fault and the end."""
FAULTS_PER_S = 0.6
MAX_FAULT_S = 4.0
RESPONSE_TIMEOUT_S = 20.0
"""Seconds after which a caller closes a connection; over five times the longest deadline (3 s)."""
STOP_TIMEOUT_S = 9.0
"""Seconds after SIGTERM in which a daemon must end: its stop limit of 6 s plus one half."""
DAEMON_FAULTS = ("daemon-kill", "daemon-pause", "daemon-stop")
TARGET_FAULTS = ("target-kill", "target-pause", "target-drain")
LEAVE_FAULTS = ("target-leave", "target-leave", "daemon-hangup", "daemon-hangup")
"""Targets that leave while some of their heartbeats are held up, and signals during starts."""
HELD_UP = {"count": 3, "delay_s": 2.5, "apart_s": 0.7}
HANGUPS, HANGUP_INTERVAL_S = 40, 0.02
INSTALLATION_TIMEOUT_S = 5.0
"""Seconds within which a started daemon has installed its signal handlers, on a loaded machine."""
CALL_FAULTS = ("target-late", "target-late")
"""Faults of targets that take their keys by calls, with the weight of two other faults."""
CRASH_FAULTS = ("request-crash",) * 4
"""Requests that crash the targets that run them, with the weight of four other faults."""
LIMIT_FAULTS = ("target-limit",) * 4
"""Targets that advertise a rate limit, with the weight of four other faults."""
LIMITS_PER_S = (0.4, 1.0, 2.0, 5.0)
LIMIT_DURATION_FACTOR = 4.0
"""Factor for the duration of a rate limit, which must be kept three seconds after it was named."""
CRASH_INTERVAL_S = 0.15
"""Interval between crashing requests of the same content, sent to the daemons in turn."""
CRASH_WORK_MS = 30
CRASH_DURATION_FACTOR = 4.0
"""Factor for the duration of a crashing request's fault, since three targets have to crash."""
DURATION_FACTORS = {
    CRASH_FAULTS[0]: CRASH_DURATION_FACTOR,
    LIMIT_FAULTS[0]: LIMIT_DURATION_FACTOR,
}
RESTART_DELAY_S = 1.0
"""Delay before a target that was crashed by a request is restarted."""
GRANT_DELAYS = [[0.5], [2.5], [0.0, 2.0], [1.0, 4.0], [3.0], [0.2]] * 2
"""Delays in seconds after which each of the next grants, which get no response, is applied."""
LINK_FAULTS = ("link-cut", "link-stall", "link-delay")
STORE_FAULTS = ("store-silent", "store-reset", "store-busy", "store-many", "store-slow",
                "store-lost", "store-forget", "store-revoke")  # fmt: skip

RESTORE_FAULTS = ("return-store", "return-store", "return-all", "return-daemons")
"""Restores of the store from an older copy: alone, with all processes or all daemons killed."""
RESTORE_AGES_S = (0.5, 1.0, 2.0, 4.0)
RESTORE_OUTAGE_S = 0.3


@dataclass(frozen=True, slots=True)
class SoakFault:
    """One fault with its time, kind, duration and instances."""

    at_s: float
    kind: str
    duration_s: float
    node: int
    other: int
    """The second instance of a link, or the one whose calls the store rejects."""


def plan(
    seed: int,
    seconds: float,
    nodes: int,
    *,
    by_call: bool = False,
    crashes: bool = False,
    returns: bool = False,
    limits: bool = False,
    leaves: bool = False,
) -> list[SoakFault]:
    """Return the faults of a seed, sorted by time."""
    rng = random.Random(seed)
    kinds: tuple[str, ...] = (*DAEMON_FAULTS, *TARGET_FAULTS, *LINK_FAULTS, *STORE_FAULTS)
    if by_call:
        kinds += CALL_FAULTS
    if crashes:
        kinds += CRASH_FAULTS
    if returns:
        kinds += RESTORE_FAULTS
    if limits:
        kinds += LIMIT_FAULTS
    if leaves:
        kinds += LEAVE_FAULTS
    last = max(FAULT_FREE_S, seconds - FAULT_FREE_S - MAX_FAULT_S)
    faults = [
        SoakFault(
            rng.uniform(FAULT_FREE_S, last),
            rng.choice(kinds),
            rng.uniform(0.3, MAX_FAULT_S),
            *rng.sample(range(nodes), 2),
        )
        for _ in range(max(1, int(seconds * FAULTS_PER_S)))
    ]
    stretched = [
        replace(f, duration_s=f.duration_s * DURATION_FACTORS.get(f.kind, 1.0)) for f in faults
    ]
    return sorted(stretched, key=lambda f: f.at_s)


class _Callers:
    """Callers of all daemons, each with a persistent connection."""

    def __init__(self, cluster: MeshCluster, seed: int) -> None:
        self._cluster = cluster
        self._seed = seed
        self._numbers = itertools.count(1)
        self._ending = threading.Event()
        self._threads: list[threading.Thread] = []
        self.responses: list[ResponseRecord] = []

    def start(self) -> None:
        """Start the callers."""
        for number, node in enumerate(self._cluster.nodes * CALLERS_PER_DAEMON):
            rng = random.Random(f"{self._seed}-{number}")
            thread = threading.Thread(target=self._call_loop, args=(node, rng), daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Stop the callers after their current requests."""
        self._ending.set()
        for thread in self._threads:
            thread.join()

    def _call_loop(self, node: MeshNode, rng: random.Random) -> None:
        connection = http.client.HTTPConnection(f"{node.ip}:{CALLERS}", timeout=RESPONSE_TIMEOUT_S)
        while not self._ending.is_set():
            self._call(connection, node, rng)
            time.sleep(rng.uniform(0.0, 0.04))
        connection.close()

    def _call(
        self, connection: http.client.HTTPConnection, node: MeshNode, rng: random.Random
    ) -> None:
        request_id = f"s{next(self._numbers)}"
        repeatable, keyed = rng.random() < 0.5, rng.random() < 0.7
        size = rng.choice((20, 20, 20, 3000, 150_000))
        service = KEYED if keyed else POOLED
        path = f"/{service}/{'safe' if repeatable else 'unsafe'}/x"
        query = f"?work_ms={rng.choice((0, 5, 30, 120, 400))}&bytes={size}"
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "3000"}
        if keyed:
            headers["Shard-Key"] = str(rng.randrange(KEYS) * 65_536 // KEYS)
        sent_at = time.monotonic()
        status, header_received, whole, limited_target = 0, False, False, ""
        try:
            connection.request("GET" if repeatable else "POST", path + query, None, headers)
            response = connection.getresponse()
            header_received = True
            body = response.read()
            status = response.status
            signature_valid = response.headers.get("Server-Signature") == f"signed.{request_id}"
            own_id = response.headers.get("Request-Id") == request_id
            if "Server-Limit" in response.headers:
                limited_target = response.headers.get("Target", "")
            whole = signature_valid and own_id and body == b"x" * size
        except (OSError, http.client.HTTPException):
            # No response or a truncated one, as when the daemon is killed.
            connection.close()
        self.responses.append(
            ResponseRecord(
                request_id,
                node.name,
                repeatable,
                status,
                header_received,
                whole,
                sent_at,
                time.monotonic(),
                limited_target,
            )
        )


class _Faults:
    """Start and end faults on a cluster, and skip a fault whose process does not run."""

    def __init__(self, cluster: MeshCluster) -> None:
        self._cluster = cluster
        self._links: list[dict[str, object]] = []
        self._store: dict[str, object] = {}
        self.kills: list[DaemonKill] = []
        self.disturbances: list[Disturbance] = []
        self.limits: list[LimitedTarget] = []
        self._named: dict[str, LimitedTarget] = {}
        """Limits that targets name at present, by instance."""
        self.node_faults: list[NodeFault] = []
        self._crashed_at: dict[int, float] = {}
        """Time at which a crashed target's process was found ended, by process id."""
        self.ended: list[str] = []
        """Daemons that ended by themselves after SIGHUP."""
        self.overdue: list[str] = []
        """Daemons that were still running ``STOP_TIMEOUT_S`` seconds after SIGTERM."""

    def start_fault(self, fault: SoakFault) -> Callable[[], None]:
        """Start a fault and return a function that ends it."""
        scope, _, action = fault.kind.partition("-")
        disturbs = scope in ("target", "link", "return") or action in ("kill", "pause", "hangup")
        if disturbs and action != "limit":
            now = time.monotonic()
            self.disturbances.append(Disturbance(now, now + fault.duration_s))
        node = self._cluster.nodes[fault.node]
        other = self._cluster.nodes[fault.other]
        self._note_excuses(scope, action, node, other)
        match scope:
            case "daemon":
                return self._daemon(action, node)
            case "target" if action == "limit":
                return self._limit(fault, node)
            case "target":
                return self._target(action, node)
            case "link":
                return self._link(action, node, other)
            case "request":
                return self._crashing_request(fault)
            case "return":
                return self._restore_store(
                    action, RESTORE_AGES_S[fault.other % len(RESTORE_AGES_S)]
                )
            case _:
                return self._store_fault(action, other, whole=fault.node % 2 == 0)

    def _note_excuses(self, scope: str, action: str, node: MeshNode, other: MeshNode) -> None:
        """Record the daemons whose requests a fault excuses from rate limits."""
        nodes: list[MeshNode] = []
        if scope == "daemon":
            nodes = [node]
        elif scope == "link":
            nodes = [node, other]
        elif scope == "return" and action != "store":
            nodes = self._cluster.nodes
        self.node_faults += [NodeFault(each.name, time.monotonic()) for each in nodes]

    def _limit(self, fault: SoakFault, node: MeshNode) -> Callable[[], None]:
        """Let a target advertise a rate limit, in place of one that it advertises already."""
        per_s = LIMITS_PER_S[fault.other % len(LIMITS_PER_S)]
        try:
            self._cluster.control_target(node, "headers", json.dumps({"Server-Limit": str(per_s)}))
            target = self._cluster.state(node)["id"]
        except OSError:
            # The target does not run, or is paused.
            return lambda: None
        self._end_limit(node)
        named = self._named[node.name] = LimitedTarget(target, per_s, time.monotonic(), math.inf)

        def ended() -> None:
            if self._named.get(node.name) is named:
                self._end_limit(node)
                with contextlib.suppress(OSError):
                    self._cluster.control_target(node, "headers")

        return ended

    def _end_limit(self, node: MeshNode) -> None:
        """Record the end of the limit that a target names, if it names one."""
        named = self._named.pop(node.name, None)
        if named is not None:
            self.limits.append(replace(named, ended=time.monotonic()))

    def _daemon(self, action: str, node: MeshNode) -> Callable[[], None]:
        process = node.daemon
        if process is None or process.poll() is not None:
            return lambda: None
        if action == "pause":
            process.send_signal(signal.SIGSTOP)
            return lambda: process.send_signal(signal.SIGCONT)
        if action in ("kill", "hangup"):
            self.kills.append(DaemonKill(node.name, time.monotonic()))
            self._cluster.kill(node)
            if action == "hangup":
                self._hang_up_start(node)
            return lambda: self._restart_daemon(node)
        process.send_signal(signal.SIGTERM)
        sigterm_at = time.monotonic()

        def ended() -> None:
            process.send_signal(signal.SIGCONT)
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(timeout=max(0.1, sigterm_at + STOP_TIMEOUT_S - time.monotonic()))
            if process.poll() is None:
                self.overdue.append(f"{node.name}: still running {STOP_TIMEOUT_S} s after SIGTERM")
                self._cluster.kill(node)
            self._restart_daemon(node)

        return ended

    def _hang_up_start(self, node: MeshNode) -> None:
        """Restart a killed daemon, and signal changes of its settings during its start."""
        self._cluster.start_daemon(node)
        process = node.daemon
        assert process is not None
        wait_until(
            lambda: process.poll() is not None or _handles(process.pid, signal.SIGHUP),
            "signal handlers", INSTALLATION_TIMEOUT_S,
        )  # fmt: skip
        for _ in range(HANGUPS):
            process.send_signal(signal.SIGHUP)
            time.sleep(HANGUP_INTERVAL_S)
            if process.poll() is not None:
                self.ended.append(f"{node.name}: ended by itself with code {process.returncode}")
                return

    def _restart_daemon(self, node: MeshNode) -> None:
        if node.daemon is None or node.daemon.poll() is not None:
            self._cluster.start_daemon(node)

    def _target(self, action: str, node: MeshNode) -> Callable[[], None]:
        process = node.target
        if process is None or process.poll() is not None:
            return lambda: None
        if action == "pause":
            process.send_signal(signal.SIGSTOP)
            return lambda: process.send_signal(signal.SIGCONT)
        if action == "late":
            if node.keyed:
                with contextlib.suppress(OSError):
                    self._cluster.control_target(node, "late", json.dumps(GRANT_DELAYS))
            return lambda: None
        if action == "leave":
            with contextlib.suppress(OSError):
                self._cluster.control_target(node, "hold-up", json.dumps(HELD_UP))
                self._cluster.control_target(node, "leave")
        if action == "drain":
            # A paused target does not receive this; it is replaced without a drain.
            with contextlib.suppress(OSError):
                self._cluster.control_target(node, "drain")

        def replace_target() -> None:
            if node.target is process:
                process.kill()
                process.wait()
                self._cluster.start_target(node)

        if action == "kill":
            process.kill()
            process.wait()
        return replace_target

    def _restore_store(self, action: str, age_s: float) -> Callable[[], None]:
        """Restore the store from a copy of some age, and kill processes at the same time."""
        killed = self._cluster.nodes if action != "store" else []
        for node in killed:
            if action == "all" and node.target is not None:
                node.target.kill()
                node.target.wait()
            if node.daemon is not None and node.daemon.poll() is None:
                self.kills.append(DaemonKill(node.name, time.monotonic()))
                self._cluster.kill(node)
        body = {"away_s": RESTORE_OUTAGE_S, "age_s": age_s}
        self._cluster.store_call("/standin/return", json.dumps(body))

        def ended() -> None:
            for node in killed:
                self._restart_daemon(node)
                if node.target is None or node.target.poll() is not None:
                    self._cluster.start_target(node)

        return ended

    def _crashing_request(self, fault: SoakFault) -> Callable[[], None]:
        """Send the same crashing request repeatedly, with new request ids."""
        ending = threading.Event()
        node = self._cluster.nodes[fault.node]
        thread = threading.Thread(target=self._crash, args=(node.service, fault, ending))
        thread.start()

        def ended() -> None:
            ending.set()
            thread.join()

        return ended

    def _crash(self, service: str, fault: SoakFault, ending: threading.Event) -> None:
        path = f"/{service}/safe/bad-{fault.at_s:.6f}?spoil=crash&work_ms={CRASH_WORK_MS}"
        key = str(fault.other * 65_536 // KEYS)
        for number in itertools.count():
            node = self._cluster.nodes[number % len(self._cluster.nodes)]
            headers = {"Request-Id": f"{fault.at_s}-{number}", "Shard-Key": key}
            with contextlib.suppress(OSError, http.client.HTTPException):
                self._cluster.call(node, path, headers=headers, timeout_s=1.0)
            if ending.wait(CRASH_INTERVAL_S):
                return

    def start_crashed(self) -> None:
        """Restart targets that a request crashed at least ``RESTART_DELAY_S`` seconds ago."""
        now = time.monotonic()
        for node in self._cluster.nodes:
            process = node.target
            if process is None or process.poll() != CRASHED:
                continue
            if now - self._crashed_at.setdefault(process.pid, now) >= RESTART_DELAY_S:
                self.disturbances.append(Disturbance(self._crashed_at[process.pid], now))
                self._cluster.start_target(node)

    def _link(self, action: str, node: MeshNode, other: MeshNode) -> Callable[[], None]:
        row: dict[str, object] = {"from": node.ip, "to": other.ip, "kind": action, "seconds": 0.2}
        self._links.append(row)
        self._cluster.set_link_faults(self._links)

        def ended() -> None:
            self._links.remove(row)
            self._cluster.set_link_faults(self._links)

        return ended

    def _store_fault(self, action: str, other: MeshNode, *, whole: bool) -> Callable[[], None]:
        if action == "forget":
            self._cluster.store_call("/standin/forget")
            return lambda: None
        if action == "revoke":
            prefix = json.dumps({"prefix": "pearward/members/"})
            self._cluster.store_call("/standin/revoke", prefix)
            return lambda: None
        if action == "slow":
            fault: dict[str, object] = {"delay_s": 0.4}
        elif action == "lost":
            fault = {"lose_writes": 3, "late_s": 2.0}
        else:
            fault = {"mode": action, "only": [] if whole else [other.ip]}
        self._store = fault
        self._cluster.store_call("/standin/faults", json.dumps(fault))

        def ended() -> None:
            if self._store is fault:
                self._cluster.store_call("/standin/faults", "{}")

        return ended


def _handles(pid: int, number: signal.Signals) -> bool:
    """Return whether a process has installed a handler for a signal."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    caught = int(status.partition("SigCgt:")[2].split()[0], 16)
    return bool(caught >> (number - 1) & 1)


def play(
    seed: int,
    seconds: float,
    keep: Path | None = None,
    *,
    by_call: bool = False,
    crashes: bool = False,
    returns: bool = False,
    limits: bool = False,
    leaves: bool = False,
) -> tuple[list[str], int]:
    """Run one seed; return a line for each violated guarantee, and the number served."""
    grants = "call" if by_call else "heartbeat"
    cluster = MeshCluster(SERVICES, keyed=KEYED, proxied=True, grants=grants)
    callers, faults = _Callers(cluster, seed), _Faults(cluster)
    violations: list[str] = []
    try:
        cluster.start()
        callers.start()
        planned_faults = plan(
            seed, seconds, len(cluster.nodes), by_call=by_call, crashes=crashes, returns=returns,
            limits=limits, leaves=leaves,
        )  # fmt: skip
        _play_faults(planned_faults, faults, seconds)
        callers.stop()
        time.sleep(RESTART_DELAY_S)
        faults.start_crashed()
        violations += _check_recovery(cluster)
        runs, left = _read_target_logs(cluster)
        violations += find_violations(
            callers.responses, runs, left, faults.kills, faults.disturbances
        )
        violations += over_limit(callers.responses, runs, faults.limits, faults.node_faults)
        violations += faults.overdue + faults.ended
    finally:
        if violations and keep is not None:
            shutil.copytree(cluster.logs, keep / f"seed-{seed}", dirs_exist_ok=True)
        cluster.stop()
    return violations, sum(a.status == http.client.OK for a in callers.responses)


def _play_faults(planned_faults: list[SoakFault], faults: _Faults, seconds: float) -> None:
    """Start and end each fault at its planned time; faults may overlap."""
    started_at = time.monotonic()
    numbers = itertools.count()
    due: list[tuple[float, int, Callable[[], Callable[[], None] | None]]] = [
        (f.at_s, next(numbers), lambda f=f: faults.start_fault(f))  # type: ignore[misc]
        for f in planned_faults
    ]
    durations = {number: fault.duration_s for number, fault in enumerate(planned_faults)}
    while due:
        due.sort()
        at_s, number, start_or_end = due.pop(0)
        _sleep_until(started_at + at_s, faults)
        end = start_or_end()
        if end is not None:
            due.append((at_s + durations[number], next(numbers), end))  # type: ignore[arg-type]
    _sleep_until(started_at + seconds, faults)


def _sleep_until(when: float, faults: _Faults) -> None:
    """Wait until a time, and restart crashed targets meanwhile."""
    while (left_s := when - time.monotonic()) > 0:
        time.sleep(min(left_s, 0.2))
        faults.start_crashed()


def _check_recovery(cluster: MeshCluster) -> list[str]:
    """Wait until all services are served again; return a line if they are not."""
    try:
        cluster.wait_served()
        cluster.configure()
        wait_until(cluster.all_pooled_served, "the pooled service")
    except (TimeoutError, OSError) as error:
        return [f"not served again after the last fault: {error}"]
    return []


def _read_target_logs(cluster: MeshCluster) -> tuple[list[Run], list[Leave]]:
    """Read the runs and drains from the logs of all targets, including ended ones."""
    runs: list[Run] = []
    leaves: list[Leave] = []
    for node in cluster.nodes:
        for line in (cluster.logs / f"{node.name}-target.log").read_text().splitlines():
            if not line.startswith("{"):
                continue
            row = json.loads(line)
            if "leave_acknowledged" in row:
                leaves.append(Leave(row["target"], row["leave_acknowledged"]))
            else:
                runs.append(
                    Run(row["id"], row["target"], node.service, row["path"], row["key"],
                        row["fence"], row["at"])
                )  # fmt: skip
    return runs, leaves


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of seeds to run.")
@click.option("--seconds", default=30.0, show_default=True, help="Duration of each seed.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Folder to copy the logs of failed seeds to."
)
@click.option("--by-call", is_flag=True, help="Targets take their keys by calls.")
@click.option("--crashes", is_flag=True, help="Some requests crash the targets that run them.")
@click.option("--returns", is_flag=True, help="The store is restored from older copies.")
@click.option(
    "--limits", is_flag=True, help="Targets advertise limits on the rate of their requests."
)
@click.option(
    "--leaves", is_flag=True, help="Targets leave while heartbeats are held up; SIGHUP in starts."
)
def main(
    seed: int,
    seeds: int,
    seconds: float,
    keep: Path | None,
    by_call: bool,
    crashes: bool,
    returns: bool,
    limits: bool,
    leaves: bool,
) -> None:
    """Run seeds and report those with violated guarantees."""
    failed = 0
    for number in range(seed, seed + seeds):
        violations, served = play(
            number, seconds, keep, by_call=by_call, crashes=crashes, returns=returns,
            limits=limits, leaves=leaves,
        )  # fmt: skip
        failed += bool(violations)
        click.echo(f"seed {number}: {'BROKEN' if violations else 'held'}, {served} served")
        for line in violations[:10]:
            click.echo(f"    {line}")
    click.echo(f"{seeds - failed} held, {failed} broke a promise")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
