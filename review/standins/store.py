"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, unquote, urlsplit

from .http1 import Answer, HttpServer, Request

ANSWER_S = 0.004
"""Seconds of one answer."""
PAGE_ITEMS = 500


class Store:
    """Keys with revisions, leases and watches."""

    def __init__(self) -> None:
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._revision = 10
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 77_000
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle)

    async def listen(self, address: str) -> None:
        """Serve at IP:port."""
        await self._server.listen(address)
        asyncio.get_running_loop().create_task(self._expire_leases())

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    async def operator_put(self, key: str, document: dict) -> None:
        """Write an operator's key; the return of this call is the acknowledgement."""
        self._put(key, json.dumps(document).encode(), 0)
        await self._notify()

    def value(self, key: str) -> dict | None:
        """Return a key's value."""
        item = self._items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    # -- changes -------------------------------------------------------------

    def _put(self, key: str, value: bytes, lease: int) -> None:
        self._revision += 1
        made = self._items[key]["made"] if key in self._items else self._revision
        self._items[key] = {
            "privateKey": key, "value": base64.b64encode(value).decode(),
            "revision": self._revision, "made": made, "lease": lease,
        }
        self._events.append(dict(self._items[key]))

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._events.append({"privateKey": key, "revision": self._revision, "gone": True})

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _expire_leases(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.05)
            over = [lease for lease, (_, until) in self._leases.items() if loop.time() > until]
            for lease in over:
                await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key in [k for k, item in self._items.items() if item["lease"] == lease]:
            self._remove(key)
        await self._notify()

    # -- calls ---------------------------------------------------------------

    async def _handle(self, request: Request) -> Answer:
        arrived = asyncio.get_running_loop().time()
        await asyncio.sleep(ANSWER_S)
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        name = url.path.removeprefix("/pearward/")
        if name == "kv-key":
            item = self._items.get(query["privateKey"])
            return Answer.of({**item, "at": self._revision}) if item else Answer(404)
        if name == "kv-range":
            return self._range(query)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return await self._txn(request.json())
        if name == "kv-lease":
            ttl_s = request.json()["ttl_ms"] / 1000
            self._next_lease += 1
            self._leases[self._next_lease] = (ttl_s, arrived + ttl_s)
            return Answer.of({"lease": self._next_lease, "ttl_ms": int(ttl_s * 1000)})
        verb, _, number = name.partition("/")
        lease = int(unquote(number) or 0)
        if lease not in self._leases:
            return Answer(404)
        if verb == "kv-keep":
            ttl_s = self._leases[lease][0]
            self._leases[lease] = (ttl_s, arrived + ttl_s)
        elif verb == "kv-lease-end":
            await self._end_lease(lease)
        return Answer.of({})

    def _range(self, query: dict) -> Answer:
        prefix, after = query["pathPrefix"], query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        items = [self._items[k] for k in keys[:PAGE_ITEMS]]
        return Answer.of({"items": items, "more": len(keys) > PAGE_ITEMS, "at": self._revision})

    async def _watch(self, query: dict) -> Answer:
        prefix, after = query["pathPrefix"], int(query["after"])

        def found() -> list[dict]:
            return [
                event for event in self._events
                if event["revision"] > after and event["privateKey"].startswith(prefix)
            ]

        try:
            async with self._changed:
                await asyncio.wait_for(
                    self._changed.wait_for(lambda: bool(found())), int(query["waitMs"]) / 1000
                )
        except TimeoutError:
            pass
        return Answer.of({"events": found(), "at": self._revision})

    async def _txn(self, body: dict) -> Answer:
        expected = body.get("expectedRevision", [])
        for row in expected:
            item = self._items.get(row["privateKey"])
            if (item["revision"] if item else 0) != row["revision"]:
                present = [self._items[r["privateKey"]] for r in expected
                           if r["privateKey"] in self._items]
                return Answer.of({"items": present}, 412)
        if any(put["lease"] and put["lease"] not in self._leases for put in body.get("put", [])):
            return Answer(404)
        for put in body.get("put", []):
            self._put(put["privateKey"], base64.b64decode(put["value"]), put["lease"])
        for key in body.get("remove", []):
            self._remove(key)
        await self._notify()
        return Answer.of({"revision": self._revision})
