"""Crash entries in the platform's store, by which a quarantine survives daemon restarts."""

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
"""Maximum delay in s between retries, which double after each failed call. Only daemons that start
need the entry, and after a crash of many targets many daemons write one."""
MIN_LEASE_S = 1.0
"""Minimum duration of a lease in s: the store grants no shorter one."""
WRITE_TIMEOUT_S = 120.0
"""Seconds after which writing an entry is abandoned. While the store was unavailable for that time,
every daemon of the service was notified of the crash by this one or has terminated."""


class CrashEntries:
    """Writes the contents that targets were running when they crashed; entries expire by lease."""

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
        """Crashes of local targets, by target, with the time at which each was detected."""

    def write(self, record: CrashRecord) -> None:
        """Write the entry of a crash, with retries while the store is unavailable."""
        now = boot_time()
        self._forget(now)
        self._written[record.target] = (record, now)
        self._run(self._write(record, now))

    def store_restored(self) -> int:
        """Write the entries in force again after a restore; return their number."""
        self._forget(boot_time())
        for record, detected_at in self._written.values():
            self._run(self._write(record, detected_at))
        return len(self._written)

    def _forget(self, now: float) -> None:
        """Drop expired crashes: many may accumulate while a daemon runs."""
        self._written = {
            target: (record, at)
            for target, (record, at) in self._written.items()
            if now - at < self._lasts_s
        }

    async def _write(self, record: CrashRecord, detected_at: float) -> None:
        started_at = boot_time()
        retry_s = FIRST_RETRY_S
        while boot_time() - started_at < WRITE_TIMEOUT_S:
            left_s = max(MIN_LEASE_S, detected_at + self._lasts_s - boot_time())
            try:
                # The entry and its lease take two calls; a lease without an entry just expires.
                lease = await self._store.grant_lease(left_s)
                await self._store.commit(
                    [], [Put(crash_key(record.target), encode_crash(record), lease)]
                )
                self._log.emit("crash_recorded", target=record.target, lease=lease)
                return
            except PlatformError as error:
                self._log.emit(
                    "crash_not_recorded", failure=True, target=record.target, error=str(error)
                )
            await sleep(self._reactor, retry_s)
            retry_s = min(MAX_RETRY_S, retry_s * 2)
