"""A randomised soak: real daemons, targets and a store under faults from outside them.

``python -m pearward_devtools.mesh.soak --seed 7 --seconds 40`` plays one seed;
``--seeds 50`` plays that many in a row, from ``--seed`` on. Faults overlap: daemons and targets
are killed, paused and stopped, links between daemons are cut one way, stalled, delayed or
reset, the store is silent, refuses, forgets and loses answers, or with ``--returns`` comes back
from an older copy, at times while everything is killed. Callers keep their connections.
At the end everything is healed, and every key must be served again.
"""

import contextlib
import http.client
import itertools
import json
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
from .soak_checks import Answer, Disturbance, Leave, Restart, Run, broken_promises
from .target import CRASHED

__all__ = ["SoakFault", "plan", "play"]

KEYED, POOLED = "roster", "sheets"
SERVICES = {KEYED: 4, POOLED: 2}
CALLERS_PER_DAEMON = 2
KEYS = 24
CALM_S = 1.0
"""Seconds without a fault at the start, and for the last faults to end before the end."""
FAULTS_PER_S = 0.6
LONGEST_FAULT_S = 4.0
ANSWER_S = 20.0
"""Seconds after which a caller gives a connection up: five times the longest deadline."""
STOP_S = 9.0
"""Seconds in which a daemon that was told to stop must have ended: its 6 s, and half more."""
DAEMON_FAULTS = ("daemon-kill", "daemon-pause", "daemon-stop")
TARGET_FAULTS = ("target-kill", "target-pause", "target-drain")
CALL_FAULTS = ("target-late", "target-late")
"""Faults of targets that take their keys by calls, drawn as often as two others."""
CRASH_FAULTS = ("request-crash",) * 4
"""Requests that crash the targets that run them, drawn as often as four others."""
CRASH_EVERY_S = 0.15
"""Seconds between two of the same content, at daemons in turn."""
CRASH_WORK_MS = 30
CRASH_LASTS = 4.0
"""How many times as long as another fault such a request comes: three targets have to end first."""
BACK_S = 1.0
"""Seconds after which a target that a request crashed is started again."""
LATE_GRANTS = [[0.5], [2.5], [0.0, 2.0], [1.0, 4.0], [3.0], [0.2]] * 2
"""Seconds after which grants that go unanswered are taken, once or more."""
LINK_FAULTS = ("link-cut", "link-stall", "link-delay")
STORE_FAULTS = ("store-silent", "store-reset", "store-busy", "store-many", "store-slow",
                "store-lost", "store-forget", "store-revoke")  # fmt: skip


RETURN_FAULTS = ("return-store", "return-store", "return-all", "return-daemons")
"""The store comes back from an older copy: alone, or as everything or all daemons are killed."""
RETURN_AGES_S = (0.5, 1.0, 2.0, 4.0)
RETURN_AWAY_S = 0.3


@dataclass(frozen=True, slots=True)
class SoakFault:
    """One fault: what happens, when, for how long and to whom."""

    at_s: float
    kind: str
    for_s: float
    node: int
    other: int
    """The second instance of a link, or the one that the store turns away."""


def plan(
    seed: int,
    seconds: float,
    nodes: int,
    *,
    by_call: bool = False,
    crashes: bool = False,
    returns: bool = False,
) -> list[SoakFault]:
    """Return the faults of a seed, in the order of their times."""
    rng = random.Random(seed)
    kinds: tuple[str, ...] = (*DAEMON_FAULTS, *TARGET_FAULTS, *LINK_FAULTS, *STORE_FAULTS)
    if by_call:
        kinds += CALL_FAULTS
    if crashes:
        kinds += CRASH_FAULTS
    if returns:
        kinds += RETURN_FAULTS
    last = max(CALM_S, seconds - CALM_S - LONGEST_FAULT_S)
    faults = [
        SoakFault(
            rng.uniform(CALM_S, last),
            rng.choice(kinds),
            rng.uniform(0.3, LONGEST_FAULT_S),
            *rng.sample(range(nodes), 2),
        )
        for _ in range(max(1, int(seconds * FAULTS_PER_S)))
    ]
    longer = [
        replace(f, for_s=f.for_s * CRASH_LASTS) if f.kind in CRASH_FAULTS else f for f in faults
    ]
    return sorted(longer, key=lambda f: f.at_s)


class _Callers:
    """Callers of all daemons, each with a connection that it keeps."""

    def __init__(self, cluster: MeshCluster, seed: int) -> None:
        self._cluster = cluster
        self._seed = seed
        self._numbers = itertools.count(1)
        self._ending = threading.Event()
        self._threads: list[threading.Thread] = []
        self.answers: list[Answer] = []

    def start(self) -> None:
        """Begin to call."""
        for number, node in enumerate(self._cluster.nodes * CALLERS_PER_DAEMON):
            rng = random.Random(f"{self._seed}-{number}")
            thread = threading.Thread(target=self._call_on, args=(node, rng), daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """End after the requests that are under way."""
        self._ending.set()
        for thread in self._threads:
            thread.join()

    def _call_on(self, node: MeshNode, rng: random.Random) -> None:
        connection = http.client.HTTPConnection(f"{node.ip}:{CALLERS}", timeout=ANSWER_S)
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
        status, begun, whole = 0, False, False
        try:
            connection.request("GET" if repeatable else "POST", path + query, None, headers)
            response = connection.getresponse()
            begun = True
            body = response.read()
            status = response.status
            signed = response.headers.get("Server-Signature") == f"signed.{request_id}"
            own = response.headers.get("Request-Id") == request_id
            whole = signed and own and body == b"x" * size
        except (OSError, http.client.HTTPException):
            # No answer, or a broken one; a daemon that was killed does that.
            connection.close()
        self.answers.append(
            Answer(
                request_id, node.name, repeatable, status, begun, whole, sent_at, time.monotonic()
            )
        )


class _Faults:
    """Begins and ends faults on a cluster; what cannot be done now is left out."""

    def __init__(self, cluster: MeshCluster) -> None:
        self._cluster = cluster
        self._links: list[dict[str, object]] = []
        self._store: dict[str, object] = {}
        self.kills: list[Restart] = []
        self.disturbances: list[Disturbance] = []
        self._crashed_at: dict[int, float] = {}
        """When the end of a crashed target's process was seen."""
        self.overdue: list[str] = []
        """Daemons that did not end in time after SIGTERM."""

    def begin(self, fault: SoakFault) -> Callable[[], None]:
        """Begin a fault; return what ends it."""
        scope, _, what = fault.kind.partition("-")
        if scope in ("target", "link", "return") or what in ("kill", "pause"):
            now = time.monotonic()
            self.disturbances.append(Disturbance(now, now + fault.for_s))
        node = self._cluster.nodes[fault.node]
        other = self._cluster.nodes[fault.other]
        match scope:
            case "daemon":
                return self._daemon(what, node)
            case "target":
                return self._target(what, node)
            case "link":
                return self._link(what, node, other)
            case "request":
                return self._crashing_request(fault)
            case "return":
                return self._return(what, RETURN_AGES_S[fault.other % len(RETURN_AGES_S)])
            case _:
                return self._store_fault(what, other, whole=fault.node % 2 == 0)

    def _daemon(self, what: str, node: MeshNode) -> Callable[[], None]:
        process = node.daemon
        if process is None or process.poll() is not None:
            return lambda: None
        if what == "pause":
            process.send_signal(signal.SIGSTOP)
            return lambda: process.send_signal(signal.SIGCONT)
        if what == "kill":
            self.kills.append(Restart(node.name, time.monotonic()))
            self._cluster.kill(node)
            return lambda: self._start_again(node)
        process.send_signal(signal.SIGTERM)
        told_at = time.monotonic()

        def ended() -> None:
            process.send_signal(signal.SIGCONT)
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(timeout=max(0.1, told_at + STOP_S - time.monotonic()))
            if process.poll() is None:
                self.overdue.append(f"{node.name}: runs {STOP_S} s after SIGTERM")
                self._cluster.kill(node)
            self._start_again(node)

        return ended

    def _start_again(self, node: MeshNode) -> None:
        if node.daemon is None or node.daemon.poll() is not None:
            self._cluster.start_daemon(node)

    def _target(self, what: str, node: MeshNode) -> Callable[[], None]:
        process = node.target
        if process is None or process.poll() is not None:
            return lambda: None
        if what == "pause":
            process.send_signal(signal.SIGSTOP)
            return lambda: process.send_signal(signal.SIGCONT)
        if what == "late":
            if node.keyed:
                with contextlib.suppress(OSError):
                    self._cluster.tell_target(node, "late", json.dumps(LATE_GRANTS))
            return lambda: None
        if what == "drain":
            # One that is paused does not hear it: it is replaced without a word.
            with contextlib.suppress(OSError):
                self._cluster.tell_target(node, "drain")

        def replaced() -> None:
            if node.target is process:
                process.kill()
                process.wait()
                self._cluster.start_target(node)

        if what == "kill":
            process.kill()
            process.wait()
        return replaced

    def _return(self, what: str, age_s: float) -> Callable[[], None]:
        """Let the store come back from a copy of an age, as processes are killed."""
        killed = self._cluster.nodes if what != "store" else []
        for node in killed:
            if what == "all" and node.target is not None:
                node.target.kill()
                node.target.wait()
            if node.daemon is not None and node.daemon.poll() is None:
                self.kills.append(Restart(node.name, time.monotonic()))
                self._cluster.kill(node)
        body = {"away_s": RETURN_AWAY_S, "age_s": age_s}
        self._cluster.store_call("/standin/return", json.dumps(body))

        def ended() -> None:
            for node in killed:
                self._start_again(node)
                if node.target is None or node.target.poll() is not None:
                    self._cluster.start_target(node)

        return ended

    def _crashing_request(self, fault: SoakFault) -> Callable[[], None]:
        """Send one content again and again, under new ids, that crashes whoever runs it."""
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
            if ending.wait(CRASH_EVERY_S):
                return

    def start_crashed(self) -> None:
        """Start targets again that a request has crashed a while ago."""
        now = time.monotonic()
        for node in self._cluster.nodes:
            process = node.target
            if process is None or process.poll() != CRASHED:
                continue
            if now - self._crashed_at.setdefault(process.pid, now) >= BACK_S:
                self.disturbances.append(Disturbance(self._crashed_at[process.pid], now))
                self._cluster.start_target(node)

    def _link(self, what: str, node: MeshNode, other: MeshNode) -> Callable[[], None]:
        row: dict[str, object] = {"from": node.ip, "to": other.ip, "kind": what, "seconds": 0.2}
        self._links.append(row)
        self._cluster.link_faults(self._links)

        def ended() -> None:
            self._links.remove(row)
            self._cluster.link_faults(self._links)

        return ended

    def _store_fault(self, what: str, other: MeshNode, *, whole: bool) -> Callable[[], None]:
        if what == "forget":
            self._cluster.store_call("/standin/forget")
            return lambda: None
        if what == "revoke":
            prefix = json.dumps({"prefix": "pearward/members/"})
            self._cluster.store_call("/standin/revoke", prefix)
            return lambda: None
        if what == "slow":
            fault: dict[str, object] = {"delay_s": 0.4}
        elif what == "lost":
            fault = {"lose_writes": 3, "late_s": 2.0}
        else:
            fault = {"mode": what, "only": [] if whole else [other.ip]}
        self._store = fault
        self._cluster.store_call("/standin/faults", json.dumps(fault))

        def ended() -> None:
            if self._store is fault:
                self._cluster.store_call("/standin/faults", "{}")

        return ended


def play(
    seed: int,
    seconds: float,
    keep: Path | None = None,
    *,
    by_call: bool = False,
    crashes: bool = False,
    returns: bool = False,
) -> tuple[list[str], int]:
    """Play one seed; return a line for each broken promise, and how many requests were served."""
    grants = "call" if by_call else "heartbeat"
    cluster = MeshCluster(SERVICES, keyed=KEYED, proxied=True, grants=grants)
    callers, faults = _Callers(cluster, seed), _Faults(cluster)
    broken: list[str] = []
    try:
        cluster.start()
        callers.start()
        planned = plan(
            seed, seconds, len(cluster.nodes), by_call=by_call, crashes=crashes, returns=returns
        )
        _play_faults(planned, faults, seconds)
        callers.stop()
        time.sleep(BACK_S)
        faults.start_crashed()
        broken += _recovered(cluster)
        runs, leaves = _told(cluster)
        broken += broken_promises(callers.answers, runs, leaves, faults.kills, faults.disturbances)
        broken += faults.overdue
    finally:
        if broken and keep is not None:
            shutil.copytree(cluster.logs, keep / f"seed-{seed}", dirs_exist_ok=True)
        cluster.stop()
    return broken, sum(a.status == http.client.OK for a in callers.answers)


def _play_faults(planned: list[SoakFault], faults: _Faults, seconds: float) -> None:
    """Begin each fault at its time and end it at its own, whatever else goes on."""
    began = time.monotonic()
    numbers = itertools.count()
    due: list[tuple[float, int, Callable[[], Callable[[], None] | None]]] = [
        (f.at_s, next(numbers), lambda f=f: faults.begin(f))  # type: ignore[misc]
        for f in planned
    ]
    lasting = {number: fault.for_s for number, fault in enumerate(planned)}
    while due:
        due.sort()
        at_s, number, act = due.pop(0)
        _sleep_until(began + at_s, faults)
        end = act()
        if end is not None:
            due.append((at_s + lasting[number], next(numbers), end))  # type: ignore[arg-type]
    _sleep_until(began + seconds, faults)


def _sleep_until(when: float, faults: _Faults) -> None:
    """Wait, and start meanwhile what requests have crashed."""
    while (left_s := when - time.monotonic()) > 0:
        time.sleep(min(left_s, 0.2))
        faults.start_crashed()


def _recovered(cluster: MeshCluster) -> list[str]:
    """Wait until everything is served again; tell what is not."""
    try:
        cluster.wait_served()
        cluster.configure()
        wait_until(cluster.all_pooled_served, "the pooled service")
    except (TimeoutError, OSError) as error:
        return [f"not served again after the last fault: {error}"]
    return []


def _told(cluster: MeshCluster) -> tuple[list[Run], list[Leave]]:
    """Read what all targets, also those that have ended, wrote of their runs."""
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
@click.option("--seeds", default=1, show_default=True, help="How many seeds to play.")
@click.option("--seconds", default=30.0, show_default=True, help="Length of each.")
@click.option("--keep", type=click.Path(path_type=Path), help="Keep the logs of failures here.")
@click.option("--by-call", is_flag=True, help="Targets take their keys by calls.")
@click.option("--crashes", is_flag=True, help="Some requests crash the targets that run them.")
@click.option("--returns", is_flag=True, help="The store comes back from older copies.")
def main(
    seed: int,
    seeds: int,
    seconds: float,
    keep: Path | None,
    by_call: bool,
    crashes: bool,
    returns: bool,
) -> None:
    """Play seeds and tell which broke a promise."""
    failed = 0
    for number in range(seed, seed + seeds):
        broken, served = play(
            number, seconds, keep, by_call=by_call, crashes=crashes, returns=returns
        )
        failed += bool(broken)
        click.echo(f"seed {number}: {'BROKEN' if broken else 'held'}, {served} served")
        for line in broken[:10]:
            click.echo(f"    {line}")
    click.echo(f"{seeds - failed} held, {failed} broke a promise")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
