"""Steps for the formats of the platform adapter; they run without the platform."""

import copy
import re
import sys
import tomllib
from pathlib import Path
from typing import Any

import orjson
import yaml
from behave import given, then, when

from pearward_coordination.grants import GrantedRow, HeldRow, ReleasedRow
from pearward_daemon.errors import SettingsError
from pearward_daemon.mesh.dialect import HeartbeatResponse, ReportedLoad
from pearward_daemon.mesh.settings import GrantMode, MeshSettings
from pearward_platform.document import read_document
from pearward_platform.headers import PlatformDialect
from pearward_platform.heartbeats import encode_heartbeat_response, parse_heartbeat
from pearward_state.errors import InvalidField, InvalidRecord
from pearward_state.members import TargetState

ROOT = Path(__file__).parents[2]

DOCUMENT: dict[str, Any] = {
    "version": "r7",
    "routes": {
        "one": {
            "host": "jepu9.example", "pathPrefix": "/lepu270/", "kind": "safe",
            "timeoutMs": 1500, "targetLatencyMs": 600, "priority": 2, "maxAttempts": 2,
            "weightedServices": [
                {"service": "huvo11a", "weight": 90}, {"service": "kafi81c", "weight": 10},
            ],
        },
        "two": {
            "host": "jepu9.example", "pathPrefix": "/lepu270/deeper/", "kind": "unsafe",
            "timeoutMs": 1200, "targetLatencyMs": 800, "priority": 1, "maxAttempts": 2,
            "service": "kafi81c",
        },
    },
    "services": {
        "huvo11a": {"maxConnections": 130, "enableSharding": True, "warmupS": 2.0},
        "kafi81c": {"maxConnections": 130},
    },
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
}  # fmt: skip
FIELDS: dict[str, Any] = {
    "nodeName": "sidecar-a-1",
    "ipAddress": "10.1.0.41",
    "zone": "a",
    "zones": {"a": "central", "b": "central"},
    "service": "huvo11a",
    "applicationAddress": "10.1.0.41:8628",
    "listenAddresses": {
        "inbound": "10.1.0.41:8624", "outbound": "10.1.0.41:8629",
        "ready": "10.1.0.41:8625", "control": "10.1.0.41:8620",
    },
    "internalPortRange": [7600, 7615],
    "bounds": {"holdMaxMs": 10000, "retryBudgetRatio": 0.2, "retryBudgetSlack": 64,
               "budgetWindowS": 10, "drainMs": 2000, "gracePeriodS": 6, "evacuationMs": 4000},
    "platform": {"address": "10.200.1.7:8627", "ttl_min_ms": 1000},
    "limits": {"cpuShare": 0.86, "memoryMb": 300, "linkMbps": 13.0},
    "grants": "call",
}  # fmt: skip

# -- the configuration document ----------------------------------------------------------------


@when("the example document is read")
def read_example(context: Any) -> None:
    context.routing = read_document(orjson.dumps(DOCUMENT))


@when("the example document is read with {fault}")
def read_invalid_document(context: Any, fault: str) -> None:
    data = copy.deepcopy(DOCUMENT)
    route = data["routes"]["one"]
    changes = {
        "an odd kind": lambda: route.update(kind="sometimes"),
        "an unknown service": lambda: data["routes"]["two"].update(service="nobody"),
        "a prefix without its last slash": lambda: route.update(pathPrefix="/lepu270"),
        "a version without its mark": lambda: data.update(version="7"),
        "no weight at all": lambda: [part.update(weight=0) for part in route["weightedServices"]],
        "a time-out below one": lambda: route.update(timeoutMs=0),
    }
    changes[fault]()
    try:
        read_document(orjson.dumps(data))
        context.error = ""
    except InvalidRecord as error:
        context.error = str(error)


@then('version 7 has a route for "{path}" at "{host}" with weights {one:d} and {other:d}')
def has_route(context: Any, path: str, host: str, one: int, other: int) -> None:
    assert context.routing.version == 7
    route = context.routing.match(host, path)
    assert [part.weight for part in route.services] == [one, other]
    assert context.routing.keyed_services == ("huvo11a",)
    assert context.routing.limits.body_bytes == 1000


@then("the longer of two matching prefixes is used")
def longest_prefix(context: Any) -> None:
    assert context.routing.match("jepu9.example", "/lepu270/deeper/x").name == "two"


@then("a path or host without a route has no match")
def no_route(context: Any) -> None:
    assert context.routing.match("jepu9.example", "/other/") is None
    assert context.routing.match("another.example", "/lepu270/") is None


@then('it is refused with a message that names "{field}" and "{value}"')
@then('the settings are refused with a message that names "{field}" and "{value}"')
def refused_by(context: Any, field: str, value: str) -> None:
    assert field in context.error and value in context.error, context.error


# -- heartbeats --------------------------------------------------------------------------------

HEARTBEAT = {
    "address": "10.128.0.9:8080",
    "information": {"service": "huvo11a", "version": "v1", "zone": "a", "capacitySlots": 12},
    "status": {"state": "draining", "sequence": 4, "coldRemainingMs": 1500},
    "holds": [[0, 4095, 7]],
    "freed": [[4096, 8191, "5c0e7a21d94b36f8"]],
}


@when("the heartbeat of a target that holds keys and has released others is read")
def read_valid_heartbeat(context: Any) -> None:
    context.target_heartbeat = parse_heartbeat("i-1", orjson.dumps(HEARTBEAT))


@then("it holds 0..4095 under fence 7 and has released 4096..8191 with a token")
def heartbeat_rows(context: Any) -> None:
    target_heartbeat = context.target_heartbeat
    assert target_heartbeat.held == (HeldRow(0, 4095, 7),)
    assert target_heartbeat.released == (ReleasedRow(4096, 8191, "5c0e7a21d94b36f8"),)
    assert (target_heartbeat.state, target_heartbeat.sequence, target_heartbeat.cold_s) == (
        TargetState.DRAINING,
        4,
        1.5,
    )


@then("a response that grants 0..4095 for 4 s is encoded as the platform's targets expect")
def encoded_response(context: Any) -> None:
    response = HeartbeatResponse((GrantedRow(0, 4095, 7, ""),), 4.0)
    assert orjson.loads(encode_heartbeat_response(response)) == {
        "holds": [[0, 4095, 7, ""]],
        "holdMs": 4000,
    }


@then("a response that renews nothing has no rows")
def no_rows(context: Any) -> None:
    assert "holds" not in orjson.loads(encode_heartbeat_response(HeartbeatResponse()))


@when("a heartbeat is read whose body is {body}")
def read_invalid_heartbeat(context: Any, body: str) -> None:
    try:
        parse_heartbeat("i-1", body.encode())
        context.error = ""
    except InvalidRecord as error:
        context.error = str(error)


@then("it is refused")
def refused(context: Any) -> None:
    assert context.error


# -- headers -----------------------------------------------------------------------------------


@given("a request whose caller sets its own service, target and deadline")
def forged_headers(context: Any) -> None:
    raw = [
        (b"Host", [b"jepu9.example:80"]),
        (b"Request-Id", [b"9c41"]),
        (b"Deadline-Ms", [b"1500"]),
        (b"Caller-Service", [b"forged"]),
        (b"Expected-Instance", [b"forged"]),
        (b"Shard-Key", [b"77"]),
        (b"X-Other", [b"1", b"2"]),
        (b"Connection", [b"keep-alive"]),
    ]
    dialect = PlatformDialect()
    intent = dialect.intent({name: values[-1] for name, values in raw})
    assert (intent.host, intent.deadline_ms, intent.key) == ("jepu9.example", 1500, 77)
    forwarded = dialect.forwarded(raw, intent.request_id)
    context.lines = dialect.target_headers(forwarded, "i-1", "own", 900).split(b"\r\n")[:-1]


@then("the target gets each of these headers once, with pearward's value")
def replaced(context: Any) -> None:
    for line in (b"Deadline-Ms: 900", b"Expected-Instance: i-1", b"Caller-Service: own"):
        name = line.partition(b":")[0]
        assert [x for x in context.lines if x.startswith(name)] == [line], context.lines


@then("the request's id and its other headers are forwarded unchanged")
def forwarded_unchanged(context: Any) -> None:
    for line in (b"Request-Id: 9c41", b"Shard-Key: 77", b"X-Other: 1", b"X-Other: 2"):
        assert line in context.lines
    assert not [line for line in context.lines if line.startswith(b"Connection")]


@when('a response has the headers "{headers}"')
def response_headers(context: Any, headers: str) -> None:
    block = "".join(f"{line.strip()}\r\n" for line in headers.split(";")).encode()
    context.facts = PlatformDialect().response_facts(block)


@then("it is read as {meaning}")
def read_as(context: Any, meaning: str) -> None:
    facts = context.facts
    checks = {
        "signed": lambda: facts.signed and not facts.not_run,
        "not signed": lambda: not facts.signed,
        "not run": lambda: facts.not_run,
        "of another target": lambda: facts.other_target and not facts.request_id,
        "encoded": lambda: facts.encoded,
        "running 3 of 8": lambda: (facts.load.running, facts.load.slots) == (3, 8),
        "3 running, 1 waiting, 8 slots": lambda: facts.load == ReportedLoad(3, 1, 8, None),
        "the same, and 1.5 times as long": lambda: facts.load == ReportedLoad(3, 1, 8, 1.5),
        "nothing": lambda: facts.load is None,
    }
    assert checks[meaning](), facts


# -- settings and deploy file --------------------------------------------------------------------


def _lookup(path: str, *default: Any) -> Any:
    value: Any = FIELDS
    for part in path.split("."):
        if default and part not in value:
            return default[0]
        value = value[int(part)] if isinstance(value, list) else value[part]
    return value


def _filled() -> str:
    """Fill the template as the platform does, with plain values or with values as JSON."""
    template = (ROOT / "deploy/settings.yaml").read_text(encoding="utf-8")

    def section(match: re.Match[str]) -> str:
        value = _lookup(match[1], None)
        if isinstance(value, dict):
            rows = [match[2].replace("{{@}}", name) for name in value]
            last = len(rows) - 1
            return "".join(r.replace("{{,}}", "," * (n < last)) for n, r in enumerate(rows))
        return match[2].replace("{{.}}", str(value)) if value else ""

    template = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)

    def placeholder(match: re.Match[str]) -> str:
        path, _, form = match[1].partition("|")
        value = _lookup(path)
        return orjson.dumps(value).decode() if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", placeholder, template)


@when("the template is filled as the platform fills it")
def fill(context: Any) -> None:
    context.settings = MeshSettings.from_config(yaml.safe_load(_filled()))


@when("the template is filled and {fault}")
def fill_invalid(context: Any, fault: str) -> None:
    data = yaml.safe_load(_filled())
    changes = {
        "the callers' address is odd": lambda: data["listen"].update(callers="nowhere"),
        "the service is missing": lambda: data["target"].pop("service"),
        "grants go by letter": lambda: data.update(grants="letter"),
        "the ratio is a text": lambda: data["retries"].update(ratio="much"),
        "there is an unknown field": lambda: data.update(surprise=1),
    }
    changes[fault]()
    try:
        MeshSettings.from_config(data)
        context.error = ""
    except (InvalidField, SettingsError) as error:
        context.error = str(error)


@then("the settings name the instance, the store and every address")
def complete_settings(context: Any) -> None:
    settings = context.settings
    assert settings.instance == "sidecar-a-1"
    assert settings.store.address == "10.200.1.7:8627"
    assert str(settings.callers) == "10.1.0.41:8629"
    assert str(settings.peers) == "10.1.0.41:7600"
    assert settings.retries.allowance == 64
    assert settings.grant_mode is GrantMode.CALL
    assert settings.failure_domains == {"a", "b"}
    assert (settings.domain_drain_s, settings.cold_overage) == (4.0, 1.0)


@then("every placeholder of the template is a field of the platform")
def placeholders(context: Any) -> None:
    assert "{{" not in _filled()


@then("every file that the deploy file names exists")
def deploy_files(context: Any) -> None:
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
    context.build = deploy["build"]
    assert (ROOT / deploy["build"].split()[-1]).is_file()
    role = deploy["roles"]["pearwardd"]
    assert (ROOT / role["template"]).stat().st_size < 64 * 1024
    assert (role["on"], role["serves"]) == ("sidecar", ["sidecar"])
    module = role["run"].split()[-1].replace(".", "/")
    assert (ROOT / f"platform/src/{module}.py").is_file()


@then("the build needs only pinned libraries with hashes")
def pinned_packages(context: Any) -> None:
    pins = (ROOT / "requirements/run.txt").read_text(encoding="utf-8")
    entries = [line for line in pins.splitlines() if line and line[0] not in " #"]
    assert entries
    assert all("==" in entry and entry.endswith("\\") for entry in entries)
    assert pins.count("--hash=sha256:") >= len(entries)


@then("no module in the platform folder shadows one of the standard library")
def no_module_shadowed(context: Any) -> None:
    folder = ROOT / "platform"
    assert not (folder / "__init__.py").exists()
    assert not list(folder.glob("*.py"))
    assert "platform" in sys.stdlib_module_names
