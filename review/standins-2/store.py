"""A small stand-in of the platform's metadata store, as PROTOCOL.md describes it.

Usage: store.py IP:PORT CONFIGURATION.json. Serves kv-key, kv-range, kv-watch, kv-txn, kv-lease,
kv-keep and kv-lease-end from memory. It is never slow, down or wrong. SIGUSR2 makes it read the
configuration again and write it as the operator does; it prints when that is done. SIGUSR1 makes
it lose the next answer to a watch of the operator's keys: "Once an answer is lost on a connection,
that connection says nothing further."
"""

import asyncio
import base64
import json
import signal
import sys
import time
from urllib.parse import parse_qs, urlsplit

from web import serve


class Store:
    def __init__(self):
        self.items = {}
        self.revision = 0
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.losing = False

    def _event(self, row):
        self.history.append((self.revision, row))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, key, value, lease):
        made = self.items[key]["made"] if key in self.items else self.revision
        row = {"privateKey": key, "value": value, "revision": self.revision, "made": made,
               "lease": lease}
        self.items[key] = row
        self._event(row)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self._event({"privateKey": key, "revision": self.revision, "gone": True})

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, row in self.items.items() if row["lease"] == lease]:
            self.revision += 1
            self.remove(key)
        return True

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            for lease in [i for i, (_, until) in self.leases.items() if until <= now]:
                self.end_lease(lease)

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        name, _, rest = url.path.removeprefix("/pearward/").partition("/")
        data = json.loads(body) if body else {}
        status, reply = await self._call(method, name, rest, query, data)
        return status, {"Content-Type": "application/json"}, json.dumps(reply).encode()

    async def _call(self, method, name, rest, query, data):
        now = asyncio.get_running_loop().time()
        if name == "kv-key":
            row = self.items.get(query["privateKey"])
            return (200, {**row, "at": self.revision}) if row else (404, {})
        if name == "kv-range":
            prefix, after = query["pathPrefix"], query.get("after", "")
            found = [r for k, r in sorted(self.items.items()) if k.startswith(prefix) and k > after]
            return 200, {"items": found[:500], "more": len(found) > 500, "at": self.revision}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._txn(data)
        if name == "kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (data["ttl_ms"] / 1000, now + data["ttl_ms"] / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": data["ttl_ms"]}
        if name == "kv-keep":
            if int(rest) not in self.leases:
                return 404, {}
            ttl = self.leases[int(rest)][0]
            self.leases[int(rest)] = (ttl, now + ttl)
            return 200, {"ttl_ms": int(ttl * 1000)}
        if name == "kv-lease-end":
            return (200, {}) if self.end_lease(int(rest)) else (404, {})
        return 404, {}

    async def _watch(self, query):
        prefix, after = query["pathPrefix"], int(query["after"])
        end = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while True:
            events = [e for r, e in self.history if r > after and e["privateKey"].startswith(prefix)]
            left = end - asyncio.get_running_loop().time()
            if events and self.losing and prefix.startswith("op/"):
                self.losing = False
                print(json.dumps({"lost": time.monotonic()}), flush=True)
                await asyncio.Event().wait()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _txn(self, data):
        rows = [(e, self.items.get(e["privateKey"])) for e in data["expectedRevision"]]
        if any((item["revision"] if item else 0) != e["revision"] for e, item in rows):
            return 412, {"items": [item for _, item in rows if item]}
        if any(p.get("lease") and p["lease"] not in self.leases for p in data["put"]):
            return 404, {}
        if any(p["privateKey"].startswith(("op/", "servers/")) for p in data["put"]):
            return 403, {}
        self.revision += 1
        for p in data["put"]:
            self.put(p["privateKey"], p["value"], p.get("lease", 0))
        for key in data.get("remove", ()):
            self.remove(key)
        return 200, {"revision": self.revision}


async def main():
    store = Store()

    def configure():
        store.revision += 1
        with open(sys.argv[2], "rb") as file:
            store.put("op/config", base64.b64encode(file.read()).decode(), 0)
        print(json.dumps({"acknowledged": time.monotonic()}), flush=True)

    def lose():
        store.losing = True

    configure()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, lose)
    loop.add_signal_handler(signal.SIGUSR2, configure)
    server = await serve(sys.argv[1], store.handle)
    await asyncio.gather(server.serve_forever(), store.expire())


asyncio.run(main())
