"""A load generator in one process with persistent connections; prints its result as JSON."""

import json
import time
from random import Random
from typing import Any

import click
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred, gatherResults

from pearward_transport.clock import sleep
from pearward_transport.errors import TransportError
from pearward_transport.http_client import ServerClient

__all__ = ["main"]


class LoadGenerator:
    """Workers that send requests back to back, or at a given rate."""

    def __init__(
        self,
        targets: list[str],
        headers: dict[str, str],
        keys: list[str],
        path: str,
        *,
        workers: int,
        seconds: float,
        rate: float,
    ) -> None:
        self._clients = [ServerClient(reactor, target) for target in targets]
        common = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        common += f"Host: {targets[0]}\r\n"
        self._headers = [
            (common + (f"Pearward-Key: {key}\r\n" if key else "")).encode() for key in keys or [""]
        ]
        self._path = path.encode()
        self._workers = workers
        self._seconds = seconds
        self._interval = workers / rate if rate else 0.0
        self._rng = Random(1)
        self.latencies: list[float] = []
        self.errors = 0
        self.bytes = 0

    async def run(self) -> float:
        """Run all workers and return the elapsed seconds."""
        started_at = time.perf_counter()
        end = started_at + self._seconds
        await gatherResults(
            [ensureDeferred(self._work(number, end)) for number in range(self._workers)]
        )
        return time.perf_counter() - started_at

    async def _work(self, number: int, end: float) -> None:
        client = self._clients[number % len(self._clients)]
        due = time.perf_counter() + self._interval * number / self._workers
        while True:
            now = time.perf_counter()
            if now >= end:
                return
            if self._interval:
                if due > now:
                    await sleep(reactor, due - now)
                started_at, due = due, due + self._interval
            else:
                started_at = now
            if await self._send_request(client):
                self.latencies.append(time.perf_counter() - started_at)
            else:
                self.errors += 1

    async def _send_request(self, client: ServerClient) -> bool:
        try:
            connection = client.take() or await client.connect()
        except TransportError:
            return False
        headers = self._headers[self._rng.randrange(len(self._headers))]
        sink = _CountingSink(self)
        connection.send(b"GET", self._path, headers, b"", sink)
        return await sink.done


class _CountingSink:
    """A sink that counts one response and discards its body."""

    def __init__(self, load: LoadGenerator) -> None:
        self._load = load
        self._status = 0
        self.done: Deferred[bool] = Deferred()

    def accepts(self, headers: bytes) -> bool:
        """Accept every response, since a connection has one request at a time."""
        return True

    def response_head(self, status: int, headers: bytes, length: int) -> None:
        self._status = status

    def response_data(self, data: bytes) -> None:
        self._load.bytes += len(data)

    def response_ended(self) -> None:
        self.done.callback(self._status == 200)

    def exchange_failed(self, detail: str) -> None:
        self.done.callback(False)

    def body_paused(self) -> None:
        """Do nothing, since requests have no body."""

    def body_resumed(self) -> None:
        """Do nothing, since requests have no body."""


def _percentile(values: list[float], quantile: float) -> float:
    return values[min(len(values) - 1, int(len(values) * quantile))] if values else 0.0


@click.command()
@click.option("--target", "targets", multiple=True, required=True)
@click.option("--header", "headers", multiple=True, help="Name=value")
@click.option("--key", "keys", multiple=True)
@click.option("--path", default="/standin/plain")
@click.option("--workers", default=16)
@click.option("--seconds", default=3.0)
@click.option("--rate", default=0.0, help="Requests per second; 0 for no limit.")
def main(
    targets: tuple[str, ...],
    headers: tuple[str, ...],
    keys: tuple[str, ...],
    path: str,
    workers: int,
    seconds: float,
    rate: float,
) -> None:
    """Send requests for some seconds and print the result."""
    pairs = dict(header.split("=", 1) for header in headers)
    load = LoadGenerator(
        list(targets), pairs, list(keys), path, workers=workers, seconds=seconds, rate=rate
    )

    def finish(elapsed: Any) -> None:
        values = sorted(load.latencies)
        result = {
            "count": len(values),
            "errors": load.errors,
            "bytes": load.bytes,
            "seconds": elapsed if isinstance(elapsed, float) else -1,
            "p50_ms": _percentile(values, 0.5) * 1000,
            "p99_ms": _percentile(values, 0.99) * 1000,
        }
        click.echo(json.dumps(result))
        reactor.stop()

    reactor.callWhenRunning(lambda: ensureDeferred(load.run()).addBoth(finish))
    reactor.run()


if __name__ == "__main__":
    main()
