"""What a member does at the platform's store itself, where peers cannot tell it or be told.

Records reach members by their peers, and an owner tells its heirs by a message that it has
given shards up. A daemon that is cut off from its peers may reach the store all the same. An
owner that is its own only witness, as in a cell that had shrunk to two, is the only one that
can release its shards: what it does not tell, nobody can.
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
"""Time for which a record may wait for a release that was given before the owner writes it:
heirs hear of it at once and their coordinator within a heartbeat (0.25 s)."""
READ_INTERVAL_MIN_S = 0.25
READ_INTERVAL_MAX_S = 15.0
"""Between reads of the record by a daemon that is alone: few while a whole network is down."""


class RecordHolder(Protocol):
    """Who acts on the cell's record in this daemon."""

    @property
    def ownership(self) -> Ownership:
        """What this daemon owns, and what it has given up."""

    def record_written(self, record: CellRecord, value: bytes) -> None:
        """A record is in force: adopt and spread it if it is newer."""


class StoreFallback:
    """Reads the cell's record, and writes this daemon's own release, where peers do neither."""

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

    def tick(self, now: float, *, alone: bool) -> None:
        """Look at the stored record if this daemon is *alone*, or its release stays unheard."""
        if not alone and not self._is_release_unreported(now):
            self._read_interval_s = READ_INTERVAL_MIN_S
            return
        if self._busy or now < self._next_read:
            return
        self._busy = True
        spawn(self._read_record())

    def _is_release_unreported(self, now: float) -> bool:
        """Return whether the record has waited for long for what was given up already."""
        record = self._holder.ownership.record
        awaited = 0 if record is None else awaited_release(record, self._incarnation)
        if not awaited or awaited > self._holder.ownership.released:
            self._unreported_since = None
            return False
        if self._unreported_since is None:
            self._unreported_since = now
        return now - self._unreported_since >= RELEASE_REPORT_S

    async def _read_record(self) -> None:
        """Act on the stored record; write the release that it still waits for."""
        try:
            pair = await self._platform.get(self._key)
            if pair is not None:
                await self._act_on(pair)
        except CasConflict:
            eliot.log_message("pearward:release-overtaken", key=self._key)
        except PlatformUnavailable as error:
            eliot.log_message("pearward:platform", call="look at record", error=str(error))
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
            # Requests still run, or the server is being told: soon to be looked at again.
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
