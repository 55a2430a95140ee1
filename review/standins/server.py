"""Stand-in of an application server: requests, heartbeats and keys, as PROTOCOL.md describes it."""

import asyncio
import json
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass

from .http1 import Answer, Connection, HttpServer, Request, encode_answer

RELEASING_S = 0.1
"""Seconds between heartbeats while keys are being let go."""
ACKNOWLEDGED_S = 1.0
"""Seconds within which a heartbeat's answer has to come."""


@dataclass
class Held:
    """Keys that the server holds."""

    first: int
    last: int
    fence: int
    until: float
    releasing: bool = False


class Server:
    """One incarnation of a server of a service."""

    def __init__(
        self, service: str, address: str, heartbeats_to: str, zone: str,
        record: Callable[..., None], *, keyed: bool, slots: int = 12, interval_s: float = 1.5,
        work_s: Callable[[Request], float] = lambda request: 0.1,
        body: Callable[[Request], bytes] = lambda request: b"x" * 200,
    ) -> None:
        self.id = f"i-{secrets.token_hex(4)}"
        self.service, self.address, self.zone, self.keyed = service, address, zone, keyed
        self.heartbeats_to = heartbeats_to
        self.slots, self.interval_s = slots, interval_s
        self.work_s, self.body = work_s, body
        self.held: list[Held] = []
        self.spans: list[tuple[int, int, float, float]] = []
        """First key, last key, start and end of each time in which keys were held."""
        self._since: dict[int, float] = {}
        """Start of the time in which each present row was held."""
        self.running: dict[str, int] = {}
        self.up = False
        self.sequence = 0
        self._freed: list[list] = []
        self._highest: list[tuple[int, int, int]] = []
        self._record = record
        self._http = _Exchanges(self)
        self._beats: asyncio.Task | None = None

    # -- life ----------------------------------------------------------------

    async def start(self) -> None:
        """Listen and send heartbeats."""
        await self._http.listen(self.address)
        self.up = True
        self._record("server_up", server=self.id, service=self.service, zone=self.zone)
        self._beats = asyncio.get_running_loop().create_task(self._send_heartbeats())

    def crash(self) -> None:
        """End at once: all connections are reset, nothing is sent any more."""
        if not self.up:
            return
        self.up = False
        if self._beats is not None:
            self._beats.cancel()
        self._http.close()
        now = time.monotonic()
        for row in self.held:
            self._note_held(row, min(now, row.until))
        self.held = []
        self._record("server_crashed", server=self.id)

    @property
    def connections(self) -> int:
        """Number of connections that it has accepted and that are open."""
        return self._http.connections

    # -- heartbeats ----------------------------------------------------------

    async def _send_heartbeats(self) -> None:
        while self.up:
            sent = time.monotonic()
            self._drop_ended(sent)
            asyncio.get_running_loop().create_task(self._heartbeat(sent))
            releasing = any(row.releasing for row in self.held)
            await asyncio.sleep(RELEASING_S if releasing else self.interval_s)

    def heartbeat_body(self) -> dict:
        """Return the next heartbeat."""
        self.sequence += 1
        body: dict = {
            "address": self.address,
            "information": {"service": self.service, "version": "v1", "zone": self.zone,
                            "capacitySlots": self.slots},
            "status": {"state": "ready", "sequence": self.sequence, "coldRemainingMs": 0},
        }
        if self.keyed:
            body["holds"] = [[r.first, r.last, r.fence] for r in self.held]
            body["freed"] = list(self._freed)
        return body

    async def _heartbeat(self, sent: float) -> None:
        body = self.heartbeat_body()
        freed = list(self._freed)

        async def exchange() -> Answer:
            connection = await Connection.open(self.heartbeats_to)
            try:
                return await connection.ask(
                    "PUT", f"/pearward/instances/{self.id}",
                    {"Host": self.heartbeats_to, "Content-Type": "application/json"},
                    json.dumps(body).encode(),
                )
            finally:
                connection.close()

        try:
            answer = await asyncio.wait_for(exchange(), ACKNOWLEDGED_S)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return
        if answer.status != 200 or not self.up:
            return
        self._freed = [row for row in self._freed if row not in freed]
        data = json.loads(answer.body or b"{}")
        if "holds" in data:
            self._apply(data["holds"], data["holdMs"], sent)

    def _apply(self, rows: list[list], hold_ms: int, sent: float) -> None:
        """Hold exactly the keys of an answer, counted from the sending of its heartbeat."""
        now = time.monotonic()
        until = sent + hold_ms / 1000
        taken = [Held(first, last, fence, until) for first, last, fence, _ in rows
                 if not any(first <= b and a <= last and fence < f for a, b, f in self._highest)]
        kept: list[Held] = []
        for row in self.held:
            start = row.first
            for new in sorted(taken, key=lambda r: r.first):
                if new.last < start or new.first > row.last:
                    continue
                if new.first > start:
                    kept.append(Held(start, new.first - 1, row.fence, row.until, True))
                start = new.last + 1
            if start <= row.last:
                kept.append(Held(start, row.last, row.fence, row.until, True))
        before = {(r.first, r.last, r.fence) for r in self.held if not r.releasing}
        after = {(r.first, r.last, r.fence) for r in taken}
        self._highest = [(a, b, f) for a, b, f in self._highest if (a, b, f) not in after][-512:]
        self._highest += sorted(after)
        for row in self.held:
            self._note_held(row, min(now, row.until))
        self.held = taken + kept
        self._since.update((id(row), now) for row in self.held)
        if before != after:
            self._record("holds", server=self.id, rows=[[r.first, r.last, r.fence] for r in taken],
                         hold_ms=hold_ms, until=round(until, 3))
        self._drop_ended(now)



    def _note_held(self, row: Held, end: float) -> None:
        since = self._since.pop(id(row), None)
        if since is not None and end > since:
            self.spans.append((row.first, row.last, since, end))

    def held_spans(self) -> list[tuple[int, int, float, float]]:
        """Return all times in which keys were held, until now."""
        now = time.monotonic()
        return self.spans + [
            (r.first, r.last, self._since[id(r)], min(now, r.until)) for r in self.held
        ]

    def _drop_ended(self, now: float) -> None:
        for row in list(self.held):
            working = any(row.first <= key <= row.last for key in self.running.values())
            if row.until <= now:
                self._note_held(row, row.until)
                self.held.remove(row)
                self._record("lease_over", server=self.id, first=row.first, last=row.last,
                             fence=row.fence)
            elif row.releasing and not working:
                self._note_held(row, now)
                self.held.remove(row)
                self._freed.append([row.first, row.last, secrets.token_hex(8)])

    def holds(self, key: int) -> int:
        """Return the fence under which a key is held and may be worked on, or 0."""
        now = time.monotonic()
        for row in self.held:
            if row.first <= key <= row.last and now < row.until and not row.releasing:
                return row.fence
        return 0

    # -- requests ------------------------------------------------------------

    def refusal(self, request: Request) -> Answer | None:
        """Return the answer to a request that is not run, or None."""
        named = request.headers.get("request-id", "")
        expected = request.headers.get("expected-instance", "")
        if expected and expected != self.id:
            return Answer(421, {"Request-Id": named, "Instance-Id": self.id, "Not-Executed": "1"})
        key = request.headers.get("shard-key")
        if self.keyed and (key is None or not self.holds(int(key))):
            return Answer(421, {"Request-Id": named, "Not-Executed": "1"})
        return None

    async def run(self, request: Request) -> Answer:
        """Run a request."""
        named = request.headers["request-id"]
        run = secrets.token_hex(3)
        key = request.headers.get("shard-key")
        self._record("run", server=self.id, request=named, key=key, run=run)
        self.running[run] = int(key) if key is not None else -1
        try:
            await asyncio.sleep(self.work_s(request))
        finally:
            self.running.pop(run, None)
        self._record("run_ended", server=self.id, request=named, run=run)
        load = f"{len(self.running)},0,{self.slots}"
        return Answer(
            200,
            {"Request-Id": named, "Server-Signature": f"{self.id}.{named}", "Server-Load": load,
             "Keep-Alive": "timeout=10"},
            self.body(request),
        )

    async def exchange(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request on its connection."""
        writer.write(encode_answer(self.refusal(request) or await self.run(request)))


class _Exchanges(HttpServer):
    """The server's port; what it does with one request is the server's own method."""

    def __init__(self, server: Server) -> None:
        super().__init__(server.run)
        self._server_side = server

    async def exchange(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._server_side.exchange(request, reader, writer)
