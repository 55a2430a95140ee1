"""Coordinator of a cell: collects heartbeats and evidence and plans new records.

Any daemon can acquire the role and lose it. Two coordinators at once are safe, since only one
compare-and-swap of the record succeeds. A coordinator that receives nothing changes nothing, since
shards are taken away only on witnesses' reports or on evidence.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from pearward_state.records import CellRecord, Instance, MemberState
from pearward_state.table import Policy, ServiceTable

from .assignment import CellView, Joiner, next_record
from .lease import LeaseTiming, majority
from .messages import Heartbeat, HeartbeatReply, PeerId

__all__ = ["CellBelief", "Coordinator"]

REPORT_MAX_AGE_HEARTBEATS = 4.0
"""Number of heartbeat intervals after which a report is out of date."""
FORMATION_WAIT_S = 1.5
"""Maximum wait of a new cell for the servers of its table before the first assignment."""
QUICK_CONFIRM_S = 0.05
"""Minimum time for which an owner must be silent under the quick policy before its shards move."""

REVIEW_INTERVAL_S = 0.1
"""Interval between plans if no report has changed: some decisions depend on time alone."""
_NO_PLAN: tuple[int, CellView | None] = (-1, None)


@dataclass(slots=True)
class _Report:
    """Last heartbeat of one daemon."""

    peer: PeerId
    heartbeat: Heartbeat
    received_at: float


@dataclass(frozen=True, slots=True)
class CellBelief:
    """Daemons that a coordinator regarded as present, lost or ended when it last planned."""

    reporting: tuple[str, ...] = ()
    """Incarnations whose last heartbeat is not out of date."""
    missed: tuple[str, ...] = ()
    """Members that a majority of their witnesses reports as silent, for any length of time."""
    lost: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()
    draining: tuple[str, ...] = ()


class Coordinator:
    """Collects heartbeats and evidence and plans the next record."""

    def __init__(self, cell: str, timing: LeaseTiming, now: float) -> None:
        self._cell = cell
        self._timing = timing
        self._started_at = now
        self._reports: dict[str, _Report] = {}
        self._lost_since: dict[str, float] = {}
        self._unhealthy_since: dict[str, float] = {}
        self._at_address: dict[str, str] = {}
        self._ended_seen: set[str] = set()
        self._replaced: set[str] = set()
        """Ended incarnations for which a successor's Hello message is the only evidence."""
        self._ended_since: dict[str, float] = {}
        self._listed_before: set[str] = set()
        self._dirty = True
        self._next_review = now
        self._planned: tuple[int, CellView | None] = _NO_PLAN
        """Record version and view that required no change, to avoid planning them again."""
        self._belief = CellBelief()
        self._newest_adopted = 0

    @property
    def newest_adopted(self) -> int:
        """Highest record version that a member has reported as adopted; 0 before any report."""
        return self._newest_adopted

    @property
    def belief(self) -> CellBelief:
        """State of the cell's daemons on which the last plan was based."""
        return self._belief

    @property
    def reports(self) -> dict[str, Heartbeat]:
        """Last heartbeat of each incarnation."""
        return {name: report.heartbeat for name, report in self._reports.items()}

    # -- events -------------------------------------------------------------

    def on_heartbeat(
        self, sender: PeerId, heartbeat: Heartbeat, version: int, now: float
    ) -> HeartbeatReply:
        """Store a member's heartbeat and return the reply."""
        known = self._reports.get(sender.incarnation)
        if known is None or known.heartbeat != replace(heartbeat, running=known.heartbeat.running):
            self._dirty = True
        self._reports[sender.incarnation] = _Report(sender, heartbeat, now)
        self._newest_adopted = max(self._newest_adopted, heartbeat.adopted)
        return HeartbeatReply(self._cell, True, version)

    def peer_seen(self, peer: PeerId) -> None:
        """Record the incarnation that listens at an address, which makes it eligible to join."""
        if self._at_address.get(peer.address) != peer.incarnation:
            self._at_address[peer.address] = peer.incarnation
            self._dirty = True

    def note_ended(self, incarnations: Iterable[str]) -> None:
        """Record evidence that some incarnations can never act again.

        The evidence is a Hello of another incarnation on a connection that was opened to their
        address *after* a record named them there. An earlier Hello proves nothing: it may come
        from the older of the two incarnations.
        """
        for incarnation in incarnations:
            if incarnation not in self._ended_seen:
                self._ended_seen.add(incarnation)
                self._replaced.add(incarnation)
                self._dirty = True

    def _note_terminated(self, incarnations: Iterable[str]) -> None:
        """Record that some incarnations have ended, without waiting for successors of them."""
        self.note_ended(incarnations)
        self._replaced.difference_update(incarnations)

    def instances_listed(self, instances: Iterable[Instance], record: CellRecord) -> None:
        """Compare the platform's list of instances with the record.

        The list lags but is correct: an instance that is no longer listed has ended, while one
        that was never listed may only be new.
        """
        names = {instance.name for instance in instances}
        removed = {
            m.incarnation
            for m in record.members
            if m.instance in self._listed_before and m.instance not in names
        }
        self._listed_before |= names
        self._note_terminated(removed)

    def force_release(self, incarnation: str) -> None:
        """Record an operator's statement that *incarnation* has ended."""
        self._note_terminated((incarnation,))

    # -- decisions ----------------------------------------------------------

    def plan(
        self, record: CellRecord, table: ServiceTable, write_id: str, now: float
    ) -> CellRecord | None:
        """Return the record to write, or None if no change is needed."""
        if not self._dirty and now < self._next_review and record.version == self._planned[0]:
            return None
        self._dirty = False
        self._next_review = now + REVIEW_INTERVAL_S
        self._drop_old_reports(now)
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
            stopping=frozenset(n for n, r in fresh.items() if r.heartbeat.stopping),
            available=self._available(record, fresh, now),
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
        self._planned = (record.version, view) if planned is None else _NO_PLAN
        return planned

    def _drop_old_reports(self, now: float) -> None:
        """Drop reports older than 60 s, so that memory use stays bounded."""
        horizon = now - 60.0
        for name in [n for n, r in self._reports.items() if r.received_at < horizon]:
            del self._reports[name]

    def _fresh_reports(self, now: float) -> dict[str, _Report]:
        limit = now - REPORT_MAX_AGE_HEARTBEATS * self._timing.heartbeat_s
        return {name: r for name, r in self._reports.items() if r.received_at >= limit}

    def _formed(self, table: ServiceTable, fresh: dict[str, _Report], now: float) -> bool:
        """Return whether all servers of a new cell report or its wait for them has ended."""
        servers = {r.heartbeat.server for r in fresh.values()}
        return servers >= set(table.servers) or now - self._started_at >= FORMATION_WAIT_S

    def _joiners(self, record: CellRecord, fresh: dict[str, _Report]) -> tuple[Joiner, ...]:
        """Return the reporting, healthy daemons that are not active or draining members."""
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
            and _is_available(r.heartbeat)
            and self._at_address.get(r.peer.address) == name
        )

    @staticmethod
    def _takes_part(record: CellRecord, name: str) -> bool:
        index = record.by_incarnation.get(name)
        return index is not None and record.members[index].state is not MemberState.RETIRED

    def _ended(
        self, record: CellRecord, table: ServiceTable, joiners: tuple[Joiner, ...], now: float
    ) -> frozenset[str]:
        """Return members that certainly can no longer act and whose shards are to move.

        The shards of a member that was replaced by another incarnation at the same server stay
        until that one reports, which usually takes a moment, or until ``wait_return_s`` has
        passed, as for a lost owner.
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
        """Return members that a majority of their witnesses has reported as silent for long enough.

        A coordinator that receives no heartbeat but its own is partitioned or is the only daemon
        left. It cannot distinguish the two, and in either case it cannot reach the witnesses that
        could release a lost member, so it returns none.
        """
        if len(fresh) <= 1 and _has_silent_members(record, fresh):
            self._lost_since.clear()
            return frozenset()
        wait = table.service.wait_return_s
        if table.service.policy is Policy.QUICK:
            wait = max(wait, QUICK_CONFIRM_S)
        lost: set[str] = set()
        for member in record.members:
            name = member.incarnation
            if not self._missed(name, member.witnesses, fresh, now):
                self._lost_since.pop(name, None)
                continue
            if now - self._lost_since.setdefault(name, now) >= wait:
                lost.add(name)
        return frozenset(lost)

    def _missed(
        self, name: str, witnesses: tuple[str, ...], fresh: dict[str, _Report], now: float
    ) -> bool:
        """Return whether a majority of *witnesses* reports *name* as silent."""
        votes = 0
        for witness in witnesses:
            if witness == name:
                votes += name not in fresh and self._has_awaited_reports(now)
            elif witness in fresh and name in fresh[witness].heartbeat.silent:
                votes += 1
        return bool(witnesses) and votes >= majority(len(witnesses))

    def _available(
        self, record: CellRecord, fresh: dict[str, _Report], now: float
    ) -> frozenset[str]:
        """Return the members that report that they can own shards.

        None is returned before all had time to report to this coordinator: the first of them would
        get the shards of those that still drain, as these can be taken from them at last.
        """
        if _has_silent_members(record, fresh) and not self._has_awaited_reports(now):
            return frozenset()
        return frozenset(n for n, r in fresh.items() if _is_available(r.heartbeat))

    def _has_awaited_reports(self, now: float) -> bool:
        """Return whether each member has had time to report to this coordinator."""
        return now - self._started_at >= REPORT_MAX_AGE_HEARTBEATS * self._timing.heartbeat_s

    def _draining(
        self, table: ServiceTable, fresh: dict[str, _Report], now: float
    ) -> frozenset[str]:
        """Return members that are leaving or whose server has not responded for long enough."""
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


def _is_available(heartbeat: Heartbeat) -> bool:
    """Return whether the sender can own shards."""
    return heartbeat.healthy and not heartbeat.draining


def _has_silent_members(record: CellRecord, fresh: Mapping[str, object]) -> bool:
    """Return whether *record* has active or draining members that do not report."""
    return any(
        m.state is not MemberState.RETIRED and m.incarnation not in fresh for m in record.members
    )
