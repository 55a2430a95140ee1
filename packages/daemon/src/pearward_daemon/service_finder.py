"""Lookup of services that this daemon has not received: the store's list, and single lookups.

A daemon gets the rows of services from its peers, a round of digests (about 1 s) after its start
or later. Until then it cannot determine that a service does not exist, and a 404 is final for
the caller.
"""

from typing import Any, Protocol

import eliot
from twisted.internet.defer import Deferred

from pearward_coordination.service_lookups import LookupResult, ServiceLookups
from pearward_state.errors import InvalidRecord
from pearward_state.table import ServiceTable
from pearward_transport.clock import boot_time, sleep
from pearward_transport.errors import PlatformUnavailable
from pearward_transport.platform import KeyValueService

from .tasks import spawn

__all__ = ["ServiceFinder", "ServiceRows"]

TABLE, CELL = "table/", "cell/"
MS_PER_S = 1000
LIST_RETRY_S = 1.0
"""Delay between attempts to read the list of services at the start."""
PEER_WAIT_S = 2.0
"""Time that peers have to send the listed services, two rounds of digests, before a lookup."""


class ServiceRows(Protocol):
    """Interface to the stored values that this daemon holds."""

    def has_value(self, key: str) -> bool:
        """Return whether any version of a stored key has been received."""

    def value_found(self, key: str, value: bytes) -> None:
        """Adopt a value that was read from the store; raises InvalidRecord."""


class ServiceFinder:
    """Reads the list of services, and looks up those that peers have not sent."""

    def __init__(self, reactor: Any, platform: KeyValueService, rows: ServiceRows) -> None:
        self._reactor = reactor
        self._platform = platform
        self._rows = rows
        self._lookups = ServiceLookups()
        self._pending_lookups: dict[str, list[Deferred[LookupResult]]] = {}
        self._listed: tuple[str, ...] | None = None
        self._unreadable: set[str] = set()
        self._running = False

    # -- at the start -----------------------------------------------------------

    def start(self) -> None:
        """Start to read the list of services."""
        self._running = True
        spawn(self._read_list())

    def stop(self) -> None:
        """Stop reading the list."""
        self._running = False

    def missing(self) -> str:
        """Return why the services are incomplete, or an empty string if they are complete."""
        if self._listed is None:
            return "the services are not listed yet"
        unknown = self._unknown_services()
        return f"service {unknown[0]!r} is not known yet" if unknown else ""

    def _unknown_services(self) -> list[str]:
        """Return the listed services of which no valid rows have been received."""
        return [
            name
            for name in self._listed or ()
            if name not in self._unreadable and not self._rows.has_value(TABLE + name)
        ]

    async def _read_list(self) -> None:
        while self._running and self._listed is None:
            try:
                keys = await self._platform.names(TABLE)
            except PlatformUnavailable as error:
                eliot.log_message(
                    "pearward:platform-call-failed", call="list services", error=str(error)
                )
                await sleep(self._reactor, LIST_RETRY_S)
            else:
                self._listed = tuple(key.removeprefix(TABLE) for key in keys)
                eliot.log_message("pearward:services-listed", services=len(self._listed))
        while self._running and self._unknown_services():
            await sleep(self._reactor, PEER_WAIT_S)
            for name in self._unknown_services():
                if await self.find(name) is LookupResult.ABSENT:
                    self._listed = tuple(other for other in self._listed or () if other != name)

    # -- for callers' requests -----------------------------------------------------

    def find(self, service: str) -> "Deferred[LookupResult]":
        """Return a Deferred of the lookup's result for a service that this daemon does not have."""
        result: Deferred[LookupResult] = Deferred()
        now = boot_time()
        if self._lookups.known_absent(service, now):
            result.callback(LookupResult.ABSENT)
        elif service in self._pending_lookups:
            self._pending_lookups[service].append(result)
        elif not self._lookups.take(now):
            eliot.log_message(
                "pearward:service-lookup", service=service, found="not looked up: rate limit"
            )
            result.callback(LookupResult.UNDETERMINED)
        else:
            self._pending_lookups[service] = [result]
            spawn(self._run_lookup(service))
        return result

    async def _run_lookup(self, service: str) -> None:
        began = boot_time()
        found, error = LookupResult.UNDETERMINED, ""
        try:
            found = await self._look_up(service)
        except PlatformUnavailable as failed:
            error = str(failed)
        except InvalidRecord as failed:
            self._unreadable.add(service)
            error = str(failed)
        finally:
            # Also after an unexpected exception, so that no caller waits until its deadline.
            waiting = self._pending_lookups.pop(service)
            eliot.log_message(
                "pearward:service-lookup",
                service=service,
                found=found.value,
                error=error,
                took_ms=round((boot_time() - began) * MS_PER_S, 1),
            )
            for result in waiting:
                result.callback(found)

    async def _look_up(self, service: str) -> LookupResult:
        """Read a service's rows, and its cell's record unless this daemon has one."""
        rows = await self._platform.get(TABLE + service)
        if rows is None:
            self._lookups.note_absent(service, boot_time())
            return LookupResult.ABSENT
        self._rows.value_found(rows.key, rows.value)
        if ServiceTable.from_bytes(service, rows.value).removed:
            self._lookups.note_absent(service, boot_time())
            return LookupResult.ABSENT
        if not self._rows.has_value(CELL + service):
            record = await self._platform.get(CELL + service)
            if record is not None:
                self._rows.value_found(record.key, record.value)
        return LookupResult.THERE
