"""The key map of one service in the platform's store, as its planner reads and writes it.

It is written by compare-and-swap, so two daemons that both act as the planner do no harm. A
known map is never replaced by an entry that another writer corrupted, nor by one from an earlier
era of the store, before it was restored from an older copy: that is renumbered first.
"""

from collections.abc import Callable
from dataclasses import replace

from pearward_protocol.entries import decode_key_map, encode_key_map, era_key, key_map_key
from pearward_protocol.etcd import KeyValue
from pearward_state.eras import era_start, next_number
from pearward_state.errors import InvalidRecord
from pearward_state.keymap import KeyMap
from pearward_transport.errors import PlatformUnavailable
from pearward_transport.revisions import revision_count
from pearward_transport.store import Expectation, FleetStore, Put

from ..errors import MapNotSettled
from .key_maps import KeyMaps
from .log import DecisionLog

__all__ = ["KeyMapEntry"]

MARKED_ERAS = 8
"""Number of eras, up to the current one, that are marked in the store when an era starts. A write
may be executed seconds after it was sent, and the store may be restored twice in that time."""

RebuildMap = Callable[[int], KeyMap | None]
"""Takes a number above all versions and fences ever issued; returns a map with that number, or None
while keys may still be held under a former map."""


class KeyMapEntry:
    """Reads and writes the key map entry of one service."""

    def __init__(
        self,
        service: str,
        store: FleetStore,
        key_maps: KeyMaps,
        log: DecisionLog,
        distribute: Callable[[KeyMap], None],
    ) -> None:
        self._service = service
        self._key = key_map_key(service)
        self._store = store
        self._maps = key_maps
        self._log = log
        self._distribute = distribute
        self._revision = 0
        """Revision of the entry in the store; 0 while unknown."""

    def invalidate(self) -> None:
        """Make the next read() load the entry from the store again."""
        self._revision = 0

    async def read(self, rebuild_map: RebuildMap, *, era_settled: bool) -> KeyMap | None:
        """Return the map in the store, or None; read once, then cached by its revision.

        A map of an earlier era of the store, or older than the known one, is written again under
        the next number once *era_settled* is true: others have had time to report newer maps.
        Raises MapNotSettled before that, the store's errors, and PlatformUnavailable while the
        entry is corrupt and cannot be rebuilt.
        """
        known = self._maps.of(self._service)
        if self._revision and known is not None and known.era == self._store.era:
            return known
        item = await self._store.get(self._key)
        era = self._store.era
        known = self._maps.of(self._service)
        try:
            found = self._decoded(item) if item is not None else None
        except InvalidRecord as error:
            assert item is not None
            return await self._restored(known, item, rebuild_map, error, era)
        newest = max(filter(None, (known, found)), key=lambda m: m.version, default=None)
        if newest is None:
            return None
        current = found is not None and found.version == newest.version and found.era == era
        if not current and not era_settled:
            raise MapNotSettled(f"{self._key}: version {newest.version} in era {era}")
        self._log.emit(
            "key_map_read", service=self._service, era=era,
            version=found.version if found is not None else 0,
            fence=found.fence if found is not None else 0,
            revision=item.revision if item is not None else 0,
            known=known.version if known is not None else 0,
        )  # fmt: skip
        self._revision = item.revision if item is not None else 0
        if not current:
            return await self._renumbered(newest, era, "store restored from an older copy")
        self._maps.adopt(newest)
        self._distribute(newest)
        return newest

    def _decoded(self, item: KeyValue) -> KeyMap:
        key_map = decode_key_map(item.value)
        if key_map.service != self._service:
            raise InvalidRecord(f"the map of {key_map.service!r}")
        return key_map

    async def _restored(
        self,
        known: KeyMap | None,
        item: KeyValue,
        rebuild_map: RebuildMap,
        error: InvalidRecord,
        era: int,
    ) -> KeyMap:
        """Write the known or rebuilt map over an entry that another writer corrupted.

        Each version and fence of an era took a write to the store in that era, so the entry's
        revision is above all of them.
        """
        self._log.emit(
            "key_map_unreadable", failure=True, key=item.key, error=str(error),
            known=known.version if known is not None else 0,
        )  # fmt: skip
        self._revision = item.revision
        if known is not None:
            return await self._renumbered(known, era, "unreadable entry replaced")
        restored = rebuild_map(next_number(era_start(era) + revision_count(item.revision), era))
        if restored is None:
            raise PlatformUnavailable(
                f"{item.key} cannot be decoded, and no map is known"
            ) from error
        await self.write(restored, "unreadable entry replaced")
        return restored

    async def _renumbered(self, key_map: KeyMap, era: int, why: str) -> KeyMap:
        """Write a map under a new number if the store lacks it or has it from an earlier era."""
        number = next_number(key_map.version, era)
        renewed = replace(
            key_map, version=number, fence=max(key_map.fence, era_start(era)),
            unsettled=key_map.unsettled or key_map.era < era,
        )  # fmt: skip
        await self.write(renewed, why)
        return renewed

    async def write(self, planned: KeyMap, why: str) -> None:
        """Write a map, adopt it and distribute it; raises the store's errors."""
        era = planned.era
        marks = range(max(1, era - MARKED_ERAS + 1), era + 1) if self._starts_era(planned) else ()
        self._revision = await self._store.commit(
            # A write that is executed only after the store was restored must not replace a
            # later map: revisions are reused, so the condition on the revision may hold.
            [Expectation(self._key, self._revision), Expectation(era_key(era + 1), 0)],
            [Put(self._key, encode_key_map(planned)), *(Put(era_key(e), b"") for e in marks)],
        )
        if self._store.era != era:
            self._revision = 0
            raise PlatformUnavailable(f"{self._key}: the store was restored during the write")
        self._log.emit(
            "key_map_written", service=planned.service, version=planned.version, reason=why,
            ranges=len(planned.ranges), targets=len(planned.targets), fence=planned.fence,
            revision=self._revision, era=era, unsettled=planned.unsettled,
        )  # fmt: skip
        self._maps.adopt(planned)
        self._distribute(planned)

    def _starts_era(self, planned: KeyMap) -> bool:
        """Return whether a map is the first one known to this daemon in its era."""
        known = self._maps.of(self._service)
        return known is None or known.era < planned.era
