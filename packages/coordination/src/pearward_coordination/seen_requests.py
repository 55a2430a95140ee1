"""In-memory set of request ids that were seen, limited by age and number."""

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["SeenRequest", "SeenRequests", "scoped_id"]


@dataclass(slots=True)
class SeenRequest:
    """Record of one request id."""

    first_seen: float
    status: int = 0
    """HTTP status of the server's response; 0 before there is one."""


class SeenRequests:
    """Set of request ids, kept for a limited time to detect duplicates.

    An owner uses it so that it passes no id to its server twice, an ingress for the time at which
    it first received an id.
    """

    def __init__(self, keep_s: float, limit: int) -> None:
        self._keep_s = keep_s
        self._limit = limit
        self._seen: OrderedDict[bytes, SeenRequest] = OrderedDict()

    def __len__(self) -> int:
        return len(self._seen)

    def find(self, request_id: bytes, now: float) -> SeenRequest | None:
        """Return the record of an id, or None if it is new."""
        self._expire(now)
        return self._seen.get(request_id)

    def remember(self, request_id: bytes, now: float) -> SeenRequest:
        """Add an id and return its record; a known id keeps its first time."""
        self._expire(now)
        known = self._seen.get(request_id)
        if known is None:
            known = self._seen[request_id] = SeenRequest(now)
        return known

    def forget(self, request_id: bytes) -> None:
        """Remove an id whose request certainly did not reach the server."""
        self._seen.pop(request_id, None)

    def has_capacity(self, now: float) -> bool:
        """Return whether another id can be kept for its full time."""
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
    """Return a request id prefixed by its tenant, since two tenants may use the same id."""
    return tenant.encode() + b"\x00" + request_id
