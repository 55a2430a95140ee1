"""Steps for messages and entries of other writers, made by mutating valid ones."""

import base64
import random
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parents[2]))

from pearward_coordination.messages import Renew
from pearward_daemon.mesh.dialect import TargetHeartbeat
from pearward_platform.document import check_drain, read_document
from pearward_platform.headers import PlatformDialect
from pearward_platform.heartbeats import parse_heartbeat
from pearward_platform.store import _item
from pearward_protocol.control import decode_control, encode_control
from pearward_protocol.entries import (
    decode_crash,
    decode_holder,
    decode_key_map,
    decode_key_map_change,
    decode_member,
    encode_crash,
    encode_holder,
    encode_key_map,
    encode_key_map_change,
    encode_member,
    key_map_key,
    member_key,
)
from pearward_protocol.errors import FrameError
from pearward_protocol.heads import (
    Hello,
    RequestHead,
    ResponseHead,
    decode_hello,
    decode_request,
    decode_response,
    encode_hello,
    encode_request,
    encode_response,
)
from pearward_state.crashes import CrashRecord
from pearward_state.errors import InvalidRecord
from pearward_state.keymap import KeyMap, KeyRange, Predecessor, TargetWitnesses, diff_key_maps
from pearward_state.members import Holder, Member, TargetState
from pearward_state.outcome import Outcome, RequestClass
from pearward_transport.store import Put
from tests.fuzz.mesh_targets import SERVICE
from tests.fuzz.mesh_world import KEYS

HEARTBEAT = {
    "address": "10.128.0.9:8080",
    "born": 1_764_700_000_000,
    "information": {"service": "roster-app", "version": "v1", "zone": "a", "capacitySlots": 12},
    "status": {"state": "ready", "sequence": 4, "coldRemainingMs": 1500},
    "holds": [[0, 4095, 7]],
    "freed": [[4096, 8191, "5c0e7a21d94b36f8"]],
}
MEMBER = Member(
    "one", "a", "10.0.0.1:7600", "life-1", "roster-app", "i-1", 12, TargetState.READY, 12.5
)
FIRST = KeyMap(
    "roster-app", 1, (KeyRange(0, 99, "i-1", 1), KeyRange(100, 65_535, "i-2", 1)), 1,
    (TargetWitnesses("i-1", (("one", "two"),)),),
)  # fmt: skip
SECOND = KeyMap(
    "roster-app", 2,
    (KeyRange(0, 49, "i-1", 1), KeyRange(50, 99, "i-2", 2, (Predecessor("i-1", 1),)),
     KeyRange(100, 65_535, "i-2", 1)), 2,
)  # fmt: skip
DOCUMENT = {
    "version": "r7",
    "routes": {"one": {"host": "h", "pathPrefix": "/a/", "kind": "safe", "timeoutMs": 100,
                       "service": "s"}},
    "services": {"s": {"enableSharding": True, "coldPerS": 10.0, "coldStartS": 3.0}},
    "limits": {"maxHeaderBytes": 100},
}  # fmt: skip
HEAD = RequestHead(
    service="roster-app", key=b"7", request_id=b"1", method=b"GET", path=b"/", headers=b"",
    deadline_ms=1000, request_class=RequestClass.INTERACTIVE, tenant="", repeatable=True,
    prior_age_ms=0, version=0, task_id="", position=7, body_length=0, target="i-1",
)  # fmt: skip
ITEM = {"privateKey": "k", "value": base64.b64encode(b"v").decode(), "revision": 4, "lease": 0}
UNEXPECTED_VALUES: list[Any] = [
    None, True, "7", -1, 2**70, 1e308, 0.5, [], {}, [[]], {"a": {"a": []}}, "", "x" * 300,
    "\x00", [1, 2, 3, 4], -(2**40), 65_536, "nan",
]  # fmt: skip


def _read_load(data: bytes) -> object:
    return PlatformDialect().response_facts(b"Server-Load: " + data).load


def _read_control(data: bytes) -> object:
    return decode_control(data)


READERS: dict[str, tuple[bytes, Callable[[bytes], object], type[Exception]]] = {
    "heartbeat": (
        orjson.dumps(HEARTBEAT), lambda data: parse_heartbeat("i-1", data), InvalidRecord,
    ),
    "member": (encode_member(MEMBER), decode_member, InvalidRecord),
    "holder": (encode_holder(Holder("i-1", "one")), decode_holder, InvalidRecord),
    "key map": (encode_key_map(SECOND), decode_key_map, InvalidRecord),
    "key map change": (
        encode_key_map_change(diff_key_maps(FIRST, SECOND)), decode_key_map_change, InvalidRecord,
    ),
    "configuration": (orjson.dumps(DOCUMENT), read_document, InvalidRecord),
    "drain": (b"{}", check_drain, InvalidRecord),
    "crash": (encode_crash(CrashRecord("i-1", 12.5, ("ab", "cd"))), decode_crash, InvalidRecord),
    "answer's load": (b"3,1,8,150", _read_load, InvalidRecord),
    "store's item": (
        orjson.dumps(ITEM["value"]), lambda d: _item(ITEM | {"value": d}, 0), KeyError,
    ),
    "greeting": (encode_hello(Hello("life-1", "10.0.0.1:7600")), decode_hello, FrameError),
    "request": (encode_request(HEAD), decode_request, FrameError),
    "answer": (encode_response(ResponseHead(200, Outcome.SERVED)), decode_response, FrameError),
    "control": (
        encode_control(Renew("roster-app", 3, 7, 0, 0, "i-1")), _read_control, FrameError,
    ),
}  # fmt: skip
VALID = {
    "heartbeat": lambda v: isinstance(v, TargetHeartbeat) and type(v.slots) is int and v.slots > 0,
    "member": lambda v: isinstance(v, Member) and type(v.slots) is int and bool(v.instance),
    "key map": lambda v: v.ranges[0].first == 0 and v.ranges[-1].last == 65_535,
}


def _mutated(data: bytes, rng: random.Random) -> bytes:
    """Return *data* with changed bytes, or with one value of its JSON document changed."""
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError:
        document = None
    if document is None or not isinstance(document, dict) or rng.random() < 0.2:
        return _corrupt_bytes(data, rng)
    _corrupt_value(document, rng)
    return orjson.dumps(document, option=orjson.OPT_NON_STR_KEYS)


def _corrupt_bytes(data: bytes, rng: random.Random) -> bytes:
    corrupted = bytearray(data)
    for _ in range(rng.randint(1, 3)):
        if corrupted:
            corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
    return bytes(corrupted[: rng.randint(0, len(corrupted))] if rng.random() < 0.5 else corrupted)


def _corrupt_value(node: Any, rng: random.Random) -> None:
    """Replace or remove one value at a random place in a document."""
    keys = list(node) if isinstance(node, dict) else list(range(len(node)))
    if not keys:
        return
    key = rng.choice(keys)
    if isinstance(node[key], dict | list) and node[key] and rng.random() < 0.7:
        _corrupt_value(node[key], rng)
    elif rng.random() < 0.3:
        del node[key]
    else:
        unexpected = rng.choice(UNEXPECTED_VALUES)
        node[key] = (
            unexpected
            if not isinstance(unexpected, int) or abs(unexpected) < 2**63
            else str(unexpected)
        )


@when("valid input of the {reader} reader is mutated {times:d} times")
def mutate(context: Any, reader: str, times: int) -> None:
    data, read, error = READERS[reader]
    rng = random.Random(reader)
    context.outcomes = []
    read(data)
    for _ in range(times):
        corrupted = _mutated(data, rng)
        try:
            value = read(corrupted)
        except error:
            continue
        except Exception as other:
            context.outcomes.append((corrupted, repr(other)))
            continue
        if not VALID.get(reader, lambda v: True)(value):
            context.outcomes.append((corrupted, repr(value)))


@then("it returned a valid value or raised its own error each time")
def only_valid_values(context: Any) -> None:
    assert not context.outcomes, context.outcomes[:3]


NESTED = 1000


@when("a heartbeat is read with {fault}")
def read_invalid_heartbeat(context: Any, fault: str) -> None:
    target_heartbeat: dict[str, Any] = orjson.loads(orjson.dumps(HEARTBEAT))
    name = "i-1"
    changes: dict[str, Callable[[], object]] = {
        "a state that is not named": lambda: target_heartbeat["status"].update(state="dozing"),
        "no state": lambda: target_heartbeat["status"].pop("state"),
        "slots as a text": lambda: target_heartbeat["information"].update(capacitySlots="12"),
        "a truth value as sequence": lambda: target_heartbeat["status"].update(sequence=True),
        "a negative cold time": lambda: target_heartbeat["status"].update(coldRemainingMs=-1),
        "a start time that is no number": lambda: target_heartbeat.update(born="yesterday"),
        "keys that lie outside": lambda: target_heartbeat.update(holds=[[0, 70_000, 1]]),
        "no address": lambda: target_heartbeat.pop("address"),
        "an incarnation mark in its id": lambda: None,
        "a state that is deeply nested": lambda: target_heartbeat["status"].update(state=0),
        "keys that are deeply nested": lambda: target_heartbeat.update(holds=0),
    }
    if fault == "an incarnation mark in its id":
        name = "i-1~5"
    changes[fault]()
    body = orjson.dumps(target_heartbeat)
    if fault.endswith("deeply nested"):
        # The JSON encoder does not write a value of this depth.
        field = b'"state":' if "state" in fault else b'"holds":'
        assert body.count(field + b"0") == 1, body
        body = body.replace(field + b"0", field + b"[" * NESTED + b"]" * NESTED)
    try:
        parse_heartbeat(name, body)
        context.error = ""
    except InvalidRecord as error:
        context.error = str(error)


@then("it is refused, and the error names {named}")
def refused_naming(context: Any, named: str) -> None:
    assert named in context.error, context.error


@when("a caller's request has a {name} header of {digits:d} digits")
def long_number(context: Any, name: str, digits: int) -> None:
    headers = {b"Request-Id": b"r1", b"Host": b"app.example", name.encode(): b"9" * digits}
    context.intent = PlatformDialect().intent(headers)


@then("it is read as if there were no such header")
def read_without(context: Any) -> None:
    assert context.intent.deadline_ms is None and context.intent.key is None, context.intent


@given('a daemon with a local target of "roster-app" that sends heartbeats')
def daemon_with_local_target(context: Any) -> None:
    context.execute_steps(
        'Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves'
    )
    context.node = context.world.nodes[1]


@when('{count:d} heartbeats of a target of "{service}" arrive')
def foreign_heartbeats(context: Any, count: int, service: str) -> None:
    for sequence in range(1, count + 1):
        target_heartbeat = TargetHeartbeat(
            target="i-foreign", service=service, address="10.0.0.9:1", failure_domain="a",
            slots=4, state=TargetState.READY, cold_s=0.0, sequence=sequence, held=(), released=(),
        )  # fmt: skip
        context.node.daemon.core.local_target.target_heartbeat(target_heartbeat)
        context.world.run(0.9)


@then("the daemon still has its own target, which holds keys")
def target_unchanged(context: Any) -> None:
    assert context.node.daemon.core.local_target.grant_manager.target == context.node.target.id
    assert any(context.node.target.holds(key) for key in KEYS)


@then("it has logged one heartbeat that cannot be read")
def one_unreadable(context: Any) -> None:
    assert context.node.daemon.log.counts["heartbeat_unreadable"] == 1


@when('a response reports the load "{header}"')
def load_header(context: Any, header: str) -> None:
    context.facts = PlatformDialect().response_facts(b"Server-Load: " + header.encode())


# -- entries in the store -----------------------------------------------------------------------


@when("the entry of daemon {number:d} is overwritten with {how}")
def corrupt_entry(context: Any, number: int, how: str) -> None:
    world = context.world
    key = member_key(f"instance-{number}")
    item = world.store.items[key]
    data = orjson.loads(item.value)
    corrupted = {
        "bytes that cannot be read": b"\xff\xfe",
        "the entry of daemon 2": world.store.items[member_key("instance-2")].value,
        "a state that is not named": orjson.dumps(data | {"state": "dozing"}),
        "another address": orjson.dumps(data | {"peer_address": "10.9.9.9:1"}),
    }[how]
    context.valid_entry = item.value
    context.holders_before = context.world.holders()
    world.store.revision += 1
    world.store.put(Put(key, corrupted, item.lease))


@then("daemon {number:d} has its own entry again after {seconds:g} s")
def entry_restored(context: Any, number: int, seconds: float) -> None:
    context.world.run(seconds)
    now = context.world.store.items[member_key(f"instance-{number}")].value
    assert decode_member(now) == decode_member(context.valid_entry), now


@then("no key changed its holder meanwhile")
def holders_stay(context: Any) -> None:
    assert context.world.holders() == context.holders_before


@when("the key map is corrupted and {then_what}")
def corrupt_key_map(context: Any, then_what: str) -> None:
    world = context.world
    world.store.revision += 1
    world.store.put(Put(key_map_key(SERVICE), b'{"service": 7}'))
    planner = next(node for node in world.nodes if node.daemon.core.planner.is_active_planner)
    if then_what == "a target is lost":
        lost = next(node for node in world.nodes if node is not planner)
        world.end_target(lost)
        world.run(4.0)
    elif then_what == "the planner is started again":
        world.start_daemon(planner)
        world.run(4.0)
    else:
        for node in world.nodes:
            world.start_daemon(node)
        world.run(4.0)


@then("the store again has a key map that all daemons know")
def map_restored(context: Any) -> None:
    world = context.world
    stored = decode_key_map(world.store.items[key_map_key(SERVICE)].value)
    known = {node.daemon.core.key_maps.version(SERVICE) for node in world.nodes}
    assert known == {stored.version}, (stored.version, known)
