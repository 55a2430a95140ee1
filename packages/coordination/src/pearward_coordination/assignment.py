"""Computation of the next version of a cell's record from the current one and a view of the cell.

Pure functions. Moves are kept to a minimum: a shard moves only if its owner must give it up, or
if the members' shard counts differ from their shares by more than a threshold.
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
"""Number of failure domains from which an owner has five witnesses instead of three."""
REBALANCE_SLACK = 1.25
"""Shards are rebalanced only if a member's count is off its share by this factor, up or down."""


@dataclass(frozen=True, slots=True)
class Joiner:
    """Daemon that requests to join the cell."""

    incarnation: str
    instance: str
    server: str
    failure_domain: str
    peer: str
    caller: str


@dataclass(frozen=True, slots=True)
class CellView:
    """State of the cell as the coordinator sees it when it plans."""

    table: ServiceTable
    joiners: tuple[Joiner, ...] = ()
    lost: frozenset[str] = frozenset()
    """Incarnations whose shards are to move after their witnesses have released them."""
    ended: frozenset[str] = frozenset()
    """Incarnations that certainly can no longer act: no release is needed for their shards."""
    draining: frozenset[str] = frozenset()
    """Incarnations that report that they are to give up their shards, or cannot serve them."""
    stopping: frozenset[str] = frozenset()
    """Incarnations that report a planned stop."""
    available: frozenset[str] = frozenset()
    """Incarnations that report that they can own shards."""
    settled: Mapping[str, int] = field(default_factory=dict)
    """By incarnation: version whose shards assigned to the member are all being served."""
    released: Mapping[str, int] = field(default_factory=dict)
    """By incarnation: version whose shards taken from the member are all released."""


# -- witnesses ----------------------------------------------------------------


def choose_witnesses(owner: Member, members: list[Member]) -> tuple[str, ...]:
    """Return the incarnations that are witnesses of *owner*'s lease.

    Other failure domains are preferred, and none is used twice while an unused one is left. In a
    cell with too few other members the owner is one of three witnesses, so that one loss is
    tolerated. In a cell of one or two the owner is its only witness: its shards can move only on
    evidence that it has ended.
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
    """Draft of the next record version."""

    def __init__(self, record: CellRecord, view: CellView) -> None:
        self._record = record
        self._view = view
        self._version = record.version + 1
        self._members = {m.incarnation: m for m in record.members}
        names = [m.incarnation for m in record.members]
        shards = record.shards
        # Parallel lists indexed by shard, as in ShardMap: a cell has thousands of shards.
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
        """Add joining daemons whose server is in the table.

        A joiner that replaces an ended daemon of the same server gets that daemon's shards.
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
        """Reactivate reporting retired members if no member can own shards.

        Usually a retired member joins again once no shard refers to it. Without a member that
        could take the shards over, they would refer to it permanently.
        """
        if self._shares():
            return
        reporting = {joiner.incarnation for joiner in self._view.joiners}
        for name in reporting - self._view.lost - self._view.ended:
            member = self._members.get(name)
            if member is None or member.stopping:
                continue
            if member.state is MemberState.RETIRED:
                self._members[name] = replace(member, state=MemberState.ACTIVE)
                self._changed = True

    def retire_lost(self) -> None:
        """Retire members that are lost or have ended; their shards need new owners."""
        for member in list(self._members.values()):
            if member.state is MemberState.RETIRED:
                continue
            if member.incarnation in self._view.lost or member.incarnation in self._view.ended:
                self._retire(member, "")

    def drain_members(self) -> None:
        """Set the state of each member that takes part, and keep the planned stops reported."""
        for member in list(self._members.values()):
            if member.state is MemberState.RETIRED:
                continue
            stopping = member.stopping or member.incarnation in self._view.stopping
            state = MemberState.DRAINING if stopping else self._state_of(member)
            if state is not member.state or stopping is not member.stopping:
                self._members[member.incarnation] = replace(member, state=state, stopping=stopping)
                self._changed = True

    def _state_of(self, member: Member) -> MemberState:
        """Return the state of a member that is not in a planned stop.

        A member that was draining becomes active only by its own report. Without one it may
        still be draining: its reports to a new coordinator may be late or lost.
        """
        row = self._view.table.servers.get(member.server)
        name = member.incarnation
        if row is None or row.drain or self._view.table.removed or name in self._view.draining:
            return MemberState.DRAINING
        return MemberState.ACTIVE if name in self._view.available else member.state

    def drop_settled_predecessors(self) -> None:
        """Drop predecessors that have certainly ended or whose successor serves the shard."""
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
        """Remove retired members to which no shard refers."""
        referenced = set(self._owners)
        for earlier in self._predecessors.values():
            referenced.update(earlier)
        for member in list(self._members.values()):
            if member.state is MemberState.RETIRED and member.incarnation not in referenced:
                del self._members[member.incarnation]
                self._changed = True

    def _retire(self, member: Member, successor: str) -> None:
        """Retire *member*; assign its shards to *successor*, or to no owner if that is empty."""
        if member.state is not MemberState.RETIRED:
            self._members[member.incarnation] = replace(member, state=MemberState.RETIRED)
            self._changed = True
        for index, owner in enumerate(self._owners):
            if owner == member.incarnation:
                self._move(index, successor)

    # shards

    def divide(self) -> None:
        """Divide the key space of a keyed service that has no shards yet."""
        service = self._view.table.service
        if service.kind is not Kind.KEYED or self._owners or not self._shares():
            return
        count = service.shards_per_server * max(1, len(self._view.table.servers))
        even = ShardMap.even(count)
        self._starts, self._epochs = even.starts, even.epochs
        self._owners = [""] * count
        self._changed = True

    def balance(self) -> None:
        """Assign every shard to an eligible owner with the fewest moves."""
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
        self._move_excess(held, targets)

    def _move_excess(self, held: "Counter[str]", targets: dict[str, int]) -> None:
        """Move shards from members above to members below their share, if one is off too far."""
        overloaded = any(held[n] > targets[n] * REBALANCE_SLACK for n in targets)
        underloaded = any(held[n] * REBALANCE_SLACK < targets[n] for n in targets)
        if not overloaded and not underloaded:
            return
        deficits = {n: targets[n] - held[n] for n in targets if held[n] < targets[n]}
        for index, donor in enumerate(self._owners):
            if held[donor] <= targets[donor] or index in self._predecessors:
                continue
            if not deficits:
                return
            receiver = max(deficits, key=lambda name: (deficits[name], name))
            held[donor] -= 1
            held[receiver] += 1
            deficits[receiver] -= 1
            if not deficits[receiver]:
                del deficits[receiver]
            self._move(index, receiver)

    def _move(self, index: int, receiver: str) -> None:
        """Assign a shard to *receiver*; keep earlier owners that may still act as predecessors."""
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
        """Return the weight of each member that is eligible to own shards."""
        shares: dict[str, float] = {}
        for member in self._members.values():
            row = self._view.table.servers.get(member.server)
            if member.state is MemberState.ACTIVE and row is not None and row.weight > 0:
                shares[member.incarnation] = row.weight
        return shares

    # witnesses

    def repair_witnesses(self) -> None:
        """Replace witness sets that are too small or name members that were removed or retired.

        A majority of each set is required until the owner acts on that record and has released
        the shards that were taken from it.
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

        A successor that acts on an older record requests the release from the former set, and
        possibly none of that set has received the newer record. The successor can claim only
        shards that the older record took from the member. The former set is therefore required
        until the member has released all shards taken from it. When it was dropped as soon as the
        member had adopted the record, a member still ran a request on a shard that was already
        released to a successor (found by the ownership state machine test in five steps).
        """
        return self._view.released.get(member.incarnation, 0) >= self._record.version

    def _is_weaker(self, member: Member, wanted: tuple[str, ...]) -> bool:
        """Return whether *member*'s witnesses tolerate fewer losses than *wanted* would."""
        if len(member.witnesses) < len(wanted):
            return True
        if member.incarnation in member.witnesses and member.incarnation not in wanted:
            return True
        return len(self._domains(member.witnesses)) < len(self._domains(wanted))

    def _domains(self, incarnations: tuple[str, ...]) -> set[str]:
        """Return the failure domains of *incarnations*."""
        return {self._members[name].failure_domain for name in incarnations}

    # result

    def finish(self, write_id: str) -> CellRecord | None:
        """Return the new record, or None if nothing has changed."""
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
    """Divide *count* shards in proportion to *shares* by the largest remainder method."""
    total = sum(shares.values())
    exact = {name: count * share / total for name, share in shares.items()}
    targets = {name: int(value) for name, value in exact.items()}
    rest = count - sum(targets.values())
    by_remainder = sorted(exact, key=lambda name: (targets[name] - exact[name], name))
    for name in by_remainder[:rest]:
        targets[name] += 1
    return targets


def next_record(record: CellRecord, view: CellView, write_id: str) -> CellRecord | None:
    """Return the record that should follow *record*, or None if no change is needed."""
    draft = _Draft(record, view)
    draft.admit_joiners()
    draft.retire_lost()
    draft.readmit_retired()
    draft.drain_members()
    draft.drop_settled_predecessors()
    draft.divide()
    draft.balance()
    draft.drop_retired()
    draft.repair_witnesses()
    return draft.finish(write_id)
