"""A daemon's part in timing the leases of other instances' targets.

A witness is an instance, not a process: a restarted daemon acts as a witness again at once. Five
rules keep that safe.

* It renews no lease before it has read the key map from the store since its start, so that its
  version is at least as new as any that an earlier process may have confirmed. A restored store
  may have lost some of them, so it renews no owner that uses a map from before the era it read.
* It renews only owners that use a map at least as new as its own.
* It releases no owner for one full lease after its start, as it has lost its record of grants.
* It releases an owner for a version only when it uses that version itself and the last lease that
  it granted under an older version has expired.
* It releases no owner for a requester that uses a map of an earlier era than its own, or than one
  under which it renewed the owner: a map that the store has lost does not show the present owners.

No I/O and no clock.
"""

from pearward_state.eras import era_of, era_start

from .lease import LeaseTiming
from .messages import AskRelease, ReleaseReply, Renew, RenewReply

__all__ = ["TargetWitness"]

MS_PER_S = 1000
MAX_VERSIONS = 8
"""Number of versions tracked separately per owner; older versions are counted as the oldest."""


class TargetWitness:
    """Leases that this instance has granted to the owners of one service's keys."""

    def __init__(self, started: float, timing: LeaseTiming) -> None:
        self._timing = timing
        self._may_release_from = started + timing.lease_s
        self._may_renew = False
        self._renews_from = 0
        """Lowest version that may be renewed: the first version of the era that was read."""
        self._granted: dict[str, dict[int, float]] = {}

    def map_read(self, era: int) -> None:
        """Note the first read of the key map since the start, in an era of the store."""
        self._may_renew = True
        self._renews_from = era_start(era)

    def on_renew(self, ask: Renew, known: int, now: float) -> RenewReply:
        """Decide on a renewal; *known* is the version of the map in use on this instance."""
        granted = self._may_renew and known > 0 and ask.adopted >= max(known, self._renews_from)
        if granted:
            grants = self._granted.setdefault(ask.owner, {})
            grants[ask.adopted] = now + self._timing.lease_s
            self._forget(grants, now)
        return RenewReply(ask.cell, ask.owner, ask.nonce, granted, known)

    def on_ask_release(self, ask: AskRelease, known: int, now: float) -> ReleaseReply:
        """Reply whether the owner can no longer act on a map older than the requested version.

        Without an owner, the reply covers all owners, and maps of earlier eras.
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
        """Return the versions of earlier eras with renewed leases, and the ends of these."""
        latest: dict[int, float] = {}
        for grants in self._granted.values():
            for version, until in grants.items():
                if era_of(version) < era_of(ask.version):
                    latest[version] = max(until, latest.get(version, until))
        return latest

    def _forget(self, grants: dict[int, float], now: float) -> None:
        """Drop grants that have expired, and merge the oldest if there are many."""
        for version in [v for v, until in grants.items() if until <= now]:
            del grants[version]
        while len(grants) > MAX_VERSIONS:
            first, second = sorted(grants)[:2]
            # Counting a grant for the older version can only prolong the wait for its end.
            grants[first] = max(grants[first], grants.pop(second))
