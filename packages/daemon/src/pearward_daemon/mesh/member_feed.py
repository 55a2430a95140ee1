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

HOLD_S = 1.0
"""Seconds after which a watcher answers without news: its silence then tells that it is gone."""
ANSWER_S = 1.5
"""Seconds for which an answer is waited for: the hold, and what a busy link adds."""
STORE_WAIT_S = 4.0
"""Seconds for which one call to the store waits for changes. A connection may go silent while
others work; then this daemon, and all that ask it, hear nothing until the call has timed out."""
FOLLOWS_S = 1.0
"""Seconds between two calls to the store in which a watcher still tells what it knows."""
QUESTIONS_KEPT = 4096
"""Questions that wait at a watcher, at most: each of the others has one."""


@dataclass(frozen=True, slots=True)
class _Question:
    asker: PeerId
    nonce: int
    after: int
    came: float


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
        self._questions: list[_Question] = []
        self._nonce = 0
        self._asked: dict[int, Deferred[TellChanges | None]] = {}
        self._watches: bool | None = None
        """Whether this daemon was a watcher when it last asked; None before."""
        self._from_store = 0
        """Calls to the store that wait for changes now."""
        self._followed_at = float("-inf")
        """When the last such call ended with an answer."""
        self._available = True

    # -- properties -------------------------------------------------------------

    @property
    def is_watcher(self) -> bool:
        """Whether this daemon follows the store itself."""
        return self._watchers.has_own

    @property
    def _follows(self) -> bool:
        """Whether what is known here is what the store has, but for the last moments."""
        if not self._available:
            return False
        return bool(self._from_store) or boot_time() - self._followed_at < FOLLOWS_S

    # -- this daemon's own view -------------------------------------------------------

    def began(self, revision: int) -> None:
        """All entries were read from the store, as they were at a revision."""
        self._changes.begin(revision)

    def store_answers(self, available: bool) -> None:
        """Take whether the store answers this daemon: while it does not, nobody relies on it."""
        self._available = available
        if not available:
            self._answer(lambda _: True)

    async def changes(self, after: int, wait_s: float) -> Changes:
        """Return what has changed after a revision, once there is something or time has passed.

        Raises what the store raises: HistoryGone where all has to be read anew.
        """
        watches = self.is_watcher
        if watches != self._watches:
            self._watches = watches
            members = len(self._directory.registered)
            self._log.decided("watching", follows_store=watches, members=members, after=after)
        if not watches or not self._available:
            for watcher in self._watchers.to_ask(boot_time()):
                told = await self._ask(watcher, after)
                if told is not None:
                    return self._took(after, told)
        if not self._available:
            # The lease shows when the store is back: until then a call would be refused too.
            raise PlatformUnavailable("neither the store nor a watcher tells of changes")
        return await self._of_store(after, wait_s)

    async def _of_store(self, after: int, wait_s: float) -> Changes:
        self._from_store += 1
        try:
            changes = await self._store.changes(MEMBERS, after, min(wait_s, STORE_WAIT_S))
        finally:
            self._from_store -= 1
        self._followed_at = boot_time()
        taken = self._took(after, changes)
        self._answer(lambda question: question.after < changes.revision)
        return taken

    def _took(self, after: int, changes: Changes) -> Changes:
        """Remember changes for those who ask here."""
        if self._changes.revision != after:
            self._changes.begin(after)
        self._changes.add([_entry_change(event) for event in changes.events], changes.revision)
        return changes

    # -- asking a watcher ----------------------------------------------------------------

    async def _ask(self, watcher: Member, after: int) -> Changes | None:
        """Ask a watcher; None where another one, or the store, has to be asked."""
        self._nonce += 1
        nonce = self._nonce
        answer: Deferred[TellChanges | None] = Deferred()
        self._asked[nonce] = answer
        timer = self._reactor.callLater(ANSWER_S, self._gave_no_answer, nonce)
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

    def _gave_no_answer(self, nonce: int) -> None:
        answer = self._asked.pop(nonce, None)
        if answer is not None:
            answer.callback(None)

    def told(self, message: TellChanges) -> None:
        """A watcher has answered; an answer that comes too late is dropped."""
        answer = self._asked.pop(message.nonce, None)
        if answer is not None:
            answer.callback(message)

    # -- answering others ---------------------------------------------------------------

    def asked(self, sender: PeerId, question: AskChanges) -> None:
        """Another daemon asks what has changed: answer with the next news."""
        waiting = _Question(sender, question.nonce, question.after, boot_time())
        self._questions.append(waiting)
        if not self._follows or question.after < self._changes.revision:
            self._answer(lambda other: other is waiting)
        elif len(self._questions) > QUESTIONS_KEPT:
            self._answer(lambda _: True)

    def tick(self) -> None:
        """Answer who has waited for long."""
        before = boot_time() - HOLD_S
        self._answer(lambda question: question.came <= before)

    def _answer(self, due: Callable[[_Question], bool]) -> None:
        """Answer the questions that are due."""
        waiting: list[_Question] = []
        answers: dict[int, TellChanges] = {}
        for question in self._questions:
            if not due(question):
                waiting.append(question)
                continue
            found = answers.get(question.after)
            if found is None:
                found = answers[question.after] = self._answer_to(question.after)
            self._send(question.asker.address, replace(found, nonce=question.nonce))
        self._questions = waiting

    def _answer_to(self, after: int) -> TellChanges:
        drains = self._drains.state
        told = TellChanges(
            0, follows=self._follows, known=False, revision=0, changes=(),
            drains_revision=drains.revision, drained=tuple(sorted(drains.domains)),
        )  # fmt: skip
        changes = self._changes.after(after) if self._follows else None
        if changes is None:
            return told
        revision = max(after, self._changes.revision)
        return replace(told, known=True, revision=revision, changes=changes)


def _entry_change(event: WatchEvent) -> EntryChange:
    return EntryChange(event.key, event.revision, event.value is None, event.value or b"")


def _event(change: EntryChange) -> WatchEvent:
    return WatchEvent(change.key, None if change.gone else change.value, change.revision)
