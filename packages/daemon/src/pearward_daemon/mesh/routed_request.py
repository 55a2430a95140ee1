"""Routing of one caller's request: target selection, retries and the response to the caller."""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING, Any

from twisted.python.failure import Failure

from pearward_coordination.attempt_plan import (
    OWNER_WAIT_S,
    AttemptPlan,
    NextStep,
    RequestTimes,
)
from pearward_coordination.content import content_digest
from pearward_coordination.overload.key_shedding import RETRY_DELAY_S
from pearward_coordination.retry import AttemptHistory
from pearward_protocol.heads import RequestHead, ResponseHead
from pearward_state.outcome import Outcome, Reason, RequestClass
from pearward_state.routes import RequestKind, Route
from pearward_transport.caller_request import CallerRequest
from pearward_transport.clock import boot_time
from pearward_transport.errors import PeerUnreachable
from pearward_transport.peer_connection import PeerConnection

from ..attempts import LocalAttempt, RemoteAttempt
from .dialect import CallerIntent
from .request_body import RequestBody

if TYPE_CHECKING:
    from pearward_coordination.selection import FreeSlotOdds

    from .ingress import MeshIngress, Placement

__all__ = ["RoutedRequest"]

MS_PER_S = 1000
BAD_GATEWAY, UNAVAILABLE, GATEWAY_TIMEOUT = 502, 503, 504
CONNECT_TIMEOUT_S = 0.25
"""Maximum wait in s for a connection to a daemon in the same region; then another is tried."""
DEFAULT_RETRY_AFTER_S = 0.1
"""Default retry delay in s for refused callers, where no better estimate is known."""
CALLER_MARGIN_S = 0.01
"""Seconds before the caller's deadline at which the final response is sent; transit takes 3 ms."""
OWNER_MARGIN_S = 0.03
"""Seconds before the caller's deadline at which the owner's daemon stops. Only that daemon can
report whether the request was still queued, and its reply must arrive here in time."""


class RoutedRequest:
    """A caller's request for which a route was found."""

    def __init__(
        self,
        ingress: MeshIngress,
        request: CallerRequest,
        route: Route,
        intent: CallerIntent,
        body_length: int | None,
    ) -> None:
        self._ingress = ingress
        self._request = request
        self._route = route
        self._intent = intent
        self._started = boot_time()
        limit_ms = route.timeout_ms
        if intent.deadline_ms is not None:
            limit_ms = min(limit_ms, intent.deadline_ms)
        # Other daemons schedule by the time left; no response reaches the caller after *ends_at*.
        self._deadline = min(self._started + limit_ms / MS_PER_S, ingress.ends_at)
        self._service = ingress.service_for(route)
        self._keyed = intent.key is not None and ingress.is_keyed(self._service)
        self._forwarded = b""
        self._body = RequestBody(body_length)
        self._attempt: LocalAttempt | RemoteAttempt | None = None
        self._placement: Placement | None = None
        self._tally = AttemptHistory()
        age_s = ingress.age_s(route, intent.deadline_ms, self._started)
        objective = self._started - age_s + route.objective_ms / MS_PER_S
        self._plan = AttemptPlan(
            RequestTimes(self._started, objective, self._deadline),
            route.kind.repeatable,
            self._keyed,
            route.max_attempts,
        )
        self._retry_after_s = 0.0
        self._last_reason: Reason | None = None
        self._idle_probe: FreeSlotOdds | None = None
        """Receives whether the target had a free slot; None if the attempt may be queued."""
        self._shedding_checked = False
        """Whether load shedding was checked; each request counts once for its key."""
        self._responding = False
        self._caller_paused = False
        self._unconsumed = 0
        """Bytes received but not yet acknowledged, by which the owner's send window is reduced."""
        self._done = False
        self._deadline_timer: Any = None
        self._wait_timer: Any = None

    # -- properties -------------------------------------------------------------

    @property
    def service(self) -> str:
        """The service that the request goes to."""
        return self._service

    @property
    def route(self) -> Route:
        """The route that was chosen."""
        return self._route

    @property
    def done(self) -> bool:
        """Whether the request was answered or its caller has disconnected."""
        return self._done

    # -- events from the caller ------------------------------------------------------

    def begin(self) -> None:
        """Start the deadline, and the first attempt unless the body is to be buffered first."""
        self._forwarded = self._ingress.forwarded(self._request, self._intent.request_id)
        left_s = max(0.0, self._deadline - boot_time() - CALLER_MARGIN_S)
        self._deadline_timer = self._ingress.call_later(left_s, self._deadline_passed)
        if not self._body.is_buffering:
            self._next_attempt()

    def body_received(self, data: bytes) -> None:
        """Process a chunk of the request's body."""
        if self._done:
            return
        if self._plan.body_consumed:
            if self._attempt is not None and not self._attempt.send_data(data):
                self._request.pause_body()
            return
        self._body.received(data)
        if not self._body.is_buffering and self._attempt is None and self._wait_timer is None:
            # The body is too long to buffer: from here on it can be sent only once.
            self._next_attempt()

    def body_ended(self) -> None:
        """Process the end of the request's body."""
        if self._done:
            return
        self._body.end()
        if self._plan.body_consumed:
            if self._attempt is not None:
                self._attempt.send_data(b"", ended=True)
        elif self._attempt is None and self._wait_timer is None:
            self._next_attempt()

    def caller_lost(self) -> None:
        """Cancel the attempt, as the caller has disconnected."""
        if self._done:
            return
        self._cancel_attempt()
        self._finish("caller_left", 0, Reason.CANCELLED)

    def pause(self) -> None:
        """Stop acknowledging data, so that the owner's send window fills up."""
        self._caller_paused = True

    def resume(self) -> None:
        """Acknowledge the data received so far, so that the owner can send more."""
        self._caller_paused = False
        if self._attempt is not None and self._unconsumed:
            count, self._unconsumed = self._unconsumed, 0
            self._attempt.consumed(count)

    # -- attempts ----------------------------------------------------------------------

    def _next_attempt(self) -> None:
        """Send the request to the owner of its key, or to the best target."""
        self._wait_timer = None
        if self._done or self._caller_disconnected() or self._is_quarantined() or self._is_shed():
            return
        placement = self._ingress.place(
            self._service, self._route, self._key, self._plan.excluded,
            frozenset(self._plan.full_targets), self._plan.times.objective,
        )  # fmt: skip
        if placement is None:
            self._no_target()
            return
        self._placement = placement
        if placement.local:
            self._open_local(placement)
            return
        connection = self._ingress.connection(placement.address)
        if connection is not None:
            self._open_remote(connection, placement)
        else:
            self._connect(placement)

    def _caller_disconnected(self) -> bool:
        """Return whether the caller disconnected while this daemon was suspended; finish if so."""
        left = self._request.caller_closed
        if left:
            self.caller_lost()
        return left

    def _is_quarantined(self) -> bool:
        """Refuse the request if too many targets crashed on its content; return whether it was."""
        quarantine = self._ingress.quarantine
        if not quarantine:
            return False
        left_s = quarantine.left_s(self._content_digest, boot_time())
        if left_s > 0.0:
            detail = f"content {self._content_digest}"
            self._give_up(Outcome.NOT_RUN, Reason.QUARANTINED, left_s, detail=detail)
        return left_s > 0.0

    def _is_shed(self) -> bool:
        """Refuse a first attempt whose key is shed by its owner; return whether it was refused."""
        if self._key is None or self._shedding_checked:
            return False
        self._shedding_checked = True
        if not self._ingress.sheds(self._service, self._key):
            return False
        self._give_up(Outcome.NOT_RUN, Reason.OVERLOADED, RETRY_DELAY_S, detail="key is shed")
        return True

    @cached_property
    def _content_digest(self) -> str:
        """The digest of the request's content, which the target's daemon computes alike."""
        content_identity = self._ingress.content_identity(self._forwarded)
        body = self._body
        return content_digest(
            self._request.method, self._request.uri, content_identity, body.length, body.buffered
        )

    @property
    def _is_download(self) -> bool:
        """Whether the response is long, so that the link of the target's instance matters too."""
        return self._route.kind is RequestKind.DOWNLOAD

    @property
    def _key(self) -> int | None:
        return self._intent.key if self._keyed else None

    def _no_target(self) -> None:
        """Wait a short time for a target, or refuse the request, as none is available now."""
        # Waiting does not help in a drain of all failure domains: only operators can end it.
        drained = self._ingress.is_wholly_drained(self._service)
        if drained or not self._plan.waits_for_owner(boot_time()):
            reason = self._last_reason or Reason.NO_ROUTE
            retry_after_s = self._absent_owner_delay_s() or self._retry_after_s
            self._give_up(Outcome.NOT_RUN, reason, retry_after_s or DEFAULT_RETRY_AFTER_S)
            return
        self._plan.tried.clear()
        self._last_reason = self._last_reason or Reason.NO_ROUTE
        self._wait_timer = self._ingress.call_later(OWNER_WAIT_S, self._next_attempt)

    def _connect(self, placement: Placement) -> None:
        """Wait for a connection to another daemon, for CONNECT_TIMEOUT_S at most."""
        pending = [True]

        def connected(connection: PeerConnection) -> None:
            if pending:
                pending.clear()
                self._cancel_wait_timer()
                if not self._done:
                    self._open_remote(connection, placement)

        def failed(failure: Failure) -> None:
            failure.trap(PeerUnreachable)
            if pending:
                pending.clear()
                self._cancel_wait_timer()
                self._target_unreachable(placement, failure.getErrorMessage())

        def timed_out() -> None:
            self._wait_timer = None
            if pending:
                pending.clear()
                self._target_unreachable(placement, "no connection in time")

        self._wait_timer = self._ingress.call_later(CONNECT_TIMEOUT_S, timed_out)
        self._ingress.connect(placement.address).addCallbacks(connected, failed)

    def _target_unreachable(self, placement: Placement, detail: str) -> None:
        if self._done:
            return
        self._ingress.target_unreachable(placement.target, detail)
        self._failed(Outcome.NOT_RUN, Reason.UNREACHABLE, 0.0, detail)

    def _head(self, placement: Placement) -> RequestHead:
        now = boot_time()
        return RequestHead(
            service=self._service,
            key=b"" if self._key is None else b"%d" % self._key,
            request_id=self._intent.request_id,
            method=self._request.method,
            path=self._request.uri,
            headers=self._forwarded,
            deadline_ms=max(1, int((self._deadline - now - OWNER_MARGIN_S) * MS_PER_S)),
            request_class=RequestClass.EXPORT if self._is_download else RequestClass.INTERACTIVE,
            tenant="",
            repeatable=self._route.kind.repeatable,
            prior_age_ms=0,
            version=placement.map_version,
            task_id="",
            position=self._key or 0,
            body_length=self._body.length,
            target=placement.target,
            rank=self._route.rank,
            objective_ms=max(0, int((self._plan.times.objective - now) * MS_PER_S)),
            caller_service=self._ingress.caller_service,
            last_target=self._is_download and self._is_last_target(placement),
            idle_only=self._is_idle_only(placement),
            route=self._route.name,
            sent_ms=int(now * MS_PER_S),
        )

    def _is_idle_only(self, placement: Placement) -> bool:
        """Return whether the target is to refuse the request if it has no free slot now."""
        odds = None if self._keyed else self._ingress.idle_odds(self._service)
        if odds is None or self._is_last_target(placement) or not odds.should_probe():
            return False
        self._idle_probe = odds
        return True

    def _record_idle_probe(self, *, found: bool) -> None:
        """Record whether the target had a free slot, if the attempt required one."""
        odds, self._idle_probe = self._idle_probe, None
        if odds is not None:
            odds.note_probe(found=found)

    def _is_last_target(self, placement: Placement) -> bool:
        """Return whether no other target would be tried if this one refuses."""
        others = self._plan.tried | {placement.target}
        return self._plan.is_last_slot_request or not self._ingress.has_other_target(
            self._service, others
        )

    def _open_local(self, placement: Placement) -> None:
        self._note_attempt(placement)
        attempt = self._attempt = LocalAttempt(self, self._ingress.window)
        first = self._body.first_part()
        attempt.open(
            self._ingress.local_target,
            self._head(placement),
            ended=first.ended,
            body=first.with_head,
        )
        self._send_rest(attempt, first.rest)

    def _open_remote(self, connection: PeerConnection, placement: Placement) -> None:
        self._note_attempt(placement)
        attempt = self._attempt = RemoteAttempt(connection, self)
        first = self._body.first_part()
        attempt.open(self._head(placement), ended=first.ended, body=first.with_head)
        self._send_rest(attempt, first.rest)

    def _note_attempt(self, placement: Placement) -> None:
        self._tally.begun()
        placement.attempt_started()
        self._ingress.log.emit(
            "attempt", id=self._id, number=self._tally.number, service=self._service,
            target=placement.target, key=self._key, map=placement.map_version,
            left_ms=round((self._deadline - boot_time()) * MS_PER_S),
        )  # fmt: skip

    def _send_rest(self, attempt: LocalAttempt | RemoteAttempt, rest: bytes) -> None:
        """Send the part of the body that did not go with the head; later chunks are streamed."""
        if self._done or self._attempt is not attempt:
            return
        if not self._body.ended:
            self._plan.body_consumed = True
            self._body.streaming_started()
        if rest:
            attempt.send_data(rest, ended=self._body.ended)

    def _cancel_attempt(self) -> None:
        self._idle_probe = None
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()
            self._release_placement()

    def _release_placement(self) -> None:
        if self._placement is not None:
            self._placement.attempt_ended()
            self._placement = None

    # -- events from the attempt -------------------------------------------------------

    def response_head(self, head: ResponseHead, ended: bool, body: bytes) -> None:
        """Process the head of the response, or the whole of a short one."""
        if self._done or self._placement is None:
            return
        if head.load is not None:
            self._ingress.load_reported(self._placement.target, head.load)
        if head.target_leaves:
            self._ingress.target_leaves(self._placement.target)
        self._record_idle_probe(found=head.reason is not Reason.OVERLOADED)
        if head.outcome is not Outcome.SERVED:
            self._refused(head)
            return
        self._note_arrival()
        if self._ingress.quarantine:
            self._ingress.quarantine.ran(self._content_digest)
        if self._key is not None:
            self._ingress.key_served(self._service, self._key)
        if self._retries_server_error(head):
            return
        self._ingress.exchange_completed(
            self._route, self._body.size + len(head.headers) + max(0, head.body_length)
        )
        headers = self._ingress.response_headers(head.headers)
        if ended:
            self._end_attempt()
            self._request.send_response(head.status, headers, body)
            self._finish("answered", head.status, None)
            return
        self._responding = True
        self._cancel_deadline_timer()
        self._request.begin_response(head.status, headers, head.body_length)

    def response_data(self, data: bytes, ended: bool) -> None:
        """Forward a chunk of the response to the caller."""
        if self._done or not self._responding:
            return
        self._request.write_response_chunk(data)
        self._unconsumed += len(data)
        if not self._caller_paused:
            self.resume()
        if ended:
            self._end_attempt()
            self._request.end_response()
            self._finish("answered", 200, None)

    def attempt_failed(self, outcome: Outcome, reason: Reason, detail: str) -> None:
        """Process an attempt that ended without a response, or in the middle of one."""
        if self._done:
            return
        if self._placement is not None and reason is Reason.CONNECTION_LOST:
            self._ingress.target_unreachable(self._placement.target, detail)
        if self._responding:
            self._end_attempt()
            self._request.abort_response()
            self._finish("broken_off", 0, reason, detail)
            return
        self._failed(outcome, reason, 0.0, detail)

    def attempt_writable(self) -> None:
        """Resume reading the body, as the owner accepts more of it."""
        self._request.resume_body()

    def _end_attempt(self) -> None:
        """Detach from the attempt, as it is finished."""
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.detach()
        self._release_placement()

    def _refused(self, head: ResponseHead) -> None:
        """Process a refusal or a failure of the owner's daemon or of the target."""
        assert self._placement is not None
        reason = head.reason or Reason.SERVER_FAILED
        self._ingress.map_version_seen(self._service, head.version, self._placement)
        if reason is Reason.DRAINING:
            self._ingress.directory.note_refused(self._placement.target)
        if reason is Reason.OVERLOADED and self._key is not None:
            self._ingress.key_refused(self._service, self._key)
        self._failed(head.outcome, reason, head.retry_after_ms / MS_PER_S, head.detail)

    def _retries_server_error(self, head: ResponseHead) -> bool:
        """Retry after a 5xx response if another attempt may succeed; return True if so."""
        assert self._placement is not None
        if head.status < 500:
            self._ingress.target_succeeded(self._placement.target)
            return False
        self._ingress.target_failed(self._placement.target)
        target = self._placement.target
        if not self._route.kind.repeatable:
            return False
        if self._plan.repeat(target, boot_time()) is not NextStep.REPEAT:
            return False
        if not self._keyed and not self._ingress.has_other_target(self._service, self._plan.tried):
            return False
        if not self._ingress.take_repeat(self._service):
            return False
        self._end_attempt()
        self._tally.failed(Outcome.UNKNOWN, Reason.TARGET_FAILED)
        self._next_attempt()
        return True

    # -- decisions ------------------------------------------------------------------------

    def _failed(self, outcome: Outcome, reason: Reason, retry_after_s: float, detail: str) -> None:
        """Start another attempt after one without a response, or send the caller an error."""
        target = self._placement.target if self._placement is not None else ""
        self._end_attempt()
        self._tally.failed(outcome, reason)
        self._last_reason = reason
        self._retry_after_s = retry_after_s
        again = self._should_retry(outcome, reason, target)
        self._ingress.log.emit(
            "attempt_failed", failure=True, id=self._id, target=target, outcome=outcome.value,
            reason=reason.value, detail=detail, retried=again,
            left_ms=round((self._deadline - boot_time()) * MS_PER_S),
        )  # fmt: skip
        if not again:
            late = reason is Reason.DEADLINE
            status = GATEWAY_TIMEOUT if late else BAD_GATEWAY
            if reason is Reason.UNREACHABLE:
                retry_after_s = self._absent_owner_delay_s()
            self._give_up(outcome, reason, retry_after_s, status)
        elif self._keyed:
            self._wait_timer = self._ingress.call_later(OWNER_WAIT_S, self._next_attempt)
        else:
            self._next_attempt()

    def _absent_owner_delay_s(self) -> float:
        """Return the retry delay of a keyed request whose owner is absent; 0 in other cases."""
        if self._key is None:
            return 0.0
        return self._ingress.owner_return_delay_s(self._service, self._key)

    def _should_retry(self, outcome: Outcome, reason: Reason, target: str) -> bool:
        """Decide whether the request is sent again, and charge the retry budget if required."""
        if outcome is not Outcome.NOT_RUN:
            self._ingress.target_failed(target)
        if outcome is not Outcome.NOT_RUN or reason is Reason.TARGET_REFUSED:
            self._note_arrival()
        step = self._plan.after_failure(outcome, reason, target, boot_time())
        if step is NextStep.REPEAT:
            return self._ingress.take_repeat(self._service)
        return step is NextStep.ELSEWHERE

    def _note_arrival(self) -> None:
        """Note that a target has received the request; the first time adds to the retry budget."""
        if self._plan.arrived():
            self._ingress.count_arrival(self._service)

    def daemon_stopping(self) -> None:
        """Refuse the request if it has no response yet, as this daemon stops now."""
        if not self._responding:
            self._end_unanswered(Reason.DRAINING)

    def _deadline_passed(self) -> None:
        """End the request, as the time allowed by the caller or the route has passed."""
        self._deadline_timer = None
        self._end_unanswered(Reason.DEADLINE)

    def _end_unanswered(self, reason: Reason) -> None:
        if self._done:
            return
        unknown = self._attempt is not None
        if unknown and self._key is not None:
            self._ingress.key_refused(self._service, self._key)
        self._cancel_attempt()
        outcome = Outcome.UNKNOWN if unknown else Outcome.NOT_RUN
        self._give_up(outcome, reason, DEFAULT_RETRY_AFTER_S, GATEWAY_TIMEOUT)

    def _give_up(
        self,
        outcome: Outcome,
        reason: Reason,
        retry_after_s: float,
        status: int = BAD_GATEWAY,
        detail: str = "",
    ) -> None:
        """Send an error response whose status states whether the request may have run."""
        final = self._tally.final(outcome)
        if final is Outcome.NOT_RUN:
            status = UNAVAILABLE
        else:
            retry_after_s = 0.0
        headers = self._ingress.refusal_headers(self._intent.request_id, retry_after_s)
        self._request.send_response(status, headers, b"")
        self._finish("given_up", status, reason, detail)

    # -- clean-up -------------------------------------------------------------------------

    @property
    def _id(self) -> str:
        return self._intent.request_id.decode("latin-1")

    def _cancel_deadline_timer(self) -> None:
        timer, self._deadline_timer = self._deadline_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _cancel_wait_timer(self) -> None:
        wait, self._wait_timer = self._wait_timer, None
        if wait is not None and wait.active():
            wait.cancel()

    def _finish(self, how: str, status: int, reason: Reason | None, detail: str = "") -> None:
        self._done = True
        self._cancel_deadline_timer()
        self._cancel_wait_timer()
        self._ingress.request_finished(self, how, status, boot_time() - self._started)
        self._ingress.log.emit(
            how, failure=how != "answered", id=self._id, route=self._route.name,
            service=self._service, status=status, reason=reason.value if reason else "",
            detail=detail, attempts=self._tally.number,
            ms=round((boot_time() - self._started) * MS_PER_S),
        )  # fmt: skip
