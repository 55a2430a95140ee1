"""Stateful fuzzing of table versions: concurrent edits, lost messages, gossip between daemons."""

from random import Random
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from twisted.internet.defer import ensureDeferred

from pearward_cli.errors import ConflictingEdits, PlatformDown
from pearward_cli.tables import TableEditor
from pearward_coordination.gossip import RecordGossip
from pearward_coordination.messages import Announce, Digest, Pull, Push
from pearward_protocol.etcd import KeyValue
from pearward_state.table import ServiceTable
from pearward_transport.errors import CasConflict, PlatformUnavailable

FIELDS = ["limit", "churn_price", "wait_return_s"]
SERVICE = "paypost"
KEY = f"table/{SERVICE}"
DAEMONS = 4


class FakePlatform:
    """Stand-in for the platform's store: one key with compare-and-swap.

    Requests and responses may be lost, and other operators may write in between.
    """

    def __init__(self) -> None:
        self.value: bytes | None = None
        self.revision = 0
        self.failures: list[str] = []
        self.writes_between: list[Any] = []

    async def get(self, key: str) -> KeyValue | None:
        """Return the value; another operator may write immediately afterwards."""
        found = KeyValue(key, self.value, self.revision) if self.value is not None else None
        if self.writes_between:
            self.writes_between.pop()()
        return found

    async def swap(self, key: str, expected: int, value: bytes, lease: int = 0) -> None:
        """Write the value, or lose the request or its response."""
        failure = self.failures.pop() if self.failures else ""
        if failure == "request":
            raise PlatformUnavailable("request lost")
        if expected != self.revision:
            raise CasConflict(key)
        self.value, self.revision = value, self.revision + 1
        if failure == "answer":
            raise PlatformUnavailable("response lost")


class TableMachine(RuleBasedStateMachine):
    """Operators edit a table, daemons gossip its versions; the oracle records accepted edits."""

    @initialize(seed=st.integers(0, 99))
    def begin(self, seed: int) -> None:
        """Store the table of one service; no daemon has a version of it yet."""
        self.platform = FakePlatform()
        self.editor = TableEditor(self.platform, "operator", lambda: "t")  # type: ignore[arg-type]
        rows = {"service": {}, "servers": {"a": {}, "b": {}}}
        self._run(self.editor.apply(SERVICE, ServiceTable.from_mapping(SERVICE, rows).to_mapping()))
        self.gossips = [RecordGossip(Random(seed + i)) for i in range(DAEMONS)]
        self.seen = [0] * DAEMONS
        self.now = 0.0
        self.expected: dict[str, Any] = dict(self._table().to_mapping()["service"])
        self.versions = [self._table().version]

    def _run(self, coroutine: Any) -> Any:
        results: list[Any] = []
        ensureDeferred(coroutine).addBoth(results.append)
        result = results[0]
        if hasattr(result, "value") and isinstance(result.value, Exception):
            raise result.value
        return result

    def _table(self) -> ServiceTable:
        assert self.platform.value is not None
        return ServiceTable.from_bytes(SERVICE, self.platform.value)

    def _write_directly(self, name: str, value: float) -> None:
        """Write an edit of another operator between a read and a write."""
        table = self._table()
        rows = table.to_mapping()
        rows["service"][name] = value
        from pearward_state.table import Change

        new = table.changed(rows, Change(table.version + 1, "other", "t", name), f"o{value}")
        self.platform.value = new.to_bytes()
        self.platform.revision += 1
        self.expected[name] = value

    @rule(name=st.sampled_from(FIELDS), value=st.integers(0, 50),
          fate=st.sampled_from(["", "", "request", "answer"]),
          other=st.none() | st.tuples(st.sampled_from(FIELDS), st.integers(51, 99)))  # fmt: skip
    def edit(self, name: str, value: int, fate: str, other: tuple[str, int] | None) -> None:
        """Edit a field; a message may be lost, or another operator may edit concurrently."""
        self.platform.failures = [fate] if fate else []
        if other is not None:
            self.platform.writes_between = [lambda: self._write_directly(*other)]
        before = self._table().version
        try:
            applied = self._run(self.editor.edit(SERVICE, "service", {name: value}))
            if applied is not None:
                self.expected[name] = value
        except ConflictingEdits as error:
            assert other is not None and other[0] == name
            assert str(value) in str(error) and str(other[1]) in str(error)
        except PlatformDown:
            assert fate == "request", "a write that took effect was reported as failed"
        finally:
            self.platform.failures, self.platform.writes_between = [], []
        table = self._table()
        assert table.version >= before
        self.versions.append(table.version)
        assert table.to_mapping()["service"] == self.expected, "an accepted edit was lost"

    @rule(daemon=st.integers(0, DAEMONS - 1))
    def learn(self, daemon: int) -> None:
        """A daemon reads the table from the platform's store."""
        assert self.platform.value is not None
        self.gossips[daemon].offer(KEY, self._table().version, self.platform.value)

    @rule(start=st.integers(0, DAEMONS - 1), end=st.integers(0, DAEMONS - 1))
    def exchange(self, start: int, end: int) -> None:
        """Two daemons compare digests; afterwards both have the same version."""
        if start != end:
            self._exchange_messages(start, end, self.gossips[start].short_digest())
            assert self.gossips[start].version(KEY) == self.gossips[end].version(KEY)

    @rule(start=st.integers(0, DAEMONS - 1), end=st.integers(0, DAEMONS - 1))
    def announce(self, start: int, end: int) -> None:
        """A daemon announces its version; afterwards the other one has no older version."""
        if start != end and self.gossips[start].get(KEY) is not None:
            self.now += 1.0
            self._exchange_messages(start, end, self.gossips[start].announce(KEY))
            assert self.gossips[end].version(KEY) >= self.gossips[start].version(KEY)

    def _exchange_messages(self, start: int, end: int, first: Any) -> None:
        queue = [(end, start, first)]
        while queue:
            receiver, sender, message = queue.pop(0)
            for reply in self._replies(receiver, message):
                queue.append((sender, receiver, reply))

    def _replies(self, receiver: int, message: Any) -> list[Any]:
        gossip = self.gossips[receiver]
        if isinstance(message, Push):
            gossip.offer(message.key, message.version, message.value)
            return []
        if isinstance(message, Announce):
            return list(gossip.on_announce(message, self.now))
        if isinstance(message, Pull):
            return list(gossip.on_pull(message))
        assert isinstance(message, Digest)
        return list(gossip.on_digest(message))

    @rule(daemon=st.integers(0, DAEMONS - 1), back=st.integers(1, 5))
    def stale_push(self, daemon: int, back: int) -> None:
        """An old version arrives late."""
        version = max(1, self.gossips[daemon].version(KEY) - back)
        self.gossips[daemon].offer(KEY, version, b"stale")

    @invariant()
    def never_back(self) -> None:
        """A daemon's version never decreases, and a table is stored under its own version."""
        for number, gossip in enumerate(getattr(self, "gossips", [])):
            version = gossip.version(KEY)
            assert version >= self.seen[number]
            self.seen[number] = version
            stored = gossip.get(KEY)
            if stored is not None and stored.value != b"stale":
                assert ServiceTable.from_bytes(SERVICE, stored.value).version == version
