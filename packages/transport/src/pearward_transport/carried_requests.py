"""The requests that a connection has carried and that may be sent again."""

from collections import OrderedDict

__all__ = ["CarriedRequests"]


class CarriedRequests:
    """Ids of requests, each kept until the request can no longer be sent again."""

    def __init__(self) -> None:
        self._until: OrderedDict[bytes, float] = OrderedDict()

    def __contains__(self, request_id: bytes) -> bool:
        return request_id in self._until

    def __len__(self) -> int:
        return len(self._until)

    def add(self, request_id: bytes, until: float, now: float) -> None:
        """Add a request that may be sent again up to *until*; both times in s of one clock."""
        self._until[request_id] = until
        # In order of arrival: one with a long deadline delays the removal of later ones.
        while self._until and next(iter(self._until.values())) < now:
            self._until.popitem(last=False)
