"""The two ends of one attempt, whether the server is here or beside another daemon."""

from typing import Protocol

from pearward_protocol.heads import ResponseHead
from pearward_protocol.streams import ResetCode
from pearward_state.outcome import Outcome, Reason
from pearward_transport.peer_connection import PeerConnection

__all__ = ["AttemptListener", "AttemptStream", "PeerReply", "ReplySink", "refusal"]


class ReplySink(Protocol):
    """Where the owner's side sends an answer."""

    @property
    def passes_link(self) -> bool:
        """Whether the answer leaves this instance for another one."""

    def respond(self, head: ResponseHead, *, ended: bool, body: bytes = b"") -> None:
        """Send the head of the answer, or the whole of a short one."""

    def send_data(self, data: bytes, *, ended: bool = False) -> bool:
        """Send a chunk; return whether more may follow at once."""

    def consumed(self, count: int) -> None:
        """Let the requester send *count* bytes more of its body."""

    def reset(self, code: ResetCode) -> None:
        """Break the answer off."""


class AttemptStream(Protocol):
    """What the requester's side can do with an attempt under way."""

    def send_data(self, data: bytes, *, ended: bool = False) -> bool:
        """Send a chunk of the body; return whether more may follow at once."""

    def consumed(self, count: int) -> None:
        """Let *count* bytes more of the answer come."""

    def cancel(self) -> None:
        """Give the attempt up; nothing more is told about it."""

    def detach(self) -> None:
        """Expect nothing more: the attempt has been answered."""


class AttemptListener(Protocol):
    """What the requester's side is told of an attempt."""

    def answer_head(self, head: ResponseHead, ended: bool, body: bytes) -> None:
        """The answer begins, or is whole with *body*."""

    def answer_data(self, data: bytes, ended: bool) -> None:
        """A chunk of the answer."""

    def attempt_failed(self, outcome: Outcome, reason: Reason, detail: str) -> None:
        """The attempt ended without an answer, or in the middle of one."""

    def attempt_writable(self) -> None:
        """More of the body may be sent."""


class PeerReply:
    """Answers over a stream that a peer opened."""

    def __init__(self, connection: PeerConnection, stream: int) -> None:
        self._connection = connection
        self._stream = stream

    @property
    def passes_link(self) -> bool:
        """Another daemon is on another instance."""
        return True

    def respond(self, head: ResponseHead, *, ended: bool, body: bytes = b"") -> None:
        """Send the head of the answer, or the whole of a short one."""
        self._connection.respond(self._stream, head, ended=ended, body=body)

    def send_data(self, data: bytes, *, ended: bool = False) -> bool:
        """Send a chunk; return whether more may follow at once."""
        return self._connection.send_data(self._stream, data, ended=ended)

    def consumed(self, count: int) -> None:
        """Let the requester send more."""
        self._connection.consumed(self._stream, count)

    def reset(self, code: ResetCode) -> None:
        """Break the answer off."""
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
    """Return the head of an answer that a daemon makes itself."""
    return ResponseHead(
        status=status,
        outcome=outcome,
        reason=reason,
        retry_after_ms=int(retry_after_s * 1000),
        version=version,
        detail=detail,
        body_length=0,
    )
