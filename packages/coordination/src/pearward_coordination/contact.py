"""Detection of a daemon that is isolated from the other daemons of its cell. No I/O.

The failure that this covers: the links of one daemon are cut, in one or both directions, while it
and the others still reach the platform's service. The daemon cannot distinguish this from a
failure of all others.
"""

from pearward_state.records import CellRecord, MemberState

from .messages import PeerId

__all__ = ["CellContact"]

CONTACT_TIMEOUT_S = 2.0
"""Time in s without a message from any other daemon of the cell after which a daemon is isolated:
twice the lease, so that a short pause does not count."""
NO_LEASE_DELAY_S = 0.5
"""Delay in s before a daemon without a lease tries to acquire the coordinator's role."""
ISOLATED_DELAY_S = 5.0
"""Interval in s of an isolated daemon's reads of the coordinator's key in the store."""


class CellContact:
    """Times of the last messages from other daemons of the cell, matched by member address."""

    def __init__(self, me: PeerId, now: float) -> None:
        self._me = me
        self._last_received = now
        self._last_received_from_member = now - CONTACT_TIMEOUT_S
        """Time of the last message from an active or draining member of the record."""
        self._last_reply = now
        """Time of the last reply; only replies prove that this daemon's messages arrive."""
        self._record: CellRecord | None = None
        self._addresses: frozenset[str] = frozenset()

    def adopt(self, record: CellRecord) -> None:
        """Set the cell's members from *record*."""
        self._record = record
        self._addresses = frozenset(m.peer for m in record.members) - {self._me.address}

    def note_received(self, peer: PeerId, now: float) -> None:
        """Record a message of another daemon, unless that is no member of the cell."""
        if self._record is None or peer.address not in self._addresses:
            return
        self._last_received = now
        if _is_unretired(self._record, peer.incarnation):
            self._last_received_from_member = now

    def is_isolated(self, now: float) -> bool:
        """Return whether there are other active or draining members, but no message arrives."""
        if self._record is None or now - self._last_received < CONTACT_TIMEOUT_S:
            return False
        return any(
            m.state is not MemberState.RETIRED and m.peer != self._me.address
            for m in self._record.members
        )

    def note_reply(self, peer: PeerId, now: float) -> None:
        """Record another daemon's reply to a request of this one."""
        if peer.address in self._addresses:
            self._last_reply = now

    def may_replace_coordinator(self, now: float) -> bool:
        """Return whether this daemon may replace a coordinator that does not reply to it.

        An isolated daemon may not. Nor may one that receives messages but no replies: its own
        messages are lost, and the coordinator may be working. A daemon that is not an active or
        draining member of the record sends no renewals and so gets no replies. It leaves the role
        to those members, and takes it only if no message arrives from any of them, as after a
        restart of all.
        """
        if self._record is None:
            return True
        if self.is_isolated(now):
            return False
        if _is_unretired(self._record, self._me.incarnation):
            return now - self._last_reply < CONTACT_TIMEOUT_S
        return now - self._last_received_from_member >= CONTACT_TIMEOUT_S

    def election_delay_s(self, now: float, *, lease_held: bool) -> float:
        """Return the delay in s before this daemon tries to acquire the coordinator's role."""
        if self.is_isolated(now):
            return ISOLATED_DELAY_S
        return 0.0 if self._record is None or lease_held else NO_LEASE_DELAY_S


def _is_unretired(record: CellRecord, incarnation: str) -> bool:
    """Return whether *incarnation* is an active or draining member of *record*."""
    member = record.member(incarnation)
    return member is not None and member.state is not MemberState.RETIRED
