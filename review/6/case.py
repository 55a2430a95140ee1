"""A server leaves, its daemon is restarted, and one of the server's heartbeats comes late."""

import signal
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from small import TROUBLE, CannotRun, Deployment, HeldUp, run  # noqa: E402

DRAIN_S = 2.0
"""The bound drainMs."""
IN_CONTACT_S = 3.0
"""The bound inContactMs."""
CLIENTS = 10
"""Clients beside each of the two other machines, each with one request at a time."""
SERVES_ON_S = 6.9
"""Seconds for which the server serves on after its leave was acknowledged."""


def case():
    with Deployment(HERE, ["sheets"] * 3, keyed="", kind="unsafe") as d:
        d.start_store()
        first, *others = d.machines
        way = HeldUp(first.at["way"], first.at["control"])
        for machine in d.machines:
            d.start_daemon(machine)
        d.until(lambda: all(d.ready(m) for m in d.machines), 20, "daemons that are ready")
        leaving = d.start_server(first, control=first.at["way"])
        for machine in others:
            d.start_server(machine)
        d.until(lambda: {r["server"] for r in d.server_rows() if r["event"] == "beat"
                         and r["accepted"]} == {"i-11", "i-21", "i-31"}, 20, "heartbeats")
        stop = threading.Event()
        threads = [threading.Thread(target=send, args=(d, m, stop, number))
                   for m in others for number in range(CLIENTS)]
        for thread in threads:
            thread.start()
        time.sleep(5.0)
        held = None
        if TROUBLE:
            beats = count(d, leaving)
            way.hold()
            d.until(lambda: count(d, leaving) > beats, 5, "heartbeat that is held up")
            held = way.release_new()
            d.note("one heartbeat is held up")
        first.server.send_signal(signal.SIGUSR1)
        d.until(lambda: any(r["event"] == "left" for r in d.server_rows()), 5, "answer to DELETE")
        left = next(r for r in d.server_rows() if r["event"] == "left")
        if left["answered"] != 200:
            raise CannotRun(f"DELETE was answered with {left['answered']}")
        acknowledged = left["at"]
        started = None
        if TROUBLE:
            time.sleep(0.5)
            first.daemon.kill()
            first.daemon.wait()
            d.note("daemon killed", machine=first.name)
            time.sleep(0.5)
            d.start_daemon(first)
            started = time.monotonic()
            d.until(lambda: d.ready(first), 10, "daemon that is ready again")
            time.sleep(max(0.0, acknowledged + 3.0 - time.monotonic()))
            held.set()
            d.note("the heartbeat that was held up arrives")
        time.sleep(max(0.0, acknowledged + SERVES_ON_S - time.monotonic()))
        d.kill_server(first, leaving)
        time.sleep(1.0)
        stop.set()
        for thread in threads:
            thread.join()
        return judge(d, leaving, acknowledged, started)


def count(d, server):
    """Return how many heartbeats of a server have been answered or given up."""
    return sum(r["event"] == "beat" and r["server"] == server for r in d.server_rows())


def send(d, machine, stop, client):
    number = 0
    while not stop.is_set():
        number += 1
        d.request(machine, "sheets", f"{machine.name[-1]}-{client}-{number}")
        time.sleep(0.02)


def judge(d, leaving, acknowledged, started):
    late = [r for r in d.server_rows() if r["event"] == "run" and r["server"] == leaving
            and r["at"] > acknowledged + DRAIN_S]
    in_touch = [r for r in late if started is None or r["at"] > started + IN_CONTACT_S]
    lost = [r for r in d.rows if r["event"] == "request" and r["status"] not in (200, 503)]
    d.note("judged", late=len(late), late_with_all_machines_in_touch=len(in_touch),
           lost_requests=len(lost))
    print(f"{len(late)} requests reached the server later than drainMs after its leave was "
          f"acknowledged, {len(in_touch)} of them while its daemon was in touch "
          f"again; {len(lost)} requests were lost")
    return bool(in_touch)


run(case)
