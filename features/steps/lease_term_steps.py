"""Steps for an owner whose lease expires and begins a new term, on the state machines alone."""

from typing import Any

from behave import given, then, when
from cell_record_steps import SERVICE, _joiner, plan_next_record, service_table

from pearward_coordination.lease import LeaseTiming, OwnerLease
from pearward_coordination.ownership import Ownership, Verdict
from pearward_state.records import CellRecord

NAME = "a"
POSITION = 0
TIMING = LeaseTiming()


def _renew(context: Any) -> None:
    nonce = context.lease.renewal_sent(NAME, context.now)
    context.lease.renewal_granted(NAME, nonce, context.now)


def _take_keys(context: Any) -> None:
    ownership = context.ownership
    ownership.server_granted(ownership.grantable_shards(), context.lease.term, context.now)


@given("an owner that serves all its keys")
def begin_serving(context: Any) -> None:
    joiners = (_joiner(NAME),)
    record = plan_next_record(CellRecord(SERVICE, SERVICE), service_table([NAME]), joiners=joiners)
    name = record.members[0].incarnation
    context.now = 0.0
    context.lease = OwnerLease(TIMING)
    context.lease.set_witnesses([(NAME,)], context.now)
    context.ownership = Ownership(name, context.lease)
    context.ownership.adopt(record)
    _renew(context)
    _take_keys(context)
    serves_all(context)


@when("its lease expires and a new term begins")
def begin_new_term(context: Any) -> None:
    context.now += 2 * TIMING.lease_s
    assert not context.lease.held(context.now)
    _renew(context)
    assert context.lease.held(context.now)


@when("its server has taken the keys again")
def taken_again(context: Any) -> None:
    _take_keys(context)


@then("it serves no key, and a request for one waits")
def serves_none(context: Any) -> None:
    assert context.ownership.admit(POSITION, context.now).verdict is Verdict.WAIT
    assert context.ownership.serving_count == 0, context.ownership.serving_count


@then("it serves all its keys")
def serves_all(context: Any) -> None:
    ownership = context.ownership
    assert ownership.admit(POSITION, context.now).verdict is Verdict.SERVE
    assert ownership.serving_count == ownership.shard_count > 0
