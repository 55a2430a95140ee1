"""Interfaces of the two ends of an attempt, at the local server or at a peer's."""

from typing import Protocol

from pearward_protocol.heads import ResponseHead
from pearward_protocol.streams import ResetCode
from pearward_state.outcome import Outcome, Reason
from pearward_transport.peer_connection import PeerConnection

__all__ = ["AttemptListener", "AttemptStream", "PeerReply", "ReplySink", "refusal"]


class ReplySink(Protocol):
    """Interface to which the owner's side sends a response."""

    @property
    def is_remote(self) -> bool:
        """Whether the response is sent to another instance."""

    def respond(self, head: ResponseHead, *, ended: bool, body: bytes = b"") -> None:
        """Send the head of the response, or the whole of a short one."""

    def send_data(self, data: bytes, *, ended: bool = False) -> bool:
        """Send a chunk; return whether more may follow at once."""

    def consumed(self, count: int) -> None:
        """Allow the requester to send *count* bytes more of its body."""

    def reset(self, code: ResetCode) -> None:
        """Reset the response."""


class AttemptStream(Protocol):
    """Interface of an attempt in progress for the requester's side."""

    def send_data(self, data: bytes, *, ended: bool = False) -> bool:
        """Send a chunk of the body; return whether more may follow at once."""

    def consumed(self, count: int) -> None:
        """Allow the owner to send *count* bytes more of the response."""

    def cancel(self) -> None:
        """Cancel the attempt; the listener is not called again."""

    def detach(self) -> None:
        """Stop listening, since the attempt is complete."""


class AttemptListener(Protocol):
    """Callbacks of an attempt to the requester's side."""

    def response_head(self, head: ResponseHead, ended: bool, body: bytes) -> None:
        """Process the head of the response; if *ended*, *body* completes it."""

    def response_data(self, data: bytes, ended: bool) -> None:
        """Process a chunk of the response."""

    def attempt_failed(self, outcome: Outcome, reason: Reason, detail: str) -> None:
        """Process a failure before the response or in the middle of it."""

    def attempt_writable(self) -> None:
        """Continue to send the body."""


class PeerReply:
    """Sends responses over a stream that a peer opened."""

    def __init__(self, connection: PeerConnection, stream: int) -> None:
        self._connection = connection
        self._stream = stream

    @property
    def is_remote(self) -> bool:
        """Return True: a peer is on another instance."""
        return True

    def respond(self, head: ResponseHead, *, ended: bool, body: bytes = b"") -> None:
        """Send the head of the response, or the whole of a short one."""
        self._connection.respond(self._stream, head, ended=ended, body=body)

    def send_data(self, data: bytes, *, ended: bool = False) -> bool:
        """Send a chunk; return whether more may follow at once."""
        return self._connection.send_data(self._stream, data, ended=ended)

    def consumed(self, count: int) -> None:
        """Allow the requester to send *count* bytes more of its body."""
        self._connection.consumed(self._stream, count)

    def reset(self, code: ResetCode) -> None:
        """Reset the response."""
        self._connection.reset(self._stream, code)


def refusal(
    outcome: Outcome,
    reason: Reason,
    *,
    status: int,
    detail: str = "",
    retry_after_s: float = 0.0,
    version: int = 0,
) -> ResponseHead:
    """Return the head of a response that the daemon itself generates."""
    return ResponseHead(
        status=status,
        outcome=outcome,
        reason=reason,
        retry_after_ms=int(retry_after_s * 1000),
        version=version,
        detail=detail,
        body_length=0,
    )
