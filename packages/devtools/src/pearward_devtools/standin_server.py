"""A stand-in for a server that owns keys; it accepts fenced grants and records its runs.

``GET /health`` is the health check, ``PUT /.pearward/grants`` sets the granted shards, and
``GET /standin/runs`` returns every run with request id, key, epoch, shard and time. Other paths are
work, with the query fields ``work_ms`` (time before the response), ``bytes`` (length of a streamed
response), ``rate`` (its bytes per second) and ``cut`` (abort after that many bytes).
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
    """Return the block that a streamed response's body repeats, unique to the request id."""
    block = hashlib.sha256(request_id).hexdigest().encode()
    return block * (CHUNK // len(block))


class ServerState:
    """The granted shards and the recorded runs."""

    def __init__(self, fenced: bool) -> None:
        self.fenced = fenced
        self.version = 0
        self.epochs: dict[str, int] = {}
        self.highest: dict[str, int] = {}
        self.runs: list[dict[str, Any]] = []
        self.frozen_health = False

    def grant(self, grant: dict[str, Any]) -> bool:
        """Replace the granted shards; return False if a newer grant was already accepted."""
        if grant["version"] < self.version:
            return False
        self.version = grant["version"]
        self.epochs = {shard["start"]: shard["epoch"] for shard in grant["shards"]}
        for start, epoch in self.epochs.items():
            self.highest[start] = max(epoch, self.highest.get(start, 0))
        return True

    def refusal(self, shard: bytes | None, epoch: bytes | None, before_ms: bytes | None) -> str:
        """Return the reason to refuse a request, or an empty string."""
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
    """One request to the server."""

    state: ServerState
    _remaining = 0
    _paused = False
    _stopped = False

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

    def _header(self, name: bytes) -> bytes | None:
        values = self.requestHeaders.getRawHeaders(name)
        return values[0] if values else None

    def _work(self, query: dict[str, list[str]]) -> None:
        refused = self.state.refusal(
            self._header(HeaderName.SHARD),
            self._header(HeaderName.EPOCH),
            self._header(HeaderName.START_BEFORE_MS),
        )
        if refused:
            self.responseHeaders.addRawHeader(HeaderName.OUTCOME, b"not-run")
            self._reply(412, refused.encode())
            return
        request_id = self._header(HeaderName.REQUEST_ID) or b""
        key = self._header(HeaderName.KEY) or b""
        received = self.content.read()
        run = {
            "id": request_id.decode("latin-1"),
            "key": key.decode("latin-1"),
            "epoch": int(self._header(HeaderName.EPOCH) or 0),
            "shard": (self._header(HeaderName.SHARD) or b"").decode(),
            "body": hashlib.sha256(received).hexdigest() if received else "",
            "at": time.time(),
        }
        self.state.runs.append(run)
        work_s = float(query.get("work_ms", ["0"])[0]) / 1000
        if work_s:
            reactor.callLater(work_s, self._respond, query, request_id, run)
        else:
            self._respond(query, request_id, run)

    def _respond(self, query: dict[str, list[str]], request_id: bytes, run: Any) -> None:
        if self._stopped:
            return
        size = int(query.get("bytes", ["0"])[0])
        if not size:
            body = json.dumps({"id": run["id"], "key": run["key"], "body": run["body"]})
            self._reply(200, body.encode())
            return
        self._remaining = size
        self._cut = int(query.get("cut", ["0"])[0])
        self._sent = 0
        self._rate = float(query.get("rate", ["0"])[0])
        self._pattern = body_pattern(request_id)
        self.setHeader(b"Content-Length", b"%d" % size)
        self.registerProducer(self, True)
        self._produce()

    def _produce(self) -> None:
        while self._remaining and not self._paused and not self._stopped:
            chunk = self._pattern[: min(CHUNK, self._remaining)]
            if self._rate:
                chunk = chunk[: max(1, int(self._rate / 20))]
            offset = self._sent % len(self._pattern)
            chunk = (self._pattern[offset:] + self._pattern[:offset])[: len(chunk)]
            self.write(chunk)
            self._remaining -= len(chunk)
            self._sent += len(chunk)
            if self._cut and self._sent >= self._cut:
                self.channel.transport.abortConnection()
                return
            if self._rate and self._remaining:
                reactor.callLater(0.05, self._produce)
                return
        if not self._remaining and not self._stopped:
            self.unregisterProducer()
            self.finish()

    def _reply(self, status: int, body: bytes) -> None:
        self.setResponseCode(status)
        self.setHeader(b"Content-Length", b"%d" % len(body))
        self.write(body)
        self.finish()

    def connectionLost(self, reason: Any) -> None:
        self._stopped = True
        super().connectionLost(reason)

    def pauseProducing(self) -> None:
        self._paused = True

    def resumeProducing(self) -> None:
        if self._paused:
            self._paused = False
            if not self._rate:
                self._produce()

    def stopProducing(self) -> None:
        self._stopped = True


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
