"""Whether a daemon hears the others of its cell. No I/O.

The load that this answers: links of one daemon are cut, one way or both, while it and the others
reach the platform's service; it cannot tell whether they are gone or it is.
"""

from pearward_state.records import CellRecord, MemberState

from .messages import PeerId

__all__ = ["CellContact"]

CONTACT_S = 2.0
"""A daemon that has heard none of its cell's others for this long counts as alone: twice the
lease, so that what a moment's pause looks like has passed."""
HANDICAP_NO_LEASE_S = 0.5
HANDICAP_ALONE_S = 5.0
"""Between looks at the role's key of a daemon that hears none of its cell: one read each."""


class CellContact:
    """When another daemon of the cell was last heard, by where its members listen."""

    def __init__(self, me: PeerId, now: float) -> None:
        self._me = me
        self._heard_at = now
        self._owner_heard_at = now - CONTACT_S
        """When one was heard that the record counts on, the same run of it."""
        self._answered_at = now
        """When one answered: by that, and not by its other words, it has heard this daemon."""
        self._record: CellRecord | None = None
        self._addresses: frozenset[str] = frozenset()

    def adopt(self, record: CellRecord) -> None:
        """Take the cell's members from *record*."""
        self._record = record
        self._addresses = frozenset(m.peer for m in record.members) - {self._me.address}

    def heard(self, peer: PeerId, now: float) -> None:
        """Note a sign of life of another daemon."""
        if self._record is None or peer.address not in self._addresses:
            return
        self._heard_at = now
        if _counts(self._record, peer.incarnation):
            self._owner_heard_at = now

    def is_alone(self, now: float) -> bool:
        """Return whether the record names others that are to act, and none of them is heard."""
        if self._record is None or now - self._heard_at < CONTACT_S:
            return False
        return any(
            m.state is not MemberState.RETIRED and m.peer != self._me.address
            for m in self._record.members
        )

    def answered(self, peer: PeerId, now: float) -> None:
        """Note another daemon's answer to something that this one asked it."""
        if peer.address in self._addresses:
            self._answered_at = now

    def may_replace_coordinator(self, now: float) -> bool:
        """Return whether this daemon may take the role from a holder that does not answer it.

        One that is alone may not, nor one that is answered by none of those that it hears: it is
        silent to the holder rather than the holder to it. One that the record does not count on
        asks nobody for renewals; it leaves the role to those that it does count on, and takes it
        where none of them is heard, as after a restart of all.
        """
        if self._record is None:
            return True
        if self.is_alone(now):
            return False
        if _counts(self._record, self._me.incarnation):
            return now - self._answered_at < CONTACT_S
        return now - self._owner_heard_at >= CONTACT_S

    def handicap_s(self, now: float, *, lease_held: bool) -> float:
        """Return how long this daemon holds back before it looks for the coordinator's role."""
        if self.is_alone(now):
            return HANDICAP_ALONE_S
        return 0.0 if self._record is None or lease_held else HANDICAP_NO_LEASE_S


def _counts(record: CellRecord, incarnation: str) -> bool:
    """Return whether a record names that incarnation as one that is to act."""
    member = record.member(incarnation)
    return member is not None and member.state is not MemberState.RETIRED
