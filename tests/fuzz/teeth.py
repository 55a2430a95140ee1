"""Mutation test of the ownership machine: each safety rule is removed in turn.

``make fuzz-teeth`` prints one line per removed rule and fails if the machine does not detect one.
"""

import os
import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from typing import Any
from unittest import mock

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from pearward_coordination import assignment, lease, ownership, witness
from pearward_coordination.messages import ReleaseReply, RenewReply
from pearward_state.records import MemberState

from .ownership_machine import OwnershipMachine

EXAMPLES = int(os.environ.get("EXAMPLES", "1000"))
STEPS = 16
WORKERS = 5


def _release_before_expiry(self: Any, request: Any, record: Any, now: float) -> ReleaseReply:
    return ReleaseReply(request.cell, request.owner, request.version, True, record.version, 0)


def _no_predecessors(self: Any, index: int, receiver: str) -> None:
    _move_with_predecessors(self, index, receiver, ())


def _no_chain_of_predecessors(self: Any, index: int, receiver: str) -> None:
    owner = self._owners[index]
    _move_with_predecessors(
        self, index, receiver, (owner,) if owner and owner not in self._view.ended else ()
    )


def _move_with_predecessors(
    draft: Any, index: int, receiver: str, predecessors: tuple[str, ...]
) -> None:
    draft._keep_predecessors(index, predecessors)
    draft._owners[index] = receiver
    draft._epochs[index] = draft._version
    draft._changed = True


def _counted_from_receipt(self: Any, name: str, nonce: int, now: float) -> None:
    if self._sent.get(name, {}).pop(nonce, None) is not None:
        self._until[name] = now + self._timing.held_s
        self._recompute(now)


_repair = assignment._Draft.repair_witnesses


def _no_joint_set(self: Any) -> None:
    _repair(self)
    for name, member in self._members.items():
        if member.former_witnesses:
            self._members[name] = assignment.replace(member, former_witnesses=())


def _former_set_dropped(self: Any, member: Any) -> bool:
    return member.incarnation in self._view.released


_on_renew = witness.Witness.on_renew


def _grants_any_version(
    self: Any, owner: str, request: Any, record: Any, table_version: int, now: float
) -> RenewReply:
    watched = self._watched.get(owner)
    if watched is None:
        return _on_renew(self, owner, request, record, table_version, now)
    watched.last_renewal_at = now
    watched.granted_until = now + self._timing.lease_s
    return RenewReply(request.cell, owner, request.nonce, True, record.version)


def _one_release_is_enough(self: Any, witness_name: str, reply: ReleaseReply) -> bool:
    if reply.released:
        self._ownership.release_confirmed(reply.owner, reply.version)
    return reply.released


def _released_while_request_runs(self: Any) -> None:
    if self._record is not None:
        self._released = self._record.version


def _drain_without_memory(self: Any) -> None:
    for name, member in self._members.items():
        if member.state is not MemberState.RETIRED:
            draining = name in self._view.draining
            state = MemberState.DRAINING if draining else MemberState.ACTIVE
            self._changed = self._changed or state is not member.state
            self._members[name] = assignment.replace(member, state=state, stopping=False)


class _SameIdentityMachine(OwnershipMachine):
    """Gives a restarted daemon the identity of its predecessor, which is its address alone."""

    same_identity = True


@contextmanager
def _patched(target: Any, name: str, replacement: Any) -> Iterator[None]:
    with mock.patch.object(target, name, replacement):
        yield


@contextmanager
def _no_drift_margin() -> Iterator[None]:
    with mock.patch.object(lease.LeaseTiming, "held_s", property(lambda self: self.lease_s * 1.1)):
        yield


Mutation = tuple[str, Callable[[], Any], type[OwnershipMachine]]


def _mutations() -> list[Mutation]:
    from pearward_coordination.agent import CellAgent

    draft = assignment._Draft
    rows: list[tuple[str, Any, str, Any]] = [
        ("release before expiry", witness.Witness, "on_ask_release", _release_before_expiry),
        ("no predecessors", draft, "_move", _no_predecessors),
        ("only the last predecessor", draft, "_move", _no_chain_of_predecessors),
        ("lease counted from receipt", lease.OwnerLease, "renewal_granted", _counted_from_receipt),
        ("no joint witness set", draft, "repair_witnesses", _no_joint_set),
        ("former witnesses dropped early", draft, "_is_change_safe", _former_set_dropped),
        ("witness grants any version", witness.Witness, "on_renew", _grants_any_version),
        ("one witness's release is enough", CellAgent, "_count_release", _one_release_is_enough),
        ("drain known from heartbeats alone", draft, "drain_members", _drain_without_memory),
        ("released while a request runs", ownership.Ownership, "_update_released",
         _released_while_request_runs),
    ]  # fmt: skip
    mutations: list[Mutation] = [
        (name, lambda t=t, n=n, r=r: _patched(t, n, r), OwnershipMachine)  # type: ignore[misc]
        for name, t, n, r in rows
    ]
    mutations.append(("owner's lease outlasts the witness's", _no_drift_margin, OwnershipMachine))
    mutations.append(("witness identity by address", lambda: _patched(assignment, "__doc__", ""),
                 _SameIdentityMachine))  # fmt: skip
    return mutations


def _machine_fails(machine: type[OwnershipMachine]) -> bool:
    """Return whether the machine fails."""
    try:
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=EXAMPLES,
                stateful_step_count=STEPS,
                deadline=None,
                derandomize=True,
                database=None,
                phases=(Phase.generate,),
                suppress_health_check=list(HealthCheck),
                print_blob=False,
            ),
        )
    except AssertionError:
        return True
    return False


def _run_mutation(name: str) -> tuple[str, bool]:
    """Run the machine without the named rule, or with all rules for an empty name."""
    if not name:
        return name, _machine_fails(OwnershipMachine)
    _, apply, machine = next(m for m in _mutations() if m[0] == name)
    with apply():
        return name, _machine_fails(machine)


def main() -> int:
    """Run every mutation, or those named on the command line; return the exit code."""
    names = sys.argv[1:] or ["", *(name for name, _, _ in _mutations())]
    failures = 0
    with ProcessPoolExecutor(max_workers=WORKERS) as pool:
        for name, found in pool.map(_run_mutation, names):
            if not name:
                print(f"{'BROKEN  ' if found else 'holds   '} the rules as they are", flush=True)
                failures += found
            else:
                print(f"{'found   ' if found else 'UNFOUND '} {name}", flush=True)
                failures += not found
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
