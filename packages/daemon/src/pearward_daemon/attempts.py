"""The requester's end of an attempt: at a peer's server, or at the one beside this daemon."""

from typing import Protocol

from pearward_protocol.heads import RequestHead, ResponseHead
from pearward_protocol.streams import ResetCode
from pearward_state.outcome import Outcome, Reason
from pearward_transport.peer_connection import InboundHandler, PeerConnection

from .exchange import AttemptListener, ReplySink

__all__ = ["LocalAttempt", "LocalOwner", "RemoteAttempt"]


class LocalOwner(Protocol):
    """What takes requests for the server beside this daemon."""

    def take(self, head: RequestHead, ended: bool, body: bytes, reply: ReplySink) -> InboundHandler:
        """Take a request; begin() starts it."""


class RemoteAttempt:
    """An attempt at a peer's server: a stream, seen from the requester's end."""

    def __init__(self, connection: PeerConnection, listener: AttemptListener) -> None:
        self._connection = connection
        self._listener: AttemptListener | None = listener
        self._stream = 0

    def open(self, head: RequestHead, *, ended: bool, body: bytes = b"") -> None:
        """Send the head, with the body if that is whole and short."""
        self._stream = self._connection.open_stream(head, self, ended=ended, body=body)

    # towards the owner

    def send_data(self, data: bytes, *, ended: bool = False) -> bool:
        """Send a chunk of the body."""
        return self._connection.send_data(self._stream, data, ended=ended)

    def consumed(self, count: int) -> None:
        """Let more of the answer come."""
        self._connection.consumed(self._stream, count)

    def cancel(self) -> None:
        """Break the stream off."""
        self._listener = None
        self._connection.reset(self._stream, ResetCode.CANCELLED)

    def detach(self) -> None:
        """Expect nothing more."""
        self._listener = None

    # from the owner

    def response_received(self, head: ResponseHead, ended: bool, body: bytes) -> None:
        """Pass the head on."""
        if self._listener is not None:
            self._listener.answer_head(head, ended, body)

    def data_received(self, data: bytes, ended: bool) -> None:
        """Pass a chunk on."""
        if self._listener is not None:
            self._listener.answer_data(data, ended)

    def writable(self) -> None:
        """Pass on that more may be sent."""
        if self._listener is not None:
            self._listener.attempt_writable()

    def reset_received(self, code: ResetCode) -> None:
        """The owner broke off."""
        self._fail(Reason.SERVER_FAILED, "the owner broke the answer off")

    def connection_lost(self) -> None:
        """The connection to the owner's daemon ended."""
        self._fail(Reason.CONNECTION_LOST, "connection to the owner's daemon lost")

    def _fail(self, reason: Reason, detail: str) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.attempt_failed(Outcome.UNKNOWN, reason, detail)


class LocalAttempt:
    """An attempt at the server beside this daemon."""

    def __init__(self, listener: AttemptListener, window: int) -> None:
        self._listener: AttemptListener | None = listener
        self._window = window
        self._request: InboundHandler | None = None
        self._body_pending = 0
        self._response_pending = 0

    def open(self, owner: LocalOwner, head: RequestHead, *, ended: bool, body: bytes = b"") -> None:
        """Give the request to this daemon's own owner side."""
        request = self._request = owner.take(head, ended, body, _LocalReply(self))
        request.begin()

    def send_data(self, data: bytes, *, ended: bool = False) -> bool:
        """Send a chunk of the body."""
        self._body_pending += len(data)
        if self._request is not None:
            self._request.data_received(data, ended)
        return self._body_pending < self._window

    def consumed(self, count: int) -> None:
        """Let more of the answer come."""
        was_full = self._response_pending >= self._window
        self._response_pending -= count
        if was_full and self._response_pending < self._window and self._request is not None:
            self._request.writable()

    def cancel(self) -> None:
        """Give the request up."""
        self._listener = None
        if self._request is not None:
            self._request.reset_received(ResetCode.CANCELLED)

    def detach(self) -> None:
        """Expect nothing more; the two ends let go of each other."""
        self._listener = None
        self._request = None

    # -- called by the reply --------------------------------------------------

    def response_started(self, head: ResponseHead, ended: bool, body: bytes) -> None:
        """Pass the head on."""
        if self._listener is not None:
            self._listener.answer_head(head, ended, body)

    def response_chunk(self, data: bytes, ended: bool) -> bool:
        """Pass a chunk on; return whether more may follow at once."""
        self._response_pending += len(data)
        if self._listener is not None:
            self._listener.answer_data(data, ended)
        return self._response_pending < self._window

    def body_consumed(self, count: int) -> None:
        """The server has taken part of the body."""
        was_full = self._body_pending >= self._window
        self._body_pending -= count
        if was_full and self._body_pending < self._window and self._listener is not None:
            self._listener.attempt_writable()

    def response_reset(self, code: ResetCode) -> None:
        """The owner's side broke off."""
        listener, self._listener = self._listener, None
        if listener is not None and code is ResetCode.BROKEN:
            listener.attempt_failed(
                Outcome.UNKNOWN, Reason.SERVER_FAILED, "the server broke the answer off"
            )


class _LocalReply:
    """Where the owner's side answers to in the same daemon."""

    def __init__(self, attempt: LocalAttempt) -> None:
        self._attempt = attempt

    @property
    def passes_link(self) -> bool:
        """The requester is on this instance."""
        return False

    def respond(self, head: ResponseHead, *, ended: bool, body: bytes = b"") -> None:
        """Send the head of the answer, or the whole of a short one."""
        self._attempt.response_started(head, ended, body)

    def send_data(self, data: bytes, *, ended: bool = False) -> bool:
        """Send a chunk; return whether more may follow at once."""
        return self._attempt.response_chunk(data, ended)

    def consumed(self, count: int) -> None:
        """Let the requester send more."""
        self._attempt.body_consumed(count)

    def reset(self, code: ResetCode) -> None:
        """Break the answer off."""
        self._attempt.response_reset(code)
