"""A stand-in for the users' platform's store: revisions, leases, transactions, watches.

Faults are set over ``POST /standin/faults``: ``mode`` (``busy``, ``many``, ``silent``,
``reset``), ``only`` (source IPs that it applies to; empty is all), ``delay_s``,
``lose_writes`` (how many writes are done and not answered), ``late_s`` (done so much later),
``lapse`` (whether leases run out in a fault). ``POST /standin/forget`` drops the history,
``POST /standin/revoke`` takes keys under a prefix away, ``GET /standin/counts`` tells how
often each call was made, ``PUT /standin/configuration`` is the operator's write, and
``POST /standin/drain`` with ``domain`` and ``entry`` (null takes it back) another one.
``POST /standin/return`` with ``away_s`` and ``age_s`` lets the store go away and come back from a
copy of that age; ``POST /standin/copy`` keeps the one that it comes back from where no age is
given. What pearward wrote since is gone, numbers are given out again, and ``Store-Era`` in all
answers is one higher.
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

from .kept_copies import KeptCopies, StoreCopy

__all__ = ["main"]

CONFIGURATION = "op/config"
DRAINS = "op/evacuate/"
OPERATORS = "op/"
ERA_HEADER = b"Store-Era"
BUSY, MANY, CONFLICT, GONE, NOT_FOUND = 503, 429, 412, 410, 404
FIRST_LEASE = 100


@dataclass
class Item:
    """One key."""

    key: str
    value: str
    revision: int
    made: int
    lease: int

    def as_json(self) -> dict[str, Any]:
        """Return the item as it is sent."""
        return {
            "privateKey": self.key,
            "value": self.value,
            "revision": self.revision,
            "made": self.made,
            "lease": self.lease,
        }


@dataclass
class Faults:
    """What goes wrong now."""

    mode: str = ""
    only: list[str] = field(default_factory=list)
    delay_s: float = 0.0
    lose_writes: int = 0
    late_s: float = 0.0
    lapse: bool = True

    def strikes(self, source: str) -> bool:
        """Return whether calls from an IP are turned away."""
        return bool(self.mode) and (not self.only or source in self.only)


@dataclass
class Watch:
    """A call that waits for changes."""

    request: Any
    prefix: str
    after: int
    timer: Any


_Copy = StoreCopy[Item, tuple[int, dict[str, Any]]]


class Store:
    """Keys, leases and watches."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.forgotten = 0
        self.watches: list[Watch] = []
        self.faults = Faults()
        self._next_lease = FIRST_LEASE
        self.era = 0
        """How often the store has come back from an older copy."""
        self._copy: _Copy | None = None
        self._copies: KeptCopies[_Copy] = KeptCopies()

    def keep_copy(self) -> None:
        """Keep a copy of everything, to come back from where no age is asked for."""
        self._copy = self._copied()

    def _copied(self) -> _Copy:
        items = {key: replace(item) for key, item in self.items.items()}
        leases = {lease: ttl_s for lease, (ttl_s, _) in self.leases.items()}
        history = list(self.history)
        return StoreCopy(items, leases, self.revision, self._next_lease, history)

    def go_back(self, away_s: float, age_s: float | None) -> None:
        """Turn everybody away for a while, then answer from a copy."""
        copy = self._copy
        if age_s is not None:
            copy = self._copies.of(reactor.seconds() - age_s)
        assert copy is not None, "neither an age nor a copy"
        self.faults = Faults(mode="reset", lapse=False)
        self.cut_watches()
        reactor.callLater(away_s, self._return, copy)

    def _return(self, copy: _Copy) -> None:
        now = reactor.seconds()
        operators = [item for key, item in self.items.items() if key.startswith(OPERATORS)]
        self.era += 1
        self.faults = Faults()
        self.items = {k: replace(i) for k, i in copy.items.items() if not k.startswith(OPERATORS)}
        self.leases = {lease: (ttl_s, now + ttl_s) for lease, ttl_s in copy.leases.items()}
        self.revision = copy.revision
        self._next_lease = copy.next_lease
        self.history = list(copy.history)
        self.forgotten = min(self.forgotten, copy.revision)
        for item in operators:
            self.revision += 1
            self.put(item.key, item.value, 0)

    def cut_watches(self) -> None:
        """Break the calls off that wait for changes."""
        for watch in list(self.watches):
            self.watches.remove(watch)
            watch.timer.cancel()
            watch.request.transport.abortConnection()

    def put(self, key: str, value: str, lease: int) -> None:
        """Write a key at the present revision."""
        before = self.items.get(key)
        made = before.made if before else self.revision
        item = self.items[key] = Item(key, value, self.revision, made, lease)
        self._changed(item.as_json())

    def remove(self, key: str) -> None:
        """Take a key away."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._changed({"privateKey": key, "revision": self.revision, "gone": True})

    def _changed(self, event: dict[str, Any]) -> None:
        self.history.append((self.revision, event))
        reactor.callLater(0, self.wake)

    def wake(self) -> None:
        """Answer the watches that something has come for."""
        for watch in list(self.watches):
            events = self.events(watch.prefix, watch.after)
            if events:
                self.end_watch(watch, events)

    def events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        """Return what has changed under a prefix since a revision."""
        return [e for r, e in self.history if r > after and e["privateKey"].startswith(prefix)]

    def end_watch(self, watch: Watch, events: list[dict[str, Any]]) -> None:
        """Answer a watch."""
        self.watches.remove(watch)
        if watch.timer.active():
            watch.timer.cancel()
        _answer(watch.request, 200, {"events": events, "at": self.revision})

    def grant(self, ttl_ms: int) -> int:
        """Return a new lease."""
        self._next_lease += 1
        ttl_s = ttl_ms / 1000
        self.leases[self._next_lease] = (ttl_s, reactor.seconds() + ttl_s)
        return self._next_lease

    def keep(self, lease: int) -> bool:
        """Renew a lease; return whether it was there."""
        if lease not in self.leases:
            return False
        ttl_s, _ = self.leases[lease]
        self.leases[lease] = (ttl_s, reactor.seconds() + ttl_s)
        return True

    def end(self, lease: int) -> bool:
        """End a lease, and its keys; return whether it was there."""
        there = self.leases.pop(lease, None) is not None
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)
        return there

    def expire(self) -> None:
        """End the leases that have run out."""
        reactor.callLater(0.05, self.expire)
        if self.faults.mode and not self.faults.lapse:
            return
        now = reactor.seconds()
        self._copies.keep(now, self._copied)
        for lease, (_, until) in list(self.leases.items()):
            if until <= now:
                self.end(lease)

    def commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Do a transaction, wholly or not at all; return status and answer."""
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


def _answer(request: Any, status: int, body: object) -> None:
    if request.finished or request._disconnected:
        return
    request.setResponseCode(status)
    request.setHeader(ERA_HEADER, str(request.site.resource.store.era).encode())
    request.setHeader(b"Content-Type", b"application/json")
    request.write(json.dumps(body).encode())
    request.finish()


class _Calls(Resource):
    """All calls."""

    isLeaf = True

    def __init__(self, store: Store) -> None:
        super().__init__()
        self._store = store
        self._counts: Counter[str] = Counter()

    @property
    def store(self) -> Store:
        """What the calls are made to."""
        return self._store

    def render(self, request: Any) -> Any:
        name = request.path.decode().removeprefix("/pearward/").split("/")[0]
        if request.path.startswith(b"/standin/"):
            return self._control(request)
        self._counts[name] += 1
        faults = self._store.faults
        if faults.strikes(request.getClientAddress().host):
            return self._turned_away(request, faults.mode)
        if faults.delay_s:
            reactor.callLater(faults.delay_s, self._serve, request)
        else:
            self._serve(request)
        return NOT_DONE_YET

    def _turned_away(self, request: Any, mode: str) -> Any:
        if mode == "silent":
            return NOT_DONE_YET
        if mode == "reset":
            request.transport.abortConnection()
            return NOT_DONE_YET
        _answer(request, BUSY if mode == "busy" else MANY, {})
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
                    _answer(request, NOT_FOUND, {})
                else:
                    _answer(request, 200, {**item.as_json(), "at": store.revision})
            case "kv-range":
                self._range(request, argument)
            case "kv-watch":
                self._watch(request, argument)
            case "kv-txn":
                self._commit(request, body)
            case "kv-lease":
                lease = store.grant(body["ttl_ms"])
                _answer(request, 200, {"lease": lease, "ttl_ms": body["ttl_ms"]})
            case "kv-keep":
                _answer(request, 200 if store.keep(int(rest)) else NOT_FOUND, {"ttl_ms": 0})
            case "kv-lease-end":
                _answer(request, 200 if store.end(int(rest)) else NOT_FOUND, {})
            case _:
                _answer(request, NOT_FOUND, {})

    def _range(self, request: Any, argument: dict[str, str]) -> None:
        store = self._store
        after = argument.get("after", "")
        found = [
            item.as_json()
            for key, item in sorted(store.items.items())
            if key.startswith(argument["pathPrefix"]) and key > after
        ]
        page = found[:500]
        _answer(request, 200, {"items": page, "more": len(found) > 500, "at": store.revision})

    def _watch(self, request: Any, argument: dict[str, str]) -> None:
        store = self._store
        after = int(argument["after"])
        if after < store.forgotten or after > store.revision:
            _answer(request, GONE, {})
            return
        prefix = argument["pathPrefix"]
        events = store.events(prefix, after)
        if events:
            _answer(request, 200, {"events": events, "at": store.revision})
            return
        wait_s = int(argument["waitMs"]) / 1000
        watch = Watch(request, prefix, after, None)
        watch.timer = reactor.callLater(wait_s, lambda: store.end_watch(watch, []))
        store.watches.append(watch)

    def _commit(self, request: Any, body: dict[str, Any]) -> None:
        store = self._store
        if store.faults.lose_writes > 0:
            store.faults.lose_writes -= 1
            reactor.callLater(store.faults.late_s, store.commit, body)
            return
        _answer(request, *store.commit(body))

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
                store.put(CONFIGURATION, base64.b64encode(body).decode(), 0)
            case b"/standin/drain":
                self._drain(json.loads(body))
            case b"/standin/faults":
                store.faults = Faults(**json.loads(body or b"{}"))
            case b"/standin/forget":
                store.forgotten = store.revision
                store.history.clear()
                store.cut_watches()
            case b"/standin/copy":
                store.keep_copy()
            case b"/standin/return":
                asked = json.loads(body)
                store.go_back(asked["away_s"], asked.get("age_s"))
            case b"/standin/revoke":
                prefix = json.loads(body)["prefix"]
                for key in [k for k in store.items if k.startswith(prefix)]:
                    store.remove(key)
        return b"{}"

    def _drain(self, asked: dict[str, Any]) -> None:
        """Write the operator's entry of a failure domain, or take it back."""
        store, key = self._store, DRAINS + asked["domain"]
        if asked["entry"] is None:
            store.remove(key)
            return
        store.revision += 1
        store.put(key, base64.b64encode(asked["entry"].encode()).decode(), 0)


@click.command()
@click.option("--ip", required=True)
@click.option("--port", required=True, type=int)
def main(ip: str, port: int) -> None:
    """Serve a store in memory."""
    store = Store()
    store.expire()
    site = Site(_Calls(store))
    site.noisy = False
    reactor.listenTCP(port, site, interface=ip, backlog=512)
    reactor.run()


if __name__ == "__main__":
    main()
