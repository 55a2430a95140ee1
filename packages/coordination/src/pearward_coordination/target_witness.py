"""A daemon's part in timing the leases of other instances' targets.

A witness is an instance, not a process: a daemon that was restarted is a witness again at
once. Five rules keep that safe.

* It renews nobody before it has read the key map from the store in this life, so that it
  knows every version that an earlier life may have answered for. The store may have lost some of
  them when it went back, so it renews nobody who acts on a map from before the era that it read.
* It renews only who acts on a map at least as new as its own.
* It releases nobody for one full lease after its start: it has forgotten what it granted.
* It releases an owner for a version only when it acts on that version itself and the last
  lease that it granted under an older one has run out.
* It releases nobody to who acts on a map of an earlier era than its own, or than one that it
  renewed the owner by: a map that the store has lost does not tell who owns keys now.

No I/O and no clock.
"""

from pearward_state.eras import era_of, first_of

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
        self._renews_from = 0
        """Lowest version that may be renewed: the first of the era that was read."""
        self._granted: dict[str, dict[int, float]] = {}

    def map_read(self, era: int) -> None:
        """The key map was read for the first time in this life, in an era of the store."""
        self._may_renew = True
        self._renews_from = first_of(era)

    def on_renew(self, ask: Renew, known: int, now: float) -> RenewReply:
        """Decide on a renewal; *known* is the version of the map that is acted on here."""
        granted = self._may_renew and known > 0 and ask.adopted >= max(known, self._renews_from)
        if granted:
            grants = self._granted.setdefault(ask.owner, {})
            grants[ask.adopted] = now + self._timing.lease_s
            self._forget(grants, now)
        return RenewReply(ask.cell, ask.owner, ask.nonce, granted, known)

    def on_ask_release(self, ask: AskRelease, known: int, now: float) -> ReleaseReply:
        """Say whether the owner can no longer act on a map older than the one asked for.

        Asked for no owner, it says so of all owners and of maps of earlier eras.
        """
        until = self._may_release_from
        grants = self._granted.get(ask.owner, {}) if ask.owner else self._of_earlier_eras(ask)
        for version, granted_until in grants.items():
            if version < ask.version or era_of(version) > era_of(ask.version):
                until = max(until, granted_until)
        remaining_s = max(0.0, until - now)
        same_era = era_of(known) == era_of(ask.version)
        released = self._may_renew and same_era and known >= ask.version and remaining_s == 0.0
        return ReleaseReply(
            ask.cell, ask.owner, ask.version, released, known, int(remaining_s * MS_PER_S)
        )

    def _of_earlier_eras(self, ask: AskRelease) -> dict[int, float]:
        """Return the versions of earlier eras that owners were renewed by, and until when."""
        latest: dict[int, float] = {}
        for grants in self._granted.values():
            for version, until in grants.items():
                if era_of(version) < era_of(ask.version):
                    latest[version] = max(until, latest.get(version, until))
        return latest

    def _forget(self, grants: dict[int, float], now: float) -> None:
        """Drop grants that have run out, and join old ones where there are many."""
        for version in [v for v, until in grants.items() if until <= now]:
            del grants[version]
        while len(grants) > VERSIONS_KEPT:
            first, second = sorted(grants)[:2]
            # Counted for the older version, a grant can only be waited for longer.
            grants[first] = max(grants[first], grants.pop(second))
