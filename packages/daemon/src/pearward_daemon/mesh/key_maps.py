"""The key maps that this daemon knows, one a service, and their spread to the others."""

from collections.abc import Callable

from pearward_protocol.entries import (
    KEY_MAPS,
    decode_key_map,
    encode_key_map,
    key_map_key,
    packed,
    unpacked,
)
from pearward_state.errors import InvalidRecord
from pearward_state.keymap import KeyMap

from .log import DecisionLog

__all__ = ["KeyMaps"]


class KeyMaps:
    """The newest known key map of each service; versions only grow."""

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._maps: dict[str, KeyMap] = {}
        self._packed: dict[str, tuple[int, bytes]] = {}
        """Version and packed entry of the maps that were sent; each is sent to every member."""
        self._listeners: list[Callable[[KeyMap], None]] = []

    def on_newer(self, listener: Callable[[KeyMap], None]) -> None:
        """Call *listener* with each newer map."""
        self._listeners.append(listener)

    def of(self, service: str) -> KeyMap | None:
        """Return the newest known map of a service."""
        return self._maps.get(service)

    def version(self, service: str) -> int:
        """Return the version of the newest known map; 0 where there is none."""
        key_map = self._maps.get(service)
        return key_map.version if key_map is not None else 0

    def adopt(self, key_map: KeyMap) -> bool:
        """Take a map if it is newer than the known one; return whether it was."""
        if key_map.version <= self.version(key_map.service):
            return False
        self._maps[key_map.service] = key_map
        for listener in self._listeners:
            listener(key_map)
        return True

    def adopt_entry(self, value: bytes) -> None:
        """Take a map as a peer sent it; one that cannot be read is logged."""
        try:
            self.adopt(decode_key_map(unpacked(value)))
        except InvalidRecord as error:
            self._log.decided("key_map_unreadable", failure=True, error=str(error))

    def entry(self, key: str) -> tuple[int, bytes] | None:
        """Return version and packed entry of the map that is kept under *key* in the store."""
        key_map = self._maps.get(key.removeprefix(KEY_MAPS))
        if key_map is None or key != key_map_key(key_map.service):
            return None
        sent = self._packed.get(key)
        if sent is None or sent[0] != key_map.version:
            # A link of 6 Mbit/s takes seconds for the plain map to all members of a fleet.
            sent = self._packed[key] = (key_map.version, packed(encode_key_map(key_map)))
        return sent
