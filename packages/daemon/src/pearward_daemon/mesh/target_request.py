"""One request for the local target: admission, the exchange and the complete response."""

from __future__ import annotations

from dataclasses import replace
from functools import cached_property
from typing import TYPE_CHECKING, Any

from twisted.python.failure import Failure

from pearward_coordination.content import MAX_DIGESTED_BODY, content_digest
from pearward_coordination.slots import Refused, SlotTicket
from pearward_protocol.heads import RequestHead, ResponseHead
from pearward_protocol.streams import MAX_INLINE_BODY, ResetCode
from pearward_state.outcome import Outcome, Reason, RequestClass
from pearward_transport.clock import boot_time
from pearward_transport.errors import ServerUnreachable
from pearward_transport.server_connection import ServerConnection

from ..exchange import ReplySink, refusal
from .dialect import ResponseFacts

if TYPE_CHECKING:
    from .local_target import LocalTarget

__all__ = ["TargetRequest"]

MS_PER_S = 1000
BUFFERED_BODY = MAX_DIGESTED_BODY
"""Maximum length in bytes of a request body that is received completely before it is sent."""
BUFFERED_RESPONSE = 65_536
"""Maximum length in bytes of a response that is forwarded only once it is complete."""
RESEND_MARGIN_S = 1.0
"""Seconds after its deadline for which a request may still be sent again, as the deadline is
computed anew from the time of arrival of each send."""
BAD_GATEWAY, UNAVAILABLE, GATEWAY_TIMEOUT = 502, 503, 504
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which callers conclude that a request has not run."""


class TargetRequest:
    """Handles one request for the local target."""

    def __init__(
        self,
        local_target: LocalTarget,
        head: RequestHead,
        ended: bool,
        body: bytes,
        reply: ReplySink,
    ) -> None:
        self._local_target = local_target
        self._head = head
        self._reply = reply
        self._arrived = boot_time()
        self._deadline = self._arrived + head.deadline_ms / MS_PER_S
        self._body = [body] if body else []
        self._sent_body = b""
        """The body as sent, if it was complete before; kept to compute the content digest."""
        self._body_ended = ended
        self._streaming = False
        self._body_paused = False
        self._uncredited = 0
        self._ticket: SlotTicket | None = None
        self._connection: ServerConnection | None = None
        self._sent = False
        self._sent_at = 0.0
        self._response_started = False
        self._done = False
        self._buffered_head: ResponseHead | None = None
        self._buffered_body: list[bytes] = []
        self._facts: ResponseFacts | None = None
        """Parsed headers of the current response, set by accepts()."""
        self._rejection_reason: Reason | None = None
        """Why the current response will not be forwarded; None if it will be."""
        self._timer: Any = None
        self._wait_timer: Any = None

    # -- properties -------------------------------------------------------------

    @property
    def head(self) -> RequestHead:
        """Head of the request."""
        return self._head

    @property
    def position(self) -> int:
        """Position of its key in the key space."""
        return self._head.position

    @cached_property
    def content(self) -> str:
        """Digest of what the request asks for, the same for every request id."""
        head = self._head
        content_identity = self._local_target.content_identity(head.headers)
        body = self._sent_body or b"".join(self._body)
        return content_digest(head.method, head.path, content_identity, head.body_length, body)

    @property
    def needs_link(self) -> bool:
        """Whether a long response will have to cross the instance's link."""
        return self._head.request_class is RequestClass.EXPORT and self._reply.is_remote

    @property
    def is_last_target(self) -> bool:
        """Whether this is the last target from which the requester will request a slot."""
        return self._head.last_target

    @property
    def done(self) -> bool:
        """Whether it was answered or abandoned."""
        return self._done

    # -- admission ------------------------------------------------------------------

    def begin(self) -> None:
        """Admit the request, once a short body is complete."""
        self._timer = self._local_target.call_later(
            max(0.0, self._deadline - boot_time()), self._deadline_passed
        )
        if self._body_ended or not 0 <= self._head.body_length <= BUFFERED_BODY:
            self.admit()

    def admit(self) -> None:
        """Check whether the target may run the request now, then request a slot."""
        if self._done:
            return
        rejection = self._local_target.rejection(self._head)
        if rejection is Reason.NOT_READY and self._park():
            return
        if rejection is not None:
            self._refuse(rejection, retry_after_s=self._local_target.retry_delay_s(rejection))
            return
        self._cancel_wait()
        if self._ticket is not None:
            self.start()
            return
        ticket = SlotTicket(
            rank=self._head.rank,
            deadline=self._deadline,
            objective=self._arrived + self._head.objective_ms / MS_PER_S,
            arrived=self._arrived,
            route=self._head.route,
            idle_only=self._head.idle_only,
            key=self._head.position if self._head.key else None,
        )
        offered = self._local_target.slots.offer(self, ticket)
        if isinstance(offered, Refused):
            self._refuse(
                Reason.OVERLOADED, detail=offered.detail, retry_after_s=offered.retry_after_s
            )
            return
        self._ticket = ticket
        if offered:
            self.start()
        else:
            self._wait_timer = self._local_target.call_later(
                self._local_target.slots.max_wait_s(ticket), self._queue_wait_expired
            )

    def _park(self) -> bool:
        """Wait for the key; return False if it will not be granted in time."""
        max_wait_s = self._local_target.park(self, self._deadline - boot_time())
        if max_wait_s <= 0.0:
            return False
        if self._wait_timer is None:
            self._wait_timer = self._local_target.call_later(max_wait_s, self._key_wait_expired)
        return True

    def _key_wait_expired(self) -> None:
        """Refuse the request: the former owner takes longer than a caller should wait."""
        self._wait_timer = None
        if not self._done and self._ticket is None:
            self._refuse(
                Reason.NOT_READY, retry_after_s=self._local_target.retry_delay_s(Reason.NOT_READY)
            )

    def _queue_wait_expired(self) -> None:
        """Refuse the request while a retry can be in time: the queue is slower than estimated."""
        self._wait_timer = None
        if not self._done and self._ticket is not None and self._ticket.waiting:
            slots = self._local_target.slots
            self._refuse(
                Reason.OVERLOADED,
                detail=slots.rate.reason(boot_time()),
                retry_after_s=slots.retry_after_s(self._ticket),
            )

    def start(self) -> None:
        """Use the granted slot: get a connection if the target may still run the request."""
        self._cancel_wait()
        rejection = self._local_target.rejection(self._head)
        if rejection is not None:
            self._release_slot()
            self._ticket = None
            self.admit()
            return
        if self._refused_by_crashes():
            return
        connection = self._local_target.client.take(self._head.request_id)
        if connection is not None:
            self._send(connection)
        else:
            self._local_target.client.connect().addCallbacks(self._send, self._no_connection)

    def _refused_by_crashes(self) -> bool:
        """Refuse the request if it is quarantined: targets crashed while they ran its content."""
        rejection = self._local_target.quarantine_rejection(self)
        if rejection is not None:
            self._refuse(
                Reason.QUARANTINED, detail=rejection.detail, retry_after_s=rejection.retry_delay_s
            )
        return rejection is not None

    def waited_too_long(self) -> None:
        """Refuse the request: it could no longer be answered before its deadline."""
        self._ticket = None
        self._refuse(Reason.DEADLINE)

    def _send(self, connection: ServerConnection) -> None:
        """Send the request to the target after a last check that it may run it."""
        if self._done:
            connection.abort()
            return
        rejection = self._local_target.rejection(self._head)
        if rejection is not None:
            connection.abort()
            self._refuse(rejection, retry_after_s=self._local_target.retry_delay_s(rejection))
            return
        if self._refused_by_crashes():
            connection.abort()
            return
        left_ms = int((self._deadline - boot_time()) * MS_PER_S)
        if left_ms <= 0:
            connection.abort()
            self._refuse(Reason.DEADLINE)
            return
        self._connection = connection
        self._sent = True
        self._sent_at = boot_time()
        if self._ticket is not None:
            self._ticket.sent = True
        self._local_target.sent(self._head, left_ms, connection)
        connection.note_carried(self._head.request_id, self._deadline + RESEND_MARGIN_S)
        headers = self._local_target.headers(self._head, left_ms)
        data = b"".join(self._body)
        self._body = []
        if self._body_ended:
            self._sent_body = data
            connection.send(self._head.method, self._head.path, headers, data, self)
        else:
            self._streaming = True
            connection.send_head(
                self._head.method, self._head.path, headers, self._head.body_length, self
            )
            connection.send_chunk(data)
        self._credit(len(data))

    def _no_connection(self, failure: Failure) -> None:
        failure.trap(ServerUnreachable)
        self._local_target.unreachable(failure.value)
        self._refuse(Reason.UNREACHABLE, detail=failure.getErrorMessage())

    # -- the requester --------------------------------------------------------------

    def response_received(self, head: ResponseHead, ended: bool, body: bytes) -> None:
        """Do nothing: this end of a stream receives no response."""

    def data_received(self, data: bytes, ended: bool) -> None:
        """Buffer or forward a chunk of the request's body."""
        if self._done:
            return
        self._body_ended = self._body_ended or ended
        if self._streaming and self._connection is not None:
            self._connection.send_chunk(data)
            self._credit(len(data))
            if ended:
                self._connection.send_end()
            return
        if data:
            self._body.append(data)
        if ended and 0 <= self._head.body_length <= BUFFERED_BODY:
            self.admit()

    def reset_received(self, code: ResetCode) -> None:
        """Cancel the request: the requester reset the stream."""
        self._finish(Outcome.UNKNOWN if self._sent else Outcome.NOT_RUN, Reason.CANCELLED)

    def connection_lost(self) -> None:
        """Cancel the request: the connection to the requester was lost."""
        self._finish(Outcome.UNKNOWN if self._sent else Outcome.NOT_RUN, Reason.CANCELLED)

    def writable(self) -> None:
        """Resume the response: the requester accepts more data."""
        if self._connection is not None and self._response_started and not self._done:
            self._connection.resume()

    def _credit(self, count: int) -> None:
        """Return flow-control credit to the requester, unless the target has paused the body."""
        self._uncredited += count
        if not self._body_paused and self._uncredited:
            count, self._uncredited = self._uncredited, 0
            self._reply.consumed(count)

    # -- the target ---------------------------------------------------------------------

    def body_paused(self) -> None:
        """Pause the body: the target accepts no more data for now."""
        self._body_paused = True

    def body_resumed(self) -> None:
        """Resume the body: the target accepts more data."""
        self._body_paused = False
        self._credit(0)

    def accepts(self, headers: bytes) -> bool:
        """Return whether a response belongs to this request, not a surplus one to another."""
        self._facts = facts = self._local_target.facts(headers)
        if facts.request_id and facts.request_id != self._head.request_id:
            if self._connection is not None:
                self._local_target.surplus_response(self._head, facts, self._connection)
            return False
        if facts.request_id and not facts.other_target:
            self._local_target.response_received(self._head.target, facts, self._sent_at)
        return True

    def response_head(self, status: int, headers: bytes, length: int) -> None:
        """Process the head of a response; an invalid response is not forwarded."""
        if self._done or self._facts is None:
            return
        self._rejection_reason = _rejection_reason(status, self._facts)
        if self._rejection_reason is not None:
            return
        head = ResponseHead(
            status,
            Outcome.SERVED,
            headers=headers,
            version=self._local_target.map_version,
            body_length=length,
            load=self._local_target.slots.load(),
            target_leaves=self._facts.leaving,
        )
        if length <= BUFFERED_RESPONSE:
            # Also with an unknown length (-1): the part that fits is buffered.
            self._buffered_head = head
            return
        self._start_response(head)

    def response_data(self, data: bytes) -> None:
        """Buffer or forward a chunk of the response's body."""
        if self._done or self._rejection_reason is not None:
            return
        if self._buffered_head is not None:
            self._buffered_body.append(data)
            if sum(map(len, self._buffered_body)) > BUFFERED_RESPONSE:
                self._stop_buffering()
            return
        if not self._reply.send_data(data) and self._connection is not None:
            self._connection.pause()

    def response_ended(self) -> None:
        """Complete the response, or reject it."""
        if self._done:
            return
        if self._rejection_reason is not None:
            self._reject_response(self._rejection_reason)
            return
        if self._buffered_head is not None:
            self._send_whole(self._buffered_head, b"".join(self._buffered_body))
        else:
            self._reply.send_data(b"", ended=True)
        if self._facts is not None:
            self._local_target.response_forwarded(self._head.target, self._facts, self._sent_at)
        self._finish(Outcome.SERVED, None)

    def exchange_failed(self, detail: str) -> None:
        """Fail the request: the connection ended or broke the protocol during the exchange."""
        if not self._done:
            self._fail_after_sent(Reason.SERVER_FAILED, detail)

    def _start_response(self, head: ResponseHead) -> None:
        """Forward the response from now on.

        One of a known length is completed even if late, any other may be without end.
        """
        if head.body_length >= 0:
            self._cancel_timer()
        self._response_started = True
        self._reply.respond(head, ended=False)

    def _stop_buffering(self) -> None:
        """Forward the buffered part of a response that exceeds the buffer limit."""
        head, self._buffered_head = self._buffered_head, None
        assert head is not None
        data, self._buffered_body = b"".join(self._buffered_body), []
        self._start_response(head)
        if not self._reply.send_data(data) and self._connection is not None:
            self._connection.pause()

    def _send_whole(self, head: ResponseHead, body: bytes) -> None:
        complete = replace(head, body_length=len(body))
        if len(body) <= MAX_INLINE_BODY:
            self._reply.respond(complete, ended=True, body=body)
        else:
            self._reply.respond(complete, ended=False)
            self._reply.send_data(body, ended=True)

    def _reject_response(self, verdict: Reason) -> None:
        """Report a complete response that cannot be forwarded to the caller."""
        if verdict is Reason.TARGET_REFUSED:
            self._sent = False
            self._refuse(verdict, retry_after_s=self._local_target.retry_delay_s(verdict))
        else:
            self._fail_after_sent(verdict)

    # -- endings ----------------------------------------------------------------------

    def _deadline_passed(self) -> None:
        self._timer = None
        if self._sent:
            self._fail_after_sent(Reason.DEADLINE, status=GATEWAY_TIMEOUT)
        else:
            self._refuse(Reason.DEADLINE)

    def _refuse(self, reason: Reason, *, detail: str = "", retry_after_s: float = 0.0) -> None:
        """Respond that the request has not run and will not run."""
        if self._done:
            return
        self._respond(
            refusal(
                Outcome.NOT_RUN,
                reason,
                status=UNAVAILABLE,
                detail=detail,
                retry_after_s=retry_after_s,
                version=self._local_target.map_version,
            )
        )
        self._finish(Outcome.NOT_RUN, reason, detail)

    def _fail_after_sent(self, reason: Reason, detail: str = "", status: int = BAD_GATEWAY) -> None:
        """Respond that the request may have run, or reset a response that was started."""
        if self._done:
            return
        if self._response_started:
            self._reply.reset(ResetCode.BROKEN)
        else:
            self._respond(refusal(Outcome.UNKNOWN, reason, status=status, detail=detail))
        self._finish(Outcome.UNKNOWN, reason, detail)

    def _respond(self, head: ResponseHead) -> None:
        """Send a response generated by this daemon, with the target's load."""
        self._reply.respond(replace(head, load=self._local_target.slots.load()), ended=True)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _cancel_wait(self) -> None:
        timer, self._wait_timer = self._wait_timer, None
        if timer is not None:
            timer.cancel()

    def _release_slot(self, *, measured: bool = False) -> None:
        if self._ticket is not None:
            self._local_target.slots.finished(self._ticket, measured=measured)
            self._ticket = None

    def _finish(self, outcome: Outcome, reason: Reason | None, detail: str = "") -> None:
        """Release the resources of the request."""
        if self._done:
            return
        self._done = True
        self._cancel_timer()
        self._cancel_wait()
        self._local_target.unpark(self)
        complete = outcome is Outcome.SERVED or (
            reason in (Reason.TARGET_REFUSED, Reason.TARGET_FAILED)
        )
        if self._connection is not None and not complete:
            self._connection.abort()
        self._connection = None
        if not self._body_ended:
            self._reply.reset(ResetCode.CANCELLED)
        self._release_slot(measured=outcome is Outcome.SERVED)
        self._local_target.ended(self, outcome, reason, detail, boot_time() - self._arrived)


def _rejection_reason(status: int, facts: ResponseFacts) -> Reason | None:
    """Return why a response cannot be forwarded, or None."""
    if not facts.request_id:
        # It may belong to another request, so that it does not show that this one has not run.
        return Reason.INVALID_RESPONSE
    if facts.not_run or (facts.other_target and status == 421):
        return Reason.TARGET_REFUSED
    if status in _NOT_RUN_STATUSES:
        # Without the header that confirms it, the request may have run despite this status.
        return Reason.TARGET_FAILED
    if facts.encoded:
        return Reason.INVALID_RESPONSE
    if 200 <= status < 300 and not facts.signed:
        return Reason.INVALID_RESPONSE
    return None
