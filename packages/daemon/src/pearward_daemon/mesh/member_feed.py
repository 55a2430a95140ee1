"""Where this daemon hears of changed members: from the store, or from a watcher that does.

A watcher keeps the questions of others until it has news, and answers after a while in any
case, so that one that is silent is found out. Whoever hears from no watcher asks the store.
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
"""Seconds after which a watcher answers without news: its silence then tells that it is gone."""
REPLY_TIMEOUT_S = 1.5
"""Seconds for which an answer is waited for: the hold, and what a busy link adds."""
STORE_POLL_S = 4.0
"""Seconds for which one call to the store waits for changes. A connection may go silent while
others work; then this daemon, and all that ask it, hear nothing until the call has timed out."""
CURRENT_FOR_S = 1.0
"""Seconds between two calls to the store in which a watcher still tells what it knows."""
MAX_PENDING_QUERIES = 4096
"""Questions that wait at a watcher, at most: each of the others has one."""


@dataclass(frozen=True, slots=True)
class _PendingQuery:
    requester: PeerId
    nonce: int
    after: int
    received: float


class MemberFeed:
    """Changes of the members' entries, as the store's own watch would bring them."""

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
        self._watchers = Watchers(directory, settings.instance, settings.failure_domain)
        self._changes = ChangeLog()
        self._pending_queries: list[_PendingQuery] = []
        self._nonce = 0
        self._awaited_replies: dict[int, Deferred[TellChanges | None]] = {}
        self._was_watcher: bool | None = None
        """Whether this daemon was a watcher when it last asked; None before."""
        self._store_calls = 0
        """Calls to the store that wait for changes now."""
        self._last_store_reply = float("-inf")
        """When the last such call ended with an answer."""
        self._available = True

    # -- properties -------------------------------------------------------------

    @property
    def is_watcher(self) -> bool:
        """Whether this daemon follows the store itself."""
        return self._watchers.has_own

    @property
    def _is_current(self) -> bool:
        """Whether what is known here is what the store has, but for the last moments."""
        if not self._available:
            return False
        return bool(self._store_calls) or boot_time() - self._last_store_reply < CURRENT_FOR_S

    # -- this daemon's own view -------------------------------------------------------

    def entries_read(self, revision: int) -> None:
        """All entries were read from the store, as they were at a revision."""
        self._changes.begin(revision)

    def set_store_available(self, available: bool) -> None:
        """Take whether the store answers this daemon: while it does not, nobody relies on it."""
        self._available = available
        if not available:
            self._reply_due(lambda _: True)

    async def changes(self, after: int, wait_s: float) -> Changes:
        """Return what has changed after a revision, once there is something or time has passed.

        Raises what the store raises: HistoryGone where all has to be read anew.
        """
        watches = self.is_watcher
        if watches != self._was_watcher:
            self._was_watcher = watches
            members = len(self._directory.registered)
            self._log.decided("watching", follows_store=watches, members=members, after=after)
        if not watches or not self._available:
            for watcher in self._watchers.to_ask(boot_time()):
                told = await self._query_watcher(watcher, after)
                if told is not None:
                    return self._record(after, told)
        if not self._available:
            # The lease shows when the store is back: until then a call would be refused too.
            raise PlatformUnavailable("neither the store nor a watcher tells of changes")
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
        """Remember changes for those who ask here."""
        if self._changes.revision != after:
            self._changes.begin(after)
        self._changes.add([_entry_change(event) for event in changes.events], changes.revision)
        return changes

    # -- asking a watcher ----------------------------------------------------------------

    async def _query_watcher(self, watcher: Member, after: int) -> Changes | None:
        """Ask a watcher; None where another one, or the store, has to be asked."""
        self._nonce += 1
        nonce = self._nonce
        answer: Deferred[TellChanges | None] = Deferred()
        self._awaited_replies[nonce] = answer
        timer = self._reactor.callLater(REPLY_TIMEOUT_S, self._query_timed_out, nonce)
        self._send(watcher.peer_address, AskChanges(nonce, after))
        told = await answer
        if timer.active():
            timer.cancel()
        if told is not None:
            self._drains.told(DomainDrains(told.drains_revision, frozenset(told.drained)))
        if told is None or not told.follows:
            self._watchers.silent(watcher.instance, boot_time())
            self._log.decided(
                "watcher_passed_over", instance=watcher.instance, after=after,
                why="no answer" if told is None else "it does not follow the store",
            )  # fmt: skip
            return None
        if not told.known:
            return None
        return Changes(tuple(_event(change) for change in told.changes), told.revision)

    def _query_timed_out(self, nonce: int) -> None:
        answer = self._awaited_replies.pop(nonce, None)
        if answer is not None:
            answer.callback(None)

    def told(self, message: TellChanges) -> None:
        """A watcher has answered; an answer that comes too late is dropped."""
        answer = self._awaited_replies.pop(message.nonce, None)
        if answer is not None:
            answer.callback(message)

    # -- answering others ---------------------------------------------------------------

    def asked(self, sender: PeerId, query: AskChanges) -> None:
        """Another daemon asks what has changed: answer with the next news."""
        waiting = _PendingQuery(sender, query.nonce, query.after, boot_time())
        self._pending_queries.append(waiting)
        if not self._is_current or query.after < self._changes.revision:
            self._reply_due(lambda other: other is waiting)
        elif len(self._pending_queries) > MAX_PENDING_QUERIES:
            self._reply_due(lambda _: True)

    def tick(self) -> None:
        """Answer who has waited for long."""
        before = boot_time() - MAX_HOLD_S
        self._reply_due(lambda query: query.received <= before)

    def _reply_due(self, due: Callable[[_PendingQuery], bool]) -> None:
        """Answer the questions that are due."""
        waiting: list[_PendingQuery] = []
        answers: dict[int, TellChanges] = {}
        for query in self._pending_queries:
            if not due(query):
                waiting.append(query)
                continue
            found = answers.get(query.after)
            if found is None:
                found = answers[query.after] = self._reply_for(query.after)
            self._send(query.requester.address, replace(found, nonce=query.nonce))
        self._pending_queries = waiting

    def _reply_for(self, after: int) -> TellChanges:
        drains = self._drains.state
        told = TellChanges(
            0, follows=self._is_current, known=False, revision=0, changes=(),
            drains_revision=drains.revision, drained=tuple(sorted(drains.domains)),
        )  # fmt: skip
        changes = self._changes.after(after) if self._is_current else None
        if changes is None:
            return told
        revision = max(after, self._changes.revision)
        return replace(told, known=True, revision=revision, changes=changes)


def _entry_change(event: WatchEvent) -> EntryChange:
    return EntryChange(event.key, event.revision, event.value is None, event.value or b"")


def _event(change: EntryChange) -> WatchEvent:
    return WatchEvent(change.key, None if change.gone else change.value, change.revision)
