"""Pacing of long responses to other daemons at the rate of the instance's link.

A PacedStream connects a peer's connection and a request at the target: it is the reply sink of
the request and the handler of the connection's stream. Short responses are sent at once. A long
response is buffered, head included, until the link queue selects it, so that the target's slot
is free as soon as the target has sent the response.
"""

import math
from collections.abc import Callable
from typing import Any

from pearward_coordination.link_queue import LinkQueue, LinkTicket
from pearward_protocol.heads import ResponseHead
from pearward_protocol.streams import ResetCode
from pearward_transport.clock import boot_time
from pearward_transport.peer_connection import InboundHandler, PeerConnection

from ..exchange import PeerReply

__all__ = ["LinkPacer", "PacedStream"]

MAX_BUFFERED_BYTES = 1024 * 1024
"""Buffered bytes of one response from which reading from the target pauses. The largest
responses seen on the users' sites have half of this size."""
MIN_WAIT_S = 0.001


class LinkPacer:
    """Schedules the chunks of a daemon's streams on the instance's link."""

    def __init__(self, reactor: Any, queue: LinkQueue) -> None:
        self._reactor = reactor
        self._queue = queue
        self._streams: dict[LinkTicket, PacedStream] = {}
        self._timer: Any = None

    @property
    def waiting(self) -> int:
        """Number of long responses that were not yet passed to their connections whole."""
        return len(self._streams)

    @property
    def chunk(self) -> int:
        """Maximum bytes of one chunk."""
        return self._queue.chunk

    def can_carry(self, size: int, seconds: float) -> bool:
        """Return whether the link alone could carry *size* bytes within a time."""
        return self._queue.can_carry(size, seconds)

    def join(
        self, stream: "PacedStream", objective: float, size: int, deadline: float
    ) -> LinkTicket:
        """Queue a stream's response of *size* bytes for the link."""
        ticket = self._queue.join(objective, size, boot_time(), deadline=deadline)
        self._streams[ticket] = stream
        return ticket

    def leave(self, ticket: LinkTicket) -> None:
        """Remove a stream from the queue."""
        self._queue.leave(ticket)
        self._streams.pop(ticket, None)

    def send_chunks(self) -> None:
        """Send chunks until the link is saturated, and schedule the next check."""
        while (ticket := self._queue.next(boot_time())) is not None:
            self._streams[ticket].send_chunk()
        if self._streams and self._timer is None:
            wait_s = max(MIN_WAIT_S, self._queue.free_in_s(boot_time()))
            if any(ticket.sendable for ticket in self._streams):
                self._timer = self._reactor.callLater(wait_s, self._link_available)

    def _link_available(self) -> None:
        self._timer = None
        self.send_chunks()


class PacedStream(PeerReply):
    """One request of a peer and its response."""

    def __init__(
        self,
        connection: PeerConnection,
        stream: int,
        pacer: LinkPacer,
        objective: float,
        accept_request: "Callable[[PacedStream], InboundHandler]",
        *,
        deadline: float,
    ) -> None:
        super().__init__(connection, stream)
        self._pacer = pacer
        self._objective = objective
        self._deadline = deadline
        self._allowed_s = deadline - boot_time()
        self._ticket: LinkTicket | None = None
        self._head: ResponseHead | None = None
        """Head of a long response before its first chunk was sent."""
        self._buffer = bytearray()
        self._target_paused = False
        self._deferred_reset: ResetCode | None = None
        """Reset that is sent after the response, as the target did not read the whole request."""
        self._request = accept_request(self)

    # -- the response, from the request -----------------------------------------

    def respond(self, head: ResponseHead, *, ended: bool, body: bytes = b"") -> None:
        """Send a short response whole, or buffer the head of a long one."""
        if ended:
            super().respond(head, ended=True, body=body)
            return
        self._head = head
        size = max(0, head.body_length)
        # One that is too long for the link in any case is delivered late.
        deadline = self._deadline if self._pacer.can_carry(size, self._allowed_s) else math.inf
        self._ticket = self._pacer.join(self, self._objective, size, deadline)

    def send_data(self, data: bytes, *, ended: bool = False) -> bool:
        """Buffer a chunk for the link; return whether more may follow at once."""
        ticket = self._ticket
        if ticket is None:
            return True
        self._buffer += data
        ticket.unsent = len(self._buffer)
        ticket.remaining = max(ticket.remaining, ticket.unsent)
        if ended:
            ticket.remaining = ticket.unsent
            ticket.ended = True
        self._pacer.send_chunks()
        self._target_paused = len(self._buffer) >= MAX_BUFFERED_BYTES
        return not self._target_paused

    def reset(self, code: ResetCode) -> None:
        """Reset the stream; a response that is completely buffered is still sent before."""
        if self._ticket is not None and self._ticket.ended:
            self._deferred_reset = code
            return
        self._leave()
        super().reset(code)

    def send_chunk(self) -> None:
        """Pass the next chunk to the connection."""
        ticket = self._ticket
        assert ticket is not None
        if self._head is not None:
            head, self._head = self._head, None
            super().respond(head, ended=False)
        chunk = bytes(self._buffer[: self._pacer.chunk])
        del self._buffer[: len(chunk)]
        ticket.unsent = len(self._buffer)
        ticket.remaining -= len(chunk)
        ticket.started = True
        last = ticket.ended and not self._buffer
        ticket.blocked = not super().send_data(chunk, ended=last)
        if last:
            self._leave()
            if self._deferred_reset is not None:
                super().reset(self._deferred_reset)
        elif self._target_paused and len(self._buffer) < MAX_BUFFERED_BYTES:
            self._target_paused = False
            self._request.writable()

    def _leave(self) -> None:
        ticket, self._ticket = self._ticket, None
        if ticket is not None:
            self._pacer.leave(ticket)

    # -- the request, from the connection ------------------------------------------

    def begin(self) -> None:
        """Start the request, which may respond from now on."""
        self._request.begin()

    def response_received(self, head: ResponseHead, ended: bool, body: bytes) -> None:
        """Do nothing, as this end of a stream receives no response."""

    def data_received(self, data: bytes, ended: bool) -> None:
        """Forward a chunk of the request's body."""
        self._request.data_received(data, ended)

    def writable(self) -> None:
        """Send further chunks, as the receiver accepts more."""
        if self._ticket is not None:
            self._ticket.blocked = False
            self._pacer.send_chunks()

    def reset_received(self, code: ResetCode) -> None:
        """Cancel the request, as the requester has reset the stream."""
        self._leave()
        self._request.reset_received(code)

    def connection_lost(self) -> None:
        """Cancel the request, as the connection to the requester is lost."""
        self._leave()
        self._request.connection_lost()
