"""Steps for signals that a daemon's process gets at given moments of its start and of its end.

A hook for the interpreter's audit events runs in the process, which sends the signal to itself.
"""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import yaml
from behave import given, then, when

from pearward_devtools.cluster import wait_until
from pearward_devtools.networks import ClaimedNetwork

START_TIMEOUT_S, END_TIMEOUT_S = 20.0, 10.0
CALLERS, HEARTBEATS, READINESS, PEERS, METRICS, CHANGED_READINESS = range(8200, 8206)
SIGNAL_S = 0.5
"""Seconds in which a process that a signal ends has ended."""
PEARWARDD_PORT = 7400
PORTS = 5
SETTINGS = "settings.yaml"
RUN = """
import os, runpy, signal, sys
moment, name, times, path = sys.argv[1:5]
sys.argv = ["pearwardd"]
counts = {"open": 0, "bind": 0}
LATER = ("pearward_daemon.mesh", "pearward_transport", "twisted")
done = False

def is_due(event, args):
    if event == "import":
        if moment == "the first import begins":
            return args[0].startswith(LATER)
        if moment == "the reactor is imported":
            return args[0] == "pearward_transport.reactor"
        return moment == "every import begins" and args[0].startswith(LATER)
    if event == "open" and args[0] == path:
        counts["open"] += 1
        return moment == "the settings are opened"
    if event == "socket.bind":
        counts["bind"] += 1
        if moment == "the first port is bound":
            return counts["bind"] == 1
        return moment == "the last port is bound" and counts["bind"] == PORTS
    return False

def hook(event, args):
    global done
    if moment == "the settings are being read":
        # The first event after the file was read, and before it is parsed.
        if not done and counts["open"] and event == "import":
            done = True
            os.replace(path + ".changed", path)
            os.kill(os.getpid(), signal.SIGHUP)
        if event == "open" and args[0] == path:
            counts["open"] += 1
        return
    if is_due(event, args) and (not done or moment == "every import begins"):
        done = True
        for _ in range(int(times)):
            os.kill(os.getpid(), getattr(signal, name))

sys.addaudithook(hook)
runpy.run_module("pearward_platform.main", run_name="__main__")
""".replace("PORTS", str(PORTS))


# -- the daemon ---------------------------------------------------------------------------------


def _settings(context: Any, readiness: int = READINESS) -> str:
    ip = context.ip
    return yaml.safe_dump(
        {
            "instance": "i1",
            "failure_domain": "a",
            "target": {"service": "s", "address": f"{ip}:8000"},
            "listen": {
                "callers": f"{ip}:{CALLERS}",
                "heartbeats": f"{ip}:{HEARTBEATS}",
                "readiness": f"{ip}:{readiness}",
                "peers": f"{ip}:{PEERS}",
                "metrics": f"{ip}:{METRICS}",
            },
            "store": {"address": f"{ip}:1"},
        }
    )


def _prepare(context: Any) -> None:
    """Claim a network, and write valid settings."""
    claimed = ClaimedNetwork.claim()
    context.add_cleanup(claimed.release)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.ip = f"{claimed.prefix}.1.1"
    context.path = Path(folder.name) / SETTINGS
    context.path.write_text(_settings(context), encoding="utf-8")


def _start(context: Any, *arguments: str) -> None:
    context.output = context.path.with_name("output").open("w+b")
    context.add_cleanup(context.output.close)
    context.process = subprocess.Popen(
        [sys.executable, *arguments],
        env={**os.environ, "PEARWARD_BOOT": str(context.path)},
        stdout=context.output, stderr=context.output,
    )  # fmt: skip
    context.add_cleanup(_kill, context.process)


def _kill(process: "subprocess.Popen[bytes]") -> None:
    if process.poll() is None:
        process.kill()
        process.wait()


def _accepts(context: Any, port: int) -> bool:
    assert context.process.poll() is None, _ended(context)
    try:
        with socket.create_connection((context.ip, port), timeout=1.0):
            return True
    except OSError:
        return False


def _ended(context: Any) -> str:
    """Describe how the process ended."""
    context.output.seek(0)
    return f"exit code {context.process.returncode}: {context.output.read()[-1000:]!r}"


@given("a daemon on a users' platform that gets {name} {times:d} times when {moment}")
def signalled_at(context: Any, name: str, times: int, moment: str) -> None:
    _prepare(context)
    _start(context, "-c", RUN, moment, name, str(times), str(context.path))


@given("a daemon on a users' platform that runs")
def running(context: Any) -> None:
    _prepare(context)
    _start(context, "-m", "pearward_platform.main")
    runs(context)


@given("a daemon on a users' platform whose settings change while it reads them")
def changed_while_read(context: Any) -> None:
    _prepare(context)
    changed = context.path.with_name(f"{SETTINGS}.changed")
    changed.write_text(_settings(context, CHANGED_READINESS), encoding="utf-8")
    _start(context, "-c", RUN, "the settings are being read", "SIGHUP", "1", str(context.path))


@given("a daemon on a users' platform whose settings are complete {seconds:g} s after its start")
def written_late(context: Any, seconds: float) -> None:
    _prepare(context)
    complete = context.path.read_text(encoding="utf-8")
    context.path.write_text(complete[: len(complete) // 2], encoding="utf-8")
    _start(context, "-m", "pearward_platform.main")
    time.sleep(seconds)
    context.path.write_text(complete, encoding="utf-8")


@given("a running pearwardd")
def running_pearwardd(context: Any) -> None:
    _prepare(context)
    settings = {
        "failure_domains": ["a"],
        "instance": {"name": "i1", "failure_domain": "a"},
        "listen": {"ip": context.ip},
        "server": {"service": "s", "name": "s-0", "address": f"{context.ip}:8000"},
        "platform": {"endpoints": [f"{context.ip}:1"]},
    }
    context.path.write_text(yaml.safe_dump(settings), encoding="utf-8")
    _start(context, "-m", "pearward_daemon.main", "--settings", str(context.path))
    wait_until(lambda: _accepts(context, PEARWARDD_PORT), "pearwardd", START_TIMEOUT_S)


@when("it is stopped and gets {name} until it has ended")
def stopped(context: Any, name: str) -> None:
    process = context.process
    process.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + END_TIMEOUT_S
    while process.poll() is None and time.monotonic() < deadline:
        process.send_signal(getattr(signal, name))


@when("it gets SIGHUP {times:d} times")
def hung_up(context: Any, times: int) -> None:
    for _ in range(times):
        context.process.send_signal(signal.SIGHUP)


@then("it runs")
def runs(context: Any) -> None:
    wait_until(lambda: _accepts(context, METRICS), "the daemon's ports", START_TIMEOUT_S)


@then("it runs with the changed settings")
def runs_with_changes(context: Any) -> None:
    runs(context)
    assert _accepts(context, CHANGED_READINESS)


@then("it runs on")
def runs_on(context: Any) -> None:
    time.sleep(SIGNAL_S)
    assert _accepts(context, PEARWARDD_PORT)


@then("it ends with code {code:d} after SIGTERM")
def ends_after_sigterm(context: Any, code: int) -> None:
    context.process.send_signal(signal.SIGTERM)
    ends(context, code)


@then("it ends with code {code:d}")
def ends(context: Any, code: int) -> None:
    context.process.wait(END_TIMEOUT_S)
    assert context.process.returncode == code, _ended(context)
