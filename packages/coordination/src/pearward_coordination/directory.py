"""Which targets there are, where their daemons are reached, and how they do.

Fed by the members' entries in the platform's store and by what daemons see of each
other. An entry that went because a lease lapsed says nothing of a daemon that can still be
reached, or while the store is away: such a member stays until it proves unreachable, or
stays silent long after the store's return. No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pearward_state.members import Member, TargetState

from .selection import FAR_LOOKS, NEAR_LOOKS, Candidate, LoadView, MeanService, TargetLoad, draw

if TYPE_CHECKING:
    from random import Random

__all__ = ["Directory"]

LAPSED_KEPT_S = 12.0
"""Seconds for which a member whose entry went is still tried, though the store answers and
nothing was heard of it: an entry that can be written again returns in two."""
HEARD_S = 2.0
"""Seconds after an answer or a report of a member in which it surely lives."""
NEVER = float("-inf")
UNREACHABLE_S = 0.7
"""Seconds for which a daemon that could not be reached gets no request while others can."""


@dataclass(slots=True, eq=False)
class _Known:
    """A member and what was seen of it."""

    member: Member
    lapsed_at: float | None = None
    unreachable_until: float = 0.0
    refused: bool = False
    """Its daemon said that the target takes no new work, sooner than its entry did."""
    heard_at: float = NEVER
    """When its daemon last answered or reported."""
    view: LoadView = field(default_factory=LoadView)


@dataclass(slots=True)
class _Group:
    """The targets of one service that may get work, in the own failure domain and elsewhere."""

    near: list[_Known] = field(default_factory=list)
    far: list[_Known] = field(default_factory=list)


class Directory:
    """The members that this daemon knows."""

    def __init__(self, failure_domain: str, instance: str = "", *, few_looks: bool = True) -> None:
        self._failure_domain = failure_domain
        self._instance = instance
        self._few_looks = few_looks
        self._groups: dict[str, _Group] = {}
        """Members by service; put together anew when one was added, changed or forgotten, or when a
        failure domain is drained."""
        self._services: dict[str, MeanService] = {}
        self._registered: tuple[Member, ...] | None = None
        """Members that have an entry; put together anew after each change."""
        self._lapsed: set[str] = set()
        """Instances whose entries are missing."""
        self._revision = 0
        self._by_instance: dict[str, _Known] = {}
        self._by_target: dict[str, _Known] = {}
        self._store_since: float | None = None
        self._drained: Mapping[str, float] = {}
        """Failure domains whose targets get no new work, and since when."""

    # -- what becomes known -----------------------------------------------------

    def entries_read(self, members: Iterable[Member], now: float) -> None:
        """Take all entries at once, as after a start or a gap in the changes."""
        present = {member.instance: member for member in members}
        for instance in list(self._by_instance):
            if instance not in present:
                self.entry_gone(instance, now)
        for member in present.values():
            self.entry_written(member)

    def entry_written(self, member: Member) -> None:
        """Take a new or changed entry."""
        self._changed()
        self._lapsed.discard(member.instance)
        known = self._by_instance.get(member.instance)
        if known is not None and known.member.target == member.target:
            same_process = known.member.incarnation == member.incarnation
            known.member = member
            known.lapsed_at = None
            known.refused = known.refused and same_process
            if not same_process:
                known.unreachable_until = 0.0
        else:
            if known is not None:
                self._by_target.pop(known.member.target, None)
            known = self._by_instance[member.instance] = _Known(member)
        if member.target:
            self._by_target[member.target] = known

    def entry_gone(self, instance: str, now: float) -> None:
        """An entry lapsed or was taken away."""
        known = self._by_instance.get(instance)
        if known is not None and known.lapsed_at is None:
            self._changed()
            self._lapsed.add(instance)
            known.lapsed_at = now

    def store_answers(self, since: float | None) -> None:
        """Say since when the store has answered this daemon; None while it does not.

        While it is away no entry can return, so a missing one says nothing.
        """
        self._store_since = since

    def set_drained(self, domains: Mapping[str, float]) -> None:
        """Take the failure domains that operators drain, and since when each is drained."""
        self._changed()
        self._drained = dict(domains)

    def heard(self, target: str, now: float) -> None:
        """The daemon beside a target answered or reported: it lives, entry or not."""
        known = self._by_target.get(target)
        if known is not None:
            known.heard_at = now

    def unreachable(self, target: str, now: float) -> None:
        """The daemon beside a target could not be reached."""
        known = self._by_target.get(target)
        if known is None:
            return
        known.unreachable_until = now + UNREACHABLE_S
        if self._gone_for(known, now) >= 0.0:
            self._forget(known)

    def refused(self, target: str) -> None:
        """The daemon beside a target said that it takes no new work."""
        known = self._by_target.get(target)
        if known is not None:
            known.refused = True

    def expire(self, now: float) -> None:
        """Forget members whose entries have been gone for long."""
        for instance in tuple(self._lapsed):
            known = self._by_instance.get(instance)
            if known is not None and self._gone_for(known, now) > LAPSED_KEPT_S:
                self._forget(known)

    def _gone_for(self, known: _Known, now: float) -> float:
        """Return the seconds for which a member has been missing without a known reason.

        Negative where its entry is there, the store is away or the daemon was just heard.
        """
        if known.lapsed_at is None or self._store_since is None:
            return NEVER
        return now - max(known.lapsed_at, self._store_since, known.heard_at + HEARD_S)

    def _changed(self) -> None:
        """A member was added, has changed or is forgotten."""
        self._revision += 1
        self._groups.clear()
        self._registered = None

    def _forget(self, known: _Known) -> None:
        self._changed()
        member = known.member
        self._lapsed.discard(member.instance)
        if self._by_instance.get(member.instance) is known:
            del self._by_instance[member.instance]
        if self._by_target.get(member.target) is known:
            del self._by_target[member.target]

    # -- questions ------------------------------------------------------------------

    @property
    def members(self) -> list[Member]:
        """All members, those included whose entries lapsed a short while ago."""
        return [known.member for known in self._by_instance.values()]

    @property
    def revision(self) -> int:
        """Rises with each change of the members."""
        return self._revision

    @property
    def registered(self) -> tuple[Member, ...]:
        """Members that have an entry now."""
        if self._registered is None:
            self._registered = tuple(
                k.member for k in self._by_instance.values() if k.lapsed_at is None
            )
        return self._registered

    def member_of(self, target: str) -> Member | None:
        """Return the member beside which a target runs."""
        known = self._by_target.get(target)
        return known.member if known is not None else None

    def instance(self, name: str) -> Member | None:
        """Return the member on an instance."""
        known = self._by_instance.get(name)
        return known.member if known is not None else None

    def is_registered(self, target: str) -> bool:
        """Return whether a target's entry is there now."""
        known = self._by_target.get(target)
        return known is not None and known.lapsed_at is None

    def is_drained(self, failure_domain: str) -> bool:
        """Return whether operators drain a failure domain."""
        return failure_domain in self._drained

    def drained_since(self, target: str) -> float | None:
        """Return since when a target's failure domain is drained, or None where it is not."""
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

    def lapsed_since(self, target: str) -> float | None:
        """Return when a target's entry went, or None while it is there or unknown."""
        known = self._by_target.get(target)
        return known.lapsed_at if known is not None else None

    def reachable(self, target: str, now: float) -> bool:
        """Return whether the daemon beside a target has not just failed to answer."""
        known = self._by_target.get(target)
        return known is not None and known.unreachable_until <= now

    def view(self, target: str) -> LoadView | None:
        """Return the load of a target as this daemon sees it."""
        known = self._by_target.get(target)
        return known.view if known is not None else None

    def loaded(self, target: str, load: TargetLoad, now: float) -> None:
        """Take the load of a target that came with an answer of its daemon."""
        known = self._by_target.get(target)
        if known is None:
            return
        known.heard_at = now
        known.view.reported(load, now)
        self._services.setdefault(known.member.service, MeanService()).reported(load)

    def usual_s(self, service: str) -> float:
        """Return how long requests of a service usually run, in seconds."""
        return self._services.setdefault(service, MeanService()).seconds

    def candidates(
        self,
        service: str,
        now: float,
        unix_now: float,
        tried: frozenset[str],
        rng: Random,
        asked: frozenset[str] = frozenset(),
    ) -> list[Candidate]:
        """Return a few targets of a service that may get a request, drawn at random.

        Unreachable, draining or already tried ones are left out while others are there. Those
        of *asked*, whose daemons have just told their load, are among them.
        """
        group = self._group(service)

        def usable(known: _Known) -> bool:
            drained = self.is_drained(known.member.failure_domain)
            return not drained and known.unreachable_until <= now and _takes(known, tried)

        near_looks = NEAR_LOOKS if self._few_looks else len(group.near)
        far_looks = FAR_LOOKS if self._few_looks else len(group.far)
        found = draw(group.near, near_looks, usable, rng) + draw(group.far, far_looks, usable, rng)
        for target in asked:
            known = self._by_target.get(target)
            if known is not None and known not in found and usable(known):
                found.append(known)
        if not found:
            found = [known for known in group.near + group.far if _takes(known, tried)]
        return [self._candidate(known, unix_now) for known in found]

    def has_candidate(self, service: str, tried: frozenset[str]) -> bool:
        """Return whether a service has a target that takes requests and was not tried."""
        group = self._group(service)
        return any(_takes(known, tried) for known in group.near + group.far)

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


def _takes(known: _Known, tried: frozenset[str]) -> bool:
    """Whether a target takes new requests, as far as is known, and was not tried."""
    member = known.member
    if known.refused or member.state is TargetState.DRAINING:
        return False
    return member.target not in tried
