"""The operators' table: one row per service and one row per server.

Rows are edited by operators and kept as one JSON value per service, so that a
compare-and-swap covers a service and its servers together.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from enum import StrEnum
from typing import Any

from .errors import InvalidField, InvalidRecord
from .fields import FieldReader
from .outcome import RequestClass

__all__ = ["Change", "Kind", "Policy", "ServerRow", "ServiceRow", "ServiceTable"]

HISTORY_LIMIT = 50
"""Changes that are kept with a service's rows."""


class Kind(StrEnum):
    """How requests of a service find a server."""

    KEYED = "keyed"
    POOLED = "pooled"


class Policy(StrEnum):
    """What a service gives up first when an owner is lost."""

    PATIENT = "patient"
    """Wait for the owner to return: few moves, longer gaps."""
    QUICK = "quick"
    """Move at once: short gaps, more moves."""


@dataclass(frozen=True, slots=True)
class ServerRow:
    """What operators say of one server."""

    name: str
    weight: float = 1.0
    """Share of keys or requests against the other servers; 0 takes no new keys."""
    slots: int = 12
    """Requests that the server runs at once."""
    connections: int = 110
    """Connections that the daemon keeps to the server at most."""
    fenced: bool = True
    """Whether the server itself refuses requests with an old epoch."""
    drain: bool = False
    """Whether the server is to give up its work and take no more."""

    @classmethod
    def from_mapping(cls, name: str, data: object, path: str) -> "ServerRow":
        """Check *data* and build a row; raises InvalidField."""
        reader = FieldReader(data, path)
        row = cls(
            name=name,
            weight=reader.number("weight", 1.0, high=1000.0),
            slots=reader.integer("slots", 12, low=1, high=100_000),
            connections=reader.integer("connections", 110, low=1, high=100_000),
            fenced=reader.flag("fenced", True),
            drain=reader.flag("drain", False),
        )
        reader.finish()
        return row

    def to_mapping(self) -> dict[str, Any]:
        """Return the row's fields without its name."""
        return {f.name: getattr(self, f.name) for f in fields(self) if f.name != "name"}


@dataclass(frozen=True, slots=True)
class ServiceRow:
    """What operators say of one service."""

    name: str
    kind: Kind = Kind.POOLED
    shards_per_server: int = 64
    """Shards that the key space is first divided into, for each server."""
    weight: float = 1.0
    limit: int = 0
    """Requests of the service that run at once, over all servers; 0 is no limit."""
    default_class: RequestClass = RequestClass.INTERACTIVE
    export_slots: float = 0.5
    """Share of a server's slots that exports may hold at most."""
    policy: Policy = Policy.PATIENT
    wait_return_s: float = 5.0
    """Seconds that a lost owner is given to return before its shards move."""
    churn_price: float = 1.0
    """Cost of moving a shard against the load that the move evens out."""
    retry_ratio: float = 0.1
    """Retries allowed for each first attempt, over time."""

    @classmethod
    def from_mapping(cls, name: str, data: object, path: str) -> "ServiceRow":
        """Check *data* and build a row; raises InvalidField."""
        reader = FieldReader(data, path)
        default_class = reader.text("default_class", "interactive")
        try:
            request_class = RequestClass.from_name(default_class)
        except KeyError:
            allowed = ", ".join(c.label for c in RequestClass)
            where = reader.path("default_class")
            raise InvalidField(where, default_class, f"expected one of {allowed}") from None
        policy = reader.choice("policy", Policy, Policy.PATIENT)
        row = cls(
            name=name,
            kind=reader.choice("kind", Kind, Kind.POOLED),
            shards_per_server=reader.integer("shards_per_server", 64, low=1, high=1024),
            weight=reader.number("weight", 1.0, high=1000.0),
            limit=reader.integer("limit", 0, high=10_000_000),
            default_class=request_class,
            export_slots=reader.number("export_slots", 0.5, high=1.0),
            policy=policy,
            wait_return_s=reader.number(
                "wait_return_s", 0.0 if policy is Policy.QUICK else 5.0, high=86_400.0
            ),
            churn_price=reader.number("churn_price", 1.0, high=1e6),
            retry_ratio=reader.number("retry_ratio", 0.1, high=1.0),
        )
        reader.finish()
        return row

    def to_mapping(self) -> dict[str, Any]:
        """Return the row's fields without its name, enumerations as their names."""
        data = {f.name: getattr(self, f.name) for f in fields(self) if f.name != "name"}
        data["kind"] = self.kind.value
        data["policy"] = self.policy.value
        data["default_class"] = self.default_class.label
        return data


@dataclass(frozen=True, slots=True)
class Change:
    """One accepted edit of a service's rows."""

    version: int
    author: str
    time: str
    """UTC, ISO 8601, by the clock of the operator's machine."""
    summary: str


@dataclass(frozen=True, slots=True)
class ServiceTable:
    """The rows of one service: what ``table/<service>`` holds.

    An empty ``service`` row never occurs; a removed service is marked so that its
    removal spreads like any other version.
    """

    service: ServiceRow
    servers: Mapping[str, ServerRow]
    version: int = 0
    write_id: str = ""
    removed: bool = False
    history: tuple[Change, ...] = field(default=())

    @classmethod
    def from_mapping(cls, name: str, data: object, path: str = "") -> "ServiceTable":
        """Check declared rows, as a file under version control holds them."""
        reader = FieldReader(data, path or name)
        servers = reader.section("servers")
        raw_servers = reader.raw("servers", {})
        reader.raw("service")
        table = cls(
            service=ServiceRow.from_mapping(
                name, reader.raw("service", {}), reader.path("service")
            ),
            servers={
                str(server): ServerRow.from_mapping(str(server), row, servers.path(str(server)))
                for server, row in raw_servers.items()
            },
        )
        reader.finish()
        return table

    @classmethod
    def from_bytes(cls, name: str, data: bytes) -> "ServiceTable":
        """Read a stored value; raises InvalidRecord."""
        try:
            raw = json.loads(data)
            declared = cls.from_mapping(name, raw["rows"])
            history = tuple(Change(**change) for change in raw["history"])
            return replace(
                declared,
                version=int(raw["version"]),
                write_id=str(raw["write_id"]),
                removed=bool(raw["removed"]),
                history=history,
            )
        except (ValueError, KeyError, TypeError, InvalidField) as error:
            raise InvalidRecord(f"table/{name}: {error}") from error

    def to_mapping(self) -> dict[str, Any]:
        """Return the declared rows alone."""
        return {
            "service": self.service.to_mapping(),
            "servers": {name: row.to_mapping() for name, row in sorted(self.servers.items())},
        }

    def to_bytes(self) -> bytes:
        """Return the value as it is stored."""
        raw = {
            "version": self.version,
            "write_id": self.write_id,
            "removed": self.removed,
            "rows": self.to_mapping(),
            "history": [
                {f.name: getattr(change, f.name) for f in fields(change)} for change in self.history
            ],
        }
        return json.dumps(raw, separators=(",", ":"), sort_keys=True).encode()

    def changed(
        self, rows: Mapping[str, Any], change: Change, write_id: str, *, removed: bool = False
    ) -> "ServiceTable":
        """Return the next version, with *rows* in place of the present ones."""
        declared = ServiceTable.from_mapping(self.service.name, rows)
        return replace(
            declared,
            version=change.version,
            write_id=write_id,
            removed=removed,
            history=(*self.history, change)[-HISTORY_LIMIT:],
        )

    @classmethod
    def initial(cls, name: str) -> "ServiceTable":
        """Return the value that a service has before its first edit: version 0, no servers."""
        return cls(service=ServiceRow(name=name), servers={})
