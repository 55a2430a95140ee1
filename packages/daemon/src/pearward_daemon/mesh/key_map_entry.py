"""The key map of one service in the platform's store, as its planner reads and writes it.

It is written by compare-and-swap: two daemons that both believe to have the planner's duty do
no harm. An entry that another writer spoiled never replaces a map that is known here.
"""

from collections.abc import Callable
from dataclasses import replace

from pearward_protocol.entries import decode_key_map, encode_key_map, key_map_key
from pearward_protocol.etcd import KeyValue
from pearward_state.errors import InvalidRecord
from pearward_state.keymap import KeyMap
from pearward_transport.errors import PlatformUnavailable
from pearward_transport.store import Expectation, FleetStore, Put

from .key_maps import KeyMaps
from .log import DecisionLog

__all__ = ["KeyMapEntry"]

MakeAnew = Callable[[int], KeyMap | None]
"""Takes a revision of the store that is above all versions and fences ever given; returns a map
under it, or None while somebody may yet hold keys by a former one."""


class KeyMapEntry:
    """One service's entry."""

    def __init__(
        self,
        service: str,
        store: FleetStore,
        key_maps: KeyMaps,
        log: DecisionLog,
        spread: Callable[[KeyMap], None],
    ) -> None:
        self._service = service
        self._key = key_map_key(service)
        self._store = store
        self._maps = key_maps
        self._log = log
        self._spread = spread
        self._revision = 0
        """Revision of the entry in the store; 0 while it is not known."""

    def forget(self) -> None:
        """Read the entry anew before anything is planned by it."""
        self._revision = 0

    async def read(self, make_anew: MakeAnew) -> KeyMap | None:
        """Return the map as the store has it, or None; read once, then known by its revision.

        Raises what the store raises, and PlatformUnavailable while a spoiled entry stands.
        """
        known = self._maps.of(self._service)
        if self._revision and known is not None:
            return known
        item = await self._store.get(self._key)
        if item is None:
            return None
        try:
            key_map = self._decoded(item)
        except InvalidRecord as error:
            return await self._restored(known, item, make_anew, error)
        self._maps.adopt(key_map)
        self._revision = item.revision
        self._log.decided(
            "key_map_read", service=key_map.service, version=key_map.version,
            fence=key_map.fence, revision=item.revision, era=self._store.era,
            known=known.version if known is not None else 0,
        )  # fmt: skip
        self._spread(key_map)
        return key_map

    def _decoded(self, item: KeyValue) -> KeyMap:
        key_map = decode_key_map(item.value)
        if key_map.service != self._service:
            raise InvalidRecord(f"the map of {key_map.service!r}")
        return key_map

    async def _restored(
        self, known: KeyMap | None, item: KeyValue, make_anew: MakeAnew, error: InvalidRecord
    ) -> KeyMap:
        """Write the known map over an entry that another writer spoiled.

        Each version and each fence cost a write of the store: its revision is above all of them.
        """
        self._log.decided(
            "key_map_unreadable", failure=True, key=item.key, error=str(error),
            known=known.version if known is not None else 0,
        )  # fmt: skip
        if known is not None:
            restored: KeyMap | None = replace(known, version=known.version + 1)
        else:
            restored = make_anew(item.revision + 1)
        if restored is None:
            raise PlatformUnavailable(f"{item.key} cannot be read, and no map is known") from error
        self._revision = item.revision
        await self.write(restored, "restored")
        return restored

    async def write(self, planned: KeyMap, why: str) -> None:
        """Write a map, act on it and tell the others; raises what the store raises."""
        self._revision = await self._store.commit(
            [Expectation(self._key, self._revision)], [Put(self._key, encode_key_map(planned))]
        )
        self._log.decided(
            "key_map_written", service=planned.service, version=planned.version, why=why,
            ranges=len(planned.ranges), targets=len(planned.targets), fence=planned.fence,
            revision=self._revision, era=self._store.era,
        )  # fmt: skip
        self._maps.adopt(planned)
        self._spread(planned)
