"""Steps for callers that read their responses slowly or not at all, with real processes."""

import signal
import socket
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from behave import then, when

from pearward_devtools.mesh.cluster import CALLERS, HOST, MeshNode

POOLED, KEYED = "sheets", "roster"
KEY = "30000"
READ_BYTES_PER_S = 118_000.0
SEGMENT_BYTES, RECEIVE_BUFFER = 1460, 2304
"""Socket options with which the kernel holds little of a response that is not read."""
LATER_S = (1.0, 2.0, 3.0, 3.3, 3.6)
"""Seconds after which a caller sends further requests: before the daemon refuses new ones, and
after that."""
STOP_AFTER_S = 0.25
"""Seconds from the callers' requests to the SIGTERM."""
TIMEOUT_S = 8.0
LONG, SHORT = 500_000, 20
FORMS = {
    "one with a length": [f"bytes={LONG}"],
    "one in chunks": [f"bytes={LONG}&spoil=unframed"],
    "short ones behind a long one": [f"bytes={LONG}", f"bytes={SHORT}", f"bytes={SHORT}"],
    "three long ones on one connection": [f"bytes={LONG // 3}"] * 3,
}


@dataclass
class SlowReader:
    """A caller that reads the responses on one connection at a limited rate."""

    node: MeshNode
    queries: list[str]
    """Queries of the requests, which are pipelined."""
    first_id: str
    service: str = POOLED
    later_s: tuple[float, ...] = ()
    """Seconds after which the first request is sent again, whether or not it has a response."""
    data: bytes = b""
    end: str = ""
    """How the connection ended before all responses were complete."""
    thread: threading.Thread = field(init=False)

    def start(self) -> None:
        """Send the requests, and read in a thread of its own."""
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    @property
    def expected(self) -> list[int]:
        """Lengths of the bodies that are due."""
        return [int(query.partition("&")[0].removeprefix("bytes=")) for query in self.queries]

    @property
    def received(self) -> list[int]:
        """Lengths of the bodies that were received whole."""
        bodies, rest = [], self.data
        while rest:
            head, found, rest = rest.partition(b"\r\n\r\n")
            body, rest = _split_body(head.lower(), rest)
            if not found or body is None:
                break
            bodies.append(len(body))
        return bodies

    def _run(self) -> None:
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        connection.settimeout(TIMEOUT_S)
        with connection:
            connection.connect((self.node.ip, CALLERS))
            connection.sendall(b"".join(self._request(n) for n in range(len(self.queries))))
            self._read(connection)

    def _request(self, number: int, name: str = "") -> bytes:
        return (
            f"GET /{self.service}/safe/x?{self.queries[number]} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {self.first_id}-{name or number}\r\nShard-Key: {KEY}\r\n\r\n"
        ).encode()

    def _read(self, connection: socket.socket) -> None:
        began = time.monotonic()
        later_s = list(self.later_s)
        checked = 0
        while True:
            try:
                if later_s and time.monotonic() - began >= later_s[0]:
                    connection.sendall(self._request(0, f"later-{later_s.pop(0)}") * 2)
                part = connection.recv(8192)
            except OSError as error:
                self.end = type(error).__name__
                return
            if not part:
                self.end = "closed"
                return
            self.data += part
            if len(self.data) - checked > LONG // 10 or len(part) < 8192:
                checked = len(self.data)
                if len(self.received) == len(self.queries):
                    return
            ahead_s = len(self.data) / READ_BYTES_PER_S - (time.monotonic() - began)
            time.sleep(max(0.0, ahead_s))


def _split_body(head: bytes, rest: bytes) -> tuple[bytes | None, bytes]:
    """Return the body that follows a response's head, None if it is not whole, and the rest."""
    if b"transfer-encoding: chunked" in head:
        body = b""
        while True:
            line, found, rest = rest.partition(b"\r\n")
            size = int(line, 16) if found else -1
            if size < 0 or len(rest) < size + 2:
                return None, b""
            body, rest = body + rest[:size], rest[size + 2 :]
            if not size:
                return body, rest
    length = int(head.partition(b"content-length:")[2].partition(b"\r\n")[0])
    return (rest[:length], rest[length:]) if len(rest) >= length else (None, b"")


def _read_while_stopping(
    context: Any, callers_of: MeshNode, stopped: MeshNode, service: str
) -> None:
    """Stop a daemon while callers of a daemon read responses of each form."""
    context.stopped = stopped
    context.readers = [
        SlowReader(callers_of, queries, f"slow{next(context.mesh_ids)}", service)
        for queries in FORMS.values()
    ]
    context.sender = SlowReader(
        callers_of, FORMS["one with a length"], f"slow{next(context.mesh_ids)}", service, LATER_S
    )
    for reader in (*context.readers, context.sender):
        reader.start()
    time.sleep(STOP_AFTER_S)
    stopped.daemon.send_signal(signal.SIGTERM)
    for reader in (*context.readers, context.sender):
        reader.thread.join()
    context.exit_code = stopped.daemon.wait(timeout=TIMEOUT_S)
    # Restarted before the checks, so that later scenarios have this daemon even if one fails.
    context.mesh.start_daemon(stopped)
    context.mesh.wait_served()


def _nodes(context: Any, service: str) -> list[MeshNode]:
    return [node for node in context.mesh.nodes if node.service == service]


@when("a daemon is told to stop while its callers slowly read responses of several forms")
def stop_under_readers(context: Any) -> None:
    node = _nodes(context, KEYED)[0]
    _read_while_stopping(context, node, node, POOLED)


@when(
    "the daemon of a key's owner is told to stop while callers of another daemon slowly read "
    "responses of several forms"
)
def stop_owner_under_readers(context: Any) -> None:
    headers = {"Request-Id": f"slow{next(context.mesh_ids)}", "Shard-Key": KEY}
    reply = context.mesh.call(_nodes(context, POOLED)[0], f"/{KEYED}/safe/x", headers=headers)
    owner = next(
        node
        for node in _nodes(context, KEYED)
        if context.mesh.state(node)["id"] == reply.headers["Target"]
    )
    _read_while_stopping(context, _nodes(context, POOLED)[0], owner, KEYED)


@then("the stopped daemon has ended by itself with code 0")
def ended_by_itself(context: Any) -> None:
    assert context.exit_code == 0, context.exit_code


@then("each caller has received every response completely")
def received_all(context: Any) -> None:
    incomplete = [
        (reader.queries, reader.received, len(reader.data), reader.end)
        for reader in context.readers
        if reader.received != reader.expected
    ]
    assert not incomplete, incomplete


@then("so has the caller that sent further requests meanwhile, at least the first one")
def received_first(context: Any) -> None:
    sender = context.sender
    assert sender.received[:1] == sender.expected[:1], (len(sender.data), sender.end)
