"""An in-memory stand-in for the platform's key-value service, with etcd v3's JSON mapping.

``POST /standin/faults`` sets faults: ``down`` (calls fail with 503), ``delay_s``, ``lose_answers``
(number of writes that are applied without a response) and ``hang`` (no call gets a response).
``GET /standin/counts`` returns the number of calls by path; a pending watch counts as one.
"""

import base64
import json
from collections import Counter
from dataclasses import dataclass
from typing import Any

import click
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

__all__ = ["main"]


@dataclass
class _Entry:
    """The value, revision and lease of one key."""

    value: str
    revision: int
    lease: int


class Store:
    """Keys, leases and watches."""

    def __init__(self) -> None:
        self._entries: dict[bytes, _Entry] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._watches: dict[Any, tuple[bytes, bytes]] = {}
        self._revision = 0
        self._next_lease = 1000

    def range(self, start: bytes, end: bytes) -> list[dict[str, str]]:
        """Return the entries from *start* to *end* (empty: that key alone)."""
        names = [n for n in sorted(self._entries) if _within(n, start, end)]
        return [self._pair(name, self._entries[name]) for name in names]

    def txn(self, body: dict[str, Any]) -> bool:
        """Apply a transaction if its comparisons match; return whether they do."""
        for compare in body["compare"]:
            entry = self._entries.get(base64.b64decode(compare["key"]))
            if (entry.revision if entry else 0) != int(compare["mod_revision"]):
                return False
        for operation in body["success"]:
            if put := operation.get("request_put"):
                self._put(base64.b64decode(put["key"]), put["value"], int(put.get("lease", 0)))
            elif delete := operation.get("request_delete_range"):
                self.delete(base64.b64decode(delete["key"]))
        return True

    def grant(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        self._next_lease += 1
        self._leases[self._next_lease] = (ttl_s, reactor.seconds() + ttl_s)
        return self._next_lease

    def keep_alive(self, lease: int) -> int:
        """Renew a lease; return its time to live in seconds, or 0 if it has expired."""
        if lease not in self._leases:
            return 0
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, reactor.seconds() + ttl_s)
        return int(ttl_s)

    def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self._leases.pop(lease, None)
        for name in [n for n, e in self._entries.items() if e.lease == lease]:
            self.delete(name)

    def expire(self) -> None:
        """Revoke the expired leases."""
        now = reactor.seconds()
        for lease in [i for i, (_, until) in self._leases.items() if until <= now]:
            self.revoke(lease)

    def delete(self, name: bytes) -> None:
        """Delete a key."""
        if self._entries.pop(name, None) is not None:
            self._revision += 1
            key = base64.b64encode(name).decode()
            self._send_event(name, {"type": "DELETE", "kv": {"key": key}})

    def watch(self, request: Any, start: bytes, end: bytes) -> None:
        """Send events to *request* until its connection ends."""
        self._watches[request] = (start, end)
        request.notifyFinish().addBoth(lambda _: self._watches.pop(request, None))
        _send_line(request, {"result": {"created": True, "watch_id": "0"}})

    @property
    def watches(self) -> int:
        """The number of pending watches."""
        return len(self._watches)

    def abort_watches(self) -> None:
        """Abort the connections of all watches."""
        for request in list(self._watches):
            request.transport.abortConnection()

    def _put(self, name: bytes, value: str, lease: int) -> None:
        self._revision += 1
        entry = self._entries[name] = _Entry(value, self._revision, lease)
        self._send_event(name, {"kv": self._pair(name, entry)})

    def _pair(self, name: bytes, entry: _Entry) -> dict[str, str]:
        return {
            "key": base64.b64encode(name).decode(),
            "value": entry.value,
            "mod_revision": str(entry.revision),
            "lease": str(entry.lease),
        }

    def _send_event(self, name: bytes, event: dict[str, Any]) -> None:
        for request, (start, end) in list(self._watches.items()):
            if _within(name, start, end):
                _send_line(request, {"result": {"events": [event]}})


def _within(name: bytes, start: bytes, end: bytes) -> bool:
    return start <= name < end if end else name == start


def _send_line(request: Any, line: dict[str, Any]) -> None:
    request.write(json.dumps(line).encode() + b"\n")


class _Api(Resource):  # type: ignore[misc]
    """Serve the key-value API and the control requests."""

    isLeaf = True

    def __init__(self) -> None:
        super().__init__()
        self._store = Store()
        self._counts: Counter[str] = Counter()
        self._faults: dict[str, Any] = {}

    def expire_periodically(self) -> None:
        """Expire leases periodically."""
        self._store.expire()
        reactor.callLater(0.1, self.expire_periodically)

    def render_GET(self, request: Any) -> bytes:
        counts = dict(self._counts, watches_waiting=self._store.watches)
        return json.dumps(counts).encode()

    def render_POST(self, request: Any) -> Any:
        path = request.path.decode()
        body = json.loads(request.content.read() or b"{}")
        if path == "/standin/faults":
            self._faults = body
            if body.get("down") or body.get("hang"):
                self._store.abort_watches()
            return b"{}"
        self._counts[path] += 1
        if self._faults.get("hang"):
            return NOT_DONE_YET
        if self._faults.get("down"):
            request.setResponseCode(503)
            return b'{"error":"down"}'
        delay_s = float(self._faults.get("delay_s", 0.0))
        if delay_s:
            disconnected: list[bool] = []
            request.notifyFinish().addErrback(lambda _: disconnected.append(True))
            reactor.callLater(delay_s, self._respond_late, request, path, body, disconnected)
            return NOT_DONE_YET
        return self._respond(request, path, body)

    def _respond_late(
        self, request: Any, path: str, body: dict[str, Any], disconnected: list[bool]
    ) -> None:
        response = self._respond(request, path, body)
        if response is not NOT_DONE_YET and not disconnected:
            request.write(response)
            request.finish()

    def _respond(self, request: Any, path: str, body: dict[str, Any]) -> Any:
        store = self._store
        if path == "/v3/kv/range":
            start = base64.b64decode(body["key"])
            end = base64.b64decode(body.get("range_end", ""))
            pairs = store.range(start, end)
            if body.get("keys_only"):
                pairs = [{k: v for k, v in pair.items() if k != "value"} for pair in pairs]
            return json.dumps({"kvs": pairs}).encode()
        if path == "/v3/kv/txn":
            done = store.txn(body)
            if done and self._faults.get("lose_answers", 0) > 0:
                self._faults["lose_answers"] -= 1
                request.transport.abortConnection()
                return NOT_DONE_YET
            return json.dumps({"succeeded": done}).encode()
        if path == "/v3/lease/grant":
            lease = store.grant(float(body["TTL"]))
            return json.dumps({"ID": str(lease), "TTL": body["TTL"]}).encode()
        if path == "/v3/lease/keepalive":
            ttl = store.keep_alive(int(body["ID"]))
            return json.dumps({"result": {"ID": body["ID"], "TTL": str(ttl)}}).encode()
        if path == "/v3/lease/revoke":
            store.revoke(int(body["ID"]))
            return b"{}"
        if path == "/v3/watch":
            create = body["create_request"]
            end = base64.b64decode(create.get("range_end", ""))
            store.watch(request, base64.b64decode(create["key"]), end)
            return NOT_DONE_YET
        request.setResponseCode(404)
        return b"{}"


@click.command()
@click.option("--address", required=True, help="IP:port to listen on.")
def main(address: str) -> None:
    """Run the stand-in."""
    host, _, port = address.rpartition(":")
    api = _Api()
    api.expire_periodically()
    site = Site(api)
    site.noisy = False
    reactor.listenTCP(int(port), site, interface=host, backlog=1024)
    reactor.run()


if __name__ == "__main__":
    main()
