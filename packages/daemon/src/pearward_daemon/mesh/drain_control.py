"""Applies the operators' drains of failure domains at this daemon.

Entries are read from the store or, if it is unavailable, from a daemon that watches it. The
directory then offers no targets in a drained domain, the planner assigns them no keys, and the
local target is rejected if it is one of them.
"""

from collections.abc import Callable, Iterable, Mapping

from pearward_coordination.drain_view import DrainView
from pearward_protocol.etcd import KeyValue, WatchEvent
from pearward_state.drains import DomainDrains
from pearward_state.errors import InvalidRecord
from pearward_transport.clock import boot_time
from pearward_transport.store import DRAINS

from .dialect import Dialect
from .log import DecisionLog

__all__ = ["DrainControl"]

OnChange = Callable[[Mapping[str, float]], None]
"""Called after each change with the drained failure domains and the start of each drain."""


class DrainControl:
    """Validates the drains of failure domains and applies them."""

    def __init__(
        self, known_domains: frozenset[str], dialect: Dialect, log: DecisionLog, on_change: OnChange
    ) -> None:
        self._known_domains = known_domains
        self._dialect = dialect
        self._log = log
        self._on_change = on_change
        self._view = DrainView()

    @property
    def state(self) -> DomainDrains:
        """Drains in force, as sent to other daemons."""
        return self._view.state

    def entries_read(self, items: Iterable[KeyValue], revision: int) -> None:
        """Replace the state by all entries, read at one revision."""
        domains = [d for item in items if (d := self._domain(item.key, item.value)) is not None]
        self._apply(self._view.read(domains, revision, boot_time()), "read")

    def entry_changed(self, event: WatchEvent) -> None:
        """Apply one changed entry; an invalid one is logged and ignored."""
        domain = self._domain(event.key, event.value)
        if domain is None:
            return
        drained = event.value is not None
        changed = self._view.changed(domain, event.revision, boot_time(), drained=drained)
        self._apply(changed, "watched")

    def complete_to(self, revision: int) -> None:
        """Record that all changes up to *revision* have been applied."""
        self._view.complete_to(revision)

    def peer_reported(self, state: DomainDrains) -> None:
        """Apply the state of another daemon if it is newer."""
        self._apply(self._view.merge(state, boot_time()), "sent by another daemon")

    def _domain(self, key: str, value: bytes | None) -> str | None:
        """Return the failure domain of an entry; log an invalid entry and return None."""
        domain = key.removeprefix(DRAINS)
        unknown = self._known_domains and domain not in self._known_domains
        try:
            if not domain or unknown:
                raise InvalidRecord(f"no failure domain of that name: {domain!r}")
            if value is not None:
                self._dialect.check_drain(value)
        except InvalidRecord as error:
            self._log.emit("drain_unreadable", failure=True, key=key, error=str(error))
            return None
        return domain

    def _apply(self, changed: bool, how: str) -> None:
        if not changed:
            return
        state = self._view.state
        self._log.emit(
            "drains_in_force", domains=sorted(state.domains), revision=state.revision, how=how
        )
        self._on_change(self._view.since)
