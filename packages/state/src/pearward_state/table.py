"""The operators' table: one row per service and one row per server.

Operators edit the rows. The row of a service and those of its servers are stored as one JSON
value, so that one compare-and-swap covers them together.
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
"""Maximum number of changes in a service's history."""


class Kind(StrEnum):
    """How the server for a request is selected."""

    KEYED = "keyed"
    """The owner of the request's key."""
    POOLED = "pooled"
    """Any server of the service."""


class Policy(StrEnum):
    """Trade-off between shard moves and downtime when an owner is lost."""

    PATIENT = "patient"
    """Wait for the owner to return: fewer moves, longer downtime."""
    QUICK = "quick"
    """Move shards immediately: shorter downtime, more moves."""


@dataclass(frozen=True, slots=True)
class ServerRow:
    """Configuration of one server."""

    name: str
    weight: float = 1.0
    """Share of keys or requests relative to the other servers; a server with 0 gets no new keys."""
    slots: int = 12
    """Number of requests that the server runs concurrently."""
    connections: int = 110
    """Maximum number of connections from the daemon to the server."""
    fenced: bool = True
    """Whether the server itself refuses requests with an outdated epoch."""
    drain: bool = False
    """Whether the server is to be drained: it hands over its work and gets no more."""

    @classmethod
    def from_mapping(cls, name: str, data: object, path: str) -> "ServerRow":
        """Validate *data* and return it as a row; raises InvalidField."""
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
    """Configuration of one service."""

    name: str
    kind: Kind = Kind.POOLED
    shards_per_server: int = 64
    """Number of shards per server into which the key space is divided initially."""
    weight: float = 1.0
    limit: int = 0
    """Maximum number of concurrent requests over all servers of the service; 0 for no limit."""
    default_class: RequestClass = RequestClass.INTERACTIVE
    export_slots: float = 0.5
    """Maximum share of a server's slots that export requests may use."""
    policy: Policy = Policy.PATIENT
    wait_return_s: float = 5.0
    """Seconds to wait for a lost owner to return before its shards are moved."""
    churn_price: float = 1.0
    """Cost of moving a shard, weighed against the load imbalance that the move removes."""
    retry_ratio: float = 0.1
    """Retries allowed per first attempt, averaged over time."""

    @classmethod
    def from_mapping(cls, name: str, data: object, path: str) -> "ServiceRow":
        """Validate *data* and return it as a row; raises InvalidField."""
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
        """Return the row's fields without its name; enumeration members become strings."""
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
    """The rows of one service, as stored under ``table/<service>``.

    The ``service`` row is never empty. A removed service is marked with ``removed``, so that
    its removal is distributed like any other version.
    """

    service: ServiceRow
    servers: Mapping[str, ServerRow]
    version: int = 0
    write_id: str = ""
    removed: bool = False
    history: tuple[Change, ...] = field(default=())

    @classmethod
    def from_mapping(cls, name: str, data: object, path: str = "") -> "ServiceTable":
        """Validate rows as declared in a configuration file; raises InvalidField."""
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
        """Decode a stored value; raises InvalidRecord."""
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
        """Return only the declared rows, without version and history."""
        return {
            "service": self.service.to_mapping(),
            "servers": {name: row.to_mapping() for name, row in sorted(self.servers.items())},
        }

    def to_bytes(self) -> bytes:
        """Return the stored form of the value."""
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
        """Return the next version, which has *rows* instead of the current ones."""
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
        """Return the value of a service before its first edit: version 0, no servers."""
        return cls(service=ServiceRow(name=name), servers={})
