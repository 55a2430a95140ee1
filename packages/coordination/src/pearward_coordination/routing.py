"""Routing of requests: to the owner of the key, or to the less loaded of two random servers."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pearward_state.keys import key_hash, service_seed
from pearward_state.records import CellRecord, Member, MemberState
from pearward_state.shards import Shard
from pearward_state.table import Kind, ServiceTable

from .errors import CoordinationError

if TYPE_CHECKING:
    from random import Random

__all__ = ["NoRoute", "Route", "Router", "UnknownService"]


class UnknownService(CoordinationError):
    """Raised for a service that is not in the table."""


class NoRoute(CoordinationError):
    """Raised if a service currently has no server for the request."""


@dataclass(frozen=True, slots=True)
class Route:
    """Member that was chosen for a request."""

    member: Member
    position: int
    """Hash of the key; 0 for a pooled service."""
    version: int
    """Version of the record on which the choice is based."""
    shard: Shard | None = None


class Router:
    """Chooses members by the newest table and records at this daemon."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._tables: dict[str, ServiceTable] = {}
        self._records: dict[str, CellRecord] = {}
        self._seeds: dict[str, int] = {}
        self._candidates: dict[str, list[Member]] = {}
        self._outstanding: dict[str, int] = {}

    @property
    def tables(self) -> Mapping[str, ServiceTable]:
        """Rows of each known service."""
        return self._tables

    @property
    def records(self) -> Mapping[str, CellRecord]:
        """Cell record of each known service."""
        return self._records

    def set_table(self, table: ServiceTable) -> None:
        """Replace the table of a service."""
        name = table.service.name
        self._tables[name] = table
        self._seeds[name] = service_seed(name)
        self._candidates.pop(name, None)

    def set_record(self, record: CellRecord) -> None:
        """Replace the record of a service."""
        self._records[record.service] = record
        self._candidates.pop(record.service, None)

    def row(self, service: str) -> ServiceTable:
        """Return a service's rows; raise UnknownService if it has none."""
        table = self._tables.get(service)
        if table is None or table.removed:
            raise UnknownService(f"unknown service {service!r}")
        return table

    def position(self, service: str, key: bytes) -> int:
        """Return the hash of *key* in the key space of a known service."""
        return key_hash(key, self._seeds[service])

    def route(self, service: str, key: bytes, avoid: Collection[str] = ()) -> Route:
        """Return the route of a request; raise UnknownService or NoRoute if there is none.

        For a pooled service, incarnations in *avoid* are chosen only if there is no other.
        """
        table = self.row(service)
        record = self._records.get(service)
        if record is None or not record.members:
            raise NoRoute(f"service {service!r} has no servers yet")
        if table.service.kind is Kind.KEYED:
            return self._route_keyed(service, key, record)
        return Route(self._choose(service, record, table, avoid), 0, record.version)

    def started(self, incarnation: str) -> None:
        """Count a request that was sent to a member."""
        self._outstanding[incarnation] = self._outstanding.get(incarnation, 0) + 1

    def ended(self, incarnation: str) -> None:
        """Count the end of a request that was sent to a member."""
        left = self._outstanding.get(incarnation, 0) - 1
        if left > 0:
            self._outstanding[incarnation] = left
        else:
            self._outstanding.pop(incarnation, None)

    def _route_keyed(self, service: str, key: bytes, record: CellRecord) -> Route:
        position = self.position(service, key)
        if not len(record.shards):
            raise NoRoute(f"service {service!r} has no shards yet")
        shard = record.shards.find(position)
        owner = record.owner_of(shard)
        if owner is None or owner.state is MemberState.RETIRED:
            raise NoRoute(f"service {service!r}: shard {shard.start:x} has no owner yet")
        return Route(owner, position, record.version, shard)

    def _choose(
        self, service: str, record: CellRecord, table: ServiceTable, avoid: Collection[str]
    ) -> Member:
        """Return the less loaded of two random members; the load is relative to the weight."""
        candidates = self._candidates.get(service)
        if candidates is None:
            candidates = [
                m
                for m in record.members
                if m.state is MemberState.ACTIVE
                and (row := table.servers.get(m.server)) is not None
                and row.weight > 0
                and not row.drain
            ]
            self._candidates[service] = candidates
        if avoid:
            candidates = [m for m in candidates if m.incarnation not in avoid] or candidates
        if not candidates:
            raise NoRoute(f"service {service!r} has no active server")
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        return min(first, second, key=lambda m: self._load(m, table))

    def _load(self, member: Member, table: ServiceTable) -> float:
        """Return this daemon's outstanding requests to *member* in relation to its weight."""
        weight = table.servers[member.server].weight
        return (self._outstanding.get(member.incarnation, 0) + 1) / weight
