"""The owner's side of requests: admission, the final permit check, the server and its response.

Every request to the local server passes through this module, whether it comes from this
daemon's own callers or from a peer.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from pearward_coordination.admission import AdmissionLimits, AdmissionQueue, Decision, Shed, Ticket
from pearward_coordination.ownership import Admission, Ownership, Permit
from pearward_coordination.seen_requests import SeenRequests, scoped_id
from pearward_protocol.heads import RequestHead, ResponseHead
from pearward_protocol.httpmap import HeaderName
from pearward_state.outcome import Outcome, Reason
from pearward_state.table import Kind, ServiceTable
from pearward_transport.clock import boot_time, unix_time
from pearward_transport.http_client import ServerClient

from .exchange import ReplySink, refusal
from .owned_request import STOPPED_RETRY_S, OwnedRequest
from .settings import LimitSettings

__all__ = ["OwnerControl", "OwnerService"]

MS_PER_S = 1000
PARKED_LIMIT = 4096
"""Maximum number of requests that wait for a shard to become ready."""


class OwnerControl(Protocol):
    """Interface of the control plane that the owner's side uses."""

    @property
    def ownership(self) -> Ownership:
        """Shards that this daemon may serve."""

    @property
    def valid_until(self) -> float:
        """End of the ownership lease unless it is renewed."""

    def run_finished(self, run: int) -> None:
        """Note that a request that held a permit has ended."""

    def server_lost_grants(self) -> None:
        """Note that the server refused a request because it lacks the grant."""

    def server_suspect(self) -> None:
        """Note that a connection to the server failed."""


@dataclass(slots=True)
class OwnerCounts:
    """Totals of requests by result since the start."""

    served: int = 0
    refused: int = 0
    unknown: int = 0


class OwnerService:
    """Requests to the local server."""

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
        self._memory = SeenRequests(limits.remember_s, limits.remember_count)
        self._parked: dict[OwnedRequest, None] = {}
        self._queued: dict[Ticket, OwnedRequest] = {}
        self._by_run: dict[int, OwnedRequest] = {}
        self._open: dict[OwnedRequest, None] = {}
        self._closed = False
        self._counts = OwnerCounts()

    # -- properties ---------------------------------------------------------

    @property
    def busy(self) -> int:
        """Number of requests that arrive, wait or run, or whose response is being sent."""
        return len(self._open)

    @property
    def running(self) -> int:
        """Number of requests at the server."""
        return self._admission.running

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot or for their shard."""
        return self._admission.waiting + len(self._parked)

    @property
    def counts(self) -> OwnerCounts:
        """Totals since the start."""
        return self._counts

    @property
    def client(self) -> ServerClient:
        """Client that holds the connections to the server."""
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

    def take(self, head: RequestHead, ended: bool, body: bytes, reply: ReplySink) -> OwnedRequest:
        """Return the handler of a request; begin() starts it, the response goes to *reply*."""
        request = OwnedRequest(self, self._reactor, head, ended, body, reply)
        self._open[request] = None
        return request

    def close(self) -> None:
        """Send nothing to the server from now on, since this daemon stops.

        New requests and those that the server has not received are refused as not run; those
        that still run end with the outcome unknown.
        """
        self._closed = True
        for request in list(self._open):
            request.daemon_stops()

    def recheck(self) -> None:
        """Admit the requests again that wait for their shard."""
        for request in list(self._parked):
            self._parked.pop(request, None)
            request.admit()

    def abort(self, runs: tuple[int, ...]) -> None:
        """End the requests whose permits have become invalid."""
        for run in runs:
            request = self._by_run.get(run)
            if request is not None:
                request.permit_lost()

    # -- used by requests ---------------------------------------------------

    def check_head(self, head: RequestHead) -> ResponseHead | None:
        """Return a refusal if the daemon stops or the request is for another service, else None."""
        if self._closed:
            return refusal(
                Outcome.NOT_RUN, Reason.DRAINING, status=503, retry_after_s=STOPPED_RETRY_S
            )
        if head.service != self._service:
            return refusal(Outcome.NOT_RUN, Reason.MOVED, status=503, detail="another service")
        return None

    def admit(self, head: RequestHead) -> Admission:
        """Return whether the request's shard may be served, with the permit if so."""
        if self._keyed:
            return self._ownership.admit(head.position, boot_time())
        return self._ownership.admit_pooled(boot_time())

    @property
    def record_version(self) -> int:
        """Version of the record that this daemon has adopted."""
        return self._ownership.adopted

    def park(self, request: OwnedRequest) -> bool:
        """Let a request wait for its shard; return False if too many requests wait."""
        if len(self._parked) >= PARKED_LIMIT:
            return False
        self._parked[request] = None
        return True

    def ended(self, request: OwnedRequest) -> None:
        """Remove a request that has ended."""
        self._open.pop(request, None)
        self._parked.pop(request, None)

    def offer(self, request: OwnedRequest, ticket: Ticket) -> Decision | Shed:
        """Request a slot at the server."""
        decision = self._admission.offer(ticket, boot_time())
        if decision is Decision.QUEUED:
            self._queued[ticket] = request
        return decision

    def release_slot(self, ticket: Ticket) -> None:
        """Release a slot or a place in the queue."""
        self._queued.pop(ticket, None)
        self._admission.finish(ticket, boot_time())
        self._start_waiting()

    def run_started(self, request: OwnedRequest, permit: Permit) -> int:
        """Register a request that is about to be sent to the server; return its number."""
        run = self._ownership.started(permit)
        self._by_run[run] = request
        return run

    def run_finished(self, run: int) -> None:
        """Remove a request that was sent to the server and has ended."""
        self._by_run.pop(run, None)
        if not self._closed:
            # The server may still run what a stopping daemon ends: its shard is not released.
            self._control.run_finished(run)

    def is_permit_valid(self, permit: Permit) -> bool:
        """Return whether *permit* is still valid."""
        return self._ownership.is_permit_valid(permit, boot_time())

    def register_first_run(
        self, head: RequestHead, permit: Permit, now: float
    ) -> ResponseHead | None:
        """Register a non-repeatable request as sent; return a refusal if it must not be sent."""
        request_id = scoped_id(head.tenant, head.request_id)
        known = self._memory.find(request_id, now)
        if known is not None:
            detail = f"first answer: {known.status}" if known.status else "first answer: none yet"
            return refusal(Outcome.ALREADY_RUN, Reason.DUPLICATE, status=409, detail=detail)
        if head.prior_age_ms and now - head.prior_age_ms / MS_PER_S < permit.granted_at:
            return refusal(Outcome.UNKNOWN, Reason.FIRST_SEEN_BEFORE_GRANT, status=502)
        if not self._memory.has_capacity(now):
            return refusal(
                Outcome.NOT_RUN, Reason.OVERLOADED, status=503, retry_after_s=1.0,
                detail="no room to remember the request id",
            )  # fmt: skip
        self._memory.remember(request_id, now)
        return None

    def remember_status(self, head: RequestHead, status: int) -> None:
        """Store the status of the response to a non-repeatable request."""
        known = self._memory.find(scoped_id(head.tenant, head.request_id), boot_time())
        if known is not None:
            known.status = status

    def forget_run(self, head: RequestHead) -> None:
        """Forget a non-repeatable request that certainly did not run."""
        self._memory.forget(scoped_id(head.tenant, head.request_id))

    def epoch_fenced(self) -> None:
        """Grant the shards again, since the server refused an epoch."""
        self._control.server_lost_grants()

    def server_unreachable(self) -> None:
        """Report that a connection to the server failed."""
        self._control.server_suspect()

    def server_headers(self, head: RequestHead, permit: Permit, deadline: float) -> bytes:
        """Return the header lines of the request as they are sent to the server."""
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
        if self._closed:
            return
        started, expired = self._admission.next_starts(boot_time())
        for ticket in expired:
            if (request := self._queued.pop(ticket, None)) is not None:
                request.expired_in_queue()
        for ticket in started:
            if (request := self._queued.pop(ticket, None)) is not None:
                request.slot_granted()
