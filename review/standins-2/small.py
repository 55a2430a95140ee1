"""A small deployment on loopback: the store, daemons as the deploy file starts them, and servers."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "app.example"
ZONES = ["bp-hall-a", "bp-hall-b", "gyor-hall"]
INTERVAL_S = 0.87


class CannotRun(Exception):
    """The case couldn't run."""


class Machine:
    def __init__(self, name, ip, zone, service, ports):
        self.name, self.ip, self.zone, self.service = name, ip, zone, service
        names = ("outbound", "control", "ready", "application", "peers", "metrics", "way")
        self.at = {n: f"{ip}:{p}" for n, p in zip(names, ports)}
        self.daemon = None
        self.server = None
        self.starts = 0


class Deployment:
    """All processes of one run; `with` ends them."""

    def __init__(self, folder, services, keyed, *, slots=4, work_s=0.05, kind="safe",
                 interval_s=INTERVAL_S):
        self.folder = Path(folder)
        self.record_path = self.folder / "record.txt"
        self.record_path.unlink(missing_ok=True)
        self.temporary = Path(tempfile.mkdtemp())
        self.began = time.monotonic()
        self.keyed, self.slots, self.work_s = keyed, slots, work_s
        self.interval_s = interval_s
        self.processes = []
        self.ended = {}
        """When each server ended, on the monotonic clock."""
        self.lock = threading.Lock()
        self.rows = []
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.store_at = f"{net}.1:{free_ports(net + '.1', 1)[0]}"
        self.machines = []
        for number, service in enumerate(services):
            ip = f"{net}.{number + 10}"
            self.machines.append(Machine(f"sidecar-{number + 1}", ip, ZONES[number % 3], service,
                                         free_ports(ip, 7)))
        self.configuration = {
            "version": "r1",
            "routes": {f"r-{s}": {"host": HOST, "pathPrefix": f"/{s}/", "kind": kind,
                                  "timeoutMs": 1500, "targetLatencyMs": 600, "priority": 1,
                                  "service": s, "maxAttempts": 2} for s in sorted(set(services))},
            "services": {s: {"healthPath": "/health", "maxConnections": 110,
                             "enableSharding": s == keyed, "warmupS": 5.0}
                         for s in sorted(set(services))},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        }

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.write_record()
        shutil.rmtree(self.temporary, ignore_errors=True)

    # -- processes

    def start_store(self):
        path = self.temporary / "configuration.json"
        path.write_text(json.dumps(self.configuration))
        command = [sys.executable, str(HERE / "store.py"), self.store_at, str(path)]
        self.store = self.spawn(command, "store")
        self.until(lambda: listens(self.store_at), 5, "the store")

    def store_said(self, word):
        """Return the times of the store's lines with *word*, on the monotonic clock."""
        lines = (self.temporary / "store.log").read_text().splitlines()
        rows = [json.loads(line) for line in lines if line.startswith("{")]
        return [row[word] for row in rows if word in row]

    def configure(self):
        """Write the configuration as the operator does; return when it was acknowledged."""
        known = len(self.store_said("acknowledged"))
        path = self.temporary / "configuration.json"
        path.write_text(json.dumps(self.configuration))
        self.store.send_signal(signal.SIGUSR2)
        self.until(lambda: len(self.store_said("acknowledged")) > known, 5, "acknowledgement")
        at = self.store_said("acknowledged")[-1]
        self.note("configuration acknowledged", version=self.configuration["version"])
        return at

    def start_daemon(self, machine):
        settings = {
            "instance": machine.name, "failure_domain": machine.zone, "failure_domains": ZONES,
            "target": {"service": machine.service, "address": machine.at["application"]},
            "listen": {"callers": machine.at["outbound"], "heartbeats": machine.at["control"],
                       "readiness": machine.at["ready"], "peers": machine.at["peers"],
                       "metrics": machine.at["metrics"]},
            "store": {"address": self.store_at, "shortest_ttl_ms": 1000},
            "grants": "heartbeat", "holds": {"longest_ms": 10000},
            "retries": {"ratio": 0.2, "allowance": 64, "window_s": 10},
            "limits": {"drain_ms": 2000, "stop_s": 6, "link_mbit_per_s": 1000},
        }
        path = self.temporary / f"{machine.name}.yaml"
        path.write_text(json.dumps(settings))
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment |= {"PYTHONPATH": "target/deps", "PEARWARD_BOOT": str(path)}
        command = ["python3", "-S", "-m", "pearward_platform.main"]
        machine.daemon = self.spawn(command, machine.name, environment, ROOT)
        self.note("daemon started", machine=machine.name, pid=machine.daemon.pid)

    def start_server(self, machine, *, control=None):
        machine.starts += 1
        name = f"i-{machine.name[-1]}{machine.starts}"
        about = {"id": name, "service": machine.service, "address": machine.at["application"],
                 "zone": machine.zone, "control": control or machine.at["control"],
                 "slots": self.slots, "interval_s": self.interval_s, "work_s": self.work_s,
                 "keyed": machine.service == self.keyed, "record": str(self.temporary / "servers")}
        machine.server = self.spawn([sys.executable, str(HERE / "server.py"), json.dumps(about)],
                                    name)
        return name

    def kill_server(self, machine, name):
        machine.server.kill()
        machine.server.wait()
        self.ended[name] = time.monotonic()
        self.note("server killed", server=name)

    def spawn(self, command, name, environment=None, folder=None):
        log = open(self.temporary / f"{name}.log", "ab")
        process = subprocess.Popen(command, stdout=log, stderr=log, env=environment, cwd=folder)
        self.processes.append(process)
        return process

    # -- waiting

    def until(self, condition, limit_s, what):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun(f"no {what} after {limit_s} s")

    def ready(self, machine):
        try:
            return get(machine.at["ready"], "/pearward/readiness")[0] == 200
        except OSError:
            return False

    # -- what happened

    def note(self, event, **fields):
        with self.lock:
            self.rows.append({"at": round(time.monotonic(), 4), "event": event, **fields})

    def request(self, machine, service, number, key=None, *, timeout_s=2.0, deadline_ms=1500):
        """Send one GET as a client beside *machine* does; return the status, or 0."""
        headers = {"Host": HOST, "Request-Id": f"q{number}", "Deadline-Ms": str(deadline_ms)}
        if key is not None:
            headers["Shard-Key"] = str(key)
        sent = time.monotonic()
        try:
            status, body = get(machine.at["outbound"], f"/{service}/{number}", headers, timeout_s)
        except (OSError, http.client.HTTPException):
            status, body = 0, b""
        with self.lock:
            self.rows.append({"at": round(sent, 4), "event": "request", "id": f"q{number}",
                              "key": key, "via": machine.name, "status": status,
                              "by": body.decode("latin-1").partition(" ")[0],
                              "ms": round((time.monotonic() - sent) * 1000)})
        return status

    def server_rows(self):
        path = self.temporary / "servers"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    def log_rows(self, event):
        """Return the daemons' log lines of one kind, for the record only."""
        found = []
        for path in self.temporary.glob("sidecar-*.log"):
            for line in path.read_text(errors="replace").splitlines():
                if f"pearward:{event}" in line:
                    found.append((path.stem, line))
        return found

    def write_record(self):
        rows = sorted(self.rows + self.server_rows(), key=lambda r: r["at"])
        with self.record_path.open("w") as file:
            for row in rows:
                row["at"] = round(row["at"] - self.began, 3)
                file.write(json.dumps(row) + "\n")


class Hold:
    """A cut: what comes on the connections made in its time arrives once it is set."""

    def __init__(self, apart_s=0.0):
        self.released = threading.Event()
        self.apart_s = apart_s
        """Seconds between the arrivals of two connections."""
        self.connections = 0

    def set(self):
        self.released.set()

    def wait(self):
        number, self.connections = self.connections, self.connections + 1
        self.released.wait()
        time.sleep(number * self.apart_s)


class HeldUp:
    """A proxy from one address to another that can hold up what it receives, as a cut does."""

    def __init__(self, listen, to):
        self.to = to
        self.held = None
        ip, _, port = listen.rpartition(":")
        self.socket = socket.create_server((ip, int(port)), backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def hold(self, apart_s=0.0):
        """Hold up what arrives on the connections made from now on."""
        self.held = Hold(apart_s)

    def release_new(self):
        """Let new connections through; what is held up stays so until the result is set."""
        held, self.held = self.held, None
        return held

    def accept(self):
        while True:
            client, _ = self.socket.accept()
            threading.Thread(target=self.carry, args=(client, self.held), daemon=True).start()

    def carry(self, client, held):
        try:
            if held is not None:
                held.wait()
            ip, _, port = self.to.rpartition(":")
            server = socket.create_connection((ip, int(port)), timeout=5)
            server.settimeout(None)
            back = threading.Thread(target=pump, args=(server, client), daemon=True)
            back.start()
            pump(client, server)
            back.join(2)
        except OSError:
            pass
        finally:
            client.close()


def pump(source, sink):
    try:
        while data := source.recv(65536):
            sink.sendall(data)
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        pass


def get(address, path, headers=None, timeout_s=2.0):
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request("GET", path, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def listens(address):
    ip, _, port = address.rpartition(":")
    try:
        socket.create_connection((ip, int(port)), timeout=0.5).close()
    except OSError:
        return False
    return True


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind((ip, 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def double_holds(rows, ended, step=64):
    """Return, for every step-th key, spans in which two servers that were up both held it.

    Each row: key, first server, second server, from, to (monotonic seconds).
    """
    spans = {}
    last = {}
    end_of_record = max((r["at"] for r in rows), default=0.0)
    for row in sorted((r for r in rows if r["event"] == "holds"), key=lambda r: r["at"]):
        close(spans, last.pop(row["server"], None), row["at"], ended)
        last[row["server"]] = row
    for row in last.values():
        close(spans, row, end_of_record, ended)
    found = []
    for key in range(0, 65536, step):
        held = [s for s in spans.get(key // step, ())]
        joined = []
        for server, start, end in sorted(held):
            if joined and joined[-1][0] == server and start - joined[-1][2] < 0.001:
                joined[-1][2] = max(end, joined[-1][2])
            else:
                joined.append([server, start, end])
        for i, a in enumerate(joined):
            for b in joined[i + 1 :]:
                start, end = max(a[1], b[1]), min(a[2], b[2])
                if a[0] != b[0] and end > start:
                    found.append((key, a[0], b[0], start, end))
    return found


def close(spans, row, at, ended, step=64):
    if row is None:
        return
    end = min(at, row["until"], ended.get(row["server"], at))
    if end <= row["at"]:
        return
    for first, last, _ in row["rows"]:
        for index in range(-(-first // step), last // step + 1):
            spans.setdefault(index, []).append((row["server"], row["at"], end))


def run(case):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("stopped"))
    try:
        broken = case()
        print("rule broken" if broken else "rule held")
        status = int(broken)
    except (Exception, SystemExit) as error:
        print(f"could not run: {type(error).__name__}: {error}")
        status = 2
    sys.stdout.flush()
    # Threads of clients that still wait must not hold up the end.
    os._exit(status)
