"""A daemon is stopped while a client still reads a long answer."""

import asyncio
import secrets
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins.deployment import Deployment, Machine, run_case

SERVICE, HOST = "stmtvault", "jepu9.example"
TIMEOUT_MS = 4900
CONFIG = {
    "routes": {
        "statement-pull": {
            "host": HOST, "pathPrefix": "/fiti832/ti23/", "kind": "download",
            "timeoutMs": TIMEOUT_MS, "targetLatencyMs": 400, "priority": 2, "service": SERVICE,
            "maxAttempts": 2,
        },
    },
    "services": {SERVICE: {"healthPath": "/health", "maxConnections": 110}},
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
}
ANSWER_BYTES = 515_000
"""Within the largest answer of the download route in the site file, 540,000 bytes."""
READ_BYTES_PER_S = 118_000.0
"""Rate at which a client reads."""
SEGMENT_BYTES = 1460
RECEIVE_BUFFER = 2304
CLIENTS = 6
STOP_AFTER_S = 0.25
"""Seconds from the clients' requests to the SIGTERM."""
GRACE_S = 6.0


async def read_slowly(deployment: Deployment, machine: Machine) -> None:
    """Request a long answer and read it at READ_BYTES_PER_S."""
    loop = asyncio.get_running_loop()
    named = secrets.token_hex(8)
    ip, _, port = machine.at("outbound").rpartition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    connection.setblocking(False)
    began = time.monotonic()
    try:
        await loop.sock_connect(connection, (ip, int(port)))
        await loop.sock_sendall(connection, (
            f"GET /fiti832/ti23/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {named}\r\n"
            f"Deadline-Ms: {TIMEOUT_MS}\r\n\r\n").encode())
        deployment.record("sent", request=named, machine=machine.name)
        data = b""
        how = "closed"
        while b"\r\n\r\n" not in data or len(data) < expected(data):
            try:
                part = await asyncio.wait_for(loop.sock_recv(connection, 8192),
                                              TIMEOUT_MS / 1000)
            except ConnectionError as error:
                how = type(error).__name__
                break
            except TimeoutError:
                how = "timed out"
                break
            if not part:
                break
            data += part
            ahead = len(data) / READ_BYTES_PER_S - (time.monotonic() - began)
            await asyncio.sleep(max(0.0, ahead))
        complete = b"\r\n\r\n" in data and len(data) >= expected(data)
        deployment.record("answered", request=named, status=data[9:12].decode() or "none",
                          bytes=len(data), expected=expected(data), complete=complete,
                          end="" if complete else how,
                          took_s=round(time.monotonic() - began, 2))
    finally:
        connection.close()


def expected(data: bytes) -> int:
    """Return the length of the whole answer, 0 while its head is incomplete."""
    head, found, _ = data.partition(b"\r\n\r\n")
    if not found:
        return 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(head) + 4 + int(line.partition(b":")[2])
    return 1 << 62


async def case(deployment: Deployment, trouble: bool) -> list[str]:
    record = deployment.record
    machines = [deployment.add_machine(SERVICE, zone) for zone in ("waco-a", "waco-b", "temple-a")]
    await deployment.start_store(CONFIG)
    await deployment.start_daemons()
    for machine in machines:
        await deployment.new_server(
            machine, keyed=False, body=lambda request: b"s" * ANSWER_BYTES
        ).start()
    await asyncio.sleep(4.0)
    stopped = machines[0]
    clients = [
        asyncio.get_running_loop().create_task(read_slowly(deployment, stopped))
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(STOP_AFTER_S)
    if trouble:
        deployment.signal(stopped, signal.SIGTERM)
        stopped_at = time.monotonic()
        while stopped.process.poll() is None and time.monotonic() < stopped_at + GRACE_S:
            await asyncio.sleep(0.02)
        record("daemon_ended", after_s=round(time.monotonic() - stopped_at, 2),
               by_itself=stopped.process.poll() is not None)
        if stopped.process.poll() is None:
            deployment.signal(stopped, signal.SIGKILL)
    await asyncio.gather(*clients)
    ran = {row["request"]: at for at, row in record.of("run_ended")}
    return [
        f"LOST: request {row['request']} was passed on and run, and its connection ended after "
        f"{row['bytes']} of {row['expected']} bytes, {row['took_s']} s after it was sent"
        for _, row in record.of("answered") if not row["complete"] and row["request"] in ran
    ]


run_case(Path(__file__).resolve().parent, case)
