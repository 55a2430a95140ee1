"""Request ids that were seen, in memory, bounded by time and number."""

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["Remembered", "RequestMemory", "scoped_id"]


@dataclass(slots=True)
class Remembered:
    """What is known of one request id."""

    first_seen: float
    status: int = 0
    """HTTP status that the server answered with; 0 while none has come."""


class RequestMemory:
    """Remembers request ids for a while, so that none is handed over twice.

    An owner uses it for ids that it handed to its server, an ingress for the time at
    which it first saw an id.
    """

    def __init__(self, keep_s: float, limit: int) -> None:
        self._keep_s = keep_s
        self._limit = limit
        self._seen: OrderedDict[bytes, Remembered] = OrderedDict()

    def __len__(self) -> int:
        return len(self._seen)

    def find(self, request_id: bytes, now: float) -> Remembered | None:
        """Return what is known of an id, or None if it is new."""
        self._expire(now)
        return self._seen.get(request_id)

    def remember(self, request_id: bytes, now: float) -> Remembered:
        """Note an id; one that is known already keeps its first time."""
        self._expire(now)
        known = self._seen.get(request_id)
        if known is None:
            known = self._seen[request_id] = Remembered(now)
        return known

    def forget(self, request_id: bytes) -> None:
        """Drop an id whose request certainly never reached the server."""
        self._seen.pop(request_id, None)

    def has_room(self, now: float) -> bool:
        """Return whether another id can be kept for its whole time."""
        self._expire(now)
        return len(self._seen) < self._limit

    def _expire(self, now: float) -> None:
        horizon = now - self._keep_s
        while self._seen:
            oldest = next(iter(self._seen.values()))
            if oldest.first_seen > horizon:
                return
            self._seen.popitem(last=False)


def scoped_id(tenant: str, request_id: bytes) -> bytes:
    """Return a request id within its tenant: two tenants may choose the same."""
    return tenant.encode() + b"\x00" + request_id
