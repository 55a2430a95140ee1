"""The owner's side of a request: admission, the last check, the server, the answer.

Every request to the server beside this daemon comes through here, from this daemon's
own callers or from a peer.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from eliot import Action
from twisted.python.failure import Failure

from pearward_coordination.admission import AdmissionLimits, AdmissionQueue, Decision, Shed, Ticket
from pearward_coordination.memory import RequestMemory
from pearward_coordination.ownership import Admission, Ownership, Permit, Verdict
from pearward_protocol.heads import RequestHead, ResponseHead
from pearward_protocol.httpmap import HeaderName
from pearward_protocol.streams import SHORT_BODY, ResetCode
from pearward_state.outcome import Outcome, Reason
from pearward_state.table import Kind, ServiceTable
from pearward_transport.clock import boot_time, unix_time
from pearward_transport.errors import ServerUnreachable
from pearward_transport.http_client import ServerClient, ServerConnection

from .exchange import ReplySink, refusal
from .settings import LimitSettings

__all__ = ["OwnedRequest", "OwnerControl", "OwnerService"]

MS_PER_S = 1000
PARKED_LIMIT = 4096
"""Requests that may wait for a shard to become ready."""
SMALL_BODY = 65_536
"""A body of at most this length is waited for before the server is troubled with it."""
GATEWAY_TIMEOUT = 504
PRECONDITION_FAILED = 412
NOT_READY_RETRY_S = 0.5
_NOT_RUN_LINE = b"%b: %b\r\n" % (HeaderName.OUTCOME, Outcome.NOT_RUN.value.encode())


class OwnerControl(Protocol):
    """What the owner's side asks of the control plane."""

    @property
    def ownership(self) -> Ownership:
        """What may be served."""

    @property
    def valid_until(self) -> float:
        """End of the ownership lease as things stand."""

    def run_finished(self, run: int) -> None:
        """A request that held a permit has ended."""

    def server_forgot(self) -> None:
        """The server refused a request for want of a grant."""

    def server_suspect(self) -> None:
        """The server did not answer a connection."""


@dataclass(slots=True)
class OwnerCounts:
    """What the owner's side has done since it started."""

    served: int = 0
    refused: int = 0
    unknown: int = 0


class OwnerService:
    """Requests to the one server beside this daemon."""

    def __init__(
        self,
        reactor: Any,
        service: str,
        server: str,
        client: ServerClient,
        control: OwnerControl,
        limits: LimitSettings,
    ) -> None:
        self._reactor = reactor
        self._service = service
        self._server = server
        self._client = client
        self._control = control
        self._ownership = control.ownership
        self._limits = limits
        self._keyed = True
        self._admission = AdmissionQueue(AdmissionLimits(queue=limits.queue))
        self._memory = RequestMemory(limits.remember_s, limits.remember_count)
        self._parked: dict[OwnedRequest, None] = {}
        self._queued: dict[Ticket, OwnedRequest] = {}
        self._by_run: dict[int, OwnedRequest] = {}
        self._counts = OwnerCounts()

    # -- properties ---------------------------------------------------------

    @property
    def busy(self) -> int:
        """Requests that run, wait or are being answered."""
        return len(self._by_run) + len(self._queued) + len(self._parked)

    @property
    def running(self) -> int:
        """Requests at the server."""
        return self._admission.running

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot or for their shard."""
        return self._admission.waiting + len(self._parked)

    @property
    def counts(self) -> OwnerCounts:
        """Totals since the start."""
        return self._counts

    @property
    def client(self) -> ServerClient:
        """The connections to the server."""
        return self._client

    # -- configuration ------------------------------------------------------

    def set_table(self, table: ServiceTable) -> None:
        """Apply the rows of the service and of the server."""
        self._keyed = table.service.kind is Kind.KEYED
        row = table.servers.get(self._server)
        if row is None:
            return
        exports = max(1, int(row.slots * table.service.export_slots))
        self._admission.set_limits(AdmissionLimits(row.slots, self._limits.queue, exports))
        self._start_waiting()

    # -- requests -----------------------------------------------------------

    def take(self, head: RequestHead, ended: bool, body: bytes, reply: ReplySink) -> "OwnedRequest":
        """Return the handling of a request, to be begun; answers go to *reply*."""
        return OwnedRequest(self, self._reactor, head, ended, body, reply)

    def recheck(self) -> None:
        """Look again at requests whose shard was not ready."""
        for request in list(self._parked):
            self._parked.pop(request, None)
            request.admit()

    def abort(self, runs: tuple[int, ...]) -> None:
        """End requests whose permits are void."""
        for run in runs:
            request = self._by_run.get(run)
            if request is not None:
                request.permit_lost()

    # -- used by requests ---------------------------------------------------

    def check_head(self, head: RequestHead) -> ResponseHead | None:
        """Return why a request cannot be taken at all, or None."""
        if head.service != self._service:
            return refusal(Outcome.NOT_RUN, Reason.MOVED, status=503, detail="another service")
        return None

    def admit(self, head: RequestHead) -> Admission:
        """Ask whether the request's shard may be served."""
        if self._keyed:
            return self._ownership.admit(head.position, boot_time())
        return self._ownership.admit_pooled(boot_time())

    @property
    def record_version(self) -> int:
        """Version of the record that is acted on."""
        return self._ownership.adopted

    def park(self, request: "OwnedRequest") -> bool:
        """Let a request wait for its shard; return False if too many do."""
        if len(self._parked) >= PARKED_LIMIT:
            return False
        self._parked[request] = None
        return True

    def unpark(self, request: "OwnedRequest") -> None:
        """Let a request wait no longer."""
        self._parked.pop(request, None)

    def offer(self, request: "OwnedRequest", ticket: Ticket) -> Decision | Shed:
        """Ask for a slot."""
        decision = self._admission.offer(ticket, boot_time())
        if decision is Decision.QUEUED:
            self._queued[ticket] = request
        return decision

    def slot_freed(self, ticket: Ticket) -> None:
        """Give a slot or a place in the queue back."""
        self._queued.pop(ticket, None)
        self._admission.finish(ticket, boot_time())
        self._start_waiting()

    def run_started(self, request: "OwnedRequest", permit: Permit) -> int:
        """Register a request that is about to be sent to the server."""
        run = self._ownership.started(permit)
        self._by_run[run] = request
        return run

    def run_finished(self, run: int) -> None:
        """Forget a request that was sent to the server."""
        self._by_run.pop(run, None)
        self._control.run_finished(run)

    def still_good(self, permit: Permit) -> bool:
        """Return whether work under *permit* may go on."""
        return self._ownership.still_good(permit, boot_time())

    def first_run(self, head: RequestHead, permit: Permit, now: float) -> ResponseHead | None:
        """Note a not-repeatable request as handed over; return a refusal if it may not be."""
        request_id = _scoped_id(head)
        known = self._memory.find(request_id, now)
        if known is not None:
            detail = f"first answer: {known.status}" if known.status else "first answer: none yet"
            return refusal(Outcome.ALREADY_RUN, Reason.DUPLICATE, status=409, detail=detail)
        if head.prior_age_ms and now - head.prior_age_ms / MS_PER_S < permit.granted_at:
            return refusal(Outcome.UNKNOWN, Reason.NOT_SEEN_BEFORE_GRANT, status=502)
        if not self._memory.has_room(now):
            return refusal(
                Outcome.NOT_RUN, Reason.OVERLOADED, status=503, retry_after_s=1.0,
                detail="no room to remember the request id",
            )  # fmt: skip
        self._memory.remember(request_id, now)
        return None

    def remember_status(self, head: RequestHead, status: int) -> None:
        """Keep the status of a not-repeatable request's answer."""
        known = self._memory.find(_scoped_id(head), boot_time())
        if known is not None:
            known.status = status

    def forget_run(self, head: RequestHead) -> None:
        """Forget a not-repeatable request that certainly did not run."""
        self._memory.forget(_scoped_id(head))

    def fenced(self) -> None:
        """The server refused an epoch: grant anew."""
        self._control.server_forgot()

    def unreachable(self) -> None:
        """The server takes no connection."""
        self._control.server_suspect()

    def server_headers(self, head: RequestHead, permit: Permit, deadline: float) -> bytes:
        """Return the header lines of the request to the server."""
        now = boot_time()
        until = min(deadline, self._control.valid_until) if permit.end else deadline
        start_before_ms = int((unix_time() + until - now) * MS_PER_S)
        left_ms = max(1, int((deadline - now) * MS_PER_S))
        lines = b"%b%b: %b\r\n%b: %b\r\n%b: %b\r\n%b: %d\r\n%b: %d\r\n" % (
            head.headers,
            HeaderName.KEY, head.key,
            HeaderName.REQUEST_ID, head.request_id,
            HeaderName.TENANT, head.tenant.encode(),
            HeaderName.START_BEFORE_MS, start_before_ms,
            HeaderName.DEADLINE_MS, left_ms,
        )  # fmt: skip
        if permit.end:
            lines += b"%b: %d\r\n%b: %x\r\n" % (
                HeaderName.EPOCH, permit.epoch,
                HeaderName.SHARD, permit.start,
            )  # fmt: skip
        return lines

    def _start_waiting(self) -> None:
        started, expired = self._admission.next_starts(boot_time())
        for ticket in expired:
            if (request := self._queued.pop(ticket, None)) is not None:
                request.expired_in_queue()
        for ticket in started:
            if (request := self._queued.pop(ticket, None)) is not None:
                request.slot_given()


def _scoped_id(head: RequestHead) -> bytes:
    """Return the request id within its tenant: two tenants may choose the same."""
    return head.tenant.encode() + b"\x00" + head.request_id


class OwnedRequest:
    """One request at its owner."""

    def __init__(
        self,
        owner: OwnerService,
        reactor: Any,
        head: RequestHead,
        ended: bool,
        body: bytes,
        reply: ReplySink,
    ) -> None:
        self._owner = owner
        self._reactor = reactor
        self._head = head
        self._reply = reply
        self._deadline = boot_time() + head.deadline_ms / MS_PER_S
        self._body: list[bytes] = [body] if body else []
        self._body_ended = ended
        self._streaming_body = False
        self._body_paused = False
        self._uncredited = 0
        self._permit: Permit | None = None
        self._ticket: Ticket | None = None
        self._run = 0
        self._connection: ServerConnection | None = None
        self._sent = False
        self._answered = False
        self._done = False
        self._held_head: ResponseHead | None = None
        """The head of a short answer, kept until the body is whole."""
        self._held_body: list[bytes] = []
        self._fenced = False
        self._timer: Any = None
        self._action: Any = None

    def begin(self) -> None:
        """Check and admit the request."""
        if self._head.task_id:
            self._action = Action.continue_task(
                action_type="pearward:owner", task_id=self._head.task_id
            )
        refused = self._owner.check_head(self._head)
        if refused is not None:
            self._refuse(refused)
            return
        wait_s = max(0.0, self._head.deadline_ms / MS_PER_S)
        self._timer = self._reactor.callLater(wait_s, self._deadline_passed)
        if self._body_ended or not 0 <= self._head.body_length <= SMALL_BODY:
            self.admit()

    def admit(self) -> None:
        """Ask for the shard, then for a slot."""
        if self._done:
            return
        admission = self._owner.admit(self._head)
        if admission.verdict is Verdict.WAIT:
            if not self._owner.park(self):
                self._refuse_not_run(Reason.NOT_READY, retry_after_s=NOT_READY_RETRY_S)
            return
        if admission.verdict is Verdict.MOVED:
            self._refuse_not_run(Reason.MOVED)
            return
        if admission.verdict is Verdict.NOT_READY:
            self._refuse_not_run(Reason.NOT_READY, retry_after_s=NOT_READY_RETRY_S)
            return
        self._permit = admission.permit
        ticket = Ticket(self._head.request_class, self._head.tenant, self._deadline)
        decision = self._owner.offer(self, ticket)
        if isinstance(decision, Shed):
            self._refuse_not_run(decision.reason, retry_after_s=decision.retry_after_s)
            return
        self._ticket = ticket
        if decision is Decision.START:
            self.slot_given()

    def slot_given(self) -> None:
        """Get a connection to the server."""
        connection = self._owner.client.take()
        if connection is not None:
            self._send(connection)
        else:
            self._owner.client.connect().addCallbacks(self._send, self._no_connection)

    def expired_in_queue(self) -> None:
        """The deadline passed while the request waited for a slot."""
        self._ticket = None
        self._refuse_not_run(Reason.DEADLINE, status=GATEWAY_TIMEOUT)

    def permit_lost(self) -> None:
        """The lease lapsed: nothing of this request may go on."""
        self._fail_after_sent(Reason.LEASE_LOST)

    # -- what the requester sends -------------------------------------------

    def response_received(self, head: ResponseHead, ended: bool, body: bytes) -> None:
        """Never happens at the owner's end."""

    def data_received(self, data: bytes, ended: bool) -> None:
        """Take a chunk of the request's body."""
        if self._done:
            return
        self._body_ended = self._body_ended or ended
        if not self._streaming_body:
            if data:
                self._body.append(data)
            if ended and 0 <= self._head.body_length <= SMALL_BODY:
                self.admit()
            return
        assert self._connection is not None
        if data:
            self._connection.send_chunk(data)
            self._credit(len(data))
        if ended:
            self._connection.send_end()

    def reset_received(self, code: ResetCode) -> None:
        """The requester gave up."""
        self._finish(Outcome.UNKNOWN if self._sent else Outcome.NOT_RUN, Reason.CANCELLED)

    def connection_lost(self) -> None:
        """Nobody is left to answer to."""
        self._finish(Outcome.UNKNOWN if self._sent else Outcome.NOT_RUN, Reason.CANCELLED)

    def writable(self) -> None:
        """The requester can take more of the answer."""
        if self._connection is not None and self._answered and not self._done:
            self._connection.resume()

    # -- the server ---------------------------------------------------------

    def _no_connection(self, failure: Failure) -> None:
        failure.trap(ServerUnreachable)
        self._owner.unreachable()
        self._refuse_not_run(Reason.UNREACHABLE, detail=failure.getErrorMessage())

    def _send(self, connection: ServerConnection) -> None:
        """Hand the request over, if at this last moment it still may be."""
        permit = self._permit
        assert permit is not None
        if self._done:
            connection.abort()
            return
        if not self._owner.still_good(permit):
            connection.abort()
            self._refuse_not_run(Reason.NOT_READY, retry_after_s=NOT_READY_RETRY_S)
            return
        if not self._head.repeatable:
            refused = self._owner.first_run(self._head, permit, boot_time())
            if refused is not None:
                connection.abort()
                self._refuse(refused)
                return
        self._connection = connection
        self._run = self._owner.run_started(self, permit)
        self._sent = True
        self._send_request(connection, permit)

    def _send_request(self, connection: ServerConnection, permit: Permit) -> None:
        """Write the request: whole if its body is here, else the head and what there is."""
        head = self._head
        headers = self._owner.server_headers(head, permit, self._deadline)
        data = b"".join(self._body)
        self._body = []
        if self._body_ended:
            connection.send(head.method, head.path, headers, data, self)
        else:
            self._streaming_body = True
            connection.send_head(head.method, head.path, headers, head.body_length, self)
            connection.send_chunk(data)
        self._credit(len(data))

    def _credit(self, count: int) -> None:
        """Let the requester send more, unless the server is behind."""
        self._uncredited += count
        if not self._body_paused and self._uncredited:
            count, self._uncredited = self._uncredited, 0
            self._reply.consumed(count)

    def body_paused(self) -> None:
        """The server takes no more of the body for now."""
        self._body_paused = True

    def body_resumed(self) -> None:
        """The server takes more of the body."""
        self._body_paused = False
        self._credit(0)

    def exchange_failed(self, detail: str) -> None:
        """The connection to the server ended before the answer was whole."""
        if self._done:
            return
        self._owner.unreachable()
        self._fail_after_sent(Reason.SERVER_FAILED, detail)

    def answer_head(self, status: int, headers: bytes, length: int) -> None:
        """The server answers: a short answer is kept until it is whole."""
        if self._done or not self._may_answer():
            return
        if status == PRECONDITION_FAILED and _NOT_RUN_LINE in headers:
            self._fenced = True
            return
        if not self._head.repeatable:
            self._owner.remember_status(self._head, status)
        head = ResponseHead(
            status,
            Outcome.SERVED,
            headers=headers,
            version=self._owner.record_version,
            body_length=length,
        )
        if 0 <= length <= SHORT_BODY:
            self._held_head = head
            return
        self._cancel_timer()
        self._answered = True
        self._reply.respond(head, ended=False)

    def answer_data(self, data: bytes) -> None:
        """Pass a chunk of the answer on."""
        if self._done or self._fenced:
            return
        if self._held_head is not None:
            self._held_body.append(data)
            return
        if self._may_answer() and not self._reply.send_data(data):
            assert self._connection is not None
            self._connection.pause()

    def answer_ended(self) -> None:
        """The server's answer is whole."""
        if self._done:
            return
        if self._fenced:
            self._forget_run()
            self._owner.fenced()
            self._refuse_not_run(Reason.FENCED)
            return
        if not self._may_answer():
            return
        if self._held_head is not None:
            body = b"".join(self._held_body)
            self._reply.respond(self._held_head, ended=True, body=body)
        else:
            self._reply.send_data(b"", ended=True)
        self._finish(Outcome.SERVED, None)

    def _may_answer(self) -> bool:
        """Return whether the permit still holds; if not, the answer is withheld."""
        assert self._permit is not None
        if self._owner.still_good(self._permit):
            return True
        self._fail_after_sent(Reason.LEASE_LOST)
        return False

    # -- endings ------------------------------------------------------------

    def _deadline_passed(self) -> None:
        self._timer = None
        if self._sent:
            self._fail_after_sent(Reason.DEADLINE, status=GATEWAY_TIMEOUT)
        else:
            self._refuse_not_run(Reason.DEADLINE, status=GATEWAY_TIMEOUT)

    def _refuse_not_run(
        self, reason: Reason, *, status: int = 503, detail: str = "", retry_after_s: float = 0.0
    ) -> None:
        self._refuse(
            refusal(
                Outcome.NOT_RUN,
                reason,
                status=status,
                detail=detail,
                retry_after_s=retry_after_s,
                version=self._owner.record_version,
            )
        )

    def _refuse(self, head: ResponseHead) -> None:
        """Answer without the server."""
        if self._done:
            return
        self._reply.respond(head, ended=True)
        self._finish(head.outcome, head.reason)

    def _fail_after_sent(self, reason: Reason, detail: str = "", status: int = 502) -> None:
        """Say that the request may have run, or break off an answer that was begun."""
        if self._done:
            return
        if self._answered:
            self._reply.reset(ResetCode.BROKEN)
            self._finish(Outcome.UNKNOWN, reason)
        else:
            self._refuse(refusal(Outcome.UNKNOWN, reason, status=status, detail=detail))

    def _forget_run(self) -> None:
        if not self._head.repeatable:
            self._owner.forget_run(self._head)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _finish(self, outcome: Outcome, reason: Reason | None) -> None:
        """Give back everything that the request held."""
        if self._done:
            return
        self._done = True
        self._cancel_timer()
        self._owner.unpark(self)
        if self._connection is not None and outcome is not Outcome.SERVED:
            self._connection.abort()
        self._connection = None
        if not self._body_ended:
            self._reply.reset(ResetCode.CANCELLED)
        self._count(outcome)
        if self._run:
            self._owner.run_finished(self._run)
        if self._ticket is not None:
            self._owner.slot_freed(self._ticket)
        if self._action is not None:
            self._action.add_success_fields(
                outcome=outcome.value, reason=reason.value if reason else ""
            )
            self._action.finish()

    def _count(self, outcome: Outcome) -> None:
        counts = self._owner.counts
        if outcome is Outcome.SERVED:
            counts.served += 1
        elif outcome is Outcome.UNKNOWN:
            counts.unknown += 1
        else:
            counts.refused += 1
