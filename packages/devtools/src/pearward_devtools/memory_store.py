"""An in-memory key-value service of the platform, for tests in virtual time."""

from collections.abc import Callable

from pearward_protocol.etcd import KeyRevision, KeyValue, WatchEvent
from pearward_transport.errors import CasConflict, PlatformUnavailable

__all__ = ["MemoryStore"]


class _EmptyWatch:
    """A watch that never delivers events."""

    def __init__(self, store: "MemoryStore") -> None:
        self._store = store
        store.watches.add(self)

    def stop(self) -> None:
        """End the watch."""
        self._store.watches.discard(self)


class MemoryStore:
    """Keys with their revisions; calls complete at once, or fail while the store is unavailable."""

    def __init__(self) -> None:
        self._pairs: dict[str, KeyValue] = {}
        self._revision = 0
        self._lease = 0
        self.unavailable = False
        self.reads: list[str] = []
        """Keys and prefixes of all calls, in order."""
        self.revoked: list[int] = []
        """Leases that were revoked, in order."""
        self.watches: set[_EmptyWatch] = set()
        """Watches that have not been stopped."""

    def put(self, key: str, value: bytes) -> None:
        """Write a value, regardless of the key's revision."""
        self._revision += 1
        self._pairs[key] = KeyValue(key, value, self._revision)

    def value(self, key: str) -> bytes:
        """Return the value of an existing key; raises KeyError."""
        return self._pairs[key].value

    def has(self, key: str) -> bool:
        """Return whether a key exists."""
        return key in self._pairs

    async def get(self, key: str) -> KeyValue | None:
        """Return a key's value, or None."""
        self._check(key)
        return self._pairs.get(key)

    async def scan(self, prefix: str) -> list[KeyValue]:
        """Return all key-values under *prefix*."""
        self._check(prefix)
        return [pair for key, pair in sorted(self._pairs.items()) if key.startswith(prefix)]

    async def names(self, prefix: str) -> list[str]:
        """Return all keys under *prefix*."""
        return [pair.key for pair in await self.scan(prefix)]

    async def swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes | None,
        lease: int = 0,
        *,
        guard: KeyRevision | None = None,
    ) -> None:
        """Replace a value if its revision is the expected one; raises CasConflict."""
        self._check(key)
        for condition in (KeyRevision(key, expected_revision), guard):
            if condition is None:
                continue
            current = self._pairs.get(condition.key)
            if (current.revision if current is not None else 0) != condition.revision:
                raise CasConflict(f"{condition.key}: revision is no longer {condition.revision}")
        if value is None:
            self._pairs.pop(key, None)
        else:
            self.put(key, value)

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""
        self._check("")
        self._lease += 1
        return self._lease

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; leases of this store never expire."""
        self._check("")
        return True

    async def revoke(self, lease: int) -> None:
        """End a lease; its keys stay."""
        self._check("")
        self.revoked.append(lease)

    def watch(
        self,
        key: str,
        on_events: Callable[[list[WatchEvent]], None],
        on_lost: Callable[[], None],
        *,
        prefix: bool = False,
    ) -> _EmptyWatch:
        """Return a watch without events, since the code under test also polls."""
        return _EmptyWatch(self)

    def _check(self, key: str) -> None:
        if self.unavailable:
            raise PlatformUnavailable("the store is unavailable")
        self.reads.append(key)
