"""A TCP proxy between daemons that can delay, cut, half-open and corrupt.

It listens on each daemon's advertised address and knows the dialling daemon by its
source IP, so a fault can be set for one direction of one pair. Faults are set over
``POST /faults``: a list of ``{"from": ip, "to": ip, "kind": ..., "seconds": ...}`` with ``*``
for any; the kinds are ``cut`` (refuse and break), ``stall`` (accept, forward nothing),
``delay`` and ``corrupt`` (garble what is forwarded). Each connection is delayed or stalled
as a whole, so connections overtake one another.
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
    """The faults in force."""

    def __init__(self) -> None:
        self._faults: list[Fault] = []
        self.links: set[_Inbound] = set()

    def set(self, faults: list[Fault]) -> None:
        """Replace all faults; connections on a cut pair are broken."""
        self._faults = faults
        for link in list(self.links):
            if self.find(link.source, link.target, "cut"):
                link.break_off()
            else:
                link.released()

    def find(self, source: str, target: str, kind: str) -> Fault | None:
        """Return the fault of that kind on a pair, if any."""
        for fault in self._faults:
            if fault.kind == kind and fault.matches(source, target):
                return fault
        return None


class _Inbound(Protocol):  # type: ignore[misc]
    """The dialling daemon's side."""

    def __init__(self, faults: Faults, target: str, port: int) -> None:
        self._faults = faults
        self._port = port
        self.target = target
        self.source = ""
        self._out: Any = None
        self._early: list[bytes] = []
        self._held: list[tuple[Any, bytes]] = []

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
        endpoint.connect(factory).addCallbacks(self._connected, lambda _: self.break_off())

    def _connected(self, out: "_Outbound") -> None:
        self._out = out
        out.inbound = self
        out.transport.setTcpNoDelay(True)
        for data in self._early:
            out.transport.write(data)
        self._early = []

    def dataReceived(self, data: bytes) -> None:
        self.forward(data, back=False)

    def forward(self, data: bytes, *, back: bool) -> None:
        """Pass data on in one direction, with the faults of that direction."""
        pair = (self.target, self.source) if back else (self.source, self.target)
        receiver = self if back else self._out
        if self._faults.find(*pair, "stall"):
            self._held.append((receiver, data))
            return
        if self._faults.find(*pair, "corrupt"):
            data = bytes(b ^ 0x5A for b in data)
        if delay := self._faults.find(*pair, "delay"):
            reactor.callLater(delay.seconds, self._write, receiver, data)
        else:
            self._write(receiver, data)

    def _write(self, receiver: Any, data: bytes) -> None:
        if receiver is None and self._out is None:
            self._early.append(data)
        else:
            (receiver or self._out).transport.write(data)

    def released(self) -> None:
        """Forward what a stall held back, where it is over."""
        held, self._held = self._held, []
        for receiver, data in held:
            self.forward(data, back=receiver is self)

    def break_off(self) -> None:
        """Break both sides."""
        self.transport.abortConnection()
        if self._out is not None:
            self._out.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:
        self._faults.links.discard(self)
        if self._out is not None:
            self._out.transport.loseConnection()


class _Outbound(Protocol):  # type: ignore[misc]
    """The side towards the daemon that is dialled."""

    inbound: _Inbound

    def dataReceived(self, data: bytes) -> None:
        self.inbound.forward(data, back=True)

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
