"""A member's direct use of the platform's store if it cannot reach its peers.

Members get records from their peers, and an owner notifies the new owners of its shards of the
release by a message. A daemon that is cut off from its peers may still reach the store. An owner
that is its own only witness, as in a cell that has shrunk to two members, is the only one that
can release its shards: without its report they get no new owner.
"""

from random import Random
from typing import Protocol

import eliot

from pearward_coordination.ownership import Ownership
from pearward_coordination.release_record import awaited_release, without_release_of
from pearward_protocol.etcd import KeyValue
from pearward_state.errors import InvalidRecord
from pearward_state.records import CellRecord
from pearward_transport.clock import boot_time
from pearward_transport.errors import CasConflict, PlatformUnavailable
from pearward_transport.platform import KeyValueService

from .tasks import spawn

__all__ = ["RecordHolder", "StoreFallback"]

RELEASE_REPORT_S = 1.5
"""Time for which a record may await a release that was sent, before the owner writes it to the
store: new owners get the message at once, the coordinator within a heartbeat (0.25 s)."""
READ_INTERVAL_MIN_S = 0.25
READ_INTERVAL_MAX_S = 15.0
"""Limits of the interval between reads of the record by an isolated daemon; the interval doubles,
so that the store gets few reads while a whole network is down."""


class RecordHolder(Protocol):
    """Interface of the control plane that adopts the cell's record in this daemon."""

    @property
    def ownership(self) -> Ownership:
        """Shards that this daemon owns, and the version up to which it has released others."""

    def record_written(self, record: CellRecord, value: bytes) -> None:
        """Adopt and distribute a record that has taken effect, if it is newer."""


class StoreFallback:
    """Reads the cell's record and writes this daemon's release at the store, without any peer."""

    def __init__(
        self,
        platform: KeyValueService,
        holder: RecordHolder,
        cell: str,
        incarnation: str,
        rng: Random,
    ) -> None:
        self._platform = platform
        self._holder = holder
        self._key = f"cell/{cell}"
        self._incarnation = incarnation
        self._rng = rng
        self._busy = False
        self._unreported_since: float | None = None
        self._read_interval_s = READ_INTERVAL_MIN_S
        self._next_read = 0.0
        self._writes = 0

    def tick(self, now: float, *, isolated: bool) -> None:
        """Read the stored record if this daemon is *isolated* or its release stays unreported."""
        if not isolated and not self._is_release_unreported(now):
            self._read_interval_s = READ_INTERVAL_MIN_S
            return
        if self._busy or now < self._next_read:
            return
        self._busy = True
        spawn(self._read_record())

    def _is_release_unreported(self, now: float) -> bool:
        """Return whether the record has awaited a release by this daemon for too long."""
        record = self._holder.ownership.record
        awaited = 0 if record is None else awaited_release(record, self._incarnation)
        if not awaited or awaited > self._holder.ownership.released:
            self._unreported_since = None
            return False
        if self._unreported_since is None:
            self._unreported_since = now
        return now - self._unreported_since >= RELEASE_REPORT_S

    async def _read_record(self) -> None:
        """Adopt the stored record, and write the release that it still awaits."""
        try:
            pair = await self._platform.get(self._key)
            if pair is not None:
                await self._act_on(pair)
        except CasConflict:
            eliot.log_message("pearward:release-write-conflict", key=self._key)
        except PlatformUnavailable as error:
            eliot.log_message(
                "pearward:platform-call-failed", call="adopt stored record", error=str(error)
            )
        except InvalidRecord as error:
            eliot.log_message("pearward:invalid-record", key=self._key, error=str(error))
        finally:
            self._busy = False
            self._next_read = boot_time() + self._read_interval_s * (
                0.75 + 0.5 * self._rng.random()
            )
            self._read_interval_s = min(READ_INTERVAL_MAX_S, self._read_interval_s * 2)

    async def _act_on(self, pair: KeyValue) -> None:
        record = CellRecord.from_bytes(pair.value)
        self._holder.record_written(record, pair.value)
        ownership = self._holder.ownership
        if awaited_release(record, self._incarnation) > ownership.released:
            # Requests still run, or the grant to the server is in transit: read again soon.
            self._read_interval_s = READ_INTERVAL_MIN_S
            return
        self._writes += 1
        write_id = f"{self._incarnation}:release:{self._writes}"
        planned = without_release_of(record, self._incarnation, ownership.released, write_id)
        if planned is None:
            return
        value = planned.to_bytes()
        await self._platform.swap(self._key, pair.revision, value)
        eliot.log_message(
            "pearward:release-written",
            key=self._key,
            version=planned.version,
            released=ownership.released,
        )
        self._holder.record_written(planned, value)
