"""One daemon's view of the drained failure domains, and of the start of each drain.

Operators write one entry per drained failure domain into the platform's store. Entries are read and
watched, or received from a daemon that watches them. The newest revision of the store wins, so that
a late update never reverts a newer one. Without updates the last known state stays in force. No I/O
and no clock.
"""

from collections.abc import Iterable, Mapping

from pearward_state.drains import DomainDrains

__all__ = ["DrainView"]

ALWAYS = float("-inf")


class DrainView:
    """The drained failure domains as known to one daemon."""

    def __init__(self) -> None:
        self._state = DomainDrains()
        self._since: dict[str, float] = {}
        self._known = False

    @property
    def state(self) -> DomainDrains:
        """The known state, as sent to other daemons."""
        return self._state

    @property
    def since(self) -> Mapping[str, float]:
        """Time at which this daemon learned of each drain, in s of the steady clock.

        A drain that was already in force at this daemon's first update has started at minus
        infinity.
        """
        return self._since

    def read(self, domains: Iterable[str], revision: int, now: float) -> bool:
        """Replace all entries; return whether a different set is in force."""
        return self._take(DomainDrains(revision, frozenset(domains)), now)

    def changed(self, domain: str, revision: int, now: float, *, drained: bool) -> bool:
        """Apply the change of one entry; return whether a different set is in force."""
        others = self._state.domains - {domain}
        domains = others | {domain} if drained else others
        return self._take(DomainDrains(revision, domains), now)

    def complete_to(self, revision: int) -> None:
        """Note that there are no other changes up to a revision."""
        if revision > self._state.revision:
            self._state = DomainDrains(revision, self._state.domains)

    def merge(self, state: DomainDrains, now: float) -> bool:
        """Apply another daemon's state; return whether a different set is in force."""
        return self._take(state, now)

    def _take(self, state: DomainDrains, now: float) -> bool:
        if self._known and state.revision <= self._state.revision:
            return False
        began = now if self._known else ALWAYS
        self._known = True
        before, self._state = self._state.domains, state
        self._since = {d: self._since.get(d, began) for d in sorted(state.domains)}
        return before != state.domains
