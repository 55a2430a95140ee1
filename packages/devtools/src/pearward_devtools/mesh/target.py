"""A stand-in for a platform's target that sends heartbeats, holds keys and serves requests.

The query of a request controls its response: ``work_ms`` (run time), ``bytes`` (body size) and
``spoil`` (``short``, ``unsigned``, ``surplus``, ``late``, ``unframed``, ``close``, ``fail``,
``refuse``, ``refuse-twice``, ``crash``). With ``refuse-twice`` the first send of a request is
refused, and that refusal is sent again ``again_ms`` later; further sends are run.

Control requests:

* ``GET /standin/state`` returns the held ranges and the executed requests with their headers.
* ``POST /standin/drain`` and ``/standin/leave`` remove the target with and without a drain.
* ``POST /standin/cold`` with ``seconds`` makes the target report itself cold for that time.
* ``POST /standin/headers`` with header names and values adds them to all further responses to
  requests, and replaces those added before.
* ``POST /standin/sustain`` with ``per_s`` makes it complete at most that many requests a second;
  further ones are delayed, each behind all others. 0 ends this.
* ``POST /standin/late`` delays grants; see key_calls.
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

from pearward_transport.errors import ServerConnectionLost, ServerUnreachable
from pearward_transport.http_client import ServerClient

from .held_keys import HeldKeys, HeldRange
from .key_calls import KeyCalls

__all__ = ["main"]

HEARTBEAT_INTERVAL_S = 0.25
"""Heartbeat interval: a third of the platform's default, to shorten the tests."""
RELEASE_HEARTBEAT_INTERVAL_S = 0.05
"""Heartbeat interval while keys are being released."""
MISDIRECTED = 421
CRASHED = 70
"""Exit status of a target that was crashed by a request."""
MAX_KEY = 65_535


class Target:
    """The state of the target and its heartbeats."""

    def __init__(self, service: str, address: str, zone: str, slots: int, daemon: str) -> None:
        self.id = f"i-{secrets.token_hex(5)}"
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.state = "ready"
        self.held = HeldKeys()
        self.by_call = False
        """Whether keys are granted by calls instead of heartbeat responses."""
        self.calls = KeyCalls(self.held, self._is_working_on)
        self._running_keys: list[int] = []
        """Key of each running request; -1 for requests without a numeric key."""
        self.released: list[list[Any]] = []
        self.runs: list[dict[str, Any]] = []
        self.refused_ids: set[str] = set()
        """Ids of the requests whose first send was refused."""
        self.running = 0
        self.sustained_per_s = 0.0
        """Requests per second that it can complete; 0 if only its slots limit it."""
        self._free_at = 0.0
        """Time at which all work in progress is completed, if the sustained rate limits it."""
        self.extra_headers: dict[str, str] = {}
        """Headers that are added to the responses to requests."""
        self.leave_acknowledged: float | None = None
        """When the daemon first acknowledged the drain of this target, on the monotonic clock."""
        self.keyed = False
        self._client = ServerClient(reactor, daemon, idle_limit_s=5.0)
        self._sequence = 0
        self._silent = False
        self._cold_until = 0.0

    def set_cold(self, seconds: float) -> None:
        """Report the target as cold for some seconds, from the next heartbeat on."""
        self._cold_until = time.monotonic() + seconds

    def delay_s(self, work_s: float) -> float:
        """Return the seconds until a request that starts now is completed."""
        if not self.sustained_per_s:
            return work_s
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + 1.0 / self.sustained_per_s
        return max(work_s, self._free_at - now)

    def work_started(self, key: int) -> None:
        """Count a request for a key as running."""
        self.running += 1
        self._running_keys.append(key)

    def work_ended(self, key: int) -> None:
        """Count a request for a key as ended."""
        self.running -= 1
        self._running_keys.remove(key)

    def _is_working_on(self, first: int, last: int) -> bool:
        return any(first <= key <= last for key in self._running_keys)

    def leave(self) -> None:
        """Deregister the target without a drain, and stop its heartbeats."""
        self._silent = True
        path = f"/pearward/instances/{self.id}".encode()
        self._fetch(b"DELETE", path, b"").addCallback(
            lambda result: self._leave_acknowledged() if result and result[0] == 200 else None
        )

    def _leave_acknowledged(self) -> None:
        """Record the first acknowledgement, also on stdout, so that it survives the process."""
        if self.leave_acknowledged is None:
            self.leave_acknowledged = time.monotonic()
            left = {"target": self.id, "leave_acknowledged": self.leave_acknowledged}
            print(json.dumps(left), flush=True)

    def hold_up_heartbeats(self, count: int, delay_s: float, apart_s: float) -> None:
        """Send heartbeats that arrive late, as after a cut; responses to them are ignored."""
        path = f"/pearward/instances/{self.id}".encode()
        for number in range(count):
            body = json.dumps(self._next_heartbeat(time.monotonic())).encode()
            reactor.callLater(delay_s + number * apart_s, self._fetch, b"PUT", path, body)

    def send_heartbeat(self) -> None:
        """Send a heartbeat and schedule the next one."""
        self._drop_ended_ranges()
        leaving = any(row.releasing for row in self.held)
        reactor.callLater(
            RELEASE_HEARTBEAT_INTERVAL_S if leaving else HEARTBEAT_INTERVAL_S, self.send_heartbeat
        )
        if self._silent:
            return
        sent = time.monotonic()
        released = list(self.released)
        sent_draining = self.state == "draining"
        body = self._next_heartbeat(sent)
        path = f"/pearward/instances/{self.id}".encode()

        def on_response(result: tuple[int, bytes]) -> None:
            status, data = result
            if status == 200:
                if sent_draining:
                    self._leave_acknowledged()
                self.released = [row for row in self.released if row not in released]
                self._apply_response(sent, json.loads(data))

        self._fetch(b"PUT", path, json.dumps(body).encode()).addCallback(
            lambda result: on_response(result) if result else None
        )

    def _next_heartbeat(self, sent: float) -> dict[str, Any]:
        """Return the next heartbeat, which counts as sent."""
        self._sequence += 1
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
            body["holds"] = [[r.first, r.last, r.fence] for r in self.held]
            body["freed"] = list(self.released)
        return body

    def _fetch(self, method: bytes, path: bytes, body: bytes) -> Any:
        from twisted.internet.defer import Deferred

        call = Deferred.fromCoroutine(self._client.fetch(method, path, b"", body, timeout_s=1.0))

        def failed(failure: Any) -> None:
            failure.trap(ServerConnectionLost, ServerUnreachable)

        return call.addErrback(failed)

    def _drop_ended_ranges(self) -> None:
        now = time.monotonic()
        for row in list(self.held):
            if row.until <= now:
                self.held.remove(row)
            elif row.releasing and not self.running:
                self.held.remove(row)
                self.released.append([row.first, row.last, secrets.token_hex(8)])

    def _apply_response(self, sent: float, reply: dict[str, Any]) -> None:
        if "holds" not in reply:
            return
        until = sent + reply["holdMs"] / 1000
        granted = [HeldRange(first, last, fence, until) for first, last, fence, _ in reply["holds"]]
        kept: list[HeldRange] = []
        for row in self.held:
            start = row.first
            for g in sorted(granted, key=lambda r: r.first):
                if g.last < start or g.first > row.last:
                    continue
                if g.first > start:
                    kept.append(HeldRange(start, g.first - 1, row.fence, row.until, True))
                start = g.last + 1
            if start <= row.last:
                kept.append(HeldRange(start, row.last, row.fence, row.until, True))
        self.held.replace_all(granted + kept)


class _Requests(Resource):
    """Serve requests, key calls and control requests."""

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
        if request_id is not None:
            request.setHeader("Request-Id", request_id)
        expected = request.getHeader("Expected-Instance")
        if expected and expected != target.id:
            request.setHeader("Instance-Id", target.id)
            request.setResponseCode(MISDIRECTED)
            return b""
        key = request.getHeader("Shard-Key")
        fence = target.held.fence_of(int(key)) if target.keyed and key is not None else 0
        if target.keyed and key is not None and not fence:
            request.setHeader("Not-Executed", "1")
            request.setResponseCode(MISDIRECTED)
            return b""
        arguments = {k.decode(): v[0].decode() for k, v in request.args.items()}
        if arguments.get("spoil") == "refuse-twice" and request_id not in target.refused_ids:
            self._refuse_twice(request, request_id, int(arguments["again_ms"]) / 1000)
            return NOT_DONE_YET
        self._record_run(
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
        target.work_started(request.working_on)
        request.working = True
        work_s = int(arguments.get("work_ms", "0")) / 1000
        delay_s = target.delay_s(work_s)
        timer = reactor.callLater(delay_s, self._send_response, request, request_id, arguments)

        def on_disconnect(failure: Any) -> None:
            self._work_ended(request)
            if timer.active():
                timer.cancel()

        request.notifyFinish().addErrback(on_disconnect)
        return NOT_DONE_YET

    def _refuse_twice(self, request: Any, request_id: str, again_s: float) -> None:
        """Refuse the first send of a request, and send the refusal again after *again_s*."""
        self._target.refused_ids.add(request_id)
        transport = request.transport
        refusal = (
            f"HTTP/1.1 503 Status\r\nRequest-Id: {request_id}\r\nNot-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        transport.write(refusal)
        request.channel.requestDone(request)
        reactor.callLater(again_s, transport.write, refusal)

    def _key_call(self, request: Any) -> Any:
        expected = request.getHeader("Expected-Instance")
        if expected and expected != self._target.id:
            request.setHeader("Instance-Id", self._target.id)
            request.setResponseCode(MISDIRECTED)
            return b""
        calls = self._target.calls
        return calls.grant(request) if request.path.endswith(b"/grant") else calls.release(request)

    def _record_run(self, run: dict[str, Any]) -> None:
        """Record an executed request, also on stdout, so that the record survives the process."""
        self._target.runs.append(run)
        print(json.dumps(run), flush=True)

    def _send_response(self, request: Any, request_id: str, arguments: dict[str, str]) -> None:
        target = self._target
        self._work_ended(request)
        body = b"x" * int(arguments.get("bytes", "20"))
        spoil = arguments.get("spoil", "")
        if spoil == "crash":
            os._exit(CRASHED)
        headers = {
            "Request-Id": request_id,
            "Server-Signature": f"signed.{request_id}",
            "Server-Load": f"{target.running},0,{target.slots},100",
            "Target": target.id,
        }
        headers |= target.extra_headers
        status = 500 if spoil == "fail" else 200
        if spoil == "refuse":
            status, headers["Not-Executed"] = 503, "1"
        if spoil == "unsigned":
            del headers["Server-Signature"]
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        framing = "" if spoil == "unframed" else f"Content-Length: {len(body)}\r\n"
        response = f"HTTP/1.1 {status} Status\r\n{lines}{framing}\r\n".encode() + body
        transport = request.transport
        if spoil == "close":
            transport.loseConnection()
        elif spoil == "short":
            transport.write(response[:-5])
            transport.loseConnection()
        elif spoil == "unframed":
            transport.write(response)
            # The channel's own method: with the channel registered as a producer, the transport
            # does not close after a write that fills its buffer.
            request.channel.loseConnection()
        elif spoil == "surplus":
            other_response = response.replace(request_id.encode(), b"another-request")
            transport.write(other_response + response)
            request.channel.requestDone(request)
        else:
            transport.write(response)
            request.channel.requestDone(request)

    def _work_ended(self, request: Any) -> None:
        """Count a request as ended, once."""
        if request.working:
            request.working = False
            self._target.work_ended(request.working_on)

    def _control(self, request: Any) -> bytes:
        target = self._target
        match request.path:
            case b"/standin/state":
                rows = [
                    [r.first, r.last, r.fence, round(r.until - time.monotonic(), 3)]
                    for r in target.held
                    if r.until > time.monotonic()
                ]
                return json.dumps(
                    {
                        "id": target.id,
                        "rows": rows,
                        "ran": target.runs,
                        "running": target.running,
                        "leave_acknowledged": target.leave_acknowledged,
                    }
                ).encode()
            case b"/standin/drain":
                target.state = "draining"
            case b"/standin/leave":
                target.leave()
            case b"/standin/hold-up":
                target.hold_up_heartbeats(**json.loads(request.content.read()))
            case b"/standin/cold":
                target.set_cold(json.loads(request.content.read())["seconds"])
            case b"/standin/headers":
                target.extra_headers = json.loads(request.content.read())
            case b"/standin/sustain":
                target.sustained_per_s = json.loads(request.content.read())["per_s"]
            case b"/standin/late":
                target.calls.delay_grants(json.loads(request.content.read()))
        return b"{}"


@click.command()
@click.option("--address", required=True, help="IP:port to serve at")
@click.option("--beats-to", required=True, help="IP:port for heartbeats to the local daemon")
@click.option("--service", required=True)
@click.option("--zone", default="a")
@click.option("--slots", default=12)
@click.option("--keyed", is_flag=True)
@click.option("--by-call", is_flag=True, help="take keys by calls instead of heartbeat responses")
def main(
    address: str,
    beats_to: str,
    service: str,
    zone: str,
    slots: int,
    keyed: bool,
    by_call: bool,
) -> None:
    """Serve requests and send heartbeats."""
    target = Target(service, address, zone, slots, beats_to)
    target.keyed = keyed
    target.by_call = by_call
    site = Site(_Requests(target))
    site.noisy = False
    ip, _, port = address.rpartition(":")
    reactor.listenTCP(int(port), site, interface=ip)
    reactor.callLater(0, target.send_heartbeat)
    reactor.run()


if __name__ == "__main__":
    main()
