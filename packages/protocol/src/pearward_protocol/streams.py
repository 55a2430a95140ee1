"""Multiplexing of streams over one peer connection, without I/O.

Only the side that opened the connection opens streams. Stream ids are never reused on a
connection, so that a late response cannot be attributed to another request. Each direction of
a stream has a flow-control window, which limits the bytes that the receiver has not consumed.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum

from pearward_coordination.messages import ControlMessage

from .compression import PayloadCompressor, PayloadDecompressor
from .control import decode_control, encode_control
from .errors import FrameError, StreamError
from .frames import (
    CLOSING,
    COMPRESSED,
    END,
    MAX_PAYLOAD,
    WITH_BODY,
    Frame,
    FrameDecoder,
    FrameKind,
    pack_frame,
    pack_with_body,
    split_body,
)
from .heads import (
    Hello,
    RequestHead,
    ResponseHead,
    decode_hello,
    decode_request,
    decode_response,
    encode_hello,
    encode_request,
    encode_response,
)

__all__ = [
    "MAX_INLINE_BODY",
    "ClosingReceived",
    "ControlReceived",
    "DataReceived",
    "Event",
    "HelloReceived",
    "Multiplexer",
    "RequestReceived",
    "ResetCode",
    "ResetReceived",
    "ResponseReceived",
    "StreamWritable",
]

DEFAULT_WINDOW = 128 * 1024
MAX_CHUNK = 64 * 1024
MAX_INLINE_BODY = 16 * 1024
"""Maximum length in bytes of a complete body that is sent in the frame of its head. Such a body
does not count against the window."""
_CREDIT = struct.Struct(">I")
LAST_STREAM = 2**32 - 1
_COMPRESSIBLE = frozenset({FrameKind.REQUEST, FrameKind.RESPONSE, FrameKind.CONTROL})


class ResetCode(IntEnum):
    """Why a stream was reset."""

    CANCELLED = 1
    """The requester no longer needs the response."""
    BROKEN = 2
    """The response cannot be completed."""


@dataclass(frozen=True, slots=True)
class HelloReceived:
    """The peer sent its HELLO frame."""

    hello: Hello


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """The peer opened a stream with a request."""

    stream: int
    head: RequestHead
    ended: bool
    body: bytes = b""
    """The complete body if it was sent with the head."""


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """The peer started the response."""

    stream: int
    head: ResponseHead
    ended: bool
    body: bytes = b""
    """The complete body if it was sent with the head."""


@dataclass(frozen=True, slots=True)
class DataReceived:
    """A chunk of a body arrived; call Multiplexer.consumed() after processing it."""

    stream: int
    data: bytes
    ended: bool


@dataclass(frozen=True, slots=True)
class ResetReceived:
    """The peer reset the stream."""

    stream: int
    code: ResetCode


@dataclass(frozen=True, slots=True)
class StreamWritable:
    """A stream that was blocked by its window accepts data again."""

    stream: int


@dataclass(frozen=True, slots=True)
class ControlReceived:
    """A control message arrived."""

    message: ControlMessage


@dataclass(frozen=True, slots=True)
class ClosingReceived:
    """The peer is about to close the connection and runs no further requests."""


Event = (
    HelloReceived
    | RequestReceived
    | ResponseReceived
    | DataReceived
    | ResetReceived
    | StreamWritable
    | ControlReceived
    | ClosingReceived
)


@dataclass(slots=True)
class _Stream:
    """State of one stream, in both directions."""

    send_window: int
    receive_window: int
    responded: bool = False
    """Whether the head of the response has been sent or received."""
    sent_end: bool = False
    received_end: bool = False
    backlog: bytes = b""
    """Data passed to send_data() that exceeds the peer's window and is not sent yet."""
    end_after_backlog: bool = False
    uncredited: int = 0
    """Bytes consumed but not yet credited to the peer's window."""


class Multiplexer:
    """One end of a peer connection."""

    def __init__(
        self, *, opener: bool, window: int = DEFAULT_WINDOW, compresses: bool = False
    ) -> None:
        """Compress heads and control messages, and read compressed ones, if *compresses*."""
        self._opener = opener
        self._window = window
        self._compresses = compresses
        self._compressor: PayloadCompressor | None = None
        """Set when the peer's HELLO states that it reads compressed payloads."""
        self._decompressor: PayloadDecompressor | None = None
        """Set with the first compressed payload."""
        self._decoder = FrameDecoder()
        self._streams: dict[int, _Stream] = {}
        self._last_stream = 0
        self._hello_received = False
        self._output: list[bytes] = []
        self._closed: list[int] = []

    @property
    def open_streams(self) -> int:
        """Number of streams that have not ended in both directions."""
        return len(self._streams)

    @property
    def exhausted(self) -> bool:
        """Whether all stream ids of this connection are used up, so that a new one is needed."""
        return self._last_stream >= LAST_STREAM

    def take_output(self) -> list[bytes]:
        """Return and clear the list of frames to write."""
        output, self._output = self._output, []
        return output

    def take_closed(self) -> list[int]:
        """Return the streams that have ended in both directions since the last call."""
        closed, self._closed = self._closed, []
        return closed

    # -- sending ------------------------------------------------------------

    def send_hello(self, hello: Hello) -> None:
        """Send the HELLO frame, which must be the first frame."""
        hello = replace(hello, reads_compressed=self._compresses)
        self._output.append(pack_frame(FrameKind.HELLO, 0, encode_hello(hello)))

    def send_control(self, message: ControlMessage) -> None:
        """Send a control message."""
        payload, flags = self._compressed(encode_control(message))
        self._output.append(pack_frame(FrameKind.CONTROL, 0, payload, flags))

    def send_ping(self) -> None:
        """Send a liveness check, to which the peer replies."""
        self._output.append(pack_frame(FrameKind.PING, 0))

    def send_closing(self) -> None:
        """Tell the peer that this side is about to close the connection."""
        self._output.append(pack_frame(FrameKind.PING, 0, b"", CLOSING))

    def open_stream(self, head: RequestHead, *, ended: bool, body: bytes = b"") -> int:
        """Open a stream and return its id.

        *ended* means that no data follows. Only then may a *body* of up to MAX_INLINE_BODY bytes be
        given, which is sent with the head. Raises StreamError.
        """
        if not self._opener or self.exhausted:
            raise StreamError("this side cannot open a stream")
        self._last_stream += 1
        stream = self._last_stream
        self._streams[stream] = _Stream(self._window, self._window, sent_end=ended)
        self._append_head(FrameKind.REQUEST, stream, encode_request(head), ended, body)
        return stream

    def respond(self, stream: int, head: ResponseHead, *, ended: bool, body: bytes = b"") -> None:
        """Start the response on *stream*; *ended* and *body* are as in open_stream()."""
        state = self._state(stream)
        if self._opener or state.responded:
            raise StreamError(f"stream {stream}: response started already or not allowed")
        state.responded = True
        state.sent_end = ended
        self._append_head(FrameKind.RESPONSE, stream, encode_response(head), ended, body)
        self._close_if_done(stream, state)

    def send_data(self, stream: int, data: bytes, *, ended: bool = False) -> bool:
        """Send a chunk of a body; return whether the sender may continue immediately.

        Data beyond the window is buffered and sent later. The method then returns False, and
        the sender should wait for StreamWritable.
        """
        state = self._state(stream)
        if state.sent_end or state.end_after_backlog:
            raise StreamError(f"stream {stream}: data after the end")
        state.backlog = state.backlog + data if state.backlog else data
        state.end_after_backlog = ended
        self._flush(stream, state)
        return not state.backlog

    def consumed(self, stream: int, count: int) -> None:
        """Credit *count* consumed bytes to the peer's window.

        The credit is accumulated and sent in a WINDOW frame once it reaches half the window.
        """
        state = self._streams.get(stream)
        if state is None or state.received_end:
            return
        state.uncredited += count
        if state.uncredited * 2 >= self._window:
            state.receive_window += state.uncredited
            credit = _CREDIT.pack(state.uncredited)
            state.uncredited = 0
            self._output.append(pack_frame(FrameKind.WINDOW, stream, credit))

    def reset(self, stream: int, code: ResetCode) -> None:
        """Reset a stream; do nothing if it has ended."""
        if self._streams.pop(stream, None) is not None:
            self._output.append(pack_frame(FrameKind.RESET, stream, b"", int(code)))

    def _append_head(
        self, kind: FrameKind, stream: int, head: bytes, ended: bool, body: bytes
    ) -> None:
        if body and (not ended or len(body) > MAX_INLINE_BODY):
            raise StreamError(
                f"body of {len(body)} bytes: only a complete body of up to "
                f"{MAX_INLINE_BODY} bytes may be sent with its head"
            )
        payload, flags = self._compressed(head)
        if ended:
            flags |= END
        if body:
            flags |= WITH_BODY
            payload = pack_with_body(payload, body)
        self._output.append(pack_frame(kind, stream, payload, flags))

    def _compressed(self, payload: bytes) -> tuple[bytes, int]:
        """Return a payload as it is sent to this peer, and the flags of its frame.

        Raises FrameError for a payload that the peer would refuse once it is decompressed.
        """
        if self._compressor is None:
            return payload, 0
        if len(payload) > MAX_PAYLOAD:
            raise FrameError(f"payload of {len(payload)} bytes is over {MAX_PAYLOAD}")
        return self._compressor.compress(payload), COMPRESSED

    def _flush(self, stream: int, state: _Stream) -> None:
        """Send as much of the backlog as the window allows."""
        while state.backlog and state.send_window > 0:
            size = min(len(state.backlog), state.send_window, MAX_CHUNK)
            chunk = state.backlog[:size]
            state.backlog = state.backlog[size:]
            state.send_window -= size
            last = state.end_after_backlog and not state.backlog
            self._output.append(pack_frame(FrameKind.DATA, stream, chunk, END if last else 0))
            state.sent_end = last
        if state.end_after_backlog and not state.backlog and not state.sent_end:
            state.sent_end = True
            self._output.append(pack_frame(FrameKind.DATA, stream, b"", END))
        self._close_if_done(stream, state)

    def _state(self, stream: int) -> _Stream:
        state = self._streams.get(stream)
        if state is None:
            raise StreamError(f"stream {stream} is not open")
        return state

    def _close_if_done(self, stream: int, state: _Stream) -> None:
        """Remove a stream that has ended in both directions."""
        if state.sent_end and state.received_end and stream in self._streams:
            del self._streams[stream]
            self._closed.append(stream)

    # -- receiving ----------------------------------------------------------

    def receive(self, data: bytes) -> Iterator[Event]:
        """Yield the events for received *data*; raises FrameError if it is invalid."""
        for frame in self._decoder.feed(data):
            if frame.flags & COMPRESSED and frame.kind in _COMPRESSIBLE:
                frame = self._decompressed(frame)
            event = self._on_frame(frame)
            if event is not None:
                yield event

    def _decompressed(self, frame: Frame) -> Frame:
        """Return a frame with its original payload.

        Frames of ended streams are decompressed too, as later payloads refer to theirs.
        """
        if not self._compresses:
            raise FrameError(f"{frame.kind.name} is compressed, which was not negotiated")
        if self._decompressor is None:
            self._decompressor = PayloadDecompressor()
        flags = frame.flags & ~COMPRESSED
        if not flags & WITH_BODY:
            return replace(frame, flags=flags, payload=self._decompressor.decompress(frame.payload))
        head, body = split_body(frame.payload)
        payload = pack_with_body(self._decompressor.decompress(head), body)
        return replace(frame, flags=flags, payload=payload)

    def _on_frame(self, frame: Frame) -> Event | None:
        match frame.kind:
            case FrameKind.DATA:
                return self._on_data(frame)
            case FrameKind.REQUEST:
                return self._on_request(frame)
            case FrameKind.RESPONSE:
                return self._on_response(frame)
            case FrameKind.WINDOW:
                return self._on_window(frame)
            case FrameKind.RESET:
                return self._on_reset(frame)
            case FrameKind.CONTROL:
                return ControlReceived(decode_control(frame.payload))
            case FrameKind.PING:
                if frame.flags & CLOSING:
                    return ClosingReceived()
                if not frame.flags & END:
                    self._output.append(pack_frame(FrameKind.PING, 0, b"", END))
                return None
            case FrameKind.HELLO:
                return self._on_hello(frame)

    def _on_hello(self, frame: Frame) -> Event:
        if self._hello_received:
            raise FrameError("more than one HELLO frame")
        self._hello_received = True
        hello = decode_hello(frame.payload)
        if self._compresses and hello.reads_compressed:
            self._compressor = PayloadCompressor()
        return HelloReceived(hello)

    def _on_request(self, frame: Frame) -> Event:
        if self._opener or frame.stream <= self._last_stream:
            raise FrameError(f"stream id {frame.stream} is not new")
        self._last_stream = frame.stream
        ended = bool(frame.flags & END)
        self._streams[frame.stream] = _Stream(self._window, self._window, received_end=ended)
        head, body = _head_and_body(frame)
        return RequestReceived(frame.stream, decode_request(head), ended, body)

    def _on_response(self, frame: Frame) -> Event | None:
        state = self._streams.get(frame.stream)
        if state is None:
            self._check_was_open(frame)
            return None
        if not self._opener or state.responded:
            raise FrameError(f"stream {frame.stream}: unexpected response")
        state.responded = True
        ended = bool(frame.flags & END)
        state.received_end = ended
        self._close_if_done(frame.stream, state)
        head, body = _head_and_body(frame)
        return ResponseReceived(frame.stream, decode_response(head), ended, body)

    def _on_data(self, frame: Frame) -> Event | None:
        state = self._streams.get(frame.stream)
        if state is None:
            self._check_was_open(frame)
            return None
        if state.received_end or (self._opener and not state.responded):
            raise FrameError(f"stream {frame.stream}: unexpected data")
        state.receive_window -= len(frame.payload)
        if state.receive_window < 0:
            raise FrameError(f"stream {frame.stream}: more data than the window allows")
        ended = bool(frame.flags & END)
        state.received_end = ended
        self._close_if_done(frame.stream, state)
        return DataReceived(frame.stream, frame.payload, ended)

    def _on_window(self, frame: Frame) -> Event | None:
        state = self._streams.get(frame.stream)
        if state is None:
            self._check_was_open(frame)
            return None
        try:
            (credit,) = _CREDIT.unpack(frame.payload)
        except struct.error as error:
            raise FrameError(f"window: {error}") from error
        was_blocked = bool(state.backlog)
        state.send_window += credit
        self._flush(frame.stream, state)
        if was_blocked and not state.backlog and frame.stream in self._streams:
            return StreamWritable(frame.stream)
        return None

    def _on_reset(self, frame: Frame) -> Event | None:
        if self._streams.pop(frame.stream, None) is None:
            self._check_was_open(frame)
            return None
        try:
            code = ResetCode(frame.flags)
        except ValueError as error:
            raise FrameError(str(error)) from error
        return ResetReceived(frame.stream, code)

    def _check_was_open(self, frame: Frame) -> None:
        """Raise FrameError if the frame's stream was never opened.

        Frames of streams that have ended are ignored, as they may have been in transit.
        """
        if frame.stream > self._last_stream or frame.stream == 0:
            raise FrameError(f"{frame.kind.name} on stream {frame.stream}, which was never opened")


def _head_and_body(frame: Frame) -> tuple[bytes, bytes]:
    """Return the head in a frame, and the body if the frame has one; raises FrameError."""
    if not frame.flags & WITH_BODY:
        return frame.payload, b""
    if not frame.flags & END:
        raise FrameError(f"stream {frame.stream}: head with a body lacks the END flag")
    return split_body(frame.payload)
