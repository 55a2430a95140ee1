"""A stand-in for a users' target: it beats, holds keys by a lease of its own, and serves.

Requests name what is to happen in their query: ``work_ms``, ``bytes`` of the answer, and
``spoil`` (``short``, ``unsigned``, ``surplus``, ``late``, ``unframed``, ``close``, ``fail``,
``refuse``, ``crash``). ``GET /standin/state`` tells what is held, what ran and with which headers;
``POST /standin/drain`` and ``/standin/leave`` begin a leave with and without notice,
``POST /standin/cold`` with ``seconds`` makes the target say that it is cold for so long.
"""

import json
import os
import secrets
import time
from typing import Any

import click
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from pearward_transport.errors import ServerBroke, ServerUnreachable
from pearward_transport.http_client import ServerClient

from .held_keys import HeldKeys, HeldRange
from .key_calls import KeyCalls

__all__ = ["main"]

BEAT_S = 0.25
"""A third of the platform's usual interval, so that tests are quick."""
SOON_S = 0.05
NOT_HELD = 421
CRASHED = 70
"""Exit status of a target that a request has crashed."""
MAX_KEY = 65_535


class Target:
    """The target's own state."""

    def __init__(self, service: str, address: str, zone: str, slots: int, beats_to: str) -> None:
        self.id = f"i-{secrets.token_hex(5)}"
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.state = "ready"
        self.rows = HeldKeys()
        self.by_call = False
        """Whether keys are given by calls, and heartbeats say nothing of them."""
        self.calls = KeyCalls(self.rows, self._works_on)
        self._working: list[int] = []
        """Key of each request that runs."""
        self.freed: list[list[Any]] = []
        self.ran: list[dict[str, Any]] = []
        self.running = 0
        self.leave_acknowledged: float | None = None
        """When a daemon first acknowledged that this target drains, on the steady clock."""
        self.keyed = False
        self._client = ServerClient(reactor, beats_to, idle_limit_s=5.0)
        self._sequence = 0
        self._silent = False
        self._cold_until = 0.0

    def turn_cold(self, seconds: float) -> None:
        """Say from the next heartbeat on that it is cold."""
        self._cold_until = time.monotonic() + seconds

    def work_began(self, key: int) -> None:
        """Count a request for a key as running."""
        self.running += 1
        self._working.append(key)

    def work_ended(self, key: int) -> None:
        """A request for a key runs no longer."""
        self.running -= 1
        self._working.remove(key)

    def _works_on(self, first: int, last: int) -> bool:
        return any(first <= key <= last for key in self._working)

    def leave(self) -> None:
        """Say without notice that it ends."""
        self._silent = True
        path = f"/pearward/instances/{self.id}".encode()
        self._fetch(b"DELETE", path, b"")

    def beat(self) -> None:
        """Send a heartbeat, and plan the next one."""
        self._settle()
        leaving = any(row.let_go for row in self.rows)
        reactor.callLater(SOON_S if leaving else BEAT_S, self.beat)
        if self._silent:
            return
        self._sequence += 1
        sent = time.monotonic()
        freed = list(self.freed)
        leaving_said = self.state == "draining"
        body: dict[str, Any] = {
            "address": self.address,
            "information": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "capacitySlots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "coldRemainingMs": max(0, round((self._cold_until - sent) * 1000)),
            },
        }
        if not self.by_call:
            body["holds"] = [[r.first, r.last, r.fence] for r in self.rows]
            body["freed"] = freed
        path = f"/pearward/instances/{self.id}".encode()

        def answered(result: tuple[int, bytes]) -> None:
            status, data = result
            if status == 200:
                if leaving_said and self.leave_acknowledged is None:
                    self.leave_acknowledged = time.monotonic()
                    left = {"target": self.id, "leave_acknowledged": self.leave_acknowledged}
                    print(json.dumps(left), flush=True)
                self.freed = [row for row in self.freed if row not in freed]
                self._take(sent, json.loads(data))

        self._fetch(b"PUT", path, json.dumps(body).encode()).addCallback(
            lambda result: answered(result) if result else None
        )

    def _fetch(self, method: bytes, path: bytes, body: bytes) -> Any:
        from twisted.internet.defer import Deferred

        call = Deferred.fromCoroutine(self._client.fetch(method, path, b"", body, timeout_s=1.0))

        def failed(failure: Any) -> None:
            failure.trap(ServerBroke, ServerUnreachable)

        return call.addErrback(failed)

    def _settle(self) -> None:
        now = time.monotonic()
        for row in list(self.rows):
            if row.until <= now:
                self.rows.remove(row)
            elif row.let_go and not self.running:
                self.rows.remove(row)
                self.freed.append([row.first, row.last, secrets.token_hex(8)])

    def _take(self, sent: float, answer: dict[str, Any]) -> None:
        if "holds" not in answer:
            return
        until = sent + answer["holdMs"] / 1000
        granted = [
            HeldRange(first, last, fence, until) for first, last, fence, _ in answer["holds"]
        ]
        kept: list[HeldRange] = []
        for row in self.rows:
            start = row.first
            for g in sorted(granted, key=lambda r: r.first):
                if g.last < start or g.first > row.last:
                    continue
                if g.first > start:
                    kept.append(HeldRange(start, g.first - 1, row.fence, row.until, True))
                start = g.last + 1
            if start <= row.last:
                kept.append(HeldRange(start, row.last, row.fence, row.until, True))
        self.rows.replace_all(granted + kept)


class _Requests(Resource):
    """Serves requests."""

    isLeaf = True

    def __init__(self, target: Target) -> None:
        super().__init__()
        self._target = target

    def render(self, request: Any) -> Any:
        target = self._target
        if request.path.startswith(b"/standin/"):
            return self._control(request)
        if request.path.startswith(b"/pearward/"):
            return self._key_call(request)
        request_id = request.getHeader("Request-Id")
        expected = request.getHeader("Expected-Instance")
        if expected and expected != target.id:
            request.setHeader("Instance-Id", target.id)
            request.setResponseCode(NOT_HELD)
            return b""
        key = request.getHeader("Shard-Key")
        fence = target.rows.fence_of(int(key)) if target.keyed and key is not None else 0
        if target.keyed and key is not None and not fence:
            request.setHeader("Not-Executed", "1")
            request.setResponseCode(NOT_HELD)
            return b""
        self._note_run(
            {
                "id": request_id,
                "target": target.id,
                "key": key or "",
                "fence": fence,
                "at": time.monotonic(),
                "caller": request.getHeader("Caller-Service") or "",
                "deadline": request.getHeader("Deadline-Ms") or "",
                "method": request.method.decode(),
                "path": request.uri.decode(),
                "body": str(len(request.content.read())),
            }
        )
        request.working_on = int(key) if key is not None and key.isdigit() else -1
        target.work_began(request.working_on)
        request.working = True
        arguments = {k.decode(): v[0].decode() for k, v in request.args.items()}
        work_s = int(arguments.get("work_ms", "0")) / 1000
        timer = reactor.callLater(work_s, self._answer, request, request_id, arguments)

        def over(failure: Any) -> None:
            self._work_ended(request)
            if timer.active():
                timer.cancel()

        request.notifyFinish().addErrback(over)
        return NOT_DONE_YET

    def _key_call(self, request: Any) -> Any:
        expected = request.getHeader("Expected-Instance")
        if expected and expected != self._target.id:
            request.setHeader("Instance-Id", self._target.id)
            request.setResponseCode(NOT_HELD)
            return b""
        calls = self._target.calls
        return calls.grant(request) if request.path.endswith(b"/grant") else calls.release(request)

    def _note_run(self, run: dict[str, Any]) -> None:
        """Remember a run; the line outlasts the process."""
        self._target.ran.append(run)
        print(json.dumps(run), flush=True)

    def _answer(self, request: Any, request_id: str, arguments: dict[str, str]) -> None:
        target = self._target
        self._work_ended(request)
        body = b"x" * int(arguments.get("bytes", "20"))
        spoil = arguments.get("spoil", "")
        if spoil == "crash":
            os._exit(CRASHED)
        head = {
            "Request-Id": request_id,
            "Server-Signature": f"signed.{request_id}",
            "Server-Load": f"{target.running},0,{target.slots},100",
            "Target": target.id,
        }
        status = 500 if spoil == "fail" else 200
        if spoil == "refuse":
            status, head["Not-Executed"] = 503, "1"
        if spoil == "unsigned":
            del head["Server-Signature"]
        lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
        framing = "" if spoil == "unframed" else f"Content-Length: {len(body)}\r\n"
        whole = f"HTTP/1.1 {status} Status\r\n{lines}{framing}\r\n".encode() + body
        transport = request.transport
        if spoil == "close":
            transport.loseConnection()
        elif spoil == "short":
            transport.write(whole[:-5])
            transport.loseConnection()
        elif spoil == "unframed":
            transport.write(whole)
            transport.loseConnection()
        elif spoil == "surplus":
            foreign = whole.replace(request_id.encode(), b"another-request")
            transport.write(foreign + whole)
            request.channel.requestDone(request)
        else:
            transport.write(whole)
            request.channel.requestDone(request)

    def _work_ended(self, request: Any) -> None:
        """Count the work on a request as ended, once."""
        if request.working:
            request.working = False
            self._target.work_ended(request.working_on)

    def _control(self, request: Any) -> bytes:
        target = self._target
        match request.path:
            case b"/standin/state":
                rows = [
                    [r.first, r.last, r.fence, round(r.until - time.monotonic(), 3)]
                    for r in target.rows
                    if r.until > time.monotonic()
                ]
                return json.dumps(
                    {
                        "id": target.id,
                        "rows": rows,
                        "ran": target.ran,
                        "running": target.running,
                        "leave_acknowledged": target.leave_acknowledged,
                    }
                ).encode()
            case b"/standin/drain":
                target.state = "draining"
            case b"/standin/leave":
                target.leave()
            case b"/standin/cold":
                target.turn_cold(json.loads(request.content.read())["seconds"])
            case b"/standin/late":
                target.calls.late(json.loads(request.content.read()))
        return b"{}"


@click.command()
@click.option("--address", required=True, help="IP:port to serve at")
@click.option("--beats-to", required=True, help="IP:port of the daemon beside it")
@click.option("--service", required=True)
@click.option("--zone", default="a")
@click.option("--slots", default=12)
@click.option("--keyed", is_flag=True)
@click.option("--by-call", is_flag=True, help="keys are given by calls")
def main(
    address: str,
    beats_to: str,
    service: str,
    zone: str,
    slots: int,
    keyed: bool,
    by_call: bool,
) -> None:
    """Serve requests and beat."""
    target = Target(service, address, zone, slots, beats_to)
    target.keyed = keyed
    target.by_call = by_call
    site = Site(_Requests(target))
    site.noisy = False
    ip, _, port = address.rpartition(":")
    reactor.listenTCP(int(port), site, interface=ip)
    reactor.callLater(0, target.beat)
    reactor.run()


if __name__ == "__main__":
    main()
