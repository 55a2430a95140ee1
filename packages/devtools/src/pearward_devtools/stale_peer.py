"""A peer with an old record: sends requests to one daemon until its process has ended.

``python -m pearward_devtools.stale_peer ADDRESS SERVICE KEY`` prints a line when the first request
has been served, and at the end a JSON object: the number of requests by outcome and reason, where
``served`` has no reason.
"""

import json
import secrets
from collections import Counter

import click
from twisted.internet import reactor
from twisted.python.failure import Failure

from pearward_coordination.messages import ControlMessage, PeerId
from pearward_daemon.attempts import RemoteAttempt
from pearward_protocol.heads import RequestHead, ResponseHead
from pearward_state.keys import key_hash, service_seed
from pearward_state.outcome import Outcome, Reason, RequestClass
from pearward_transport.peer import PeerPool
from pearward_transport.peer_connection import PeerConnection

__all__ = ["main"]

FLOWS = 16
PAUSE_S = 0.001
GONE_S = 1.0
"""Time without a connection after which the daemon's process counts as ended."""
DEADLINE_MS = 10_000
WINDOW = 131_072


class _Handler:
    """Ignores what the daemon sends of its own accord."""

    def control_received(self, sender: PeerId, message: ControlMessage) -> None:
        """Do nothing, so that the record stays old."""

    def expected_at(self, address: str) -> frozenset[str]:
        """Return no incarnations, as none is inferred from the greeting."""
        return frozenset()

    def peer_identified(self, peer: PeerId, expected: frozenset[str]) -> None:
        """Do nothing, as none is inferred from the greeting."""


class StalePeer:
    """Sends requests for one key to one daemon, whatever it responds."""

    def __init__(self, address: str, service: str, key: str) -> None:
        self._address = address
        self._service = service
        self._key = key.encode()
        me = PeerId(secrets.token_hex(8), "127.0.0.1:1")
        self._pool = PeerPool(me, _Handler(), reactor, window=WINDOW)  # type: ignore[arg-type]
        self._connected_at = 0.0
        self._counts: Counter[str] = Counter()
        self._ended = False

    def start(self) -> None:
        """Start all flows."""
        self._connected_at = reactor.seconds()
        for _ in range(FLOWS):
            self.send_next()

    def send_next(self) -> None:
        """Send the next request of a flow, unless the daemon has ended."""
        if reactor.seconds() - self._connected_at < GONE_S:
            self._pool.connect(self._address).addCallbacks(self._send, self._unreachable)
        elif not self._ended:
            self._ended = True
            click.echo(json.dumps(self._counts))
            reactor.stop()

    def ended(self, outcome: Outcome, reason: Reason | None) -> None:
        """Count a request and continue its flow."""
        if outcome is Outcome.SERVED and not self._counts[outcome.value]:
            click.echo("started")
        self._counts[f"{outcome.value} {reason.value}" if reason else outcome.value] += 1
        reactor.callLater(PAUSE_S, self.send_next)

    def _send(self, connection: PeerConnection) -> None:
        self._connected_at = reactor.seconds()
        _Request(self).open(connection, self._head())

    def _unreachable(self, failure: Failure) -> None:
        self.ended(Outcome.NOT_RUN, Reason.UNREACHABLE)

    def _head(self) -> RequestHead:
        return RequestHead(
            service=self._service, key=self._key, request_id=secrets.token_hex(8).encode(),
            method=b"GET", path=b"/work?work_ms=2", headers=b"", deadline_ms=DEADLINE_MS,
            request_class=RequestClass.INTERACTIVE, tenant="", repeatable=True, prior_age_ms=0,
            version=1, task_id="", position=key_hash(self._key, service_seed(self._service)),
            body_length=0,
        )  # fmt: skip


class _Request:
    """One request; reports how it ended."""

    def __init__(self, peer: StalePeer) -> None:
        self._peer = peer
        self._attempt: RemoteAttempt | None = None

    def open(self, connection: PeerConnection, head: RequestHead) -> None:
        """Send the request."""
        self._attempt = RemoteAttempt(connection, self)
        self._attempt.open(head, ended=True)

    def response_head(self, head: ResponseHead, ended: bool, body: bytes) -> None:
        """End the request with a short response."""
        if ended:
            self._end(head.outcome, head.reason)

    def response_data(self, data: bytes, ended: bool) -> None:
        """End the request with the last chunk of a long response."""
        if ended:
            self._end(Outcome.SERVED, None)

    def attempt_failed(self, outcome: Outcome, reason: Reason, detail: str) -> None:
        """End the request without a response."""
        self._end(outcome, reason)

    def attempt_writable(self) -> None:
        """Do nothing: there is no body."""

    def _end(self, outcome: Outcome, reason: Reason | None) -> None:
        if self._attempt is not None:
            self._attempt.detach()
            self._peer.ended(outcome, reason)


@click.command()
@click.argument("address")
@click.argument("service")
@click.argument("key")
def main(address: str, service: str, key: str) -> None:
    """Send requests for KEY of SERVICE to the daemon at ADDRESS until it has ended."""
    peer = StalePeer(address, service, key)
    reactor.callWhenRunning(peer.start)
    reactor.run()


if __name__ == "__main__":
    main()
