"""Entries of crashes in the platform's store, so that a quarantine outlasts all daemons."""

from collections.abc import Callable, Coroutine
from typing import Any

from pearward_protocol.entries import crash_key, encode_crash
from pearward_state.crashes import CrashRecord
from pearward_transport.clock import boot_time, sleep
from pearward_transport.errors import PlatformError
from pearward_transport.store import FleetStore, Put

from .log import DecisionLog

__all__ = ["CrashEntries"]

FIRST_RETRY_S = 0.2
MAX_RETRY_S = 5.0
"""Pauses after a failed call double up to this: nothing waits for the entry but daemons that
start, and after a crash of many targets many daemons write one."""
MIN_LEASE_S = 1.0
"""Seconds of a lease, at least: the store grants none below."""
WRITE_TIMEOUT_S = 120.0
"""Seconds after which an entry is not written any more: the store has been away for so long that
every daemon beside the service's targets has heard of the crash from this one, or has gone."""


class CrashEntries:
    """Writes what targets were running when they crashed; each entry goes by itself."""

    def __init__(
        self,
        reactor: Any,
        store: FleetStore,
        log: DecisionLog,
        lasts_s: float,
        run: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._log = log
        self._lasts_s = lasts_s
        self._run = run
        self._written: dict[str, tuple[CrashRecord, float]] = {}
        """Crashes of the targets beside this daemon, by target, and when each was noticed."""

    def write(self, record: CrashRecord) -> None:
        """Write a crash's entry as soon as the store takes it."""
        now = boot_time()
        self._forget(now)
        self._written[record.target] = (record, now)
        self._run(self._write(record, now))

    def store_went_back(self) -> int:
        """Write the entries that still count again; return how many there are."""
        self._forget(boot_time())
        for record, noticed_at in self._written.values():
            self._run(self._write(record, noticed_at))
        return len(self._written)

    def _forget(self, now: float) -> None:
        """Drop the crashes that no longer count: a daemon may see many in its life."""
        self._written = {
            target: (record, at)
            for target, (record, at) in self._written.items()
            if now - at < self._lasts_s
        }

    async def _write(self, record: CrashRecord, noticed_at: float) -> None:
        began = boot_time()
        retry_s = FIRST_RETRY_S
        while boot_time() - began < WRITE_TIMEOUT_S:
            left_s = max(MIN_LEASE_S, noticed_at + self._lasts_s - boot_time())
            try:
                # The entry and its lease are two calls; a lease without an entry just runs out.
                lease = await self._store.grant_lease(left_s)
                await self._store.commit(
                    [], [Put(crash_key(record.target), encode_crash(record), lease)]
                )
                self._log.decided("crash_recorded", target=record.target, lease=lease)
                return
            except PlatformError as error:
                self._log.decided(
                    "crash_not_recorded", failure=True, target=record.target, error=str(error)
                )
            await sleep(self._reactor, retry_s)
            retry_s = min(MAX_RETRY_S, retry_s * 2)
