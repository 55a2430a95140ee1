"""The planner, active in one daemon: assigns keys to owners based on the owners' reports.

The member with the fastest link is the active planner; ties are resolved by name. Two active
planners do no harm, as the store accepts only one of two writes for the same version of a key
map. All of the planner's state is in the store or is repeated in the owners' reports.
"""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred

from pearward_coordination.directory import Directory
from pearward_coordination.era_settling import (
    FormerLeases,
    has_old_fences,
    settled,
    with_new_fences,
)
from pearward_coordination.key_segments import KeyOwner, rates_by_owner
from pearward_coordination.keyplan import (
    PlanLimits,
    first_map,
    move_to_successors,
    plan_moves,
    planned_capacity,
    without_targets,
)
from pearward_coordination.load_watch import LoadWatch
from pearward_coordination.mass_loss import LossDecision, LossEvidence, MassLoss
from pearward_coordination.messages import AskRelease, KeyReport, ReleaseReply
from pearward_coordination.overload.policy import Mechanism
from pearward_coordination.witness_sets import WitnessCandidate, with_witnesses
from pearward_state.eras import era_of
from pearward_state.keymap import KeyMap
from pearward_state.members import Member, TargetState
from pearward_transport.clock import boot_time, unix_time
from pearward_transport.errors import CasConflict, PlatformError
from pearward_transport.store import FleetStore

from ..errors import MapNotSettled
from .key_map_entry import KeyMapEntry
from .key_maps import KeyMaps
from .log import DecisionLog
from .settings import MeshSettings

__all__ = ["REPORT_INTERVAL_S", "KeyPlanner"]

TICK_S = 0.2
REPORT_INTERVAL_S = 0.4
MAX_REPORT_AGE_S = 2.0
"""Maximum age in s of a report that is used: five intervals."""
LOSS_REPORT_AGE_S = 1.2
"""Maximum age in s of a report in the evidence of losses: three intervals. Instances need as long
to start, so that the loss of their targets is known before the next ones report."""
FIRST_MAP_DELAY_S = 1.0
"""Seconds from the first known owner to the first map; all targets send a heartbeat by then."""
RESTART_SILENCE_S = 4.0
"""Seconds without a report after which an owner loses its keys during a planned stop of its
daemon. The daemon is back after 1.4 s and reports on its target's heartbeat up to 0.9 s later. An
owner that is lost during the stop is detected only after this time."""
MAX_UTILISATION = 0.75
"""Maximum utilisation of the remaining owners at which they take over the keys of a target whose
daemon is stopped. Moving the keys away and back makes them unavailable for 1 s in all, not moving
them for 2.5 s; above this utilisation the requests of all owners would queue."""
WITNESS_TIMEOUT_S = 6.0
"""Seconds without a member entry after which an instance is replaced as a witness."""
MEMBER_SCAN_INTERVAL_S = 1.0
"""Seconds between scans of the members for instances that may serve as witnesses."""
SETTLE_LEASE_FACTOR = 1.2
"""Number of lease durations after which no lease granted by former witnesses can be valid."""
ERA_SETTLE_S = 1.5
"""Seconds after the store was restored before its maps are written again. By then daemons have
detected it by the renewal of their lease, rewritten their entries and reported their maps."""
QUERY_INTERVAL_S = 0.4
"""Seconds between two queries to the same instance, since a message may be lost."""
GRACE_S = 1.5
"""Seconds from becoming active until owners may be considered silent: reports must arrive first."""
UNREPORTED_S = 8.0
"""Seconds from becoming active until an owner with an entry that has never reported is considered
silent, if most owners report: longer than a daemon needs to try all of its watchers in turn, or to
report again after a planned stop."""


def _planner_order(member: Member) -> tuple[bool, float, str]:
    """Return the sort key for the choice of the active planner; the lowest is chosen."""
    leaving = member.stopping or member.state is TargetState.DRAINING
    return leaving, -member.link_mbit_per_s, member.instance


@dataclass(slots=True)
class _Service:
    """State of one keyed service."""

    name: str
    entry: KeyMapEntry
    reports: dict[str, tuple[KeyReport, float]] = field(default_factory=dict)
    ended: set[str] = field(default_factory=set)
    confirmed_at: dict[str, float] = field(default_factory=dict)
    """Time at which each owner first used a map that changed its witnesses."""
    load: LoadWatch = field(default_factory=lambda: LoadWatch(PlanLimits()))
    owners_since: float | None = None
    stopping: dict[str, bool] = field(default_factory=dict)
    """Targets whose daemons are restarting by a planned stop, and whether the other owners
    have capacity for their keys in the meantime."""
    unreadable_since: float | None = None
    """Time since which the map's entry could not be decoded and no map was known, or None."""
    mass_loss: MassLoss = field(default_factory=lambda: MassLoss(MAX_UTILISATION))
    loss: LossDecision = field(default_factory=LossDecision)
    """Decision at the last planning."""
    working: bool = False
    former: FormerLeases = field(default_factory=FormerLeases)
    former_asked_at: float = float("-inf")
    """Time of the last query for leases under maps of earlier eras."""


class KeyPlanner:
    """Plans and writes key maps while this daemon is the active planner."""

    def __init__(
        self,
        settings: MeshSettings,
        store: FleetStore,
        directory: Directory,
        key_maps: KeyMaps,
        log: DecisionLog,
        distribute: Callable[[KeyMap], None],
        request: Callable[[str, AskRelease], None],
    ) -> None:
        self._settings = settings
        self._store = store
        self._directory = directory
        self._maps = key_maps
        self._log = log
        self._distribute = distribute
        self._query = request
        self._services: dict[str, _Service] = {}
        self._active_since: float | None = None
        self._registered = False
        self._active_planner: Member | None = None
        self._active_planner_inputs: tuple[int, bool] = (-1, False)
        """Revision of the members, and whether this one is registered, used for the choice."""
        self._seen_at = float("-inf")
        self._seen: dict[str, tuple[str, float]] = {}
        """Failure domain of each instance, and time at which its entry was last seen."""
        self._limits = PlanLimits()
        self._returns_to_instance = settings.overload.uses(Mechanism.RETURN_TO_INSTANCE)
        self._era = -1
        self._era_since = float("-inf")
        """Time at which this daemon first saw the current era of the store."""

    # -- properties -------------------------------------------------------------

    @property
    def is_active_planner(self) -> bool:
        """Whether this daemon is the active planner."""
        return self._active_since is not None

    def active_planner(self) -> Member | None:
        """Return the member that this daemon considers the active planner, or None.

        Members that leave come last. Of the others the one with the fastest link is chosen, as
        it sends each map to every member; ties are resolved by name.
        """
        inputs = (self._directory.revision, self._registered)
        if inputs != self._active_planner_inputs:
            self._active_planner_inputs = inputs
            me = self._settings.instance
            self._active_planner = min(
                (m for m in self._directory.registered if m.instance != me or self._registered),
                key=_planner_order,
                default=None,
            )
        return self._active_planner

    # -- reports ------------------------------------------------------------------

    def reported(self, report: KeyReport) -> int:
        """Process an owner's report; return the newest known version of the map."""
        now = boot_time()
        service = self._service(report.service)
        service.load.reported(report.counts, now)
        if report.target:
            service.reports[report.target] = (report, now)
        for target in report.ended:
            service.ended.add(target)
            service.reports.pop(target, None)
        return self._maps.version(report.service)

    def _service(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            entry = KeyMapEntry(name, self._store, self._maps, self._log, self._distribute)
            service = self._services[name] = _Service(name, entry)
        return service

    # -- planning -----------------------------------------------------------------

    def set_registered(self, there: bool) -> None:
        """Set whether this daemon's own entry is certain to exist in the store.

        If it may be missing, other daemons may choose another planner and report there, so
        missing reports are no evidence. This daemon becomes active again with its entry.
        """
        self._registered = there

    def tick(self, keyed_services: tuple[str, ...], stopping: bool) -> None:
        """Check whether this daemon is the active planner, and start the planning that is due."""
        holder = self.active_planner()
        active = holder is not None and holder.instance == self._settings.instance and not stopping
        now = boot_time()
        if self._store.era != self._era:
            self._era = self._store.era
            self._era_since = now
        if active and self._active_since is None:
            self._active_since = now
            for service in self._services.values():
                service.entry.invalidate()
                service.owners_since = None
                service.mass_loss, service.loss = MassLoss(MAX_UTILISATION), LossDecision()
            self._log.emit("planner_activated", members=len(self._directory.registered))
        elif not active and self._active_since is not None:
            self._active_since = None
            self._log.emit("planner_deactivated", holder=holder.instance if holder else "")
        if now - self._seen_at >= MEMBER_SCAN_INTERVAL_S:
            self._seen_at = now
            for member in self._directory.registered:
                self._seen[member.instance] = (member.failure_domain, now)
        if not active:
            return
        for name in keyed_services:
            service = self._service(name)
            if not service.working:
                service.working = True
                self._run(self._plan(name, service), service)

    def _run(self, work: Coroutine[Any, Any, None], service: _Service) -> None:
        def finished(result: Any) -> None:
            service.working = False
            if result is not None:
                self._log.emit("planning_failed", failure=True, error=result.getTraceback()[-2000:])

        Deferred.fromCoroutine(work).addBoth(finished)

    async def _plan(self, name: str, service: _Service) -> None:
        now = boot_time()
        era_settled = now - self._era_since >= ERA_SETTLE_S
        try:
            key_map = await service.entry.read(
                partial(self._rebuilt_map, service), era_settled=era_settled
            )
            if key_map is None:
                await self._write_first(name, service, now)
                return
            self._update_stopping(name, service, now)
            silent = frozenset(self._silent_targets(key_map, service, now))
            service.loss = self._observe_losses(key_map, service, now)
            if service.loss.active:
                planned = self._map_with_successors(key_map, service, now)
            else:
                planned = self._rebalanced(key_map, service, silent, now)
            if planned is None:
                planned = without_targets(key_map, service.ended)
            why = "moves" if planned is not None else "witnesses"
            if planned is None:
                planned = self._next_era_map(key_map, service, now)
                why = why if planned is None else "era settled or fences renewed"
            planned = self._with_witnesses(planned or key_map, service, now)
            if planned.version == key_map.version and planned.witnesses != key_map.witnesses:
                planned = replace(planned, version=key_map.version + 1)
            if planned.version != key_map.version:
                await service.entry.write(planned, why)
        except MapNotSettled:
            # Other daemons may still report a newer map: planning is retried at the next tick.
            return
        except CasConflict as error:
            service.entry.invalidate()
            self._log.emit("key_map_write_conflict", service=name, error=str(error))
        except PlatformError as error:
            service.entry.invalidate()
            self._log.emit("planning_delayed", service=name, error=str(error))

    def _next_era_map(self, key_map: KeyMap, service: _Service, now: float) -> KeyMap | None:
        """Return the next map once no lease can be valid under maps of earlier eras, or None."""
        if not key_map.unsettled:
            if not has_old_fences(key_map):
                return None
            return with_new_fences(key_map, self._owners(key_map.service, service, now))
        instances = self._instances(key_map, now)
        if service.former.have_ended(key_map, instances):
            return settled(key_map, self._owners(key_map.service, service, now))
        if now - service.former_asked_at >= QUERY_INTERVAL_S:
            service.former_asked_at = now
            request = AskRelease(key_map.service, "", key_map.version)
            for instance in service.former.unconfirmed(key_map, instances):
                self._query(instance, request)
        return None

    def _instances(self, key_map: KeyMap, now: float) -> frozenset[str]:
        """Return the instances that may have renewed leases recently.

        A witness without an entry may only be partitioned: it is included for as long as an
        instance whose entry has expired.
        """
        assert self._active_since is not None
        found = {i for i, (_, seen) in self._seen.items() if now - seen <= WITNESS_TIMEOUT_S}
        if now - self._active_since <= WITNESS_TIMEOUT_S:
            found.update(name for row in key_map.witnesses for names in row.sets for name in names)
        return frozenset(found)

    def former_leases_reported(self, instance: str, reply: ReleaseReply) -> None:
        """Process an instance's reply on leases under maps of earlier eras."""
        if reply.released:
            self._service(reply.cell).former.note_ended_at(instance, reply.version)

    def _rebuilt_map(self, service: _Service, fence: int) -> KeyMap | None:
        """Return a first map once it is certain that no keys are held under a former one.

        A target that holds keys has a lease, and the witnesses that renew it know the former
        map and report its version. Hence every owner must report that it knows no map, for
        the duration of a lease and a hold.
        """
        now = boot_time()
        if service.unreadable_since is None:
            service.unreadable_since = now
        owners = self._owners(service.name, service, now)
        quiet_s = self._settings.holds.lease.lease_s + self._settings.holds.hold_s + GRACE_S
        none_knows_a_map = all(
            (report := self._report(service, owner.target, now)[0]) is not None
            and not report.version
            for owner in owners
        )
        if not owners or not none_knows_a_map or now - service.unreadable_since < quiet_s:
            return None
        service.unreadable_since = None
        first = first_map(service.name, owners)
        ranges = tuple(replace(r, fence=fence) for r in first.ranges)
        unsettled = era_of(fence) > 0
        return replace(first, version=fence, fence=fence, ranges=ranges, unsettled=unsettled)

    async def _write_first(self, name: str, service: _Service, now: float) -> None:
        """Write the first map once all running owners have had time to register."""
        owners = self._owners(name, service, now)
        if not owners:
            return
        if service.owners_since is None:
            service.owners_since = now
        if now - service.owners_since >= FIRST_MAP_DELAY_S:
            era = self._store.era
            first = replace(first_map(name, owners, era), unsettled=era > 0)
            planned = self._with_witnesses(first, service, now)
            await service.entry.write(planned, "first")

    # -- owners ------------------------------------------------------------------------

    def _owners(self, name: str, service: _Service, now: float) -> list[KeyOwner]:
        """Return the targets that can own keys, ordered by instance."""
        mean = self._mean_capacity(service, now)
        owners: list[KeyOwner] = []
        for member in sorted(self._directory.members, key=lambda m: m.instance):
            if member.service != name or not member.target or member.target in service.ended:
                continue
            if member.state is TargetState.DRAINING or service.stopping.get(member.target):
                continue
            if self._directory.is_drained(member.failure_domain):
                continue
            report, age = self._report(service, member.target, now)
            if report is None or age > MAX_REPORT_AGE_S:
                if self._directory.is_registered(member.target):
                    owners.append(KeyOwner(member.target, mean or float(member.slots)))
                continue
            if report.draining:
                continue
            limited = report.limited or member.cold_until > unix_time()
            owners.append(self._reported_owner(report, mean, limited=limited))
        return owners

    def _reported_owner(self, report: KeyReport, mean: float, *, limited: bool) -> KeyOwner:
        """Return an owner as its report describes it."""
        capacity = planned_capacity(report.capacity, mean, limited=limited)
        # Grants under a map that the store may have lost are no evidence.
        reported = era_of(report.version) == era_of(self._maps.version(report.service))
        confirmed = report.confirmed if reported else ()
        return KeyOwner(report.target, capacity, confirmed, reported)

    def _report(self, service: _Service, target: str, now: float) -> tuple[KeyReport | None, float]:
        found = service.reports.get(target)
        if found is None:
            return None, 0.0
        return found[0], now - found[1]

    def _reports(self, service: _Service, target: str, now: float) -> bool:
        """Return whether a current report of a target is known."""
        report, age = self._report(service, target, now)
        return report is not None and age <= MAX_REPORT_AGE_S

    def _mean_capacity(self, service: _Service, now: float) -> float:
        """Return the mean measured capacity of the owners, or of all if each limits its rate."""
        fresh = [r for r, at in service.reports.values() if now - at <= MAX_REPORT_AGE_S]
        measured = [r.capacity for r in fresh if not r.limited] or [r.capacity for r in fresh]
        return sum(measured) / len(measured) if measured else 0.0

    # -- losses of many targets ------------------------------------------------------------

    def reserved_keys(self) -> int:
        """Return the number of keys that wait for the next targets of lost owners' instances."""
        if not self.is_active_planner:
            return 0
        return sum(
            r.size
            for service in self._services.values()
            if service.loss.active and (key_map := self._maps.of(service.name)) is not None
            for r in key_map.ranges
            if r.owner in service.loss.reserved
        )

    def _observe_losses(self, key_map: KeyMap, service: _Service, now: float) -> LossDecision:
        """Return whether the keys of lost owners wait for the next targets of their instances."""
        if not self._returns_to_instance:
            return LossDecision()
        before = service.loss
        decision = service.mass_loss.observe(self._loss_evidence(key_map, service, now), now)
        if decision.active and not before.active:
            self._log.emit(
                "keys_reserved", service=key_map.service, version=key_map.version,
                owners=len({r.owner for r in key_map.ranges}), reserved=len(decision.reserved),
            )  # fmt: skip
        elif before.active and not decision.active:
            self._log.emit(
                "reservation_ended", service=key_map.service, version=key_map.version,
                reserved=sorted(before.reserved),
            )  # fmt: skip
        return decision

    def _loss_evidence(self, key_map: KeyMap, service: _Service, now: float) -> LossEvidence:
        """Return what is known of the owners of a map, and of the targets that follow them."""
        current = [r for r, at in service.reports.values() if now - at <= LOSS_REPORT_AGE_S]
        able = {owner.target for owner in self._possible_successors(service, now)}
        # The reports of a daemon that is restarted pause while its target keeps running.
        reported = {report.target for report in current} | service.stopping.keys()
        owners = frozenset(r.owner for r in key_map.ranges if r.owner)
        return LossEvidence(
            owners=owners,
            reported=frozenset(reported),
            ended=frozenset(service.ended),
            successors={
                lost: report.target
                for report in current
                for lost in report.ended
                if report.target in able and self._may_follow(report.target, lost)
            },
            utilisation_without=self._utilisation(
                service, [r.capacity for r in current if r.target in owners], now
            ),
        )

    def _may_follow(self, target: str, lost: str) -> bool:
        """Return whether a target may run on the instance of another one that it names as ended."""
        present, former = self._directory.member_of(target), self._directory.member_of(lost)
        if present is not None and former is not None and present.instance != former.instance:
            return False
        return target != lost

    def _possible_successors(self, service: _Service, now: float) -> list[KeyOwner]:
        """Return the targets that can get the keys of a lost target of their instance.

        After a loss of all instances members' entries arrive more than a second late, as most
        watchers are lost too. A target that reports is known to run on the instance of the
        former one.
        """
        owners = [
            owner
            for owner in self._owners(service.name, service, now)
            if self._may_get_keys(owner.target, service, now, has_keys=False)
        ]
        mean = self._mean_capacity(service, now)
        for target, (report, _) in service.reports.items():
            known = self._directory.member_of(target) is not None
            if known or report.draining or not self._reports(service, target, now):
                continue
            former = self._former_member(report)
            if former is not None and not self._directory.is_drained(former.failure_domain):
                owners.append(self._reported_owner(report, mean, limited=report.limited))
        return owners

    def _former_member(self, report: KeyReport) -> Member | None:
        """Return the entry, if it is still known, of a target that a report names as ended."""
        found = (self._directory.member_of(target) for target in report.ended)
        return next((member for member in found if member is not None), None)

    def _utilisation(self, service: _Service, capacities: list[float], now: float) -> float:
        """Return the load of all keys relative to the capacity of some owners."""
        asked, can = service.load.rate(now), sum(capacities)
        if can <= 0.0:
            return float("inf") if asked > 0.0 else 0.0
        return asked / can

    def _map_with_successors(self, key_map: KeyMap, service: _Service, now: float) -> KeyMap | None:
        """Return a map that gives the keys of lost owners to their successors, or None."""
        owners = self._possible_successors(service, now)
        planned = move_to_successors(key_map, service.loss, owners, frozenset(service.ended))
        if planned is not None:
            service.load.moved(now)
            self._log.emit(
                "keys_returned", service=key_map.service, version=planned.version,
                successors=len(service.loss.successors), reserved=len(service.loss.reserved),
            )  # fmt: skip
        return planned

    # -- plans -----------------------------------------------------------------------------

    def _rebalanced(
        self, key_map: KeyMap, service: _Service, silent: frozenset[str], now: float
    ) -> KeyMap | None:
        """Return a map that moves keys off unavailable owners or balances the load, or None."""
        keyed = frozenset(r.owner for r in key_map.ranges)
        owners = [
            owner
            for owner in self._owners(key_map.service, service, now)
            if owner.target not in silent
            and self._may_get_keys(owner.target, service, now, has_keys=owner.target in keyed)
        ]
        present = {owner.target for owner in owners}
        unheard = self._unreported(key_map, service, present, now) - silent
        unowned = any(r.owner not in present | unheard for r in key_map.ranges)
        # While a map is unsettled, keys that move for load would be unavailable for seconds.
        if not unowned and (key_map.unsettled or not service.load.is_due(now)):
            return None
        load, surged = service.load.check(key_map, now)
        if surged:
            self._log.emit(
                "load_surged", service=key_map.service, version=key_map.version,
                requests_per_s=round(sum(row.rate for row in load.rates)),
            )  # fmt: skip
        if not unowned and not service.load.may_move(now):
            return None
        planned = plan_moves(
            key_map, owners, load, frozenset(service.ended), self._limits, fixed=unheard
        )
        if planned is None:
            return None
        service.load.moved(now)
        asked = rates_by_owner(key_map, load.rates)
        self._log.emit(
            "keys_moved", service=key_map.service, version=planned.version,
            reason="owners lost or leaving" if unowned else "uneven load", silent=sorted(silent),
            unreported=len(unheard), load_and_capacity={
                o.target: [round(asked.get(o.target, 0.0)), round(o.capacity)]
                for o in owners
            },
        )  # fmt: skip
        return planned

    def _may_get_keys(self, target: str, service: _Service, now: float, *, has_keys: bool) -> bool:
        """Return whether keys may move to an owner.

        One without keys must have reported, and must not be stopping: a former planner may have
        moved its keys away for a reason that this one does not know. One with keys that is
        stopping gets none before the planner has decided about the stop. One without a current
        report possibly no longer runs: its entry outlives it by the lease of its daemon.
        """
        member = self._directory.member_of(target)
        stopping = member is not None and member.stopping
        if has_keys and self._returns_to_instance and not self._reports(service, target, now):
            return False
        if has_keys:
            return not stopping or target in service.stopping
        return not stopping and self._reports(service, target, now)

    def _unreported(
        self, key_map: KeyMap, service: _Service, present: set[str], now: float
    ) -> frozenset[str]:
        """Return owners that may still report: without a current report and not known to leave."""
        unheard: set[str] = set()
        for target in key_map.targets - present - service.ended:
            member = self._directory.member_of(target)
            report, _ = self._report(service, target, now)
            fresh = self._reports(service, target, now)
            if member is not None and member.state is TargetState.DRAINING:
                continue
            if member is not None and self._directory.is_drained(member.failure_domain):
                continue
            if service.stopping.get(target):
                continue
            if not (fresh and report is not None and report.draining):
                unheard.add(target)
        return frozenset(unheard)

    # -- lost targets ------------------------------------------------------------------

    def _silent_targets(self, key_map: KeyMap, service: _Service, now: float) -> list[str]:
        """Return targets whose daemons stopped reporting, or never reported.

        One that never reported and has an entry may still report to another planner.
        """
        assert self._active_since is not None
        if now - self._active_since < GRACE_S + self._settings.silent_s:
            return []
        silent: list[str] = []
        reports_due = self._are_reports_due(key_map, service, now)
        for target in key_map.targets:
            if target in service.ended:
                continue
            report, age = self._report(service, target, now)
            if report is not None and age < self._silence_limit_s(target, service):
                continue
            if report is None and self._directory.is_registered(target) and not reports_due:
                continue
            silent.append(target)
        return silent

    def _are_reports_due(self, key_map: KeyMap, service: _Service, now: float) -> bool:
        """Return whether every daemon must have had time to report to this planner.

        It is certain only if most owners report here: else they may report to another planner.
        """
        assert self._active_since is not None
        if now - self._active_since < UNREPORTED_S:
            return False
        owners = {r.owner for r in key_map.ranges}
        reporting = sum(self._reports(service, owner, now) for owner in owners)
        return 2 * reporting > len(owners)

    def _silence_limit_s(self, target: str, service: _Service) -> float:
        """Return the seconds without a report after which an owner loses its keys."""
        waits = service.stopping.get(target) is False
        return RESTART_SILENCE_S if waits else self._settings.silent_s

    def _update_stopping(self, name: str, service: _Service, now: float) -> None:
        """Decide once for each planned stop whether the target's keys move to other owners.

        A planner that has just become active decides only after owners had time to report.
        """
        assert self._active_since is not None
        informed = now - self._active_since >= GRACE_S
        for member in self._directory.members:
            if member.service != name:
                continue
            if not member.stopping:
                if service.stopping.pop(member.target, None) is not None:
                    self._note_restarted(service, member.target, now)
            elif informed and member.target not in service.stopping:
                room = self._has_capacity_without(service, member.target, now)
                service.stopping[member.target] = room
                self._log.emit(
                    "planned_stop_seen", target=member.target, keys_move=room, service=name,
                )  # fmt: skip

    @staticmethod
    def _note_restarted(service: _Service, target: str, now: float) -> None:
        """Treat the new entry of a restarted daemon as a report.

        Its first report follows shortly; judged by its last one before the stop it would be
        considered silent.
        """
        found = service.reports.get(target)
        if found is not None:
            service.reports[target] = (found[0], now)

    def _has_capacity_without(self, service: _Service, target: str, now: float) -> bool:
        """Return whether the remaining owners have capacity for the load of all."""
        asked = service.load.rate(now)
        can = sum(
            report.capacity
            for other, (report, at) in service.reports.items()
            if other != target
            and other not in service.stopping
            and now - at <= MAX_REPORT_AGE_S
            and self._directory.drained_since(other) is None
        )
        return asked <= can * MAX_UTILISATION

    # -- witnesses -------------------------------------------------------------------

    def _with_witnesses(self, key_map: KeyMap, service: _Service, now: float) -> KeyMap:
        """Return the map with a witness set of registered instances for each target."""
        candidates = [
            WitnessCandidate(instance, domain)
            for instance, (domain, seen) in sorted(self._seen.items())
            if now - seen <= WITNESS_TIMEOUT_S
        ]
        instances = {m.target: m.instance for m in self._directory.members if m.target}
        for lost, successor in service.loss.successors.items():
            if lost in instances:
                instances.setdefault(successor, instances[lost])
        return with_witnesses(key_map, candidates, instances, self._settled(key_map, service, now))

    def _settled(self, key_map: KeyMap, service: _Service, now: float) -> frozenset[str]:
        """Return targets that have used their newer witness sets for SETTLE_LEASE_FACTOR leases."""
        settled: set[str] = set()
        for target in key_map.targets:
            report, age = self._report(service, target, now)
            joint = len(key_map.witnesses_of(target)) > 1
            current = report is not None and age <= MAX_REPORT_AGE_S
            if not joint or report is None or not current or report.version < key_map.version:
                service.confirmed_at.pop(target, None)
                continue
            since = service.confirmed_at.setdefault(target, now)
            if now - since > self._settings.holds.lease.lease_s * SETTLE_LEASE_FACTOR:
                settled.add(target)
        return frozenset(settled)
