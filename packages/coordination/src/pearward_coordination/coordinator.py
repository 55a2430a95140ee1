"""The coordinator's role in a cell: what it has heard, and when that calls for a new record.

Any daemon can take the role and lose it. Two at once do no harm, since only one
compare-and-swap of the record succeeds; and a coordinator that hears nothing decides
nothing, since only witnesses' reports and evidence take shards away.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from pearward_state.records import CellRecord, Instance, MemberState
from pearward_state.table import Policy, ServiceTable

from .assignment import CellView, Joiner, next_record
from .lease import LeaseTiming, majority
from .messages import Heartbeat, HeartbeatReply, PeerId

__all__ = ["CellBelief", "Coordinator"]

REPORT_AGE_BEATS = 4.0
"""Heartbeat intervals after which a report no longer counts."""
FORMATION_S = 1.5
"""Time that a new cell waits for the servers of its table before the first assignment."""
QUICK_CONFIRM_S = 0.05
"""Time for which an owner must stay silent under the quick policy before its shards move."""

REVIEW_S = 0.1
"""Between looks at what time alone may have changed, where no report has."""
_NOTHING_PLANNED: tuple[int, CellView | None] = (-1, None)


@dataclass(slots=True)
class _Report:
    """The last heartbeat of one daemon."""

    peer: PeerId
    heartbeat: Heartbeat
    heard_at: float


@dataclass(frozen=True, slots=True)
class CellBelief:
    """Which daemons a coordinator held to be there, lost or gone when it last planned."""

    reporting: tuple[str, ...] = ()
    """Incarnations whose last heartbeat still counts."""
    missed: tuple[str, ...] = ()
    """Members that a majority of their witnesses reports as silent, for however short a time."""
    lost: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()
    draining: tuple[str, ...] = ()


class Coordinator:
    """Collects heartbeats and evidence, and plans the next record."""

    def __init__(self, cell: str, timing: LeaseTiming, now: float) -> None:
        self._cell = cell
        self._timing = timing
        self._began = now
        self._reports: dict[str, _Report] = {}
        self._lost_since: dict[str, float] = {}
        self._unhealthy_since: dict[str, float] = {}
        self._at_address: dict[str, str] = {}
        self._ended_seen: set[str] = set()
        self._replaced: set[str] = set()
        """Of those that have ended, the ones of which only a successor's greeting tells."""
        self._ended_since: dict[str, float] = {}
        self._listed_before: set[str] = set()
        self._dirty = True
        self._next_review = now
        self._planned: tuple[int, CellView | None] = _NOTHING_PLANNED
        """Record version and view that called for no change, so as not to plan them again."""
        self._belief = CellBelief()
        self._newest_adopted = 0

    @property
    def newest_adopted(self) -> int:
        """Highest version of the record that a member has said it acts on; 0 before the first."""
        return self._newest_adopted

    @property
    def belief(self) -> CellBelief:
        """What the last plan was made from."""
        return self._belief

    @property
    def reports(self) -> dict[str, Heartbeat]:
        """The last heartbeat of each incarnation."""
        return {name: report.heartbeat for name, report in self._reports.items()}

    # -- events -------------------------------------------------------------

    def on_heartbeat(
        self, sender: PeerId, heartbeat: Heartbeat, version: int, now: float
    ) -> HeartbeatReply:
        """Take a member's report."""
        known = self._reports.get(sender.incarnation)
        if known is None or known.heartbeat != replace(heartbeat, running=known.heartbeat.running):
            self._dirty = True
        self._reports[sender.incarnation] = _Report(sender, heartbeat, now)
        self._newest_adopted = max(self._newest_adopted, heartbeat.adopted)
        return HeartbeatReply(self._cell, True, version)

    def peer_seen(self, peer: PeerId) -> None:
        """Note who listens at an address, so that it may join."""
        if self._at_address.get(peer.address) != peer.incarnation:
            self._at_address[peer.address] = peer.incarnation
            self._dirty = True

    def has_ended(self, incarnations: Iterable[str]) -> None:
        """Take evidence that some incarnations can never act again.

        Evidence is a greeting of another incarnation on a connection that was dialled
        to their address *after* a record named them there. A greeting from before
        proves nothing: it may be the older one of the two.
        """
        for incarnation in incarnations:
            if incarnation not in self._ended_seen:
                self._ended_seen.add(incarnation)
                self._replaced.add(incarnation)
                self._dirty = True

    def _gone_for_good(self, incarnations: Iterable[str]) -> None:
        """Take evidence that some incarnations have ended and have no successors."""
        self.has_ended(incarnations)
        self._replaced.difference_update(incarnations)

    def instances_listed(self, instances: Iterable[Instance], record: CellRecord) -> None:
        """Compare the platform's list with the record.

        The list lags but tells no untruth: an instance that was listed and no longer is
        has ended; one that was never listed may only be new.
        """
        names = {instance.name for instance in instances}
        gone = {
            m.incarnation
            for m in record.members
            if m.instance in self._listed_before and m.instance not in names
        }
        self._listed_before |= names
        self._gone_for_good(gone)

    def force_release(self, incarnation: str) -> None:
        """Take an operator's word that *incarnation* has ended."""
        self._gone_for_good((incarnation,))

    # -- decisions ----------------------------------------------------------

    def plan(
        self, record: CellRecord, table: ServiceTable, write_id: str, now: float
    ) -> CellRecord | None:
        """Return the record to write, or None where nothing is to change."""
        if not self._dirty and now < self._next_review and record.version == self._planned[0]:
            return None
        self._dirty = False
        self._next_review = now + REVIEW_S
        self._forget_old_reports(now)
        fresh = self._fresh_reports(now)
        if not record.members and not self._formed(table, fresh, now):
            return None
        joiners = self._joiners(record, fresh)
        ended = self._ended(record, table, joiners, now)
        view = CellView(
            table=table,
            joiners=joiners,
            lost=self._lost(record, table, fresh, now) - ended,
            ended=ended,
            draining=self._draining(table, fresh, now),
            settled={name: r.heartbeat.settled for name, r in fresh.items()},
            released={name: r.heartbeat.released for name, r in fresh.items()},
        )
        self._belief = CellBelief(
            reporting=tuple(sorted(fresh)),
            missed=tuple(sorted(self._lost_since)),
            lost=tuple(sorted(view.lost)),
            ended=tuple(sorted(view.ended)),
            draining=tuple(sorted(view.draining)),
        )
        if (record.version, view) == self._planned:
            return None
        planned = next_record(record, view, write_id)
        self._planned = (record.version, view) if planned is None else _NOTHING_PLANNED
        return planned

    def _forget_old_reports(self, now: float) -> None:
        """Drop reports far too old to matter, so that state stays bounded."""
        horizon = now - 60.0
        for name in [n for n, r in self._reports.items() if r.heard_at < horizon]:
            del self._reports[name]

    def _fresh_reports(self, now: float) -> dict[str, _Report]:
        limit = now - REPORT_AGE_BEATS * self._timing.heartbeat_s
        return {name: r for name, r in self._reports.items() if r.heard_at >= limit}

    def _formed(self, table: ServiceTable, fresh: dict[str, _Report], now: float) -> bool:
        """Return whether a new cell has waited long enough for its servers."""
        servers = {r.heartbeat.server for r in fresh.values()}
        return servers >= set(table.servers) or now - self._began >= FORMATION_S

    def _joiners(self, record: CellRecord, fresh: dict[str, _Report]) -> tuple[Joiner, ...]:
        """Return the daemons that report, are healthy and have no part in the record."""
        return tuple(
            Joiner(
                name,
                r.heartbeat.instance,
                r.heartbeat.server,
                r.heartbeat.failure_domain,
                r.peer.address,
                r.heartbeat.caller,
            )
            for name, r in sorted(fresh.items())
            if not self._takes_part(record, name)
            and name not in self._ended_seen
            and r.heartbeat.healthy
            and not r.heartbeat.draining
            and self._at_address.get(r.peer.address) == name
        )

    @staticmethod
    def _takes_part(record: CellRecord, name: str) -> bool:
        index = record.by_incarnation.get(name)
        return index is not None and record.members[index].state is not MemberState.RETIRED

    def _ended(
        self, record: CellRecord, table: ServiceTable, joiners: tuple[Joiner, ...], now: float
    ) -> frozenset[str]:
        """Return members that certainly can no longer act, and whose shards are to move.

        The shards of one that was replaced beside its server wait for the successor's
        report, which comes in a moment, and for as long as a lost owner is waited for.
        """
        reporting = {joiner.server for joiner in joiners}
        ended: set[str] = set()
        for member in record.members:
            name = member.incarnation
            if name not in self._ended_seen:
                continue
            since = self._ended_since.setdefault(name, now)
            awaited = (
                name in self._replaced
                and member.state is not MemberState.RETIRED
                and member.server not in reporting
                and now - since < table.service.wait_return_s
            )
            if not awaited:
                ended.add(name)
        return frozenset(ended)

    def _lost(
        self,
        record: CellRecord,
        table: ServiceTable,
        fresh: dict[str, _Report],
        now: float,
    ) -> frozenset[str]:
        """Return members that a majority of their witnesses has missed for long enough.

        A coordinator that hears only itself is cut off, or is all that is left: it cannot tell
        which, and none of the witnesses that could release a lost member would hear it.
        """
        if len(fresh) <= 1 and _others_named(record, fresh):
            self._lost_since.clear()
            return frozenset()
        wait = table.service.wait_return_s
        if table.service.policy is Policy.QUICK:
            wait = max(wait, QUICK_CONFIRM_S)
        lost: set[str] = set()
        for member in record.members:
            name = member.incarnation
            if not self._missed(name, member.witnesses, fresh):
                self._lost_since.pop(name, None)
                continue
            if now - self._lost_since.setdefault(name, now) >= wait:
                lost.add(name)
        return frozenset(lost)

    def _missed(self, name: str, witnesses: tuple[str, ...], fresh: dict[str, _Report]) -> bool:
        """Return whether a majority of *witnesses* reports *name* as silent."""
        votes = 0
        for witness in witnesses:
            if witness == name:
                votes += name not in fresh
            elif witness in fresh and name in fresh[witness].heartbeat.silent:
                votes += 1
        return bool(witnesses) and votes >= majority(len(witnesses))

    def _draining(
        self, table: ServiceTable, fresh: dict[str, _Report], now: float
    ) -> frozenset[str]:
        """Return members that are leaving, or whose server has not answered for long enough."""
        leaving: set[str] = set()
        for name, report in fresh.items():
            if report.heartbeat.healthy:
                self._unhealthy_since.pop(name, None)
            else:
                since = self._unhealthy_since.setdefault(name, now)
                if now - since >= table.service.wait_return_s:
                    leaving.add(name)
            if report.heartbeat.draining:
                leaving.add(name)
        return frozenset(leaving)


def _others_named(record: CellRecord, fresh: Mapping[str, object]) -> bool:
    """Return whether a record names daemons that are to act and that do not report."""
    return any(
        m.state is not MemberState.RETIRED and m.incarnation not in fresh for m in record.members
    )
