"""The source of changes to the members' entries: the store, or a watcher that follows it.

A watcher holds the queries of other daemons until there are changes, and replies after a limited
time in any case, so that a failed watcher is detected. A daemon that gets no reply from any
watcher queries the store.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from twisted.internet.defer import Deferred

from pearward_coordination.directory import Directory
from pearward_coordination.messages import (
    AskChanges,
    ControlMessage,
    PeerId,
    TellChanges,
)
from pearward_coordination.watchers import ChangeLog, EntryChange, Watchers
from pearward_protocol.entries import MEMBERS
from pearward_protocol.etcd import WatchEvent
from pearward_state.drains import DomainDrains
from pearward_state.members import Member
from pearward_transport.clock import boot_time
from pearward_transport.errors import PlatformUnavailable
from pearward_transport.store import Changes, FleetStore

from .drain_control import DrainControl
from .log import DecisionLog
from .settings import MeshSettings

__all__ = ["MemberFeed"]

MAX_HOLD_S = 1.0
"""Seconds after which a watcher replies even without changes, so that no reply means a failure."""
REPLY_TIMEOUT_S = 1.5
"""Maximum wait in s for a watcher's reply: MAX_HOLD_S and the delay of a busy link."""
STORE_POLL_S = 4.0
"""Seconds for which one call to the store waits for changes. If its connection fails silently
while others work, this daemon and all that query it miss changes until the call has timed out."""
CURRENT_FOR_S = 1.0
"""Seconds between two calls to the store in which a watcher still counts as current."""
MAX_PENDING_QUERIES = 4096
"""Maximum number of queries held by a watcher; each other daemon has one."""


@dataclass(frozen=True, slots=True)
class _PendingQuery:
    requester: PeerId
    nonce: int
    after: int
    received: float


class MemberFeed:
    """Changes of the members' entries, as the store's own watch would return them."""

    def __init__(
        self,
        reactor: Any,
        settings: MeshSettings,
        store: FleetStore,
        directory: Directory,
        send: Callable[[str, ControlMessage], None],
        log: DecisionLog,
        drains: DrainControl,
    ) -> None:
        self._reactor = reactor
        self._drains = drains
        self._store = store
        self._directory = directory
        self._send = send
        self._log = log
        self._instance = settings.instance
        self._watchers = Watchers(directory, settings.instance, settings.failure_domain)
        self._changes = ChangeLog()
        self._pending_queries: list[_PendingQuery] = []
        self._nonce = 0
        self._awaited_replies: dict[int, Deferred[TellChanges | None]] = {}
        self._was_watcher: bool | None = None
        """Whether this daemon was a watcher at its last call of *changes*; None before."""
        self._store_calls = 0
        """Number of calls to the store that wait for changes now."""
        self._last_store_reply = float("-inf")
        """Time in s at which the last such call succeeded."""
        self._available = True

    # -- properties -------------------------------------------------------------

    @property
    def is_watcher(self) -> bool:
        """Whether this daemon follows the store itself."""
        return self._watchers.reads_store

    @property
    def other_watchers(self) -> list[Member]:
        """The other daemons that follow the store, as known here."""
        return [w for w in self._watchers.chosen if w.instance != self._instance]

    @property
    def _is_current(self) -> bool:
        """Whether the changes known here are those of the store, except for the last moments."""
        if not self._available:
            return False
        return bool(self._store_calls) or boot_time() - self._last_store_reply < CURRENT_FOR_S

    # -- changes for this daemon ------------------------------------------------------

    def entries_read(self, revision: int) -> None:
        """Note that all entries were read from the store at a revision."""
        self._changes.begin(revision)

    def set_store_available(self, available: bool) -> None:
        """Note whether the store is available; if not, release all queries held here."""
        self._available = available
        if not available:
            self._reply_due(lambda _: True)

    async def changes(self, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting a limited time for the first.

        Raises HistoryUnavailable if all entries have to be read again, and other errors of the
        store.
        """
        watching = self.is_watcher
        if watching != self._was_watcher:
            self._was_watcher = watching
            members = len(self._directory.registered)
            self._log.emit("watching", follows_store=watching, members=members, after=after)
        if not watching or not self._available:
            for watcher in self._watchers.query_order(boot_time()):
                reply = await self._query_watcher(watcher, after)
                if reply is not None:
                    return self._record(after, reply)
        if not self._available:
            # The lease loop detects the store's recovery; until then a call would fail as well.
            raise PlatformUnavailable("neither the store nor a watcher is available")
        return await self._store_changes(after, wait_s)

    async def _store_changes(self, after: int, wait_s: float) -> Changes:
        self._store_calls += 1
        try:
            changes = await self._store.changes(MEMBERS, after, min(wait_s, STORE_POLL_S))
        finally:
            self._store_calls -= 1
        self._last_store_reply = boot_time()
        taken = self._record(after, changes)
        self._reply_due(lambda query: query.after < changes.revision)
        return taken

    def _record(self, after: int, changes: Changes) -> Changes:
        """Add changes to the log from which queries of other daemons are answered."""
        if self._changes.revision != after:
            self._changes.begin(after)
        self._changes.add([_entry_change(event) for event in changes.events], changes.revision)
        return changes

    # -- queries to watchers ---------------------------------------------------------------

    async def _query_watcher(self, watcher: Member, after: int) -> Changes | None:
        """Query a watcher; return None if another watcher or the store has to be queried."""
        self._nonce += 1
        nonce = self._nonce
        pending_reply: Deferred[TellChanges | None] = Deferred()
        self._awaited_replies[nonce] = pending_reply
        timer = self._reactor.callLater(REPLY_TIMEOUT_S, self._query_timed_out, nonce)
        self._send(watcher.peer_address, AskChanges(nonce, after))
        reply = await pending_reply
        if timer.active():
            timer.cancel()
        if reply is not None:
            self._drains.peer_reported(
                DomainDrains(reply.drains_revision, frozenset(reply.drained))
            )
        if reply is None or not reply.follows:
            self._watchers.note_silent(watcher.instance, boot_time())
            self._log.emit(
                "watcher_skipped", instance=watcher.instance, after=after,
                reason="no reply" if reply is None else "it does not follow the store",
            )  # fmt: skip
            return None
        if not reply.known:
            return None
        return Changes(tuple(_event(change) for change in reply.changes), reply.revision)

    def _query_timed_out(self, nonce: int) -> None:
        pending_reply = self._awaited_replies.pop(nonce, None)
        if pending_reply is not None:
            pending_reply.callback(None)

    def reply_received(self, message: TellChanges) -> None:
        """Process a watcher's reply; one that arrives too late is dropped."""
        pending_reply = self._awaited_replies.pop(message.nonce, None)
        if pending_reply is not None:
            pending_reply.callback(message)

    # -- queries from other daemons -----------------------------------------------------

    def query_received(self, sender: PeerId, query: AskChanges) -> None:
        """Process a daemon's query for changes; the reply is sent with the next change."""
        waiting = _PendingQuery(sender, query.nonce, query.after, boot_time())
        self._pending_queries.append(waiting)
        if not self._is_current or query.after < self._changes.revision:
            self._reply_due(lambda other: other is waiting)
        elif len(self._pending_queries) > MAX_PENDING_QUERIES:
            self._reply_due(lambda _: True)

    def tick(self) -> None:
        """Reply to queries that were held for MAX_HOLD_S."""
        before = boot_time() - MAX_HOLD_S
        self._reply_due(lambda query: query.received <= before)

    def _reply_due(self, due: Callable[[_PendingQuery], bool]) -> None:
        """Reply to the queries for which *due* returns True."""
        waiting: list[_PendingQuery] = []
        replies: dict[int, TellChanges] = {}
        for query in self._pending_queries:
            if not due(query):
                waiting.append(query)
                continue
            cached = replies.get(query.after)
            if cached is None:
                cached = replies[query.after] = self._reply_for(query.after)
            self._send(query.requester.address, replace(cached, nonce=query.nonce))
        self._pending_queries = waiting

    def _reply_for(self, after: int) -> TellChanges:
        drains = self._drains.state
        reply = TellChanges(
            0, follows=self._is_current, known=False, revision=0, changes=(),
            drains_revision=drains.revision, drained=tuple(sorted(drains.domains)),
        )  # fmt: skip
        changes = self._changes.after(after) if self._is_current else None
        if changes is None:
            return reply
        revision = max(after, self._changes.revision)
        return replace(reply, known=True, revision=revision, changes=changes)


def _entry_change(event: WatchEvent) -> EntryChange:
    return EntryChange(event.key, event.revision, event.value is None, event.value or b"")


def _event(change: EntryChange) -> WatchEvent:
    return WatchEvent(change.key, None if change.gone else change.value, change.revision)
