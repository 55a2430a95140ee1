"""The entry of the local target's announced end in the platform's store.

A daemon that restarts reads it, as a heartbeat from before the announcement may arrive later. It
has a lease of its own, after which no such heartbeat can arrive.
"""

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred, succeed

from pearward_coordination.incarnations import MAX_TRANSIT_S
from pearward_protocol.entries import departure_key, encode_departure
from pearward_state.members import Departure
from pearward_transport.clock import boot_time, sleep
from pearward_transport.errors import PlatformError
from pearward_transport.store import FleetStore, Put

from .log import DecisionLog

__all__ = ["DepartureEntry"]

FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.0
"""Maximum delay in s between retries, which double after each failed call."""


class DepartureEntry:
    """Writes the departure of one daemon's target, and removes it once the target has ended."""

    def __init__(
        self,
        reactor: Any,
        instance: str,
        store: FleetStore,
        log: DecisionLog,
        run: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._reactor = reactor
        self._key = departure_key(instance)
        self._store = store
        self._log = log
        self._run = run
        self._departure: Departure | None = None
        self._announced_at = 0.0
        self._lease = 0
        """Lease of the entry in the store; 0 while there is none."""
        self._working = False
        self._stored: list[Deferred[None]] = []
        """Fire once the departure is stored, or is no longer to be."""

    # -- properties -------------------------------------------------------------

    @property
    def key(self) -> str:
        """Key of the entry."""
        return self._key

    # -- changes ------------------------------------------------------------------

    def write(self, departure: Departure) -> "Deferred[None]":
        """Write a departure, with retries; the Deferred fires when it is stored."""
        if self._departure is None or self._departure.target != departure.target:
            self._departure, self._announced_at, self._lease = departure, boot_time(), 0
        if self._lease:
            return succeed(None)
        stored: Deferred[None] = Deferred()
        self._stored.append(stored)
        self._update_soon()
        return stored

    def found(self, departure: Departure, lease: int) -> None:
        """Note the entry that an earlier process of this daemon has written."""
        if self._departure is None:
            self._departure, self._announced_at, self._lease = departure, boot_time(), lease

    def remove(self, target: str) -> None:
        """Remove the entry if it is about *target*, an id whose process has ended."""
        if self._departure is not None and self._departure.target == target:
            self._departure = None
            self._update_soon()

    def store_restored(self) -> None:
        """Write the entry again: the restored store may have lost it."""
        self._lease = 0
        if self._departure is not None:
            self._update_soon()

    def _update_soon(self) -> None:
        if not self._working:
            self._run(self._update())

    async def _update(self) -> None:
        """Call the store until its entry is up to date, or is no longer needed."""
        self._working = True
        retry_s = FIRST_RETRY_S
        try:
            while self._must_write() or (self._departure is None and self._lease):
                try:
                    await self._call_store()
                    retry_s = FIRST_RETRY_S
                except PlatformError as error:
                    self._log.emit("departure_not_recorded", failure=True, error=str(error))
                    await sleep(self._reactor, retry_s)
                    retry_s = min(MAX_RETRY_S, retry_s * 2)
        finally:
            self._working = False
            stored, self._stored = self._stored, []
            for waiting in stored:
                waiting.callback(None)

    def _must_write(self) -> bool:
        if self._departure is None or self._lease:
            return False
        return boot_time() - self._announced_at < MAX_TRANSIT_S

    async def _call_store(self) -> None:
        departure = self._departure
        if departure is None:
            lease, self._lease = self._lease, 0
            try:
                await self._store.revoke(lease)
            except PlatformError:
                if self._departure is None:
                    self._lease = lease
                raise
            self._log.emit("departure_removed", lease=lease)
            return
        lease = await self._store.grant_lease(MAX_TRANSIT_S)
        await self._store.commit([], [Put(self._key, encode_departure(departure), lease)])
        # If the departure has changed meanwhile, the entry is written again.
        if self._departure in (departure, None):
            self._lease = lease
        self._log.emit("departure_recorded", target=departure.target, lease=lease)
