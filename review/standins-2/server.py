"""A stand-in of an application server that holds keys, as PROTOCOL.md describes it.

Its one argument is a JSON object: id, service, address, zone, control (where heartbeats go), slots,
interval_s, work_s, keyed, and record (a file of JSON lines about what it holds, runs and is told).
SIGUSR1 makes it leave by DELETE, SIGUSR2 makes it report that it is draining.
It accepts a heartbeat's answer if that comes within a second and holds at most 4 KiB.
"""

import asyncio
import json
import secrets
import signal
import sys
import time

from web import call, serve

MAX_ANSWER = 4096
ME = json.loads(sys.argv[1])


class Server:
    def __init__(self):
        self.rows = []
        """Held rows: from, to, fence."""
        self.until = 0.0
        self.going = []
        """Rows to let go once the work on them has ended."""
        self.freed = []
        self.running = {}
        self.waiting = 0
        self.sequence = 0
        self.state = "ready"
        self.silent = False
        self.seen = [0] * 65536
        self.slots = asyncio.Semaphore(ME["slots"])
        self.file = open(ME["record"], "a", buffering=1)

    def record(self, event, **fields):
        row = {"at": round(time.monotonic(), 4), "server": ME["id"], "event": event, **fields}
        self.file.write(json.dumps(row) + "\n")

    def note_holds(self, why):
        self.record("holds", rows=self.rows + self.going, until=round(self.until, 4), why=why)

    def works_on(self, row):
        return any(n and row[0] <= key <= row[1] for key, n in self.running.items())

    def tidy(self):
        """End holds whose time is over, and let go what no work needs any more."""
        if (self.rows or self.going) and time.monotonic() > self.until:
            self.rows, self.going = [], []
            self.note_holds("lease over")
        done = [row for row in self.going if not self.works_on(row)]
        if done:
            self.going = [row for row in self.going if row not in done]
            self.freed += [[row[0], row[1], secrets.token_hex(8)] for row in done]
            self.note_holds("let go")

    def take(self, sent, answer):
        if "holds" not in answer:
            return
        rows = []
        for first, last, fence, _ in answer["holds"]:
            if max(self.seen[first : last + 1]) <= fence:
                rows.append([first, last, fence])
                self.seen[first : last + 1] = [fence] * (last - first + 1)
        kept = sorted(rows)
        for first, last, fence in self.rows:
            start = first
            for f, l, _ in kept:
                if l < start or f > last:
                    continue
                if f > start:
                    self.going.append([start, f - 1, fence])
                start = l + 1
            if start <= last:
                self.going.append([start, last, fence])
        self.rows = rows
        self.until = sent + answer["holdMs"] / 1000
        self.note_holds("answer")
        self.tidy()

    async def beat(self):
        self.sequence += 1
        sent, freed = time.monotonic(), list(self.freed)
        body = {
            "address": ME["address"],
            "information": {"service": ME["service"], "version": "v1", "zone": ME["zone"],
                            "capacitySlots": ME["slots"]},
            "status": {"state": self.state, "sequence": self.sequence, "coldRemainingMs": 0},
        }
        if ME["keyed"]:
            body |= {"holds": self.rows + self.going, "freed": freed}
        reply = await call(ME["control"], "PUT", f"/pearward/instances/{ME['id']}",
                           json.dumps(body).encode())
        took_ms = round((time.monotonic() - sent) * 1000)
        size = len(reply[2]) if reply else 0
        taken = reply is not None and reply[0] == 200 and took_ms <= 1000 and size <= MAX_ANSWER
        answer = json.loads(reply[2]) if reply and reply[0] == 200 else {}
        self.record("beat", sequence=self.sequence, state=self.state, took_ms=took_ms,
                    answer_bytes=size, rows=len(answer.get("holds", ())), accepted=taken)
        if taken:
            self.freed = [row for row in self.freed if row not in freed]
            self.take(sent, answer)

    async def beats(self):
        while True:
            started = time.monotonic()
            if not self.silent:
                await self.beat()
            self.tidy()
            pause = 0.1 if self.going else ME["interval_s"]
            await asyncio.sleep(max(0.02, started + pause - time.monotonic()))

    async def ticks(self):
        while True:
            await asyncio.sleep(0.02)
            self.tidy()

    async def leave(self):
        """End without draining: say so once, and send no more heartbeats."""
        self.silent = True
        reply = await call(ME["control"], "DELETE", f"/pearward/instances/{ME['id']}")
        self.record("left", answered=reply[0] if reply else 0)

    def fence_of(self, key):
        if time.monotonic() > self.until:
            return 0
        return next((r[2] for r in self.rows if r[0] <= key <= r[1]), 0)

    async def handle(self, method, target, headers, body):
        load = f"{len([1 for n in self.running.values() if n])},{self.waiting},{ME['slots']}"
        base = {"Request-Id": headers.get("request-id", ""), "Server-Load": load}
        if target == "/health":
            return 200, {"Instance-Id": ME["id"], "Server-Load": load}, b""
        if headers.get("expected-instance", ME["id"]) != ME["id"]:
            return 421, {**base, "Instance-Id": ME["id"]}, b""
        key = int(headers["shard-key"]) if ME["keyed"] and "shard-key" in headers else -1
        if ME["keyed"] and not (key >= 0 and self.fence_of(key)):
            return 421, {**base, "Not-Executed": "1"}, b""
        if self.waiting >= 4 * ME["slots"]:
            return 503, {**base, "Not-Executed": "1"}, b""
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            if ME["keyed"] and not self.fence_of(key):
                return 421, {**base, "Not-Executed": "1"}, b""
            self.record("run", id=headers.get("request-id", ""), key=key, target=target)
            self.running[key] = self.running.get(key, 0) + 1
            await asyncio.sleep(ME["work_s"])
            self.running[key] -= 1
        content = f"{ME['id']} ran {target}".encode()
        return 200, {**base, "Server-Signature": f"{ME['id']}.{len(content)}"}, content


async def main():
    server = Server()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, lambda: loop.create_task(server.leave()))
    loop.add_signal_handler(signal.SIGUSR2, lambda: setattr(server, "state", "draining"))
    web = await serve(ME["address"], server.handle)
    server.record("started")
    await asyncio.gather(web.serve_forever(), server.beats(), server.ticks())


asyncio.run(main())
