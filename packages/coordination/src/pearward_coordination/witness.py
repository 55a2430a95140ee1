"""Witness: grants lease renewals and reports when an earlier owner can no longer act.

Safety depends on three rules:

* A witness grants only to a sender that acts on a record at least as new as its own.
* After replying "released" for a version, a witness never again grants to a sender that has not
  given up the shards which that version took from it.
* Only the incarnation that a record names is a witness: a restarted daemon has lost the state of
  its grants and replies.
"""

from dataclasses import dataclass

from pearward_state.records import CellRecord

from .lease import NEVER, LeaseTiming
from .messages import AskRelease, ReleaseReply, Renew, RenewReply

__all__ = ["Witness"]

MS_PER_S = 1000


@dataclass(slots=True)
class _Watched:
    """Witness's state of one owner."""

    granted_until: float = NEVER
    last_renewal_at: float = NEVER
    owner_released: int = 0
    """Highest version whose taken shards the owner has reported as given up."""
    released_version: int = 0
    """Highest version for which this witness replied "released"."""


class Witness:
    """Tracks the leases of the owners for which a cell's record names this daemon as a witness."""

    def __init__(self, incarnation: str, timing: LeaseTiming) -> None:
        self._incarnation = incarnation
        self._timing = timing
        self._watched: dict[str, _Watched] = {}
        self._watched_since: dict[str, float] = {}

    def adopt(self, record: CellRecord, now: float) -> None:
        """Track the owners for which *record* names this daemon as a witness."""
        watched_names = {
            member.incarnation
            for member in record.members
            if self._incarnation in (*member.witnesses, *member.former_witnesses)
        }
        for name in watched_names:
            self._watched.setdefault(name, _Watched())
            self._watched_since.setdefault(name, now)
        present = record.by_incarnation
        for name in [n for n in self._watched if n not in present]:
            # An unexpired grant is kept: a later record may name its owner again.
            if now >= self._watched[name].granted_until:
                del self._watched[name]
                self._watched_since.pop(name, None)

    def on_renew(
        self, owner: str, request: Renew, record: CellRecord, table_version: int, now: float
    ) -> RenewReply:
        """Grant or refuse a renewal and return the reply."""
        granted = self._may_grant(owner, request, record, table_version)
        watched = self._watched.get(owner)
        if watched is not None:
            watched.last_renewal_at = now
            watched.owner_released = max(watched.owner_released, request.released)
            if granted:
                watched.granted_until = now + self._timing.lease_s
        return RenewReply(request.cell, owner, request.nonce, granted, record.version)

    def _may_grant(
        self, owner: str, request: Renew, record: CellRecord, table_version: int
    ) -> bool:
        """Return whether this witness may grant the owner's renewal."""
        member = record.member(owner)
        watched = self._watched.get(owner)
        if member is None or watched is None:
            return False
        if self._incarnation not in (*member.witnesses, *member.former_witnesses):
            return False
        if request.adopted < record.version or request.table_version < table_version:
            return False
        return request.released >= watched.released_version

    def on_ask_release(self, request: AskRelease, record: CellRecord, now: float) -> ReleaseReply:
        """Return whether an earlier owner has released its shards or its last grant has expired."""
        released = False
        remaining = self._timing.lease_s
        watched = self._watched.get(request.owner)
        if record.version >= request.version and watched is not None:
            remaining = max(0.0, watched.granted_until - now)
            released = watched.owner_released >= request.version or remaining == 0.0
            if released:
                watched.released_version = max(watched.released_version, request.version)
        return ReleaseReply(
            request.cell,
            request.owner,
            request.version,
            released,
            record.version,
            int(remaining * MS_PER_S),
        )

    def silent(self, record: CellRecord, now: float) -> tuple[str, ...]:
        """Return the members of *record* that have sent no renewal for the silence time."""
        limit = now - self._timing.silence_s
        return tuple(
            name
            for name, watched in self._watched.items()
            if name in record.by_incarnation
            and max(watched.last_renewal_at, self._watched_since[name]) <= limit
        )
