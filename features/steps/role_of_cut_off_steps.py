"""Steps for the coordinator's role with cut links: control planes in virtual time, no sockets."""

import copy
import json
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from random import Random
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from settings_steps import VALID
from twisted.internet.task import Clock

from pearward_coordination.messages import ControlMessage, PeerId
from pearward_coordination.routing import Router
from pearward_daemon.control import ControlPlane
from pearward_daemon.settings import Settings
from pearward_devtools.memory_store import MemoryStore
from pearward_state.records import CellRecord, Member, MemberState
from pearward_state.shards import ShardMap
from pearward_state.table import Kind, ServerRow, ServiceRow, ServiceTable

SERVICE = "premview"
ROLE_KEY = f"coordinator/{SERVICE}"
TICK_S = 0.05
START_S = 1000.0
CLOCK_USERS = ("control", "cell_coordinator", "coordinator_election", "store_fallback")
"""Modules of the daemon that read the time."""
STATES = {"active": MemberState.ACTIVE, "alone": MemberState.ACTIVE}


class _Network:
    """Delivers control messages between control planes at the next step, unless a link is cut."""

    def __init__(self) -> None:
        self.now = START_S
        self.reactor = Clock()
        self.planes: dict[str, ControlPlane] = {}
        self.order: list[PeerId] = []
        self.cut_from: set[str] = set()
        self.cut_to: set[str] = set()
        self.cut_between: list[set[str]] = []
        self._queue: list[tuple[PeerId, str, ControlMessage]] = []

    def send(self, sender: PeerId, address: str, message: ControlMessage) -> None:
        self._queue.append((sender, address, message))

    def step(self) -> None:
        """Advance the time by one tick of the daemons."""
        self.now += TICK_S
        self.reactor.advance(TICK_S)
        for plane in self.planes.values():
            plane._tick()
        queue, self._queue = self._queue, []
        for sender, address, message in queue:
            if not self._is_cut(sender.address, address):
                self.planes[address].control_received(sender, message)

    def _is_cut(self, sender: str, receiver: str) -> bool:
        one_way = sender in self.cut_from or receiver in self.cut_to
        return one_way or {sender, receiver} in self.cut_between

    @contextmanager
    def clocks(self) -> Any:
        """Make the daemons read this network's time."""
        with ExitStack() as stack:
            for name in CLOCK_USERS:
                target = f"pearward_daemon.{name}.boot_time"
                stack.enter_context(patch(target, side_effect=lambda: self.now))
            yield


class _Pool:
    """Stand-in for a daemon's connections."""

    def __init__(self, network: _Network, me: PeerId) -> None:
        self._network = network
        self._me = me

    def send_control(self, address: str, message: ControlMessage) -> None:
        self._network.send(self._me, address, message)

    def probe(self, address: str) -> None:
        """Ignore the request, as no daemon of these scenarios is restarted."""


async def _accept(grant: Any) -> bool:
    return True


def _address(number: int) -> str:
    return f"127.9.0.{number + 1}:7401"


def _member(number: int, kind: str, kinds: list[str]) -> Member:
    """Return a member; without other active ones, or if it is named alone, it is its own witness.

    A retired member keeps the witnesses that it had, among them the active ones.
    """
    others = [f"i{n}" for n, k in enumerate(kinds) if n != number and k != "retired"]
    lone = kinds.count("active") == 1 and kind != "retired"
    witnesses = (f"i{number}",) if lone or not others else tuple(others[:3])
    return Member(
        f"i{number}", f"at-{number}", f"s-{number}", f"d{number}", _address(number), "",
        state=STATES.get(kind) or MemberState(kind), witnesses=witnesses,
    )  # fmt: skip


def _record(kinds: list[str]) -> CellRecord:
    owners = [number for number, kind in enumerate(kinds) if kind in STATES]
    shards = ShardMap.even(len(owners))
    for index, owner in enumerate(owners):
        shards.owners[index] = owner
        shards.epochs[index] = 1
    members = tuple(_member(number, kind, kinds) for number, kind in enumerate(kinds))
    return CellRecord(SERVICE, SERVICE, 1, "w1", members, shards)


def _settings(number: int) -> Settings:
    raw = copy.deepcopy(VALID)
    raw["instance"]["name"] = f"at-{number}"
    raw["listen"]["ip"] = f"127.9.0.{number + 1}"
    raw["server"] |= {"service": SERVICE, "name": f"s-{number}"}
    return Settings.from_mapping(raw)


def _plane(network: _Network, number: int, store: MemoryStore) -> ControlPlane:
    me = PeerId(f"i{number}", _address(number))
    rng = Random(number)
    plane = ControlPlane(
        network.reactor, _settings(number), me, store, Router(rng), None, rng,  # type: ignore[arg-type]
    )  # fmt: skip
    plane._pool = _Pool(network, me)  # type: ignore[assignment]
    plane._server.grant = _accept  # type: ignore[method-assign]
    network.planes[me.address] = plane
    network.order.append(me)
    return plane


@given("a cell whose record names {members}, and beside it {joining:d} {kind} daemons")
def cell(context: Any, members: str, joining: int, kind: str) -> None:
    """Start the daemons; former ones were retired members in an earlier record."""
    kinds = members.split(", ")
    count = len(kinds) + joining
    former = _record([*kinds, *["retired"] * joining])
    record = _record(kinds)
    if kind == "former":
        record = replace(record, version=former.version + 1)
    servers = {f"s-{number}": ServerRow(f"s-{number}") for number in range(count)}
    table = ServiceTable(ServiceRow(SERVICE, Kind.KEYED), servers, version=1)
    context.store = MemoryStore()
    context.store.put(f"cell/{SERVICE}", record.to_bytes())
    context.store.put(f"table/{SERVICE}", table.to_bytes())
    context.network = network = _Network()
    with network.clocks():
        for number in range(count):
            plane = _plane(network, number, context.store)
            plane.table_read(SERVICE, table.to_bytes())
            if kind == "former":
                plane.record_written(former, former.to_bytes())
            plane.record_written(record, record.to_bytes())


@given("only the second daemon requests replies")
def only_second_requests(context: Any) -> None:
    network = context.network
    for me in network.order:
        if me != network.order[1]:
            network.planes[me.address]._request_contact = lambda now: None


@given("the first daemon has the coordinator's role, and all have been silent for {seconds:g} s")
def has_role(context: Any, seconds: float) -> None:
    network = context.network
    first = network.order[0]
    role = {"incarnation": first.incarnation, "address": first.address}
    context.store.put(ROLE_KEY, json.dumps(role).encode())
    network.now += seconds
    with network.clocks():
        network.planes[first.address]._role_taken(1)


@when("these links fail: {links}")
def links_fail(context: Any, links: str) -> None:
    network = context.network
    for link in links.split(", "):
        way, *numbers = link.split()
        addresses = {_address(int(number)) for number in numbers}
        match way:
            case "from":
                network.cut_from |= addresses
            case "to":
                network.cut_to |= addresses
            case "between":
                network.cut_between.append(addresses)


def _holder(context: Any) -> str:
    return str(json.loads(context.store.value(ROLE_KEY))["incarnation"])


def _holders(context: Any, seconds: float) -> list[tuple[float, str]]:
    """Run for some time; return each holder of the role with the time at which it had it first."""
    network = context.network
    changes = [(0.0, _holder(context))]
    began = network.now
    with network.clocks():
        while network.now - began < seconds:
            network.step()
            if _holder(context) != changes[-1][1]:
                changes.append((round(network.now - began, 2), _holder(context)))
    return changes


@then("within {seconds:g} s another daemon has the role")
def replaced(context: Any, seconds: float) -> None:
    changes = _holders(context, seconds)
    assert changes[-1][1] != "i0", changes


@then("for {seconds:g} s the first daemon does not take it")
def not_taken_back(context: Any, seconds: float) -> None:
    changes = _holders(context, seconds)
    assert "i0" not in [holder for _, holder in changes], changes


@then("for {seconds:g} s the first daemon has the role")
def keeps_role(context: Any, seconds: float) -> None:
    changes = _holders(context, seconds)
    assert changes == [(0.0, "i0")], changes


@given("the daemons have run for {seconds:g} s")
def have_run(context: Any, seconds: float) -> None:
    changes = _holders(context, seconds)
    assert changes == [(0.0, "i0")], changes
