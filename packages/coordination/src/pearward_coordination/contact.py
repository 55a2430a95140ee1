"""Detection of a daemon that is isolated from the other daemons of its cell. No I/O.

The failure that this covers: the links of one daemon are cut, in one or both directions, while it
and the others still reach the platform's service. The daemon cannot distinguish this from a
failure of all others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pearward_state.records import CellRecord, MemberState

from .messages import PeerId

if TYPE_CHECKING:
    from random import Random

__all__ = ["CellContact"]

CONTACT_TIMEOUT_S = 2.0
"""Time in s without a message from any other daemon of the cell after which a daemon is isolated:
twice the lease, so that a short pause does not count."""
NO_LEASE_DELAY_S = 0.5
"""Delay in s before a daemon without a lease tries to acquire the coordinator's role."""
ISOLATED_DELAY_S = 5.0
"""Interval in s of an isolated daemon's reads of the coordinator's key in the store."""
CONTACT_REQUEST_S = 0.5
"""Time in s without a reply after which a daemon requests some, and their interval: twice the
interval of heartbeats, so that a daemon whose coordinator replies sends none."""
REPLY_AFTER_COORDINATOR_S = 0.4
"""Time in s by which a reply of another daemon must be later than the coordinator's last one: more
than an interval of heartbeats, in which both arrive though this daemon is cut off from both, and
less than the silence after which a coordinator is replaced."""
CONTACT_FANOUT = 3
"""Maximum number of active or draining members, and of other daemons, that get each request."""
MAX_OUTSIDERS = 16
"""Maximum number of daemons of the cell that are remembered without being members."""


class CellContact:
    """Times of the last messages from other daemons of the cell, matched by member address."""

    def __init__(self, me: PeerId, now: float) -> None:
        self._me = me
        self._last_received = now
        self._last_received_from_member = now - CONTACT_TIMEOUT_S
        """Time of the last message from an active or draining member of the record."""
        self._last_reply = now
        """Time of the last reply; only replies prove that this daemon's messages arrive."""
        self._last_reply_from_member = now - CONTACT_TIMEOUT_S
        """Time of the last reply of an active or draining member of the record."""
        self._last_reply_of_coordinator = float("-inf")
        self._next_request = now
        self._record: CellRecord | None = None
        self._addresses: frozenset[str] = frozenset()
        self._outsiders: dict[str, str] = {}
        """Addresses, by incarnation, of daemons of the cell that the record does not name."""

    def adopt(self, record: CellRecord) -> None:
        """Set the cell's members from *record*; remember daemons that are no longer members."""
        former = self._record.members if self._record is not None else ()
        self._record = record
        self._addresses = frozenset(m.peer for m in record.members) - {self._me.address}
        for member in former:
            self._remember(PeerId(member.incarnation, member.peer))
        for incarnation in self._outsiders.keys() & record.by_incarnation.keys():
            del self._outsiders[incarnation]

    def note_request(self, peer: PeerId, cell: str) -> None:
        """Remember a daemon that sent a heartbeat or a renewal for *cell*, if that is this cell."""
        if self._record is not None and cell == self._record.cell:
            self._remember(peer)

    def note_received(self, peer: PeerId, now: float) -> None:
        """Record a message of another daemon, unless that is not known to be of the cell."""
        if self._record is None or not self._is_of_cell(peer):
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
        if self._record is None or not self._is_of_cell(peer):
            return
        self._last_reply = now
        if _is_unretired(self._record, peer.incarnation):
            self._last_reply_from_member = now

    def note_coordinator_reply(self, now: float) -> None:
        """Record a reply of a daemon that coordinates the cell."""
        self._last_reply_of_coordinator = now

    def contact_requests(self, now: float, rng: Random) -> list[str]:
        """Return the addresses of daemons to request a reply from, as none has arrived lately.

        A daemon with foreign witnesses or a coordinator gets replies anyway.
        """
        silent = now - self._last_reply >= CONTACT_REQUEST_S
        if self._record is None or not silent or now < self._next_request:
            return []
        self._next_request = now + CONTACT_REQUEST_S
        members = {m.peer for m in self._record.members if m.state is not MemberState.RETIRED}
        members -= {self._me.address}
        others = (self._addresses | set(self._outsiders.values())) - members
        return [
            address
            for group in (sorted(members), sorted(others))
            for address in rng.sample(group, min(CONTACT_FANOUT, len(group)))
        ]

    def may_replace_coordinator(self, now: float) -> bool:
        """Return whether this daemon may replace a coordinator that does not reply to it.

        An isolated daemon may not. Nor may one that receives messages but no replies: its own
        messages are lost, and the coordinator may be working. A reply from before the
        coordinator's silence proves nothing. A daemon that is not an active or draining member
        of the record leaves the role to those members that reply to it.
        """
        if self._record is None:
            return True
        if self.is_isolated(now):
            return False
        replied = now - self._last_reply < CONTACT_TIMEOUT_S and (
            self._last_reply - self._last_reply_of_coordinator >= REPLY_AFTER_COORDINATOR_S
        )
        if _is_unretired(self._record, self._me.incarnation):
            return replied
        if replied:
            return now - self._last_reply_from_member >= CONTACT_TIMEOUT_S
        return now - self._last_received_from_member >= CONTACT_TIMEOUT_S

    def election_delay_s(self, now: float, *, lease_held: bool) -> float:
        """Return the delay in s before this daemon tries to acquire the coordinator's role."""
        if self.is_isolated(now):
            return ISOLATED_DELAY_S
        return 0.0 if self._record is None or lease_held else NO_LEASE_DELAY_S

    def _is_of_cell(self, peer: PeerId) -> bool:
        """Return whether *peer* is at a member's address or is a remembered daemon."""
        return peer.address in self._addresses or peer.incarnation in self._outsiders

    def _remember(self, peer: PeerId) -> None:
        """Remember a daemon of the cell that is not at a member's address."""
        if peer.address == self._me.address or peer.address in self._addresses:
            return
        self._outsiders.pop(peer.incarnation, None)
        self._outsiders[peer.incarnation] = peer.address
        if len(self._outsiders) > MAX_OUTSIDERS:
            del self._outsiders[next(iter(self._outsiders))]


def _is_unretired(record: CellRecord, incarnation: str) -> bool:
    """Return whether *incarnation* is an active or draining member of *record*."""
    member = record.member(incarnation)
    return member is not None and member.state is not MemberState.RETIRED
