"""Long answers to other daemons, handed over in turns as fast as the own link takes them.

A stream stands between a peer's connection and a request at the target: towards the request
it is where the answer goes, towards the connection it is the owner's end of a stream. Short
answers pass at once; a long one is kept here, head included, until its turn comes, so that
the target's slot is free as soon as the target has sent it.
"""

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
"""Bytes of one answer that are kept here; the target is read no further beyond that. The
largest answers seen on the users' sites have half of it."""
MIN_WAIT_S = 0.001


class LinkPacer:
    """Gives the streams of one daemon their turns on the instance's link."""

    def __init__(self, reactor: Any, queue: LinkQueue) -> None:
        self._reactor = reactor
        self._queue = queue
        self._streams: dict[LinkTicket, PacedStream] = {}
        self._timer: Any = None

    @property
    def waiting(self) -> int:
        """Long answers that are not handed over whole."""
        return len(self._streams)

    @property
    def chunk(self) -> int:
        """Bytes that are handed over in one turn."""
        return self._queue.chunk

    def join(
        self, stream: "PacedStream", objective: float, size: int, deadline: float
    ) -> LinkTicket:
        """Let a stream's answer of *size* bytes wait for its turns."""
        ticket = self._queue.join(objective, size, boot_time(), deadline=deadline)
        self._streams[ticket] = stream
        return ticket

    def leave(self, ticket: LinkTicket) -> None:
        """A stream needs no more turns."""
        self._queue.leave(ticket)
        self._streams.pop(ticket, None)

    def send_chunks(self) -> None:
        """Let answers go out until the link has enough for the moment."""
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
    """One request of a peer and its answer."""

    def __init__(
        self,
        connection: PeerConnection,
        stream: int,
        pacer: LinkPacer,
        objective: float,
        take: "Callable[[PacedStream], InboundHandler]",
        *,
        deadline: float,
    ) -> None:
        super().__init__(connection, stream)
        self._pacer = pacer
        self._objective = objective
        self._deadline = deadline
        self._ticket: LinkTicket | None = None
        self._head: ResponseHead | None = None
        """Head of a long answer that has not had its first turn."""
        self._buffer = bytearray()
        self._target_paused = False
        self._deferred_reset: ResetCode | None = None
        """Reset that follows the answer: the target did not want the rest of the request."""
        self._request = take(self)

    # -- the answer, from the request -------------------------------------------

    def respond(self, head: ResponseHead, *, ended: bool, body: bytes = b"") -> None:
        """Send the whole of a short answer, or keep the head of a long one."""
        if ended:
            super().respond(head, ended=True, body=body)
            return
        self._head = head
        self._ticket = self._pacer.join(
            self, self._objective, max(0, head.body_length), self._deadline
        )

    def send_data(self, data: bytes, *, ended: bool = False) -> bool:
        """Keep a chunk until its turn; return whether more may follow at once."""
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
        """Break the answer off; one that is whole here is still sent."""
        if self._ticket is not None and self._ticket.ended:
            self._deferred_reset = code
            return
        self._leave()
        super().reset(code)

    def send_chunk(self) -> None:
        """Hand the next chunk over to the connection."""
        ticket = self._ticket
        assert ticket is not None
        if self._head is not None:
            head, self._head = self._head, None
            super().respond(head, ended=False)
        chunk = bytes(self._buffer[: self._pacer.chunk])
        del self._buffer[: len(chunk)]
        ticket.unsent = len(self._buffer)
        ticket.remaining -= len(chunk)
        ticket.begun = True
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
        """Start: the stream can be answered from now on."""
        self._request.begin()

    def response_received(self, head: ResponseHead, ended: bool, body: bytes) -> None:
        """Never happens at this end of a stream."""

    def data_received(self, data: bytes, ended: bool) -> None:
        """Pass a chunk of the request's body on."""
        self._request.data_received(data, ended)

    def writable(self) -> None:
        """The receiver takes more."""
        if self._ticket is not None:
            self._ticket.blocked = False
            self._pacer.send_chunks()

    def reset_received(self, code: ResetCode) -> None:
        """The requester gave up."""
        self._leave()
        self._request.reset_received(code)

    def connection_lost(self) -> None:
        """Nobody is left to answer to."""
        self._leave()
        self._request.connection_lost()
