"""Reads and writes table rows as YAML files and as CSV for spreadsheets."""

import csv
import io
from dataclasses import fields
from pathlib import Path
from typing import Any

import yaml

from pearward_state.errors import InvalidField
from pearward_state.table import ServerRow, ServiceRow, ServiceTable

from .errors import InvalidInput

__all__ = ["parse_value", "read_csv", "read_declared", "write_csv"]

_SERVICE_FIELDS = [f.name for f in fields(ServiceRow) if f.name != "name"]
_SERVER_FIELDS = [f.name for f in fields(ServerRow) if f.name != "name"]
_KEY_COLUMNS = ["service", "server"]


def read_declared(paths: list[Path]) -> dict[str, dict[str, Any]]:
    """Return the rows of each service from ``<service>.yaml`` files or folders of them."""
    files: list[Path] = []
    for path in paths:
        files.extend(sorted(path.glob("*.yaml")) if path.is_dir() else [path])
    if not files:
        raise InvalidInput("no .yaml file given")
    declared: dict[str, dict[str, Any]] = {}
    for file in files:
        try:
            raw = yaml.safe_load(file.read_text(encoding="utf-8"))
            declared[file.stem] = _checked(file.stem, raw)
        except OSError as error:
            raise InvalidInput(f"{file}: {error.strerror}") from error
        except yaml.YAMLError as error:
            raise InvalidInput(f"{file}: invalid YAML: {' '.join(str(error).split())}") from error
        except InvalidField as error:
            raise InvalidInput(f"{file}: {error}") from error
    return declared


def _checked(service: str, raw: object) -> dict[str, Any]:
    """Return validated rows with all defaults filled in; raises InvalidField."""
    return ServiceTable.from_mapping(service, raw).to_mapping()


def parse_value(text: str) -> Any:
    """Parse a value from the command line or from a CSV cell."""
    return yaml.safe_load(text)


def write_csv(tables: list[ServiceTable]) -> str:
    """Return CSV with one line per service and per server, and a column for each field."""
    columns = _KEY_COLUMNS + list(dict.fromkeys(_SERVICE_FIELDS + _SERVER_FIELDS))
    out = io.StringIO()
    writer = csv.DictWriter(out, columns, lineterminator="\n")
    writer.writeheader()
    for table in tables:
        name = table.service.name
        writer.writerow({"service": name, **_cells(table.service.to_mapping())})
        for server, row in sorted(table.servers.items()):
            writer.writerow({"service": name, "server": server, **_cells(row.to_mapping())})
    return out.getvalue()


def _cells(row: dict[str, Any]) -> dict[str, Any]:
    return {k: str(v).lower() if isinstance(v, bool) else v for k, v in row.items()}


def read_csv(path: Path) -> dict[str, dict[str, Any]]:
    """Return the rows of each service in a CSV file with the columns of write_csv()."""
    declared: dict[str, dict[str, Any]] = {}
    with path.open(encoding="utf-8", newline="") as file:
        for number, line in enumerate(csv.DictReader(file), start=2):
            service = line.get("service") or ""
            if not service:
                raise InvalidInput(f"{path}: line {number}: service: is required")
            rows = declared.setdefault(service, {"service": {}, "servers": {}})
            server = line.get("server") or ""
            names = _SERVER_FIELDS if server else _SERVICE_FIELDS
            row = {name: parse_value(line[name]) for name in names if line.get(name)}
            if server:
                rows["servers"][server] = row
            else:
                rows["service"] = row
    try:
        return {service: _checked(service, rows) for service, rows in declared.items()}
    except InvalidField as error:
        raise InvalidInput(f"{path}: {error}") from error
