"""Whether a daemon hears the others of its cell. No I/O.

The load that this answers: links of one daemon are cut, one way or both, while it and the others
reach the platform's service; it cannot tell whether they are gone or it is.
"""

from pearward_state.records import CellRecord, MemberState

__all__ = ["CellContact"]

CONTACT_S = 2.0
"""A daemon that has heard none of its cell's others for this long counts as alone: twice the
lease, so that what a moment's pause looks like has passed."""
HANDICAP_NO_LEASE_S = 0.5
HANDICAP_ALONE_S = 5.0
"""Between looks at the role's key of a daemon that hears none of its cell: one read each."""


class CellContact:
    """When another daemon of the cell was last heard, by where its members listen."""

    def __init__(self, own_address: str, now: float) -> None:
        self._own_address = own_address
        self._heard_at = now
        self._record: CellRecord | None = None
        self._addresses: frozenset[str] = frozenset()

    def adopt(self, record: CellRecord) -> None:
        """Take the cell's members from *record*."""
        self._record = record
        self._addresses = frozenset(m.peer for m in record.members) - {self._own_address}

    def heard(self, address: str, now: float) -> None:
        """Note a sign of life of the daemon at *address*."""
        if address in self._addresses:
            self._heard_at = now

    def is_alone(self, now: float) -> bool:
        """Return whether the record names others that are to act, and none of them is heard."""
        if self._record is None or now - self._heard_at < CONTACT_S:
            return False
        return any(
            m.state is not MemberState.RETIRED and m.peer != self._own_address
            for m in self._record.members
        )

    def handicap_s(self, now: float, *, lease_held: bool) -> float:
        """Return how long this daemon holds back before it looks for the coordinator's role."""
        if self.is_alone(now):
            return HANDICAP_ALONE_S
        return 0.0 if self._record is None or lease_held else HANDICAP_NO_LEASE_S
