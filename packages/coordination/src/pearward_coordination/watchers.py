"""Select the members that watch the platform's store and relay its changes to the others.

If every daemon watched the members, each change would cost one call of the store per daemon. A
fleet has as many changes as instances, so calls would grow with its square. Therefore a few
watchers follow the store, and all others query a watcher in the same way: for the changes after the
revision that they have. No I/O and no clock.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from pearward_state.members import Member, TargetState

from .directory import Directory

__all__ = ["ChangeLog", "EntryChange", "Watchers", "watchers_of"]

WATCHER_COUNT = 3
"""Number of members that watch the store; two may be lost or cut off at the same time."""
MAX_CHANGES = 2048
"""Number of changes that a watcher keeps: ten for each of two hundred members, some minutes of
changes. A member that is further behind reads the store itself."""
SILENT_PAUSE_S = 4.0
"""Seconds for which a watcher that did not reply, or could not, is queried only after others."""


@dataclass(frozen=True, slots=True, repr=False)
class EntryChange:
    """A member's entry as it was written, or its removal."""

    key: str
    revision: int
    gone: bool
    value: bytes


def watchers_of(members: Iterable[Member]) -> list[Member]:
    """Return the members that watch the store; the same members give the same result everywhere.

    Fast links go first, as a watcher answers many queries; each is in a different failure domain
    where there are enough. The first member is left out, as it is the planner.
    """
    usable = [m for m in members if not m.stopping and m.state is not TargetState.DRAINING]
    usable.sort(key=lambda m: (-m.link_mbit_per_s, m.instance))
    chosen: list[Member] = []
    rest: list[Member] = []
    domains: set[str] = set()
    for member in usable[1:] or usable:
        if member.failure_domain in domains:
            rest.append(member)
            continue
        domains.add(member.failure_domain)
        chosen.append(member)
    return (chosen + rest)[:WATCHER_COUNT]


class Watchers:
    """One daemon's view of the watchers, and the order in which it queries them."""

    def __init__(self, directory: Directory, instance: str, failure_domain: str) -> None:
        self._directory = directory
        self._instance = instance
        self._failure_domain = failure_domain
        self._chosen: list[Member] = []
        self._chosen_at_revision = -1
        """Revision of the members at the last choice, since choosing again takes 0.2 ms."""
        self._silent: dict[str, float] = {}

    @property
    def chosen(self) -> list[Member]:
        """The members that watch the store."""
        if self._chosen_at_revision != self._directory.revision:
            self._chosen_at_revision = self._directory.revision
            self._chosen = watchers_of(self._directory.registered)
        return self._chosen

    @property
    def reads_store(self) -> bool:
        """Whether this daemon is a watcher, or there is no other member to query."""
        chosen = self.chosen
        return not chosen or any(member.instance == self._instance for member in chosen)

    def query_order(self, now: float) -> list[Member]:
        """Return the watchers in query order, without those that recently did not reply."""
        others = [m for m in self.chosen if m.instance != self._instance]
        usable = [m for m in others if self._silent.get(m.instance, 0.0) <= now]
        if not usable:
            return []
        # Members without a watcher in their failure domain are spread over all watchers.
        start = stable_hash(self._instance) % len(usable)
        rotated = usable[start:] + usable[:start]
        return sorted(rotated, key=lambda m: m.failure_domain != self._failure_domain)

    def note_silent(self, instance: str, now: float) -> None:
        """Record that a watcher did not reply, or is itself cut off from the store."""
        self._silent[instance] = now + SILENT_PAUSE_S


def stable_hash(name: str) -> int:
    """Return a hash that is the same in all processes."""
    return sum(byte * (place + 1) for place, byte in enumerate(name.encode()))


class ChangeLog:
    """Recent changes that a watcher has received from the store."""

    def __init__(self) -> None:
        self._changes: deque[EntryChange] = deque()
        self._since: int | None = None
        """Revision after which all changes are known."""
        self._revision = 0

    @property
    def revision(self) -> int:
        """Revision of the store up to which the log is complete; 0 if the log is empty."""
        return self._revision

    def begin(self, revision: int) -> None:
        """Restart the log after a full read at a revision; earlier changes are not known."""
        self._changes.clear()
        self._since = self._revision = revision

    def add(self, changes: Iterable[EntryChange], revision: int) -> None:
        """Add the changes since the last call, complete up to *revision*."""
        self._changes.extend(changes)
        self._revision = max(self._revision, revision)
        while len(self._changes) > MAX_CHANGES:
            self._since = self._changes.popleft().revision

    def after(self, revision: int) -> tuple[EntryChange, ...] | None:
        """Return the changes after a revision, or None if some of them are not known.

        Only the last of several changes of one entry is returned.
        """
        if self._since is None or revision < self._since:
            return None
        latest = {c.key: c for c in self._changes if c.revision > revision}
        return tuple(sorted(latest.values(), key=lambda c: c.revision))
