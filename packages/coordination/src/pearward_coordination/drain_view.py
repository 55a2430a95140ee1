"""Which failure domains are drained, as this daemon knows it, and since when.

Operators write one entry for each drained failure domain into the platform's store. Entries
are read and watched, or heard of from a daemon that watches them; whichever names the newest
revision of the store wins, so that what arrives late never undoes what is newer. What was
heard last stays in force while nothing can be heard. No I/O and no clock.
"""

from collections.abc import Iterable, Mapping

from pearward_state.drains import DomainDrains

__all__ = ["DrainView"]

ALWAYS = float("-inf")


class DrainView:
    """The drained failure domains as one daemon knows them."""

    def __init__(self) -> None:
        self._state = DomainDrains()
        self._since: dict[str, float] = {}
        self._known = False

    @property
    def state(self) -> DomainDrains:
        """What is known, as it is told to others."""
        return self._state

    @property
    def since(self) -> Mapping[str, float]:
        """When this daemon learned of each drain, in s of the steady clock.

        One that was there already when this daemon began to listen has no beginning.
        """
        return self._since

    def read(self, domains: Iterable[str], revision: int, now: float) -> bool:
        """Take all entries at once; return whether another set is in force."""
        return self._take(DomainDrains(revision, frozenset(domains)), now)

    def changed(self, domain: str, revision: int, now: float, *, drained: bool) -> bool:
        """Take the change of one entry; return whether another set is in force."""
        others = self._state.domains - {domain}
        domains = others | {domain} if drained else others
        return self._take(DomainDrains(revision, domains), now)

    def complete_to(self, revision: int) -> None:
        """Nothing else has changed up to a revision."""
        if revision > self._state.revision:
            self._state = DomainDrains(revision, self._state.domains)

    def told(self, state: DomainDrains, now: float) -> bool:
        """Take what another daemon knows; return whether another set is in force."""
        return self._take(state, now)

    def _take(self, state: DomainDrains, now: float) -> bool:
        if self._known and state.revision <= self._state.revision:
            return False
        began = now if self._known else ALWAYS
        self._known = True
        before, self._state = self._state.domains, state
        self._since = {d: self._since.get(d, began) for d in sorted(state.domains)}
        return before != state.domains
