"""Directory of targets: the addresses, reachability and load of the daemons that serve them.

The sources are the members' entries in the platform's store and the observations of daemons about
each other. An entry that is missing because its lease lapsed is no evidence against a daemon that
can still be reached, nor while the store is unavailable. Such a member is kept until it proves
unreachable, or until nothing was received from it for a long time while the store is available.
No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pearward_state.members import Member, TargetState

from .selection import (
    FAR_SAMPLES,
    NEAR_SAMPLES,
    Candidate,
    LoadView,
    MeanRunningTime,
    TargetLoad,
    draw,
)

if TYPE_CHECKING:
    from random import Random

__all__ = ["Directory"]

LAPSED_RETENTION_S = 12.0
"""Seconds for which a member without an entry is kept while the store is available and nothing
is received from the member: an entry that can be written again is back within 2 s."""
ALIVE_S = 2.0
"""Seconds after a response or report of a member for which it counts as alive."""
NEVER = float("-inf")
LEAVING_RETENTION_S = 300.0
"""Seconds after which a target that leaves has ended; a later one may have its id."""
MAX_LEAVING = 1024
"""Maximum number of targets on record that have stated that they leave; the oldest go first."""
UNREACHABLE_S = 0.7
"""Seconds for which a daemon that was unreachable gets no requests if others are reachable."""


@dataclass(slots=True, eq=False)
class _Known:
    """Member with this daemon's observations of it."""

    member: Member
    lapsed_at: float | None = None
    unreachable_until: float = 0.0
    refuses_work: bool = False
    """Its daemon has reported that the target takes no new work, before its entry shows this."""
    last_received: float = NEVER
    """Time of its daemon's last response or report."""
    view: LoadView = field(default_factory=LoadView)


@dataclass(slots=True)
class _Group:
    """Targets of a service that may get work: in this failure domain (near) and others (far)."""

    near: list[_Known] = field(default_factory=list)
    far: list[_Known] = field(default_factory=list)


class Directory:
    """Members that are known to this daemon, by instance and by target."""

    def __init__(
        self,
        failure_domain: str,
        instance: str = "",
        *,
        sample_candidates: bool = True,
        near_samples: int = NEAR_SAMPLES,
    ) -> None:
        self._failure_domain = failure_domain
        self._instance = instance
        self._sample_candidates = sample_candidates
        self._near_samples = near_samples
        self._groups: dict[str, _Group] = {}
        """Cache by service; cleared when a member is added, changed or removed, or when the drained
        failure domains change."""
        self._services: dict[str, MeanRunningTime] = {}
        self._registered: tuple[Member, ...] | None = None
        """Cached members that have an entry; None after a change."""
        self._lapsed: set[str] = set()
        """Instances of known members whose entries are missing."""
        self._revision = 0
        self._by_instance: dict[str, _Known] = {}
        self._by_target: dict[str, _Known] = {}
        self._store_since: float | None = None
        self._leaving: dict[str, float] = {}
        """Targets that have stated in a response that they leave, with the time of the first one.
        Kept apart from the members, as the statement outlives the daemon beside the target."""
        self._drained: Mapping[str, float] = {}
        """Failure domains whose targets get no new work, with the time of the drain's start."""

    # -- updates ----------------------------------------------------------------

    def entries_read(self, members: Iterable[Member], now: float) -> None:
        """Replace all entries, as after a start or a gap in the watch events."""
        present = {member.instance: member for member in members}
        for instance in list(self._by_instance):
            if instance not in present:
                self.entry_removed(instance, now)
        for member in present.values():
            self.entry_written(member)

    def entry_written(self, member: Member) -> None:
        """Apply a new or changed entry."""
        self._invalidate()
        self._lapsed.discard(member.instance)
        known = self._by_instance.get(member.instance)
        if known is not None and known.member.target == member.target:
            same_process = known.member.incarnation == member.incarnation
            known.member = member
            known.lapsed_at = None
            known.refuses_work = known.refuses_work and same_process
            if not same_process:
                known.unreachable_until = 0.0
        else:
            if known is not None:
                self._by_target.pop(known.member.target, None)
            known = self._by_instance[member.instance] = _Known(member)
        if member.target:
            self._by_target[member.target] = known

    def entry_removed(self, instance: str, now: float) -> None:
        """Record that an entry lapsed or was deleted."""
        known = self._by_instance.get(instance)
        if known is not None and known.lapsed_at is None:
            self._invalidate()
            self._lapsed.add(instance)
            known.lapsed_at = now

    def store_answers(self, since: float | None) -> None:
        """Set the time since which the store has been available, or None while it is not.

        Entries cannot be written again while the store is unavailable, so a missing one is no
        evidence then.
        """
        self._store_since = since

    def set_drained(self, domains: Mapping[str, float]) -> None:
        """Set the drained failure domains, each with the time of the drain's start."""
        self._invalidate()
        self._drained = dict(domains)

    def note_alive(self, target: str, now: float) -> None:
        """Record a response or report of a target's daemon, which proves that it is alive."""
        known = self._by_target.get(target)
        if known is not None:
            known.last_received = now

    def note_unreachable(self, target: str, now: float) -> None:
        """Record that a target's daemon was unreachable; remove the member if it is missing."""
        known = self._by_target.get(target)
        if known is None:
            return
        known.unreachable_until = now + UNREACHABLE_S
        if self._missing_s(known, now) >= 0.0:
            self._remove(known)

    def note_refused(self, target: str) -> None:
        """Record that a target's daemon has refused new work."""
        known = self._by_target.get(target)
        if known is not None:
            known.refuses_work = True

    def note_leaving(self, target: str, now: float) -> bool:
        """Record that a target leaves, as it states in a response; return whether this is new."""
        if target in self._leaving:
            return False
        if len(self._leaving) >= MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        self._leaving[target] = now
        return True

    def expire(self, now: float) -> None:
        """Remove members whose entries have been missing for the retention time, and old notes."""
        for target, since in tuple(self._leaving.items()):
            if now - since > LEAVING_RETENTION_S:
                del self._leaving[target]
        for instance in tuple(self._lapsed):
            known = self._by_instance.get(instance)
            if known is not None and self._missing_s(known, now) > LAPSED_RETENTION_S:
                self._remove(known)

    def _missing_s(self, known: _Known, now: float) -> float:
        """Return the seconds for which a member has been missing without a known reason.

        The result is negative if the member has an entry, the store is unavailable or something
        was received from the daemon within the last ``ALIVE_S``.
        """
        if known.lapsed_at is None or self._store_since is None:
            return NEVER
        return now - max(known.lapsed_at, self._store_since, known.last_received + ALIVE_S)

    def _invalidate(self) -> None:
        """Increment the revision and clear the caches after a change of the members."""
        self._revision += 1
        self._groups.clear()
        self._registered = None

    def _remove(self, known: _Known) -> None:
        self._invalidate()
        member = known.member
        self._lapsed.discard(member.instance)
        if self._by_instance.get(member.instance) is known:
            del self._by_instance[member.instance]
        if self._by_target.get(member.target) is known:
            del self._by_target[member.target]

    # -- queries --------------------------------------------------------------------

    @property
    def members(self) -> list[Member]:
        """All members, including those whose entries lapsed a short time ago."""
        return [known.member for known in self._by_instance.values()]

    @property
    def revision(self) -> int:
        """Counter that is incremented with each change of the members."""
        return self._revision

    @property
    def registered(self) -> tuple[Member, ...]:
        """Members that currently have an entry."""
        if self._registered is None:
            self._registered = tuple(
                k.member for k in self._by_instance.values() if k.lapsed_at is None
            )
        return self._registered

    def member_of(self, target: str) -> Member | None:
        """Return the member whose local target is *target*, or None."""
        known = self._by_target.get(target)
        return known.member if known is not None else None

    def instance(self, name: str) -> Member | None:
        """Return the member on an instance, or None."""
        known = self._by_instance.get(name)
        return known.member if known is not None else None

    def is_registered(self, target: str) -> bool:
        """Return whether a target currently has an entry."""
        known = self._by_target.get(target)
        return known is not None and known.lapsed_at is None

    def is_drained(self, failure_domain: str) -> bool:
        """Return whether a failure domain is drained."""
        return failure_domain in self._drained

    def drained_since(self, target: str) -> float | None:
        """Return when the drain of a target's failure domain started, or None if not drained."""
        known = self._by_target.get(target)
        return self._drained.get(known.member.failure_domain) if known is not None else None

    def is_wholly_drained(self, service: str) -> bool:
        """Return whether a service has targets, all of them in drained failure domains."""
        if not self._drained:
            return False
        domains = {
            known.member.failure_domain
            for known in self._by_instance.values()
            if known.member.service == service and known.member.target
        }
        return bool(domains) and domains <= self._drained.keys()

    def leaving_since(self, target: str) -> float | None:
        """Return when a target first stated in a response that it leaves, or None."""
        return self._leaving.get(target)

    def lapsed_since(self, target: str) -> float | None:
        """Return when a target's entry lapsed, or None if it has one or is unknown."""
        known = self._by_target.get(target)
        return known.lapsed_at if known is not None else None

    def reachable(self, target: str, now: float) -> bool:
        """Return whether a target is known and its daemon was not unreachable a moment ago."""
        known = self._by_target.get(target)
        return known is not None and known.unreachable_until <= now

    def view(self, target: str) -> LoadView | None:
        """Return this daemon's view of a target's load, or None if the target is unknown."""
        known = self._by_target.get(target)
        return known.view if known is not None else None

    def note_load(self, target: str, load: TargetLoad, now: float) -> None:
        """Record the load of a target from its daemon's response."""
        known = self._by_target.get(target)
        if known is None:
            return
        known.last_received = now
        known.view.reported(load, now)
        self._services.setdefault(known.member.service, MeanRunningTime()).reported(load)

    def mean_run_s(self, service: str) -> float:
        """Return the mean running time of a service's requests in seconds."""
        return self._services.setdefault(service, MeanRunningTime()).seconds

    def candidates(
        self,
        service: str,
        now: float,
        unix_now: float,
        tried: frozenset[str],
        rng: Random,
        queried: frozenset[str] = frozenset(),
    ) -> list[Candidate]:
        """Return a random sample of a service's targets that may get a request.

        Targets that are unreachable, draining or already tried are excluded. Unreachable ones are
        returned only if no others are found. Usable targets of *queried*, whose daemons have just
        reported their load on a query, are always included.
        """
        group = self._group(service)

        def usable(known: _Known) -> bool:
            drained = self.is_drained(known.member.failure_domain)
            return not drained and known.unreachable_until <= now and self._accepts(known, tried)

        near_count = self._near_samples if self._sample_candidates else len(group.near)
        far_count = FAR_SAMPLES if self._sample_candidates else len(group.far)
        found = draw(group.near, near_count, usable, rng) + draw(group.far, far_count, usable, rng)
        for target in queried:
            known = self._by_target.get(target)
            if known is not None and known not in found and usable(known):
                found.append(known)
        if not found:
            found = [known for known in group.near + group.far if self._accepts(known, tried)]
        return [self._candidate(known, unix_now) for known in found]

    def has_candidate(self, service: str, tried: frozenset[str]) -> bool:
        """Return whether a service has a target that accepts requests and is not in *tried*."""
        group = self._group(service)
        return any(self._accepts(known, tried) for known in group.near + group.far)

    def _group(self, service: str) -> _Group:
        group = self._groups.get(service)
        if group is None:
            group = self._groups[service] = _Group()
            for known in self._by_instance.values():
                member = known.member
                drained = self.is_drained(member.failure_domain)
                if member.service == service and member.target and not drained:
                    near = member.failure_domain == self._failure_domain
                    (group.near if near else group.far).append(known)
        return group

    def _candidate(self, known: _Known, unix_now: float) -> Candidate:
        member = known.member
        return Candidate(
            member.target,
            member.failure_domain == self._failure_domain,
            known.view,
            cold=member.cold_until > unix_now,
            local=member.instance == self._instance,
        )

    def _accepts(self, known: _Known, tried: frozenset[str]) -> bool:
        """Return whether a target is not known to refuse requests and is not in *tried*."""
        member = known.member
        if known.refuses_work or member.state is TargetState.DRAINING:
            return False
        return member.target not in tried and member.target not in self._leaving
