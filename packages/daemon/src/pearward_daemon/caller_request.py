"""One caller's request at its ingress: all its attempts and the final response."""

from __future__ import annotations

import json
from math import ceil
from typing import TYPE_CHECKING, Any

import eliot
from twisted.python.failure import Failure

from pearward_coordination.retry import Attempt, AttemptHistory, decide_retry
from pearward_coordination.routing import NoRoute, Route, UnknownService
from pearward_coordination.seen_requests import scoped_id
from pearward_coordination.service_lookups import LookupResult
from pearward_protocol.errors import BadHeader
from pearward_protocol.heads import RequestHead, ResponseHead
from pearward_protocol.httpmap import (
    HeaderName,
    RequestContext,
    join_headers,
    read_context,
    status_for,
)
from pearward_protocol.streams import MAX_INLINE_BODY
from pearward_state.outcome import Outcome, Reason, RequestClass
from pearward_state.records import CellRecord, Member, MemberState
from pearward_state.table import Kind, ServiceTable
from pearward_transport.caller_request import CallerRequest
from pearward_transport.clock import boot_time
from pearward_transport.errors import PeerUnreachable
from pearward_transport.peer_connection import PeerConnection

from .attempts import LocalAttempt, RemoteAttempt
from .exchange import AttemptStream
from .settings import LogRequests

if TYPE_CHECKING:
    from .ingress import Ingress

__all__ = ["RoutedRequest"]

MS_PER_S = 1000
RESPONSE_GRACE_S = 0.05
"""Time after the deadline for which the owner's own result is awaited."""
DEFAULT_RETRY_S = 0.2
BAD_REQUEST = 400
NOT_FOUND = 404
UNAVAILABLE = 503
STOPPING = "this daemon stops"
_SERVED_LINE = b"%b: %b\r\n" % (HeaderName.OUTCOME, Outcome.SERVED.value.encode())


class RoutedRequest:
    """Handles one caller's request over all its attempts."""

    def __init__(self, ingress: Ingress, request: CallerRequest, body_length: int | None) -> None:
        self._ingress = ingress
        self._request = request
        self._body_length = -1 if body_length is None else body_length
        self._context: RequestContext | None = None
        self._class = RequestClass.INTERACTIVE
        self._keyed = True
        self._request_id = b""
        self._prior_age_ms = 0
        self._headers = b""
        self._started_at = 0.0
        self._deadline = 0.0
        self._body: list[bytes] = []
        self._body_size = 0
        self._body_ended = False
        self._body_forwarded = False
        """Whether chunks are forwarded at once and are no longer buffered for a retry."""
        self._attempt: AttemptStream | None = None
        self._target = ""
        self._history = AttemptHistory()
        self._avoid: set[str] = set()
        self._pending_refusal: tuple[Reason, str, int] | None = None
        """Reason, detail and status of a refusal that is sent once the body has been read."""
        self._finding_service = False
        self._response_started = False
        self._done = False
        self._paused = False
        self._unconsumed = 0
        self._timer: Any = None
        self._retry: Any = None
        self._action: Any = None

    # -- the caller's side ----------------------------------------------------

    def begin(self) -> None:
        """Read the headers and route the request; a short body is buffered first."""
        ingress = self._ingress
        self._started_at = boot_time()
        if ingress.closed:
            self._refuse(Reason.DRAINING, STOPPING, UNAVAILABLE)
            return
        try:
            headers = self._request.header_values()
            context = read_context(self._request.method, headers.get, ingress.request_limits)
        except BadHeader as error:
            self._refuse(Reason.BAD_REQUEST, str(error), BAD_REQUEST)
            return
        if ingress.open_requests > ingress.limits.max_requests:
            self._refuse(Reason.OVERLOADED, "too many requests", UNAVAILABLE)
            return
        self._start_timer(context)
        try:
            table = ingress.router.row(context.service)
        except UnknownService:
            self._find_service(context)
        else:
            self._admit(context, table)

    def _find_service(self, context: RequestContext) -> None:
        """Look up a service in the store that this daemon does not have, as the body arrives.

        A daemon that has just started may not have received all services, and a new service
        may not have reached it yet: without the lookup, 11 to 16 of 5,500 requests to 18
        daemons that had just become ready got a final 404 for services that existed.
        """
        self._finding_service = True
        found = self._ingress.control.finder.find(context.service)
        found.addCallback(self._service_found, context)

    def _service_found(self, found: LookupResult, context: RequestContext) -> None:
        """Continue if the service exists; only the store's own reply counts as its absence."""
        self._finding_service = False
        if self._done:
            return
        if self._body_size > self._ingress.limits.replay_bytes:
            self._request.resume_body()
        service = context.service
        if found is LookupResult.ABSENT:
            detail = f"there is no service {service!r}"
            self._refuse(Reason.UNKNOWN_SERVICE, detail, NOT_FOUND)
            return
        try:
            table = self._ingress.router.row(service)
        except UnknownService as error:
            if found is LookupResult.THERE:
                self._refuse(Reason.UNKNOWN_SERVICE, str(error), NOT_FOUND)
            else:
                detail = f"service {service!r} is not known here, and the store was not asked"
                self._refuse(Reason.NOT_READY, detail, UNAVAILABLE)
            return
        self._admit(context, table)

    def _admit(self, context: RequestContext, table: ServiceTable) -> None:
        """Admit a request of a known service; a short body is buffered before the first attempt."""
        ingress = self._ingress
        self._context = context
        self._keyed = table.service.kind is Kind.KEYED
        if self._keyed and not context.key:
            detail = f"service {context.service!r} is divided by key: Pearward-Key is required"
            self._refuse(Reason.BAD_REQUEST, detail, BAD_REQUEST)
            return
        self._class = (
            table.service.default_class if context.request_class is None else context.request_class
        )
        self._identify(context)
        if ingress.sample_next():
            self._action = eliot.start_task(
                action_type="pearward:request",
                service=context.service,
                request_id=self._request_id.decode("latin-1"),
                request_class=self._class.label,
                tenant=context.tenant,
            )
        self._headers = join_headers(self._request.requestHeaders.getAllRawHeaders())
        ingress.budget(context.service).first_attempt()
        self._body_ended = self._body_ended or self._body_length == 0
        limit = ingress.limits.replay_bytes
        if self._body_ended or self._body_length > limit or self._body_size > limit:
            self._try()

    def _refuse(self, reason: Reason, detail: str, status: int) -> None:
        """Refuse the request, after its body if that is short.

        A response in the middle of a body closes the connection, and the TCP reset may
        reach the caller before the response.
        """
        if not self._body_ended and 0 < self._body_length <= self._ingress.limits.replay_bytes:
            self._pending_refusal = (reason, detail, status)
        else:
            self._respond(Outcome.NOT_RUN, reason, detail, status=status)

    def body_received(self, data: bytes) -> None:
        """Buffer a chunk of the body, or forward it."""
        if self._done or self._pending_refusal is not None:
            return
        if self._body_forwarded:
            self._forward(data, ended=False)
            return
        self._body.append(data)
        self._body_size += len(data)
        if self._finding_service:
            if self._body_size > self._ingress.limits.replay_bytes:
                self._request.pause_body()
            return
        if self._history.number or self._body_size <= self._ingress.limits.replay_bytes:
            return
        if self._attempt is None:
            # The body is too long to be buffered for a retry: stream it.
            self._try()

    def body_ended(self) -> None:
        """Process the end of the body."""
        if self._done:
            return
        self._body_ended = True
        if self._pending_refusal is not None:
            reason, detail, status = self._pending_refusal
            self._respond(Outcome.NOT_RUN, reason, detail, status=status)
        elif self._finding_service:
            return
        elif self._body_forwarded:
            self._forward(b"", ended=True)
        elif not self._history.number:
            self._try()

    def caller_lost(self) -> None:
        """Cancel the request, since the caller has disconnected."""
        if not self._done:
            self._finish(Outcome.UNKNOWN, Reason.CANCELLED)

    def daemon_stops(self) -> None:
        """Respond with the outcome known here, since this daemon ends."""
        if self._done:
            return
        if self._response_started:
            self._request.abort_response()
            self._finish(Outcome.UNKNOWN, Reason.DRAINING)
            return
        outcome = Outcome.NOT_RUN if self._attempt is None else Outcome.UNKNOWN
        self._respond(outcome, Reason.DRAINING, STOPPING)

    def pause(self) -> None:
        """Stop extending the owner's window, since the caller reads slowly."""
        self._paused = True

    def resume(self) -> None:
        """Extend the owner's window again, since the caller can receive more."""
        self._paused = False
        if self._attempt is not None and self._unconsumed:
            count, self._unconsumed = self._unconsumed, 0
            self._attempt.consumed(count)

    def _identify(self, context: RequestContext) -> None:
        """Set the request id and the time since it was first seen."""
        self._request_id = context.request_id or b"%x" % self._ingress.rng.getrandbits(96)
        self._prior_age_ms = context.age_ms
        if context.repeatable or not context.request_id:
            return
        memory = self._ingress.memory
        scoped = scoped_id(context.tenant, context.request_id)
        known = memory.find(scoped, self._started_at)
        if known is not None:
            age_ms = max(1, int((self._started_at - known.first_seen) * MS_PER_S))
            self._prior_age_ms = max(self._prior_age_ms, age_ms)
        elif memory.has_capacity(self._started_at):
            memory.remember(scoped, self._started_at)

    def _start_timer(self, context: RequestContext) -> None:
        wait_s = context.deadline_ms / MS_PER_S
        self._deadline = self._started_at + wait_s
        self._timer = self._ingress.reactor.callLater(
            wait_s + RESPONSE_GRACE_S, self._deadline_passed
        )

    # -- attempts -------------------------------------------------------------

    def _try(self) -> None:
        """Start an attempt."""
        self._retry = None
        if self._done:
            return
        assert self._context is not None
        self._history.begun()
        try:
            route = self._ingress.router.route(
                self._context.service, self._context.key, self._avoid
            )
        except (NoRoute, UnknownService) as error:
            self.attempt_failed(Outcome.NOT_RUN, Reason.NO_ROUTE, str(error))
            return
        self._target = route.member.incarnation
        if self._target == self._ingress.control.incarnation:
            self._try_local(route)
            return
        connection = self._ingress.pool.ready(route.member.peer)
        if connection is not None:
            self._try_remote(route, connection)
        else:
            self._ingress.pool.connect(route.member.peer).addCallbacks(
                lambda made: self._try_remote(route, made), self._unreachable
            )

    def _try_local(self, route: Route) -> None:
        attempt = LocalAttempt(self, self._ingress.limits.window_bytes)
        self._attempt = attempt
        self._ingress.router.started(self._target)
        body = self._short_body()
        attempt.open(
            self._ingress.owner, self._head(route), ended=body is not None, body=body or b""
        )
        if body is None:
            self._send_body(attempt)

    def _try_remote(self, route: Route, connection: PeerConnection) -> None:
        if self._done:
            return
        if connection.peer is not None and connection.peer.incarnation != self._target:
            # Another incarnation already listens at the address: the route is outdated.
            detail = f"{self._target} has been replaced"
            self.attempt_failed(Outcome.NOT_RUN, Reason.UNREACHABLE, detail)
            return
        attempt = RemoteAttempt(connection, self)
        self._attempt = attempt
        self._ingress.router.started(self._target)
        body = self._short_body()
        attempt.open(self._head(route), ended=body is not None, body=body or b"")
        if body is None:
            self._send_body(attempt)

    def _unreachable(self, failure: Failure) -> None:
        failure.trap(PeerUnreachable)
        if not self._done:
            self.attempt_failed(Outcome.NOT_RUN, Reason.UNREACHABLE, failure.getErrorMessage())

    def _short_body(self) -> bytes | None:
        """Return the body if it is complete and short enough to be sent with the head."""
        if not self._body_ended or self._body_size > MAX_INLINE_BODY:
            return None
        return b"".join(self._body)

    def _head(self, route: Route) -> RequestHead:
        context = self._context
        assert context is not None
        left_ms = max(0, int((self._deadline - boot_time()) * MS_PER_S))
        task_id = ""
        if self._action is not None:
            task_id = self._action.serialize_task_id().decode()
        return RequestHead(
            service=context.service,
            key=context.key,
            request_id=self._request_id,
            method=self._request.method,
            path=self._request.uri,
            headers=self._headers,
            deadline_ms=left_ms,
            request_class=self._class,
            tenant=context.tenant,
            repeatable=context.repeatable,
            prior_age_ms=self._prior_age_ms,
            version=route.version,
            task_id=task_id,
            position=route.position,
            body_length=self._body_size if self._body_ended else self._body_length,
        )

    def _send_body(self, attempt: AttemptStream) -> None:
        """Send the body so far, and stream the rest if it is too long to be buffered."""
        if self._attempt is not attempt:
            return
        data = b"".join(self._body)
        if self._body_ended:
            attempt.send_data(data, ended=True)
            return
        self._body_forwarded = True
        self._body = []
        if not attempt.send_data(data):
            self._request.pause_body()

    def _forward(self, data: bytes, *, ended: bool) -> None:
        """Forward a chunk of a streamed body."""
        if self._attempt is None:
            return
        if not self._attempt.send_data(data, ended=ended) and not ended:
            self._request.pause_body()

    # -- results of an attempt ------------------------------------------------

    def attempt_writable(self) -> None:
        """Read more of the body, since the owner can receive more."""
        self._request.resume_body()

    def response_head(self, head: ResponseHead, ended: bool, body: bytes) -> None:
        """Process the head of the response, or the whole response, or the owner's refusal."""
        if self._done:
            return
        if head.outcome is not Outcome.SERVED:
            self._handle_refusal(head)
            return
        headers = b"%b%b%b: %b\r\n%b" % (
            head.headers,
            _SERVED_LINE,
            HeaderName.REQUEST_ID, self._request_id,
            self._owner_line(),
        )  # fmt: skip
        self._check_draining()
        if ended:
            self._request.send_response(head.status, headers, body)
            self._detach_attempt()
            self._finish(Outcome.SERVED, None)
            return
        self._response_started = True
        self._cancel_timer()
        self._request.begin_response(head.status, headers, head.body_length)

    def response_data(self, data: bytes, ended: bool) -> None:
        """Forward a chunk of the response to the caller."""
        if self._done:
            return
        if data:
            self._request.write_response_chunk(data)
            if self._paused:
                self._unconsumed += len(data)
            elif self._attempt is not None:
                self._attempt.consumed(len(data))
        if ended:
            self._finish_response()

    def attempt_failed(self, outcome: Outcome, reason: Reason, detail: str) -> None:
        """Retry or fail the request, since an attempt ended without the server's response."""
        self._detach_attempt()
        if self._done:
            return
        if self._response_started:
            self._request.abort_response()
            self._finish(Outcome.UNKNOWN, reason)
            return
        self._retry_or_fail(outcome, reason, detail, 0.0, 0)

    def record_changed(self, record: CellRecord) -> None:
        """Cancel the current attempt if its daemon was removed from the cell or retired."""
        if self._attempt is None or self._response_started or self._context is None:
            return
        if record.service != self._context.service:
            return
        member = record.member(self._target)
        if member is None or member.state is MemberState.RETIRED:
            self._attempt.cancel()
            self.attempt_failed(
                Outcome.UNKNOWN, Reason.CONNECTION_LOST, "the owner's daemon has been given up"
            )

    def _handle_refusal(self, head: ResponseHead) -> None:
        """Process a refusal or failure that the owner's daemon reported."""
        reason = head.reason or Reason.SERVER_FAILED
        assert self._context is not None
        service = self._context.service
        known = self._ingress.router.records.get(service)
        if head.version and known is not None and head.version > known.version:
            member = self._target_member()
            address = member.peer if member is not None else ""
            self._ingress.control.want_record(service, head.version, address)
        self._detach_attempt()
        self._retry_or_fail(
            head.outcome, reason, head.detail, head.retry_after_ms / MS_PER_S, head.status
        )

    def _retry_or_fail(
        self, outcome: Outcome, reason: Reason, detail: str, retry_s: float, status: int
    ) -> None:
        """Schedule a retry, or send the caller the final response."""
        context = self._context
        assert context is not None
        ingress = self._ingress
        ingress.metrics.attempt_failed(context.service, outcome, reason)
        self._history.failed(outcome, reason)
        if self._target:
            self._avoid.add(self._target)
        record = ingress.router.records.get(context.service)
        attempt = Attempt(
            outcome=outcome,
            reason=reason,
            number=self._history.number,
            redirects=self._history.redirects,
            repeatable=context.repeatable,
            replayable=self._body_ended and not self._body_forwarded,
            keyed=self._keyed,
            alternatives=record is not None and len(record.members) > 1,
        )
        decision = decide_retry(
            attempt,
            ingress.budget(context.service),
            self._deadline - boot_time(),
            ingress.rng,
        )
        if decision.again:
            self._retry = ingress.reactor.callLater(decision.delay_s, self._try)
            return
        self._respond(outcome, reason, detail, status=status, retry_s=retry_s)

    def _detach_attempt(self) -> None:
        """Detach from the current attempt."""
        if self._attempt is not None:
            self._attempt.detach()
            self._attempt = None
            self._ingress.router.ended(self._target)

    def _finish_response(self) -> None:
        """Complete the response to the caller."""
        self._detach_attempt()
        self._request.end_response()
        self._finish(Outcome.SERVED, None)

    def _deadline_passed(self) -> None:
        """Respond with the outcome known here, since the owner has sent no result."""
        self._timer = None
        in_progress = self._attempt is not None
        outcome = Outcome.UNKNOWN if in_progress else Outcome.NOT_RUN
        self._respond(outcome, Reason.DEADLINE, "the deadline has passed", status=504)

    # -- endings --------------------------------------------------------------

    def _respond(
        self,
        outcome: Outcome,
        reason: Reason,
        detail: str,
        *,
        status: int = 0,
        retry_s: float = 0.0,
    ) -> None:
        """Send the caller a response of pearward's own."""
        if self._done:
            return
        final = self._history.final(outcome)
        if final is not outcome:
            outcome, status = final, 0
        status = status or status_for(outcome)
        if status == 503 and not retry_s:
            retry_s = DEFAULT_RETRY_S
        fields = {"outcome": outcome.value, "reason": reason.value, "detail": detail}
        body = json.dumps(fields).encode() + b"\n"
        lines = [
            b"Content-Type: application/json\r\n",
            b"%b: %b\r\n" % (HeaderName.OUTCOME, outcome.value.encode()),
            b"%b: %b\r\n" % (HeaderName.REASON, reason.value.encode()),
        ]
        if self._request_id:
            lines.append(b"%b: %b\r\n" % (HeaderName.REQUEST_ID, self._request_id))
        if retry_s:
            retry_ms = int(retry_s * MS_PER_S)
            lines.append(b"Retry-After: %d\r\n" % ceil(retry_s))
            lines.append(b"%b: %d\r\n" % (HeaderName.RETRY_AFTER_MS, retry_ms))
        self._check_draining()
        self._request.send_response(status, b"".join(lines), body)
        self._finish(outcome, reason)

    def _check_draining(self) -> None:
        """Close the caller's connection after the response while this daemon is draining."""
        if self._ingress.control.draining:
            self._request.close_after()

    def _target_member(self) -> Member | None:
        """Return the member of the current attempt, if the record still contains it."""
        assert self._context is not None
        record = self._ingress.router.records.get(self._context.service)
        return record.member(self._target) if record is not None else None

    def _owner_line(self) -> bytes:
        """Return the header with the caller address of the owner's daemon."""
        member = self._target_member()
        if member is None:
            return b""
        return b"%b: %b\r\n" % (HeaderName.OWNER, member.caller.encode())

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _finish(self, outcome: Outcome, reason: Reason | None) -> None:
        """Release everything that the request holds, and record its outcome."""
        self._done = True
        self._cancel_timer()
        if self._retry is not None and self._retry.active():
            self._retry.cancel()
        if self._attempt is not None:
            attempt = self._attempt
            self._detach_attempt()
            attempt.cancel()
        self._ingress.ended(self)
        took_s = boot_time() - self._started_at
        context = self._context
        if context is not None:
            self._ingress.metrics.request_ended(
                context.service, self._class, context.tenant, outcome, took_s
            )
        self._log(outcome, reason, took_s)

    def _log(self, outcome: Outcome, reason: Reason | None, took_s: float) -> None:
        """End the request's logged action, or log a failure that has no action."""
        fields = {
            "outcome": outcome.value,
            "reason": reason.value if reason else "",
            "attempts": self._history.number,
            "took_ms": round(took_s * MS_PER_S, 3),
        }
        if self._action is not None:
            self._action.add_success_fields(**fields)
            self._action.finish()
        elif self._ingress.log_requests is not LogRequests.NONE and outcome is not Outcome.SERVED:
            service = self._context.service if self._context is not None else ""
            eliot.log_message("pearward:request-failed", service=service, **fields)
