"""Stateful fuzzing of table versions: concurrent edits, lost responses, gossip of daemons."""

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
    """A key with compare-and-swap, whose responses may be lost and which others may write."""

    def __init__(self) -> None:
        self.value: bytes | None = None
        self.revision = 0
        self.lose: list[str] = []
        self.between: list[Any] = []

    async def get(self, key: str) -> KeyValue | None:
        """Return the value; another operator may write immediately afterwards."""
        found = KeyValue(key, self.value, self.revision) if self.value is not None else None
        if self.between:
            self.between.pop()()
        return found

    async def swap(self, key: str, expected: int, value: bytes, lease: int = 0) -> None:
        """Write the value, or lose the request or its response."""
        fate = self.lose.pop() if self.lose else ""
        if fate == "request":
            raise PlatformUnavailable("request lost")
        if expected != self.revision:
            raise CasConflict(key)
        self.value, self.revision = value, self.revision + 1
        if fate == "answer":
            raise PlatformUnavailable("response lost")


class TableMachine(RuleBasedStateMachine):
    """Operators edit, daemons spread; the oracle knows each accepted edit."""

    @initialize(seed=st.integers(0, 99))
    def begin(self, seed: int) -> None:
        """Start with one service and daemons that know nothing."""
        self.platform = FakePlatform()
        self.editor = TableEditor(self.platform, "operator", lambda: "t")  # type: ignore[arg-type]
        rows = {"service": {}, "servers": {"a": {}, "b": {}}}
        self._run(self.editor.apply(SERVICE, ServiceTable.from_mapping(SERVICE, rows).to_mapping()))
        self.spreads = [RecordGossip(Random(seed + i)) for i in range(DAEMONS)]
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
        """Another operator's edit, made between a read and a write."""
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
        """Edit a field, with a lost message or a racing operator."""
        self.platform.lose = [fate] if fate else []
        if other is not None:
            self.platform.between = [lambda: self._write_directly(*other)]
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
            self.platform.lose, self.platform.between = [], []
        table = self._table()
        assert table.version >= before
        self.versions.append(table.version)
        assert table.to_mapping()["service"] == self.expected, "an accepted edit was lost"

    @rule(daemon=st.integers(0, DAEMONS - 1))
    def learn(self, daemon: int) -> None:
        """A daemon reads the platform."""
        assert self.platform.value is not None
        self.spreads[daemon].offer(KEY, self._table().version, self.platform.value)

    @rule(start=st.integers(0, DAEMONS - 1), end=st.integers(0, DAEMONS - 1))
    def exchange(self, start: int, end: int) -> None:
        """Two daemons compare digests; afterwards neither is behind the other."""
        if start != end:
            self._talk(start, end, self.spreads[start].short_digest())
            assert self.spreads[start].version(KEY) == self.spreads[end].version(KEY)

    @rule(start=st.integers(0, DAEMONS - 1), end=st.integers(0, DAEMONS - 1))
    def announce(self, start: int, end: int) -> None:
        """A daemon announces what it knows; the other one is not behind it afterwards."""
        if start != end and self.spreads[start].get(KEY) is not None:
            self.now += 1.0
            self._talk(start, end, self.spreads[start].announce(KEY))
            assert self.spreads[end].version(KEY) >= self.spreads[start].version(KEY)

    def _talk(self, start: int, end: int, first: Any) -> None:
        queue = [(end, start, first)]
        while queue:
            to, back, message = queue.pop(0)
            for answer in self._answers(to, message):
                queue.append((back, to, answer))

    def _answers(self, to: int, message: Any) -> list[Any]:
        spread = self.spreads[to]
        if isinstance(message, Push):
            spread.offer(message.key, message.version, message.value)
            return []
        if isinstance(message, Announce):
            return list(spread.on_announce(message, self.now))
        if isinstance(message, Pull):
            return list(spread.on_pull(message))
        assert isinstance(message, Digest)
        return list(spread.on_digest(message))

    @rule(daemon=st.integers(0, DAEMONS - 1), back=st.integers(1, 5))
    def stale_push(self, daemon: int, back: int) -> None:
        """An old version arrives late."""
        version = max(1, self.spreads[daemon].version(KEY) - back)
        self.spreads[daemon].offer(KEY, version, b"stale")

    @invariant()
    def never_back(self) -> None:
        """No daemon's version ever goes back, nor does it hold a stale value."""
        for number, spread in enumerate(getattr(self, "spreads", [])):
            version = spread.version(KEY)
            assert version >= self.seen[number]
            self.seen[number] = version
            stored = spread.get(KEY)
            if stored is not None and stored.value != b"stale":
                assert ServiceTable.from_bytes(SERVICE, stored.value).version == version
