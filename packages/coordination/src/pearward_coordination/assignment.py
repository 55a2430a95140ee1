"""The next version of a cell's record, worked out from the present one and the cell's view.

Pure functions; moves are least: a shard moves only when its owner must give it up or
holds more than its share while another holds less.
"""

from array import array
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from pearward_state.records import CellRecord, Member, MemberState
from pearward_state.shards import NO_OWNER, ShardMap
from pearward_state.table import Kind, ServiceTable

__all__ = ["CellView", "Joiner", "choose_witnesses", "next_record"]

WITNESSES_FEW_DOMAINS = 3
WITNESSES_MANY_DOMAINS = 5
MANY_DOMAINS = 5
"""Failure domains from which on an owner has five witnesses."""
REBALANCE_SLACK = 1.25
"""A member is relieved only when it holds more than its share by this factor."""


@dataclass(frozen=True, slots=True)
class Joiner:
    """A daemon that asks to be in the cell."""

    incarnation: str
    instance: str
    server: str
    failure_domain: str
    peer: str
    caller: str


@dataclass(frozen=True, slots=True)
class CellView:
    """What the coordinator holds to be true when it plans."""

    table: ServiceTable
    joiners: tuple[Joiner, ...] = ()
    lost: frozenset[str] = frozenset()
    """Incarnations whose shards are to be taken over, by their witnesses' releases."""
    ended: frozenset[str] = frozenset()
    """Incarnations that certainly can no longer act: nobody's release is needed."""
    draining: frozenset[str] = frozenset()
    settled: Mapping[str, int] = field(default_factory=dict)
    """By incarnation: version whose given shards are all being served."""
    released: Mapping[str, int] = field(default_factory=dict)
    """By incarnation: version whose taken shards the member has given up."""


# -- witnesses ----------------------------------------------------------------


def choose_witnesses(owner: Member, members: list[Member]) -> tuple[str, ...]:
    """Return the incarnations that are to time *owner*'s lease.

    Other failure domains first, no domain twice while there is another. A cell of
    three names the owner itself as one of three, so that one loss is still
    survived; in a smaller one the owner stands alone and nobody can take over from
    it without evidence that it ended.
    """
    others = [
        m
        for m in members
        if m.incarnation != owner.incarnation and m.state is not MemberState.RETIRED
    ]
    if len(others) < 2:
        return (owner.incarnation,)
    domains = {m.failure_domain for m in members if m.state is not MemberState.RETIRED}
    wanted = WITNESSES_MANY_DOMAINS if len(domains) >= MANY_DOMAINS else WITNESSES_FEW_DOMAINS
    if len(others) < wanted:
        others.append(owner)
        wanted = 3
    position = next((i for i, m in enumerate(members) if m.incarnation == owner.incarnation), 0)
    order = {m.incarnation: (i - position) % len(members) for i, m in enumerate(members)}
    used: dict[str, int] = {}
    chosen: list[str] = []
    while len(chosen) < wanted and others:
        best = min(
            others,
            key=lambda m: (
                used.get(m.failure_domain, 0),
                m.failure_domain == owner.failure_domain,
                order[m.incarnation],
            ),
        )
        others.remove(best)
        used[best.failure_domain] = used.get(best.failure_domain, 0) + 1
        chosen.append(best.incarnation)
    return tuple(sorted(chosen))


# -- the draft ----------------------------------------------------------------


class _Draft:
    """A record being changed."""

    def __init__(self, record: CellRecord, view: CellView) -> None:
        self._record = record
        self._view = view
        self._version = record.version + 1
        self._members = {m.incarnation: m for m in record.members}
        names = [m.incarnation for m in record.members]
        shards = record.shards
        # Parallel lists by shard, as in the map: a cell has thousands of shards.
        self._starts = shards.starts
        self._owners = [names[i] if i != NO_OWNER else "" for i in shards.owners]
        self._epochs = shards.epochs[:]
        self._predecessors = {
            shards.index_of(start): tuple(names[i] for i in earlier)
            for start, earlier in shards.predecessors.items()
        }
        self._changed = False

    # membership

    def admit_joiners(self) -> None:
        """Add daemons whose server the table names.

        One that replaces an ended daemon beside the same server takes its shards.
        """
        for joiner in self._view.joiners:
            row = self._view.table.servers.get(joiner.server)
            if joiner.incarnation in self._members or row is None or self._view.table.removed:
                continue
            earlier = [
                m
                for m in self._members.values()
                if m.server == joiner.server and m.state is not MemberState.RETIRED
            ]
            if any(m.incarnation not in self._view.ended for m in earlier):
                continue
            state = MemberState.DRAINING if row.drain else MemberState.ACTIVE
            self._members[joiner.incarnation] = Member(
                joiner.incarnation,
                joiner.instance,
                joiner.server,
                joiner.failure_domain,
                joiner.peer,
                joiner.caller,
                state,
            )
            self._changed = True
            for member in earlier:
                self._retire(member, joiner.incarnation)

    def readmit_retired(self) -> None:
        """Take retired members that report back where nobody is left to own anything.

        Usually a retired member joins anew when no shard names it any more; with nobody
        to take the shards over they would name it for ever.
        """
        if self._shares():
            return
        reporting = {joiner.incarnation for joiner in self._view.joiners}
        for name in reporting - self._view.lost - self._view.ended:
            member = self._members.get(name)
            if member is not None and member.state is MemberState.RETIRED:
                self._members[name] = replace(member, state=MemberState.ACTIVE)
                self._changed = True

    def retire_lost(self) -> None:
        """Mark members that are lost or ended; their shards need new owners."""
        for member in list(self._members.values()):
            if member.state is MemberState.RETIRED:
                continue
            if member.incarnation in self._view.lost or member.incarnation in self._view.ended:
                self._retire(member, "")

    def drain_members(self) -> None:
        """Mark members that are to give up their work, and unmark those that are not."""
        for member in list(self._members.values()):
            if member.state is MemberState.RETIRED:
                continue
            row = self._view.table.servers.get(member.server)
            leaving = (
                row is None
                or row.drain
                or self._view.table.removed
                or member.incarnation in self._view.draining
            )
            state = MemberState.DRAINING if leaving else MemberState.ACTIVE
            if state is not member.state:
                self._members[member.incarnation] = replace(member, state=state)
                self._changed = True

    def forget_evidence(self) -> None:
        """Drop predecessors that have certainly ended or whose successor serves."""
        for index, earlier in list(self._predecessors.items()):
            owner = self._owners[index]
            if owner and self._view.settled.get(owner, 0) >= self._epochs[index]:
                kept: tuple[str, ...] = ()
            else:
                kept = tuple(p for p in earlier if p not in self._view.ended)
            if kept != earlier:
                self._keep_predecessors(index, kept)
                self._changed = True

    def drop_retired(self) -> None:
        """Remove retired members that no shard refers to."""
        referenced = set(self._owners)
        for earlier in self._predecessors.values():
            referenced.update(earlier)
        for member in list(self._members.values()):
            if member.state is MemberState.RETIRED and member.incarnation not in referenced:
                del self._members[member.incarnation]
                self._changed = True

    def _retire(self, member: Member, heir: str) -> None:
        """Retire *member*; its shards go to *heir*, or to nobody yet."""
        if member.state is not MemberState.RETIRED:
            self._members[member.incarnation] = replace(member, state=MemberState.RETIRED)
            self._changed = True
        for index, owner in enumerate(self._owners):
            if owner == member.incarnation:
                self._move(index, heir)

    # shards

    def divide(self) -> None:
        """Cut the key space of a keyed service that has no shards yet."""
        service = self._view.table.service
        if service.kind is not Kind.KEYED or self._owners or not self._shares():
            return
        count = service.shards_per_server * max(1, len(self._view.table.servers))
        even = ShardMap.even(count)
        self._starts, self._epochs = even.starts, even.epochs
        self._owners = [""] * count
        self._changed = True

    def balance(self) -> None:
        """Give every shard an owner that may have one, moving the fewest."""
        shares = self._shares()
        if not shares or not self._owners:
            return
        targets = _integer_targets(shares, len(self._owners))
        held = Counter(owner for owner in self._owners if owner in targets)
        for index, owner in enumerate(self._owners):
            if owner not in targets:
                receiver = min(targets, key=lambda name: (held[name] - targets[name], name))
                held[receiver] += 1
                self._move(index, receiver)
        self._relieve(held, targets)

    def _relieve(self, held: "Counter[str]", targets: dict[str, int]) -> None:
        """Move shards from members far above their share to those below it."""
        crowded = any(held[n] > targets[n] * REBALANCE_SLACK for n in targets)
        starved = any(held[n] * REBALANCE_SLACK < targets[n] for n in targets)
        if not crowded and not starved:
            return
        wanting = {n: targets[n] - held[n] for n in targets if held[n] < targets[n]}
        for index, giver in enumerate(self._owners):
            if held[giver] <= targets[giver] or index in self._predecessors:
                continue
            if not wanting:
                return
            receiver = max(wanting, key=lambda name: (wanting[name], name))
            held[giver] -= 1
            held[receiver] += 1
            wanting[receiver] -= 1
            if not wanting[receiver]:
                del wanting[receiver]
            self._move(index, receiver)

    def _move(self, index: int, receiver: str) -> None:
        """Give a shard to *receiver*; earlier owners that may still act stay named."""
        owner = self._owners[index]
        earlier = (*self._predecessors.get(index, ()), *((owner,) if owner else ()))
        kept = [p for p in earlier if p not in self._view.ended and p != receiver]
        self._keep_predecessors(index, tuple(dict.fromkeys(kept)))
        self._owners[index] = receiver
        self._epochs[index] = self._version
        self._changed = True

    def _keep_predecessors(self, index: int, kept: tuple[str, ...]) -> None:
        if kept:
            self._predecessors[index] = kept
        else:
            self._predecessors.pop(index, None)

    def _shares(self) -> dict[str, float]:
        """Return the weight of each member that may own shards."""
        shares: dict[str, float] = {}
        for member in self._members.values():
            row = self._view.table.servers.get(member.server)
            if member.state is MemberState.ACTIVE and row is not None and row.weight > 0:
                shares[member.incarnation] = row.weight
        return shares

    # witnesses

    def repair_witnesses(self) -> None:
        """Replace witness sets that are short or name members that are gone.

        Both sets count until the owner acts on that record and has given up what was taken.
        """
        members = [m for m in self._members.values() if m.state is not MemberState.RETIRED]
        present = {m.incarnation for m in members}
        for member in members:
            if member.former_witnesses:
                if self._is_change_safe(member):
                    self._members[member.incarnation] = replace(member, former_witnesses=())
                    self._changed = True
                continue
            wanted = choose_witnesses(member, members)
            if not set(member.witnesses) <= present or self._is_weaker(member, wanted):
                self._members[member.incarnation] = replace(
                    member, witnesses=wanted, former_witnesses=member.witnesses
                )
                self._changed = True

    def _is_change_safe(self, member: Member) -> bool:
        """Return whether a member may rely on its newer witness set alone.

        An heir that acts on an older record asks the former set, of which nobody may have heard
        of the newer one. It can claim only what that record took from the member; so the former
        set counts until the member has given up all that was taken. Told by its adoption alone,
        a member still ran a request on a shard that was released to an heir (five steps of the
        ownership machine).
        """
        return self._view.released.get(member.incarnation, 0) >= self._record.version

    def _is_weaker(self, member: Member, wanted: tuple[str, ...]) -> bool:
        """Return whether *member*'s witnesses spread the risk less than *wanted* would."""
        if len(member.witnesses) < len(wanted):
            return True
        if member.incarnation in member.witnesses and member.incarnation not in wanted:
            return True
        return len(self._domains(member.witnesses)) < len(self._domains(wanted))

    def _domains(self, incarnations: tuple[str, ...]) -> set[str]:
        """Return the failure domains of some members."""
        return {self._members[name].failure_domain for name in incarnations}

    # result

    def finish(self, write_id: str) -> CellRecord | None:
        """Return the new record, or None where nothing is to change."""
        if not self._changed:
            return None
        members = tuple(self._members.values())
        index = {m.incarnation: i for i, m in enumerate(members)}
        shards = ShardMap(
            self._starts,
            array("H", [index.get(owner, NO_OWNER) for owner in self._owners]),
            self._epochs,
            {
                self._starts[i]: tuple(index[p] for p in earlier if p in index)
                for i, earlier in self._predecessors.items()
            },
        )
        return self._record.next_version(write_id, members=members, shards=shards)


def _integer_targets(shares: Mapping[str, float], count: int) -> dict[str, int]:
    """Divide *count* shards in proportion to *shares*, by largest remainders."""
    total = sum(shares.values())
    exact = {name: count * share / total for name, share in shares.items()}
    targets = {name: int(value) for name, value in exact.items()}
    rest = count - sum(targets.values())
    by_remainder = sorted(exact, key=lambda name: (targets[name] - exact[name], name))
    for name in by_remainder[:rest]:
        targets[name] += 1
    return targets


def next_record(record: CellRecord, view: CellView, write_id: str) -> CellRecord | None:
    """Return the record that should follow *record*, or None where it is as it should be."""
    draft = _Draft(record, view)
    draft.admit_joiners()
    draft.retire_lost()
    draft.readmit_retired()
    draft.drain_members()
    draft.forget_evidence()
    draft.divide()
    draft.balance()
    draft.drop_retired()
    draft.repair_witnesses()
    return draft.finish(write_id)
