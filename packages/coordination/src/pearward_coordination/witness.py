"""A witness: grants renewals, and says when an earlier owner can no longer act.

Safety rests on three rules. A grant goes only to a sender that acts on a record at
least as new as the witness's own. A witness that answered "released" for a version
never again grants to a sender that has not given up what that version took. And only
the incarnation that a record names is a witness, so that no promise is forgotten.
"""

from dataclasses import dataclass

from pearward_state.records import CellRecord

from .lease import NEVER, LeaseTiming
from .messages import AskRelease, ReleaseReply, Renew, RenewReply

__all__ = ["Witness"]

MS_PER_S = 1000


@dataclass(slots=True)
class _Watched:
    """What a witness knows of one owner."""

    granted_until: float = NEVER
    last_heard: float = NEVER
    confirmed: int = 0
    """Highest version that the owner itself said it has given up the shards of."""
    answered: int = 0
    """Highest version that was answered "released" for."""


class Witness:
    """Times the leases of the owners that a cell's record entrusts to this daemon."""

    def __init__(self, incarnation: str, timing: LeaseTiming) -> None:
        self._incarnation = incarnation
        self._timing = timing
        self._watched: dict[str, _Watched] = {}
        self._since: dict[str, float] = {}

    def adopt(self, record: CellRecord, now: float) -> None:
        """Take the owners to watch from *record*."""
        named = {
            member.incarnation
            for member in record.members
            if self._incarnation in (*member.witnesses, *member.former_witnesses)
        }
        for name in named:
            self._watched.setdefault(name, _Watched())
            self._since.setdefault(name, now)
        present = record.by_incarnation
        for name in [n for n in self._watched if n not in present]:
            # A grant that still runs must not be forgotten: its owner may be named again.
            if now >= self._watched[name].granted_until:
                del self._watched[name]
                self._since.pop(name, None)

    def on_renew(
        self, owner: str, ask: Renew, record: CellRecord, table_version: int, now: float
    ) -> RenewReply:
        """Decide on a renewal."""
        granted = self._may_grant(owner, ask, record, table_version)
        watched = self._watched.get(owner)
        if watched is not None:
            watched.last_heard = now
            watched.confirmed = max(watched.confirmed, ask.released)
            if granted:
                watched.granted_until = now + self._timing.lease_s
        return RenewReply(ask.cell, owner, ask.nonce, granted, record.version)

    def _may_grant(self, owner: str, ask: Renew, record: CellRecord, table_version: int) -> bool:
        """Return whether the owner may go on, as far as this witness knows."""
        member = record.member(owner)
        watched = self._watched.get(owner)
        if member is None or watched is None:
            return False
        if self._incarnation not in (*member.witnesses, *member.former_witnesses):
            return False
        if ask.adopted < record.version or ask.table_version < table_version:
            return False
        return ask.released >= watched.answered

    def on_ask_release(self, ask: AskRelease, record: CellRecord, now: float) -> ReleaseReply:
        """Say whether the last grant to an earlier owner has run out."""
        released = False
        remaining = self._timing.lease_s
        watched = self._watched.get(ask.owner)
        if record.version >= ask.version and watched is not None:
            remaining = max(0.0, watched.granted_until - now)
            released = watched.confirmed >= ask.version or remaining == 0.0
            if released:
                watched.answered = max(watched.answered, ask.version)
        return ReleaseReply(
            ask.cell, ask.owner, ask.version, released, record.version, int(remaining * MS_PER_S)
        )

    def silent(self, record: CellRecord, now: float) -> tuple[str, ...]:
        """Return the members of *record* that have not been heard for the silence time."""
        limit = now - self._timing.silence_s
        return tuple(
            name
            for name, watched in self._watched.items()
            if name in record.by_incarnation and max(watched.last_heard, self._since[name]) <= limit
        )
