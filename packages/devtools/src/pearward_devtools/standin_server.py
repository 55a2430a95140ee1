"""A stand-in for a caller's server that owns keys: it accepts fenced grants and keeps a log.

Paths: ``/health``; ``PUT /.pearward/grants``; anything else is work. Work takes the query
fields ``work_ms`` (time before the answer), ``bytes`` (length of a streamed answer),
``rate`` (bytes a second of it) and ``cut`` (break off after that many bytes).
``GET /standin/runs`` returns every run: request id, key, epoch, shard, time.
"""

import hashlib
import json
import time
from typing import Any
from urllib.parse import parse_qs

import click
from twisted.internet import reactor
from twisted.internet.interfaces import IPushProducer
from twisted.web import http
from zope.interface import implementer

from pearward_protocol.httpmap import HeaderName

__all__ = ["body_pattern", "main"]

CHUNK = 65_536


def body_pattern(request_id: bytes) -> bytes:
    """Return the block of a streamed answer's body that belongs to one request alone."""
    block = hashlib.sha256(request_id).hexdigest().encode()
    return block * (CHUNK // len(block))


class ServerState:
    """Grants and the log of runs."""

    def __init__(self, fenced: bool) -> None:
        self.fenced = fenced
        self.version = 0
        self.epochs: dict[str, int] = {}
        self.highest: dict[str, int] = {}
        self.runs: list[dict[str, Any]] = []
        self.frozen_health = False

    def grant(self, grant: dict[str, Any]) -> bool:
        """Take a full set of shards, unless it is older than one taken before."""
        if grant["version"] < self.version:
            return False
        self.version = grant["version"]
        self.epochs = {shard["start"]: shard["epoch"] for shard in grant["shards"]}
        for start, epoch in self.epochs.items():
            self.highest[start] = max(epoch, self.highest.get(start, 0))
        return True

    def refuses(self, shard: bytes | None, epoch: bytes | None, before_ms: bytes | None) -> str:
        """Return why a request may not run, or nothing."""
        if not self.fenced:
            return ""
        if before_ms is not None and time.time() * 1000 > int(before_ms):
            return "start-before time has passed"
        if shard is None or epoch is None:
            return ""
        granted = self.epochs.get(shard.decode())
        return "" if granted == int(epoch) else f"granted epoch {granted}, asked {int(epoch)}"


@implementer(IPushProducer)
class WorkRequest(http.Request):  # type: ignore[misc]
    """One request at the server."""

    state: ServerState
    _left = 0
    _paused = False
    _gone = False

    def process(self) -> None:
        path, _, query = self.uri.partition(b"?")
        if path == b"/health":
            self._reply(200, b"ok\n")
        elif path == b"/.pearward/grants":
            accepted = self.state.grant(json.loads(self.content.read()))
            self._reply(200 if accepted else 409, b"{}")
        elif path == b"/standin/runs":
            self._reply(200, json.dumps(self.state.runs).encode())
        elif path == b"/standin/plain":
            self._reply(200, b"x" * 256)
        else:
            self._work(parse_qs(query.decode()))

    def _value(self, name: bytes) -> bytes | None:
        values = self.requestHeaders.getRawHeaders(name)
        return values[0] if values else None

    def _work(self, query: dict[str, list[str]]) -> None:
        refused = self.state.refuses(
            self._value(HeaderName.SHARD),
            self._value(HeaderName.EPOCH),
            self._value(HeaderName.START_BEFORE_MS),
        )
        if refused:
            self.responseHeaders.addRawHeader(HeaderName.OUTCOME, b"not-run")
            self._reply(412, refused.encode())
            return
        request_id = self._value(HeaderName.REQUEST_ID) or b""
        key = self._value(HeaderName.KEY) or b""
        received = self.content.read()
        run = {
            "id": request_id.decode("latin-1"),
            "key": key.decode("latin-1"),
            "epoch": int(self._value(HeaderName.EPOCH) or 0),
            "shard": (self._value(HeaderName.SHARD) or b"").decode(),
            "body": hashlib.sha256(received).hexdigest() if received else "",
            "at": time.time(),
        }
        self.state.runs.append(run)
        work_s = float(query.get("work_ms", ["0"])[0]) / 1000
        if work_s:
            reactor.callLater(work_s, self._answer, query, request_id, run)
        else:
            self._answer(query, request_id, run)

    def _answer(self, query: dict[str, list[str]], request_id: bytes, run: Any) -> None:
        if self._gone:
            return
        size = int(query.get("bytes", ["0"])[0])
        if not size:
            body = json.dumps({"id": run["id"], "key": run["key"], "body": run["body"]})
            self._reply(200, body.encode())
            return
        self._left = size
        self._cut = int(query.get("cut", ["0"])[0])
        self._sent = 0
        self._rate = float(query.get("rate", ["0"])[0])
        self._pattern = body_pattern(request_id)
        self.setHeader(b"Content-Length", b"%d" % size)
        self.registerProducer(self, True)
        self._produce()

    def _produce(self) -> None:
        while self._left and not self._paused and not self._gone:
            chunk = self._pattern[: min(CHUNK, self._left)]
            if self._rate:
                chunk = chunk[: max(1, int(self._rate / 20))]
            offset = self._sent % len(self._pattern)
            chunk = (self._pattern[offset:] + self._pattern[:offset])[: len(chunk)]
            self.write(chunk)
            self._left -= len(chunk)
            self._sent += len(chunk)
            if self._cut and self._sent >= self._cut:
                self.channel.transport.abortConnection()
                return
            if self._rate and self._left:
                reactor.callLater(0.05, self._produce)
                return
        if not self._left and not self._gone:
            self.unregisterProducer()
            self.finish()

    def _reply(self, status: int, body: bytes) -> None:
        self.setResponseCode(status)
        self.setHeader(b"Content-Length", b"%d" % len(body))
        self.write(body)
        self.finish()

    def connectionLost(self, reason: Any) -> None:
        self._gone = True
        super().connectionLost(reason)

    def pauseProducing(self) -> None:
        self._paused = True

    def resumeProducing(self) -> None:
        if self._paused:
            self._paused = False
            if not self._rate:
                self._produce()

    def stopProducing(self) -> None:
        self._gone = True


class _Factory(http.HTTPFactory):  # type: ignore[misc]
    noisy = False

    def log(self, request: Any) -> None:
        """Write no access log."""


@click.command()
@click.option("--address", required=True, help="IP:port to listen on.")
@click.option("--fenced/--unfenced", default=True, help="Whether epochs are checked.")
def main(address: str, fenced: bool) -> None:
    """Run the stand-in."""
    host, _, port = address.rpartition(":")
    WorkRequest.state = ServerState(fenced)
    factory = _Factory()
    factory.protocol = lambda: _channel(http.HTTPChannel())
    reactor.listenTCP(int(port), factory, interface=host, backlog=1024)
    reactor.run()


def _channel(channel: http.HTTPChannel) -> http.HTTPChannel:
    channel.requestFactory = WorkRequest
    return channel


if __name__ == "__main__":
    main()
