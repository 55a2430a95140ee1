"""A heartbeat that a cut held up arrives after its sender has crashed and another one runs."""

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from small import TROUBLE, CannotRun, Deployment, HeldUp, double_holds, run  # noqa: E402

LIMIT_S = 0.5
"""The rule's bound: two servers hold the same keys for longer than this."""


def case():
    with Deployment(HERE, ["accounts"] * 3, "accounts") as d:
        d.start_store()
        for machine in d.machines:
            d.start_daemon(machine)
        d.until(lambda: all(d.ready(m) for m in d.machines), 20, "daemons that are ready")
        first = d.machines[0]
        way = HeldUp(first.at["way"], first.at["control"])
        for machine in d.machines[1:]:
            d.start_server(machine)
        if TROUBLE:
            way.hold()
            d.note("cut between the first machine's server and its daemon")
        crashed = d.start_server(first, control=first.at["way"])
        time.sleep(1.5)
        d.kill_server(first, crashed)
        held = way.release_new()
        d.note("the cut heals; what it held up is still on its way")
        time.sleep(0.5)
        present = d.start_server(first, control=first.at["way"])
        d.until(lambda: holds(d, present), 20, "keys at the first machine's next server")
        time.sleep(4.0)
        held.set()
        d.note("the crashed server's heartbeats arrive" if TROUBLE else "nothing was held up")
        time.sleep(6.0)
        if any(m.daemon.poll() is not None or m.server.poll() is not None for m in d.machines):
            raise CannotRun("a process ended")
        return judge(d, present)


def holds(d, server):
    rows = [r for r in d.server_rows() if r["event"] == "holds" and r["server"] == server]
    return bool(rows) and bool(rows[-1]["rows"])


def judge(d, present):
    found = [s for s in double_holds(d.server_rows(), d.ended) if s[4] - s[3] > LIMIT_S]
    for machine, line in d.log_rows("target_crashed") + d.log_rows("target_first_heartbeat"):
        d.note("log", machine=machine, line=line[:400])
    worst = max((end - start for *_, start, end in found), default=0.0)
    d.note("judged", keys_held_twice=len(found) * 64, longest_s=round(worst, 3),
           servers=sorted({s for row in found for s in row[1:3]}),
           holds_keys_at_the_end=holds(d, present))
    print(f"about {len(found) * 64} keys held by two servers for over {LIMIT_S} s, "
          f"longest {worst:.2f} s; the running server holds keys at the end: {holds(d, present)}")
    return bool(found)


run(case)
