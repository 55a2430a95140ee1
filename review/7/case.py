"""The settings change, and SIGHUP says so, while daemons are starting."""

import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from small import TROUBLE, Deployment, run  # noqa: E402

AFTER_START_S = 0.2
"""Seconds from a start to SIGHUP."""
TIMES = 3
"""The rule's number of ends of one machine's processes."""
MACHINES = 2
"""The rule's number of machines, at least."""


def case():
    with Deployment(HERE, ["sheets"] * 3, keyed="") as d:
        d.start_store()
        for machine in d.machines:
            d.start_server(machine)
        d.start_daemon(d.machines[2])
        d.until(lambda: d.ready(d.machines[2]), 20, "daemon that is ready")
        ends = {}
        for machine in d.machines[:MACHINES]:
            ends[machine.name] = 0
            for _ in range(TIMES):
                d.start_daemon(machine)
                time.sleep(AFTER_START_S)
                if TROUBLE:
                    machine.daemon.send_signal(signal.SIGHUP)
                    d.note("SIGHUP", machine=machine.name)
                time.sleep(2.0)
                status = machine.daemon.poll()
                if status is None:
                    d.note("still running", machine=machine.name)
                    break
                ends[machine.name] += 1
                d.note("ended by itself", machine=machine.name, status=status)
        serving = {m.name: m.daemon.poll() is None and d.ready(m) for m in d.machines}
        broken = sum(n >= TIMES for n in ends.values()) >= MACHINES
        d.note("judged", ends=ends, ready=serving)
        print(f"processes that ended by themselves after SIGHUP: {ends}; ready: {serving}")
        return broken


run(case)
