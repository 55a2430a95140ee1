"""The requester's end of an attempt: at a peer's server, or at the local server."""

from typing import Protocol

from pearward_protocol.heads import RequestHead, ResponseHead
from pearward_protocol.streams import ResetCode
from pearward_state.outcome import Outcome, Reason
from pearward_transport.peer_connection import InboundHandler, PeerConnection

from .exchange import AttemptListener, ReplySink

__all__ = ["LocalAttempt", "LocalOwner", "RemoteAttempt"]


class LocalOwner(Protocol):
    """Interface that takes requests for the local server."""

    def take(self, head: RequestHead, ended: bool, body: bytes, reply: ReplySink) -> InboundHandler:
        """Return the handler of a request; begin() starts it."""


class RemoteAttempt:
    """An attempt at a peer's server: the requester's end of a stream."""

    def __init__(self, connection: PeerConnection, listener: AttemptListener) -> None:
        self._connection = connection
        self._listener: AttemptListener | None = listener
        self._stream = 0

    def open(self, head: RequestHead, *, ended: bool, body: bytes = b"") -> None:
        """Send the head, with the body if that is complete and short."""
        self._stream = self._connection.open_stream(head, self, ended=ended, body=body)

    # to the owner

    def send_data(self, data: bytes, *, ended: bool = False) -> bool:
        """Send a chunk of the body."""
        return self._connection.send_data(self._stream, data, ended=ended)

    def consumed(self, count: int) -> None:
        """Allow the owner to send *count* bytes more of the response."""
        self._connection.consumed(self._stream, count)

    def cancel(self) -> None:
        """Reset the stream."""
        self._listener = None
        self._connection.reset(self._stream, ResetCode.CANCELLED)

    def detach(self) -> None:
        """Stop listening, since the attempt is complete."""
        self._listener = None

    # from the owner

    def response_received(self, head: ResponseHead, ended: bool, body: bytes) -> None:
        """Forward the head of the response to the listener."""
        if self._listener is not None:
            self._listener.response_head(head, ended, body)

    def data_received(self, data: bytes, ended: bool) -> None:
        """Forward a chunk of the response to the listener."""
        if self._listener is not None:
            self._listener.response_data(data, ended)

    def writable(self) -> None:
        """Notify the listener that more of the body may be sent."""
        if self._listener is not None:
            self._listener.attempt_writable()

    def reset_received(self, code: ResetCode) -> None:
        """Fail the attempt, since the owner reset the stream."""
        self._fail(Reason.SERVER_FAILED, "the owner broke the answer off")

    def connection_lost(self) -> None:
        """Fail the attempt, since the connection to the owner's daemon was lost."""
        self._fail(Reason.CONNECTION_LOST, "connection to the owner's daemon lost")

    def _fail(self, reason: Reason, detail: str) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.attempt_failed(Outcome.UNKNOWN, reason, detail)


class LocalAttempt:
    """An attempt at the local server."""

    def __init__(self, listener: AttemptListener, window: int) -> None:
        self._listener: AttemptListener | None = listener
        self._window = window
        self._request: InboundHandler | None = None
        self._body_pending = 0
        self._response_pending = 0

    def open(self, owner: LocalOwner, head: RequestHead, *, ended: bool, body: bytes = b"") -> None:
        """Pass the request to the owner's side of this daemon."""
        request = self._request = owner.take(head, ended, body, _LocalReply(self))
        request.begin()

    def send_data(self, data: bytes, *, ended: bool = False) -> bool:
        """Send a chunk of the body."""
        self._body_pending += len(data)
        if self._request is not None:
            self._request.data_received(data, ended)
        return self._body_pending < self._window

    def consumed(self, count: int) -> None:
        """Allow the owner to send *count* bytes more of the response."""
        was_full = self._response_pending >= self._window
        self._response_pending -= count
        if was_full and self._response_pending < self._window and self._request is not None:
            self._request.writable()

    def cancel(self) -> None:
        """Cancel the request."""
        self._listener = None
        if self._request is not None:
            self._request.reset_received(ResetCode.CANCELLED)

    def detach(self) -> None:
        """Stop listening, and drop the reference to the owner's end."""
        self._listener = None
        self._request = None

    # -- called by the reply --------------------------------------------------

    def response_started(self, head: ResponseHead, ended: bool, body: bytes) -> None:
        """Forward the head of the response to the listener."""
        if self._listener is not None:
            self._listener.response_head(head, ended, body)

    def response_chunk(self, data: bytes, ended: bool) -> bool:
        """Forward a chunk to the listener; return whether more may follow at once."""
        self._response_pending += len(data)
        if self._listener is not None:
            self._listener.response_data(data, ended)
        return self._response_pending < self._window

    def body_consumed(self, count: int) -> None:
        """Note that the server has received *count* bytes of the body."""
        was_full = self._body_pending >= self._window
        self._body_pending -= count
        if was_full and self._body_pending < self._window and self._listener is not None:
            self._listener.attempt_writable()

    def response_reset(self, code: ResetCode) -> None:
        """Fail the attempt if the owner's side ended the response early."""
        listener, self._listener = self._listener, None
        if listener is not None and code is ResetCode.BROKEN:
            listener.attempt_failed(
                Outcome.UNKNOWN, Reason.SERVER_FAILED, "the server broke the answer off"
            )


class _LocalReply:
    """Passes responses of the owner's side to an attempt in the same daemon."""

    def __init__(self, attempt: LocalAttempt) -> None:
        self._attempt = attempt

    @property
    def is_remote(self) -> bool:
        """Return False: the requester is on this instance."""
        return False

    def respond(self, head: ResponseHead, *, ended: bool, body: bytes = b"") -> None:
        """Send the head of the response, or the whole of a short one."""
        self._attempt.response_started(head, ended, body)

    def send_data(self, data: bytes, *, ended: bool = False) -> bool:
        """Send a chunk; return whether more may follow at once."""
        return self._attempt.response_chunk(data, ended)

    def consumed(self, count: int) -> None:
        """Allow the requester to send *count* bytes more of its body."""
        self._attempt.body_consumed(count)

    def reset(self, code: ResetCode) -> None:
        """Reset the response."""
        self._attempt.response_reset(code)
