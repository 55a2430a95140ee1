"""Steps for how daemons follow the store, in virtual time and with a store that counts calls."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any, cast
from unittest import mock

from behave import given, then, when
from twisted.internet.task import Clock

from pearward_coordination.directory import Directory
from pearward_coordination.messages import AskChanges, ControlMessage, PeerId, TellChanges
from pearward_daemon.mesh import drain_control, member_feed, store_session
from pearward_daemon.mesh.drain_control import DrainControl
from pearward_daemon.mesh.log import DecisionLog
from pearward_daemon.mesh.member_feed import MemberFeed
from pearward_daemon.mesh.settings import MeshSettings
from pearward_daemon.mesh.store_session import SessionListener, StoreSession
from pearward_platform.headers import PlatformDialect
from pearward_protocol.entries import encode_member, member_key
from pearward_protocol.etcd import KeyValue, WatchEvent
from pearward_state.members import Member, TargetState
from pearward_transport.clock import sleep
from pearward_transport.errors import PlatformUnavailable
from pearward_transport.store import Changes, Snapshot

STEP_S = 0.05
CALL_S = 0.004
LINK_S = 0.002
LISTENERS = ("callers", "heartbeats", "readiness", "peers", "metrics")
SETTINGS = {
    "instance": "one",
    "failure_domain": "a",
    "target": {"service": "s", "address": "127.0.0.1:1"},
    "listen": dict.fromkeys(LISTENERS, "127.0.0.1:2"),
    "store": {"address": "127.0.0.1:3"},
}


def _address(number: int) -> str:
    """Return the address of a daemon."""
    return f"10.0.{number // 250}.{number % 250 + 1}:1"


def _entry(number: int, revision: int) -> KeyValue:
    name = f"m{number}"
    address = _address(number)
    member = Member(name, "a", address, "life", "s", f"t-{name}", 12, TargetState.READY)
    return KeyValue(member_key(name), encode_member(member), revision)


class ChangingStore:
    """A store whose member entries change continually; counts the calls for changes."""

    def __init__(self, clock: Clock, members: int, change_interval_s: float) -> None:
        self._clock = clock
        self._members = members
        self.change_interval_s = change_interval_s
        self.change_calls = 0
        self.stalled_before = 0.0
        """Calls that began before this time get no response."""

    @property
    def era(self) -> int:
        """The store is never restored from an older copy."""
        return 0

    @property
    def _revision(self) -> int:
        return 1 + int(self._clock.seconds() / self.change_interval_s)

    async def scan(self, prefix: str) -> Snapshot:
        """Return all members."""
        await sleep(self._clock, CALL_S)
        return Snapshot(tuple(_entry(n, 1) for n in range(self._members)), self._revision)

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes since *after*, once there is one."""
        self.change_calls += 1
        began = self._clock.seconds()
        await sleep(self._clock, CALL_S)
        while self._revision <= after or began < self.stalled_before:
            await sleep(self._clock, STEP_S)
            if self._clock.seconds() - began > wait_s:
                if began < self.stalled_before:
                    raise PlatformUnavailable("no response")
                return Changes((), max(after, self._revision))
        rows = [_entry(r % self._members, r) for r in range(after + 1, self._revision + 1)]
        return Changes(tuple(WatchEvent(r.key, r.value, r.revision) for r in rows), self._revision)

    async def operator_entries(self) -> Snapshot:
        """Return no configuration."""
        return Snapshot((), 0)

    async def operator_changes(self, after: int, wait_s: float) -> Changes:
        """Return no change, after *wait_s*."""
        await sleep(self._clock, wait_s)
        return Changes((), after)

    async def grant_lease(self, ttl_s: float) -> int:
        """Return a lease."""
        return 1

    async def keep_alive(self, lease: int) -> bool:
        """Renew it."""
        return True


class _Follower:
    """One daemon's members, its store session and its messages to the other daemons."""

    def __init__(self, fleet: "_Fleet", number: int) -> None:
        self.peer = PeerId(f"life-{number}", _address(number))
        self.written = 0
        self.reads = 0
        self._clock = fleet.clock
        self._directory = Directory("a", f"m{number}")
        settings = MeshSettings.from_config(SETTINGS | {"instance": f"m{number}"})
        log = DecisionLog(1000, fleet.clock.seconds)

        def send(address: str, message: ControlMessage) -> None:
            fleet.deliver(self.peer, address, message)

        drains = DrainControl(frozenset(), PlatformDialect(), log, lambda since: None)
        self.feed = MemberFeed(
            fleet.clock, settings, fleet.store, self._directory, send, log, drains
        )
        self.session = StoreSession(
            fleet.clock, settings, fleet.store, log, cast("SessionListener", self), self.feed
        )

    def receive(self, sender: PeerId, message: ControlMessage) -> None:
        """Take another daemon's message."""
        if isinstance(message, AskChanges):
            self.feed.query_received(sender, message)
        elif isinstance(message, TellChanges):
            self.feed.reply_received(message)

    def members_read(self, members: list[Member]) -> None:
        """All members were read from the store."""
        self.reads += 1
        self._directory.entries_read(members, self._clock.seconds())

    def member_written(self, member: Member) -> None:
        """A member's entry has changed."""
        self.written += 1
        self._directory.entry_written(member)

    def __getattr__(self, name: str) -> Any:
        return lambda *_: None


class _Fleet:
    """Daemons that follow the members, in one process and in virtual time."""

    def __init__(self, members: int, change_interval_s: float) -> None:
        self.clock = Clock()
        self.store = ChangingStore(self.clock, members, change_interval_s)
        self.followers = [_Follower(self, number) for number in range(members)]
        self._by_address = {each.peer.address: each for each in self.followers}
        self.lost: set[str] = set()

    def deliver(self, sender: PeerId, address: str, message: ControlMessage) -> None:
        """Deliver a message; messages from and to lost daemons are dropped."""
        if address not in self.lost and sender.address not in self.lost:
            receiver = self._by_address[address]
            self.clock.callLater(LINK_S, receiver.receive, sender, message)

    def run(self, seconds: float) -> None:
        """Advance the time and run the daemons' ticks."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for follower in self.followers:
                follower.feed.tick()


@contextmanager
def _virtual_time(fleet: _Fleet) -> Iterator[None]:
    """Make the daemons read the time of the fleet's clock."""
    with ExitStack() as stack:
        for module in (drain_control, member_feed, store_session):
            stack.enter_context(mock.patch.object(module, "boot_time", fleet.clock.seconds))
        yield


@given("{members:d} daemons and a store in which one of them changes every {every:g} s")
def changing_store(context: Any, members: int, every: float) -> None:
    context.fleet = _Fleet(members, every)


@when("they follow the members for {seconds:d} s")
def follow(context: Any, seconds: int) -> None:
    with _virtual_time(context.fleet):
        for follower in context.fleet.followers:
            follower.session.start()
        context.fleet.run(seconds)


@when("the watchers are lost and {seconds:d} s pass")
def watchers_lost(context: Any, seconds: int) -> None:
    fleet = context.fleet
    watchers = [f for f in fleet.followers if f.feed.is_watcher]
    assert len(watchers) == 3, len(watchers)
    fleet.lost = {f.peer.address for f in watchers}
    fleet.followers = [f for f in fleet.followers if f not in watchers]
    context.written_before = [f.written for f in fleet.followers]
    context.lost_at = fleet.clock.seconds()
    with _virtual_time(fleet):
        fleet.run(seconds)


@then("all daemons together have made at most {most:d} calls for changes, and missed none "
      "older than {late:g} s")  # fmt: skip
def few_change_calls(context: Any, most: int, late: float) -> None:
    fleet = context.fleet
    assert 0 < fleet.store.change_calls <= most, fleet.store.change_calls
    changes = int((fleet.clock.seconds() - late) / fleet.store.change_interval_s)
    behind = [f.written for f in fleet.followers if f.written < changes - 1]
    assert not behind, (changes, behind)


@then("each has read all members from the store at most {most:d} times")
def few_reads(context: Any, most: int) -> None:
    assert all(f.reads <= most for f in context.fleet.followers)


@when("all connections to the store stall while new ones work, and {seconds:d} s pass")
def connections_stall(context: Any, seconds: int) -> None:
    fleet = context.fleet
    with _virtual_time(fleet):
        # By then the watchers wait for changes again and are not in the pause that batches them.
        fleet.run(0.4)
        fleet.store.stalled_before = fleet.clock.seconds()
        fleet.run(seconds)


@then("none of them has missed a change older than {late:g} s")
@then("none of the others has missed a change older than {late:g} s")
def none_missed(context: Any, late: float) -> None:
    fleet = context.fleet
    changes = int((fleet.clock.seconds() - late) / fleet.store.change_interval_s)
    behind = [f.written for f in fleet.followers if f.written < changes - 1]
    assert not behind, (changes, behind)
