"""Steps for checks of the settings."""

import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import yaml
from behave import given, then, when

from pearward_daemon.mesh.settings import GrantMode, MeshSettings
from pearward_state.errors import InvalidField

VALID: dict[str, Any] = {
    "failure_domains": ["gyor-hall"],
    "instance": {"name": "i1", "failure_domain": "gyor-hall"},
    "listen": {"ip": "127.9.0.1"},
    "server": {"service": "s", "name": "s-0", "address": "127.9.0.1:8000"},
    "platform": {"endpoints": ["127.0.0.1:2379"]},
}


def _write(context: Any, text: str) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = Path(folder.name) / "settings.yaml"
    context.path.write_text(text, encoding="utf-8")


@given('valid settings with "{path}" set to "{value}"')
def with_value(context: Any, path: str, value: str) -> None:
    data = yaml.safe_load(yaml.safe_dump(VALID))
    section, name = path.split(".")
    data.setdefault(section, {})[name] = yaml.safe_load(value)
    _write(context, yaml.safe_dump(data))


@given('a settings file with the text "{text}"')
def raw_settings(context: Any, text: str) -> None:
    _write(context, text)


@when("pearwardd checks them")
def check(context: Any) -> None:
    context.result = subprocess.run(
        [sys.executable, "-m", "pearward_daemon.main", "--settings", str(context.path), "--check"],
        capture_output=True, text=True, check=False,
    )  # fmt: skip


@then("it ends with exit code {code:d}")
def exit_code(context: Any, code: int) -> None:
    assert context.result.returncode == code, context.result.stderr


@then('it ends with exit code {code:d} and one line that names the file, "{first}" and "{second}"')
def names(context: Any, code: int, first: str, second: str) -> None:
    lines = context.result.stderr.strip().splitlines()
    assert context.result.returncode == code and len(lines) == 1, context.result.stderr
    assert str(context.path) in lines[0] and first in lines[0] and second in lines[0], lines[0]


# -- a daemon on a users' platform --------------------------------------------------------

MESH: dict[str, Any] = {
    "instance": "i1",
    "failure_domain": "a",
    "target": {"service": "s", "address": "127.0.0.1:8000"},
    "listen": {
        name: f"127.0.0.1:{port}"
        for port, name in enumerate(
            ("callers", "heartbeats", "readiness", "peers", "metrics"), 8200
        )
    },
    "store": {"address": "127.0.0.1:2379"},
}


@given("settings of a daemon on a users' platform with {field} set to {value}")
def mesh_settings(context: Any, field: str, value: str) -> None:
    context.settings = {**MESH, field: yaml.safe_load(value)}
    context.value = yaml.safe_load(value)


@then("they are refused, naming {path} and the value")
def mesh_refused(context: Any, path: str) -> None:
    try:
        MeshSettings.from_config(context.settings)
    except InvalidField as error:
        value = context.value
        if isinstance(value, dict):
            (value,) = value.values()
        if isinstance(value, list):
            (value,) = value
        assert path in str(error) and repr(value) in str(error), error
    else:
        raise AssertionError("invalid settings were accepted")


@then("they are accepted, and keys are granted by heartbeat")
def mesh_accepted(context: Any) -> None:
    settings = MeshSettings.from_config(context.settings)
    assert settings.grant_mode is GrantMode.HEARTBEAT
