"""Steps for the retry delay of requests whose owner is absent; MeshIngress in virtual time."""

from __future__ import annotations

import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

from behave import given, then, when
from twisted.internet.defer import fail
from twisted.internet.task import Clock

sys.path.insert(0, str(Path(__file__).parents[2]))

from pearward_coordination.directory import Directory
from pearward_coordination.grants import GrantTiming
from pearward_coordination.overload.owner_return import OwnerReturns
from pearward_coordination.overload.policy import Mechanism, OverloadPolicy
from pearward_daemon.mesh import ingress, routed_request
from pearward_daemon.mesh.dialect import CallerIntent
from pearward_daemon.mesh.ingress import MeshIngress
from pearward_daemon.mesh.key_maps import KeyMaps
from pearward_daemon.mesh.log import DecisionLog
from pearward_daemon.mesh.settings import GrantMode
from pearward_state.keymap import KEY_SPACE, KeyMap, KeyRange
from pearward_state.members import Member, TargetState
from pearward_state.routes import (
    RequestKind,
    Route,
    RoutingTable,
    ServiceRules,
    WeightedService,
)
from pearward_transport.errors import PeerUnreachable
from tests.fuzz import mesh_world
from tests.fuzz.mesh_targets import SERVICE

OWNER = "t0"
KEY = 7
OBJECTIVE_S = 0.5
OWNER_WAIT_S = 0.3
"""Seconds for which a request waits for an owner: 0.6 of its objective."""
ROUTE = Route(
    "lookup", "host", "/", RequestKind.SAFE, 3000, round(OBJECTIVE_S * 1000), 1,
    (WeightedService(SERVICE, 1.0),), 3,
)  # fmt: skip


class _Dialect:
    """Reads every request as one for the key, and writes the retry delay alone."""

    def intent(self, headers: object) -> CallerIntent:
        return CallerIntent(b"r", "host", 3000, KEY)

    def forwarded(self, headers: object, request_id: bytes) -> bytes:
        return b""

    def refusal_headers(self, request_id: bytes, retry_after_s: float) -> bytes:
        return b"%.3f" % retry_after_s


class _Ingress:
    """An ingress daemon without peers."""

    def __init__(self, policy: OverloadPolicy) -> None:
        self.clock = Clock()
        settings = mesh_world._settings(0, GrantTiming(), GrantMode.HEARTBEAT)
        log = DecisionLog(0, self.clock.seconds)
        self.directory = Directory("a", "instance-0")
        self.maps = KeyMaps(log)
        self.pool = mock.Mock()
        self.pool.ready.return_value = None
        self.pool.connect.side_effect = lambda _: fail(PeerUnreachable("refused"))
        self.ingress = MeshIngress(
            self.clock, replace(settings, overload=policy),
            _Dialect(),  # type: ignore[arg-type]
            self.directory, self.maps, mock.Mock(), self.pool, log, mock.Mock(), Random(1), {},  # type: ignore[arg-type]
            mock.Mock(), mock.Mock(),
        )  # fmt: skip
        self.ingress.set_table(
            RoutingTable(1, (ROUTE,), {SERVICE: ServiceRules(SERVICE, True, 100, 2.0)})
        )
        self.version = 0
        self.assign(OWNER)

    def assign(self, owner: str) -> None:
        """Adopt a map with one owner."""
        self.version += 1
        whole = KeyRange(0, KEY_SPACE - 1, owner, self.version)
        self.maps.adopt(KeyMap(SERVICE, self.version, (whole,), self.version))

    def refused_after_s(self) -> tuple[float, float]:
        """Send a request; return its retry delay and the seconds until it was refused."""
        request = mock.MagicMock(method="GET", uri=b"/", caller_closed=False)
        began = self.clock.seconds()
        self.ingress.request_started(request, 0).body_ended()
        while not request.send_response.called:
            self.clock.advance(0.01)
        status, headers, _ = request.send_response.call_args.args
        assert status == 503
        return float(headers), self.clock.seconds() - began


def _start(context: Any, policy: OverloadPolicy) -> None:
    context.ingress = _Ingress(policy)
    for module in (ingress, routed_request):
        patch = mock.patch.object(module, "boot_time", context.ingress.clock.seconds)
        patch.start()
        context.add_cleanup(patch.stop)


@given("an ingress daemon by whose map the owner of a key is gone")
def owner_gone(context: Any) -> None:
    _start(context, OverloadPolicy())


@given('an ingress daemon by whose map the owner of a key is gone, without "{mechanism}"')
def owner_gone_without(context: Any, mechanism: str) -> None:
    _start(context, OverloadPolicy(frozenset({Mechanism(mechanism)})))


@given("the owner's entry is still there, and its daemon refuses connections")
def entry_left(context: Any) -> None:
    context.ingress.directory.entry_written(
        Member("instance-1", "a", "10.0.0.9:1", "d1", SERVICE, OWNER, 3, TargetState.READY)
    )


@given("{count:d} other owners of the map are gone as well")
def others_gone(context: Any, count: int) -> None:
    fleet = context.ingress
    for number in range(count):
        fleet.ingress._returns_of(SERVICE).note_absent(f"other-{number}", fleet.clock.seconds())


@when("all owners are replaced {seconds:g} s after the first request")
def all_replaced(context: Any, seconds: float) -> None:
    fleet = context.ingress
    began = fleet.clock.seconds()
    fleet.refused_after_s()
    fleet.clock.advance(began + seconds - fleet.clock.seconds())
    fleet.assign("t1")


@when("a request for the key arrives {seconds:g} s after the first one")
def request_arrives(context: Any, seconds: float) -> None:
    fleet = context.ingress
    began = fleet.clock.seconds()
    if seconds:
        fleet.refused_after_s()
        fleet.clock.advance(max(0.0, began + seconds - fleet.clock.seconds()))
    context.delay_s, context.took_s = fleet.refused_after_s()


@when("{count:d} owners one after the other are replaced {seconds:g} s after the first request")
def replaced_soon(context: Any, count: int, seconds: float) -> None:
    fleet = context.ingress
    for number in range(count):
        began = fleet.clock.seconds()
        fleet.refused_after_s()
        fleet.clock.advance(began + seconds - fleet.clock.seconds())
        fleet.assign(f"t{number + 1}")


@then("it is refused with a retry delay between {least:g} and {most:g} s")
def has_delay(context: Any, least: float, most: float) -> None:
    assert least - 0.021 <= context.delay_s <= most + 0.021, context.delay_s
    # It waits for an owner first, and no longer than before.
    assert abs(context.took_s - OWNER_WAIT_S) <= 0.06, context.took_s


@given("{count:d} owners that are expected to be absent for {seconds:g} s")
def expected_absent(context: Any, count: int, seconds: float) -> None:
    context.returns = OwnerReturns(Random(1))
    for number in range(count):
        context.returns.note_absent(f"t{number}", 0.0)
    assert context.returns.expected_s == seconds


@when("{count:d} requests are refused each 0.1 s of the absence")
def refused_throughout(context: Any, count: int) -> None:
    times = [at / 10 for at in range(12) for _ in range(count)]
    context.retries = [at + context.returns.retry_delay_s(OWNER, at) for at in times]


@then("no tenth of a second has more than {most:d} retries")
def retries_spread(context: Any, most: int) -> None:
    by_tenth = Counter(int(at * 10) for at in context.retries)
    assert min(by_tenth) >= 11, by_tenth
    assert max(by_tenth.values()) <= most, by_tenth
