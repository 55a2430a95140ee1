"""A daemon's part in timing the leases of other instances' targets.

A witness is an instance, not a process: a daemon that was restarted is a witness again at
once. Four rules keep that safe.

* It renews nobody before it has read the key map from the store in this life, so that it
  knows every version that an earlier life may have answered for.
* It renews only who acts on a map at least as new as its own.
* It releases nobody for one full lease after its start: it has forgotten what it granted.
* It releases an owner for a version only when it acts on that version itself and the last
  lease that it granted under an older one has run out.

No I/O and no clock.
"""

from .lease import LeaseTiming
from .messages import AskRelease, ReleaseReply, Renew, RenewReply

__all__ = ["TargetWitness"]

MS_PER_S = 1000
VERSIONS_KEPT = 8
"""Versions for which grants to one owner are told apart; older ones count as the oldest."""


class TargetWitness:
    """What this instance has granted to the owners of one service's keys."""

    def __init__(self, started: float, timing: LeaseTiming) -> None:
        self._timing = timing
        self._may_release_from = started + timing.lease_s
        self._may_renew = False
        self._granted: dict[str, dict[int, float]] = {}

    def map_read(self) -> None:
        """The key map was read from the store in this life."""
        self._may_renew = True

    def on_renew(self, ask: Renew, known: int, now: float) -> RenewReply:
        """Decide on a renewal; *known* is the version of the map that is acted on here."""
        granted = self._may_renew and known > 0 and ask.adopted >= known
        if granted:
            grants = self._granted.setdefault(ask.owner, {})
            grants[ask.adopted] = now + self._timing.lease_s
            self._forget(grants, now)
        return RenewReply(ask.cell, ask.owner, ask.nonce, granted, known)

    def on_ask_release(self, ask: AskRelease, known: int, now: float) -> ReleaseReply:
        """Say whether the owner can no longer act on a map older than the one asked for."""
        until = self._may_release_from
        for version, granted_until in self._granted.get(ask.owner, {}).items():
            if version < ask.version:
                until = max(until, granted_until)
        remaining_s = max(0.0, until - now)
        released = self._may_renew and known >= ask.version and remaining_s == 0.0
        return ReleaseReply(
            ask.cell, ask.owner, ask.version, released, known, int(remaining_s * MS_PER_S)
        )

    def _forget(self, grants: dict[int, float], now: float) -> None:
        """Drop grants that have run out, and join old ones where there are many."""
        for version in [v for v, until in grants.items() if until <= now]:
            del grants[version]
        while len(grants) > VERSIONS_KEPT:
            first, second = sorted(grants)[:2]
            # Counted for the older version, a grant can only be waited for longer.
            grants[first] = max(grants[first], grants.pop(second))
