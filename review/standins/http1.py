"""A minimal HTTP/1.1 client and server on asyncio streams."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

MAX_HEAD = 65_536


@dataclass
class Request:
    """One request as a server received it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body) if self.body else {}


@dataclass
class Answer:
    """One answer; *headers* have lower-case names on the client's side."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True

    @classmethod
    def of(cls, data: object, status: int = 200) -> "Answer":
        """Return an answer with a JSON body."""
        return cls(status, {"Content-Type": "application/json"}, json.dumps(data).encode())


def encode_answer(answer: Answer) -> bytes:
    """Return an answer with a length."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in answer.headers.items())
    head = f"HTTP/1.1 {answer.status} Status\r\n{lines}Content-Length: {len(answer.body)}\r\n\r\n"
    return head.encode("latin-1") + answer.body


def _headers(lines: list[str]) -> dict[str, str]:
    found = {}
    for line in lines:
        name, _, value = line.partition(":")
        found[name.strip().lower()] = value.strip()
    return found


async def _read_body(reader: asyncio.StreamReader, headers: Mapping[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        while (await reader.readline()).strip():
            pass
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request; raises IncompleteReadError at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ", 2)
    headers = _headers([line for line in lines if line])
    return Request(method, path, headers, await _read_body(reader, headers))


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer with a length or in chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = _headers([line for line in lines if line])
    return Answer(int(first.split(" ")[1]), headers, await _read_body(reader, headers))


class Connection:
    """A client's kept connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address: str) -> "Connection":
        """Connect to IP:port."""
        ip, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(ip, int(port), limit=MAX_HEAD))

    async def ask(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes = b""
    ) -> Answer:
        """Send one request and read its answer."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        if body or method in ("POST", "PUT"):
            lines += f"Content-Length: {len(body)}\r\n"
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode("latin-1") + body)
        await self.writer.drain()
        return await read_answer(self.reader)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def call(
    address: str, method: str, path: str, headers: Mapping[str, str], body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Make one request on a new connection."""

    async def made() -> Answer:
        connection = await Connection.open(address)
        try:
            return await connection.ask(method, path, {"Host": address, **headers}, body)
        finally:
            connection.close()

    return await asyncio.wait_for(made(), timeout_s)


class HttpServer:
    """Serves requests one at a time on each connection."""

    def __init__(self, handle: Callable[[Request], Awaitable[Answer]]) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, address: str) -> None:
        """Listen at IP:port."""
        ip, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, ip, int(port), limit=MAX_HEAD, backlog=512
        )

    def close(self) -> None:
        """Stop listening and reset all connections, as a killed process does."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._writers)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                await self.exchange(request, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def exchange(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle one request and write its answer."""
        writer.write(encode_answer(await self._handle(request)))
