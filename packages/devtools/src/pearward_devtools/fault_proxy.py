"""A TCP proxy between daemons that delays, cuts, stalls or corrupts their connections.

It listens on each daemon's advertised address and identifies the connecting daemon by its source
IP, so that a fault can be set for one direction of one pair. ``POST /faults`` replaces all faults
by a list of ``{"from": ip, "to": ip, "kind": ..., "seconds": ...}``, with ``*`` for any IP. The
kinds are ``cut`` (refuse and abort connections), ``stall`` (accept connections, forward nothing),
``delay`` and ``corrupt`` (garble forwarded data). Delays and stalls apply to each connection
separately, so that data on different connections may be reordered.
"""

import json
from dataclasses import dataclass
from typing import Any

import click
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.web.resource import Resource
from twisted.web.server import Site

__all__ = ["main"]


@dataclass(frozen=True)
class Fault:
    """One fault on a directed pair."""

    source: str
    target: str
    kind: str
    seconds: float = 0.0

    def matches(self, source: str, target: str) -> bool:
        """Return whether the fault applies to connections from *source* to *target*."""
        return self.source in ("*", source) and self.target in ("*", target)


class Faults:
    """The active faults and the connections that they affect."""

    def __init__(self) -> None:
        self._faults: list[Fault] = []
        self.links: set[_Inbound] = set()

    def set(self, faults: list[Fault]) -> None:
        """Replace all faults, abort connections of cut pairs and resume stalled ones."""
        self._faults = faults
        for link in list(self.links):
            if self.find(link.source, link.target, "cut"):
                link.abort()
            else:
                link.forward_stalled()

    def find(self, source: str, target: str, kind: str) -> Fault | None:
        """Return the fault of that kind on a pair, if any."""
        for fault in self._faults:
            if fault.kind == kind and fault.matches(source, target):
                return fault
        return None


class _Inbound(Protocol):  # type: ignore[misc]
    """The connection from the connecting daemon."""

    def __init__(self, faults: Faults, target: str, port: int) -> None:
        self._faults = faults
        self._port = port
        self.target = target
        self.source = ""
        self._outbound: Any = None
        self._pending: list[bytes] = []
        self._stalled: list[tuple[Any, bytes]] = []

    def connectionMade(self) -> None:
        self.source = self.transport.getPeer().host
        self._faults.links.add(self)
        self.transport.setTcpNoDelay(True)
        if self._faults.find(self.source, self.target, "cut"):
            self.transport.abortConnection()
            return
        endpoint = TCP4ClientEndpoint(
            reactor, self.target, self._port, timeout=1, bindAddress=(self.source, 0)
        )
        factory = Factory.forProtocol(_Outbound)
        factory.noisy = False
        endpoint.connect(factory).addCallbacks(self._connected, lambda _: self.abort())

    def _connected(self, outbound: "_Outbound") -> None:
        self._outbound = outbound
        outbound.inbound = self
        outbound.transport.setTcpNoDelay(True)
        for data in self._pending:
            outbound.transport.write(data)
        self._pending = []

    def dataReceived(self, data: bytes) -> None:
        self.forward(data, reverse=False)

    def forward(self, data: bytes, *, reverse: bool) -> None:
        """Forward data in one direction, subject to the faults of that direction."""
        pair = (self.target, self.source) if reverse else (self.source, self.target)
        receiver = self if reverse else self._outbound
        if self._faults.find(*pair, "stall"):
            self._stalled.append((receiver, data))
            return
        if self._faults.find(*pair, "corrupt"):
            data = bytes(b ^ 0x5A for b in data)
        if delay := self._faults.find(*pair, "delay"):
            reactor.callLater(delay.seconds, self._write, receiver, data)
        else:
            self._write(receiver, data)

    def _write(self, receiver: Any, data: bytes) -> None:
        if receiver is None and self._outbound is None:
            self._pending.append(data)
        else:
            (receiver or self._outbound).transport.write(data)

    def forward_stalled(self) -> None:
        """Forward data that a stall held back, if the stall has ended."""
        stalled, self._stalled = self._stalled, []
        for receiver, data in stalled:
            self.forward(data, reverse=receiver is self)

    def abort(self) -> None:
        """Abort both connections."""
        self.transport.abortConnection()
        if self._outbound is not None:
            self._outbound.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:
        self._faults.links.discard(self)
        if self._outbound is not None:
            self._outbound.transport.loseConnection()


class _Outbound(Protocol):  # type: ignore[misc]
    """The connection to the target daemon."""

    inbound: _Inbound

    def dataReceived(self, data: bytes) -> None:
        self.inbound.forward(data, reverse=True)

    def connectionLost(self, reason: Any) -> None:
        if hasattr(self, "inbound"):
            self.inbound.transport.loseConnection()


class _Listener(Factory):  # type: ignore[misc]
    noisy = False

    def __init__(self, faults: Faults, target: str, port: int) -> None:
        self._faults = faults
        self._target = target
        self._port = port

    def buildProtocol(self, addr: Any) -> _Inbound:
        return _Inbound(self._faults, self._target, self._port)


class _Control(Resource):  # type: ignore[misc]
    isLeaf = True

    def __init__(self, faults: Faults) -> None:
        super().__init__()
        self._faults = faults

    def render_POST(self, request: Any) -> bytes:
        rows = json.loads(request.content.read())
        self._faults.set(
            [Fault(r["from"], r["to"], r["kind"], float(r.get("seconds", 0))) for r in rows]
        )
        return b"{}"

    def render_GET(self, request: Any) -> bytes:
        return b"{}"


@click.command()
@click.option("--control", required=True, help="IP:port of the control interface.")
@click.option("--link", "links", multiple=True, help="LISTEN_IP=TARGET_IP:PORT")
def main(control: str, links: tuple[str, ...]) -> None:
    """Run the proxy."""
    faults = Faults()
    for link in links:
        listen, _, target = link.partition("=")
        host, _, port = target.rpartition(":")
        reactor.listenTCP(int(port), _Listener(faults, host, int(port)), interface=listen)
    host, _, port = control.rpartition(":")
    site = Site(_Control(faults))
    site.noisy = False
    reactor.listenTCP(int(port), site, interface=host)
    reactor.run()


if __name__ == "__main__":
    main()
