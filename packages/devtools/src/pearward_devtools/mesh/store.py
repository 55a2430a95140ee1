"""A stand-in for the platform's store, with revisions, leases, transactions and watches.

Control requests:

* ``POST /standin/faults`` sets faults: ``mode`` (``busy``, ``many``, ``silent``, ``reset``),
  ``only`` (source IPs to which the mode applies; empty for all), ``delay_s``, ``lose_writes``
  (number of writes that get no response), ``late_s`` (delay after which those are applied) and
  ``lapse`` (whether leases expire while a mode is set).
* ``POST /standin/forget`` drops the history, so that older revisions can't be watched.
* ``POST /standin/revoke`` removes the keys under a prefix.
* ``GET /standin/counts`` returns the number of calls by name.
* ``PUT /standin/configuration`` writes the operator's configuration.
* ``POST /standin/drain`` with ``domain`` and ``entry`` drains a failure domain; a null entry
  cancels the drain.
* ``POST /standin/return`` with ``away_s`` and ``age_s`` makes the store unavailable for ``away_s``,
  then restores it from a copy of that age. Later writes of pearward are lost, revisions and lease
  ids are reused, and ``Store-Era`` in all responses increases by one.
* ``POST /standin/copy`` saves the copy that is restored if ``age_s`` is not given.
"""

import base64
import json
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

import click
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from .snapshots import SnapshotHistory, StoreSnapshot

__all__ = ["main"]

CONFIGURATION_KEY = "op/config"
DRAIN_PREFIX = "op/evacuate/"
OPERATOR_PREFIX = "op/"
ERA_HEADER = b"Store-Era"
BUSY, TOO_MANY_REQUESTS, CONFLICT, GONE, NOT_FOUND = 503, 429, 412, 410, 404
FIRST_LEASE = 100


@dataclass
class Item:
    """One key with its value, revisions and lease."""

    key: str
    value: str
    revision: int
    created_revision: int
    lease: int

    def as_json(self) -> dict[str, Any]:
        """Return the item as a JSON object of the store's API."""
        return {
            "privateKey": self.key,
            "value": self.value,
            "revision": self.revision,
            "made": self.created_revision,
            "lease": self.lease,
        }


@dataclass
class Faults:
    """The active faults, with the fields of ``POST /standin/faults``."""

    mode: str = ""
    only: list[str] = field(default_factory=list)
    delay_s: float = 0.0
    lose_writes: int = 0
    late_s: float = 0.0
    lapse: bool = True

    def applies_to(self, source: str) -> bool:
        """Return whether calls from an IP are rejected."""
        return bool(self.mode) and (not self.only or source in self.only)


@dataclass
class Watch:
    """A pending call that waits for changes."""

    request: Any
    prefix: str
    after: int
    timer: Any


_Copy = StoreSnapshot[Item, tuple[int, dict[str, Any]]]


class Store:
    """Keys, leases and watches."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.compacted_revision = 0
        self.watches: list[Watch] = []
        self.faults = Faults()
        self._next_lease = FIRST_LEASE
        self.era = 0
        """How often the store has been restored from an older copy."""
        self._copy: _Copy | None = None
        self._copies: SnapshotHistory[_Copy] = SnapshotHistory()

    def save_copy(self) -> None:
        """Save the copy that ``restore`` uses if no age is given."""
        self._copy = self._take_copy()

    def _take_copy(self) -> _Copy:
        items = {key: replace(item) for key, item in self.items.items()}
        leases = {lease: ttl_s for lease, (ttl_s, _) in self.leases.items()}
        history = list(self.history)
        return StoreSnapshot(items, leases, self.revision, self._next_lease, history)

    def restore(self, away_s: float, age_s: float | None) -> None:
        """Reset all connections for *away_s* seconds, then restore the store from a copy."""
        copy = self._copy
        if age_s is not None:
            copy = self._copies.newest_by(reactor.seconds() - age_s)
        assert copy is not None, "no age given and no copy saved"
        self.faults = Faults(mode="reset", lapse=False)
        self.abort_watches()
        reactor.callLater(away_s, self._restore, copy)

    def _restore(self, copy: _Copy) -> None:
        now = reactor.seconds()
        operators = [item for key, item in self.items.items() if key.startswith(OPERATOR_PREFIX)]
        self.era += 1
        self.faults = Faults()
        self.items = {
            k: replace(i) for k, i in copy.items.items() if not k.startswith(OPERATOR_PREFIX)
        }
        self.leases = {lease: (ttl_s, now + ttl_s) for lease, ttl_s in copy.leases.items()}
        self.revision = copy.revision
        self._next_lease = copy.next_lease
        self.history = list(copy.history)
        self.compacted_revision = min(self.compacted_revision, copy.revision)
        for item in operators:
            self.revision += 1
            self.put(item.key, item.value, 0)

    def abort_watches(self) -> None:
        """Abort the connections of all pending watches."""
        for watch in list(self.watches):
            self.watches.remove(watch)
            watch.timer.cancel()
            watch.request.transport.abortConnection()

    def put(self, key: str, value: str, lease: int) -> None:
        """Write a key at the current revision."""
        before = self.items.get(key)
        created = before.created_revision if before else self.revision
        item = self.items[key] = Item(key, value, self.revision, created, lease)
        self._record_event(item.as_json())

    def remove(self, key: str) -> None:
        """Remove a key, if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_event({"privateKey": key, "revision": self.revision, "gone": True})

    def _record_event(self, event: dict[str, Any]) -> None:
        self.history.append((self.revision, event))
        reactor.callLater(0, self.complete_watches)

    def complete_watches(self) -> None:
        """Complete the watches that have events."""
        for watch in list(self.watches):
            events = self.events(watch.prefix, watch.after)
            if events:
                self.complete_watch(watch, events)

    def events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        """Return the events under a prefix after a revision."""
        return [e for r, e in self.history if r > after and e["privateKey"].startswith(prefix)]

    def complete_watch(self, watch: Watch, events: list[dict[str, Any]]) -> None:
        """Respond to a watch and remove it."""
        self.watches.remove(watch)
        if watch.timer.active():
            watch.timer.cancel()
        _respond(watch.request, 200, {"events": events, "at": self.revision})

    def grant(self, ttl_ms: int) -> int:
        """Create a lease and return its id."""
        self._next_lease += 1
        ttl_s = ttl_ms / 1000
        self.leases[self._next_lease] = (ttl_s, reactor.seconds() + ttl_s)
        return self._next_lease

    def renew(self, lease: int) -> bool:
        """Renew a lease; return whether it exists."""
        if lease not in self.leases:
            return False
        ttl_s, _ = self.leases[lease]
        self.leases[lease] = (ttl_s, reactor.seconds() + ttl_s)
        return True

    def end_lease(self, lease: int) -> bool:
        """End a lease and remove its keys; return whether it existed."""
        there = self.leases.pop(lease, None) is not None
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)
        return there

    def expire(self) -> None:
        """End expired leases, and schedule the next check."""
        reactor.callLater(0.05, self.expire)
        if self.faults.mode and not self.faults.lapse:
            return
        now = reactor.seconds()
        self._copies.take_if_due(now, self._take_copy)
        for lease, (_, until) in list(self.leases.items()):
            if until <= now:
                self.end_lease(lease)

    def commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply a transaction atomically; return the HTTP status and the response body."""
        rows = body["expectedRevision"]
        present = {row["privateKey"]: self.items.get(row["privateKey"]) for row in rows}
        for row in rows:
            item = present[row["privateKey"]]
            if (item.revision if item else 0) != row["revision"]:
                found = [item.as_json() for item in present.values() if item]
                return CONFLICT, {"items": found}
        if any(put.get("lease") and put["lease"] not in self.leases for put in body["put"]):
            return NOT_FOUND, {}
        self.revision += 1
        for put in body["put"]:
            self.put(put["privateKey"], put["value"], put.get("lease", 0))
        for key in body.get("remove", ()):
            self.remove(key)
        return 200, {"revision": self.revision}


def _respond(request: Any, status: int, body: object) -> None:
    if request.finished or request._disconnected:
        return
    request.setResponseCode(status)
    request.setHeader(ERA_HEADER, str(request.site.resource.store.era).encode())
    request.setHeader(b"Content-Type", b"application/json")
    request.write(json.dumps(body).encode())
    request.finish()


class _StoreResource(Resource):
    """Serve the store's API and the control requests."""

    isLeaf = True

    def __init__(self, store: Store) -> None:
        super().__init__()
        self._store = store
        self._counts: Counter[str] = Counter()

    @property
    def store(self) -> Store:
        """The store that serves the calls."""
        return self._store

    def render(self, request: Any) -> Any:
        name = request.path.decode().removeprefix("/pearward/").split("/")[0]
        if request.path.startswith(b"/standin/"):
            return self._control(request)
        self._counts[name] += 1
        faults = self._store.faults
        if faults.applies_to(request.getClientAddress().host):
            return self._reject(request, faults.mode)
        if faults.delay_s:
            reactor.callLater(faults.delay_s, self._serve, request)
        else:
            self._serve(request)
        return NOT_DONE_YET

    def _reject(self, request: Any, mode: str) -> Any:
        if mode == "silent":
            return NOT_DONE_YET
        if mode == "reset":
            request.transport.abortConnection()
            return NOT_DONE_YET
        _respond(request, BUSY if mode == "busy" else TOO_MANY_REQUESTS, {})
        return NOT_DONE_YET

    def _serve(self, request: Any) -> None:
        store = self._store
        argument = {k.decode(): v[0].decode() for k, v in request.args.items()}
        path = request.path.decode().removeprefix("/pearward/")
        name, _, rest = path.partition("/")
        body = json.loads(request.content.read() or b"{}")
        match name:
            case "kv-key":
                item = store.items.get(argument["privateKey"])
                if item is None:
                    _respond(request, NOT_FOUND, {})
                else:
                    _respond(request, 200, {**item.as_json(), "at": store.revision})
            case "kv-range":
                self._range(request, argument)
            case "kv-watch":
                self._watch(request, argument)
            case "kv-txn":
                self._commit(request, body)
            case "kv-lease":
                lease = store.grant(body["ttl_ms"])
                _respond(request, 200, {"lease": lease, "ttl_ms": body["ttl_ms"]})
            case "kv-keep":
                _respond(request, 200 if store.renew(int(rest)) else NOT_FOUND, {"ttl_ms": 0})
            case "kv-lease-end":
                _respond(request, 200 if store.end_lease(int(rest)) else NOT_FOUND, {})
            case _:
                _respond(request, NOT_FOUND, {})

    def _range(self, request: Any, argument: dict[str, str]) -> None:
        store = self._store
        after = argument.get("after", "")
        found = [
            item.as_json()
            for key, item in sorted(store.items.items())
            if key.startswith(argument["pathPrefix"]) and key > after
        ]
        page = found[:500]
        _respond(request, 200, {"items": page, "more": len(found) > 500, "at": store.revision})

    def _watch(self, request: Any, argument: dict[str, str]) -> None:
        store = self._store
        after = int(argument["after"])
        if after < store.compacted_revision or after > store.revision:
            _respond(request, GONE, {})
            return
        prefix = argument["pathPrefix"]
        events = store.events(prefix, after)
        if events:
            _respond(request, 200, {"events": events, "at": store.revision})
            return
        wait_s = int(argument["waitMs"]) / 1000
        watch = Watch(request, prefix, after, None)
        watch.timer = reactor.callLater(wait_s, lambda: store.complete_watch(watch, []))
        store.watches.append(watch)

    def _commit(self, request: Any, body: dict[str, Any]) -> None:
        store = self._store
        if store.faults.lose_writes > 0:
            store.faults.lose_writes -= 1
            reactor.callLater(store.faults.late_s, store.commit, body)
            return
        _respond(request, *store.commit(body))

    def _control(self, request: Any) -> bytes:
        store = self._store
        body = request.content.read()
        match request.path:
            case b"/standin/counts":
                return json.dumps(self._counts).encode()
            case b"/standin/items":
                values = {k: base64.b64decode(i.value).decode() for k, i in store.items.items()}
                return json.dumps(values).encode()
            case b"/standin/configuration":
                store.revision += 1
                store.put(CONFIGURATION_KEY, base64.b64encode(body).decode(), 0)
            case b"/standin/drain":
                self._drain(json.loads(body))
            case b"/standin/faults":
                store.faults = Faults(**json.loads(body or b"{}"))
            case b"/standin/forget":
                store.compacted_revision = store.revision
                store.history.clear()
                store.abort_watches()
            case b"/standin/copy":
                store.save_copy()
            case b"/standin/return":
                outage = json.loads(body)
                store.restore(outage["away_s"], outage.get("age_s"))
            case b"/standin/revoke":
                prefix = json.loads(body)["prefix"]
                for key in [k for k in store.items if k.startswith(prefix)]:
                    store.remove(key)
        return b"{}"

    def _drain(self, drain: dict[str, Any]) -> None:
        """Write the operator's drain entry of a failure domain, or remove it."""
        store, key = self._store, DRAIN_PREFIX + drain["domain"]
        if drain["entry"] is None:
            store.remove(key)
            return
        store.revision += 1
        store.put(key, base64.b64encode(drain["entry"].encode()).decode(), 0)


@click.command()
@click.option("--ip", required=True)
@click.option("--port", required=True, type=int)
def main(ip: str, port: int) -> None:
    """Serve an in-memory store."""
    store = Store()
    store.expire()
    site = Site(_StoreResource(store))
    site.noisy = False
    reactor.listenTCP(port, site, interface=ip, backlog=512)
    reactor.run()


if __name__ == "__main__":
    main()
