"""Steps of a daemon's dealings with the store, in virtual time and against a counted store."""

from typing import Any

from behave import given, then, when
from twisted.internet.task import Clock

from pearward_daemon.mesh.log import DecisionLog
from pearward_daemon.mesh.settings import MeshSettings
from pearward_daemon.mesh.store_session import StoreSession
from pearward_protocol.entries import encode_member, member_key
from pearward_protocol.etcd import KeyValue, WatchEvent
from pearward_state.members import Member, TargetState
from pearward_transport.clock import sleep
from pearward_transport.store import Changes, Snapshot

STEP_S = 0.05
CALL_S = 0.004
LISTENERS = ("callers", "heartbeats", "readiness", "peers", "metrics")
SETTINGS = {
    "instance": "one",
    "failure_domain": "a",
    "target": {"service": "s", "address": "127.0.0.1:1"},
    "listen": dict.fromkeys(LISTENERS, "127.0.0.1:2"),
    "store": {"address": "127.0.0.1:3"},
}


def _entry(number: int, revision: int) -> KeyValue:
    name = f"m{number}"
    member = Member(name, "a", f"{name}:1", "life", "s", f"t-{name}", 12, TargetState.READY)
    return KeyValue(member_key(name), encode_member(member), revision)


class ChangingStore:
    """A store whose members' entries change all the time; it counts the calls for changes."""

    def __init__(self, clock: Clock, members: int, every_s: float) -> None:
        self._clock = clock
        self._members = members
        self._every_s = every_s
        self.waits = 0

    @property
    def _revision(self) -> int:
        return 1 + int(self._clock.seconds() / self._every_s)

    async def scan(self, prefix: str) -> Snapshot:
        """Return all members."""
        await sleep(self._clock, CALL_S)
        return Snapshot(tuple(_entry(n, 1) for n in range(self._members)), self._revision)

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes since *after*, once there is one."""
        self.waits += 1
        await sleep(self._clock, CALL_S)
        while self._revision <= after:
            await sleep(self._clock, STEP_S)
        rows = [_entry(r % self._members, r) for r in range(after + 1, self._revision + 1)]
        return Changes(tuple(WatchEvent(r.key, r.value, r.revision) for r in rows), self._revision)

    async def configuration(self) -> Snapshot:
        """Return no configuration."""
        return Snapshot((), 0)

    async def configuration_changes(self, after: int, wait_s: float) -> Changes:
        """Return no change, after a while."""
        await sleep(self._clock, wait_s)
        return Changes((), after)

    async def grant_lease(self, ttl_s: float) -> int:
        """Return a lease."""
        return 1

    async def keep_alive(self, lease: int) -> bool:
        """Renew it."""
        return True


class _Listener:
    """Takes what a session reads and counts the members' changes."""

    def __init__(self) -> None:
        self.written = 0

    def member_written(self, member: Member) -> None:
        self.written += 1

    def __getattr__(self, name: str) -> Any:
        return lambda *_: None


@given("a store in which one of {members:d} members changes every {every:g} s")
def changing_store(context: Any, members: int, every: float) -> None:
    context.clock = Clock()
    context.store = ChangingStore(context.clock, members, every)
    context.listener = _Listener()
    settings = MeshSettings.from_config(SETTINGS)
    log = DecisionLog(1000, context.clock.seconds)
    context.session = StoreSession(context.clock, settings, context.store, log, context.listener)


@when("a daemon follows the members for {seconds:d} s")
def follow(context: Any, seconds: int) -> None:
    context.session.start()
    for _ in range(int(seconds / STEP_S)):
        context.clock.advance(STEP_S)


@then("it has made at most {most:d} calls for changes, and missed none older than {late:g} s")
def few_calls(context: Any, most: int, late: float) -> None:
    assert 0 < context.store.waits <= most, context.store.waits
    changed = context.clock.seconds() - late
    assert context.listener.written >= int(changed / context.store._every_s) - 1
