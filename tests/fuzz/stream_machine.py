"""Stateful fuzzing of stream multiplexing: all data arrives once, complete, on its own stream."""

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from pearward_protocol.heads import Hello, RequestHead, ResponseHead
from pearward_protocol.streams import (
    DataReceived,
    Multiplexer,
    RequestReceived,
    ResetCode,
    ResetReceived,
    ResponseReceived,
)
from pearward_state.outcome import Outcome, RequestClass

WINDOW = 64
PICK = st.integers(0, 31)


@dataclass
class Direction:
    """The data that one end sent on a stream, and the data that the other received."""

    sent: bytes = b""
    ended: bool = False
    received: bytes = b""
    end_received: bool = False


@dataclass
class Stream:
    """The oracle's view of one stream."""

    up: Direction = field(default_factory=Direction)
    down: Direction = field(default_factory=Direction)
    opened: bool = False
    responded: bool = False
    head_received: bool = False
    reset: bool = False


def _head(name: str) -> RequestHead:
    return RequestHead(
        name, b"k", b"id", b"GET", b"/", b"", 10, RequestClass.SUBMIT, "-", True, 0, 1, "", 5, -1
    )


class StreamMachine(RuleBasedStateMachine):
    """Two ends, with data split anywhere, exhausted windows and resets that cross."""

    @initialize()
    def connect(self) -> None:
        """Send the greetings of both ends."""
        self.client = Multiplexer(opener=True, window=WINDOW)
        self.server = Multiplexer(opener=False, window=WINDOW)
        self.client.send_hello(Hello("a", "1.1.1.1:1"))
        self.server.send_hello(Hello("b", "1.1.1.1:2"))
        self.to_server = self.to_client = b""
        self.streams: dict[int, Stream] = {}

    def _collect(self) -> None:
        self.to_server += b"".join(self.client.take_output())
        self.to_client += b"".join(self.server.take_output())

    def _pick(self, pick: int, condition) -> int | None:  # type: ignore[no-untyped-def]
        matching = [i for i, s in self.streams.items() if not s.reset and condition(s)]
        return matching[pick % len(matching)] if matching else None

    @rule(body=st.binary(max_size=30), ended=st.booleans())
    def open(self, body: bytes, ended: bool) -> None:
        """Open a stream, possibly with its complete body."""
        body = body if ended else b""
        number = self.client.open_stream(_head("s"), ended=ended, body=body)
        assert number not in self.streams
        self.streams[number] = Stream(up=Direction(sent=body, ended=ended))

    @rule(pick=PICK, data=st.binary(max_size=200), ended=st.booleans())
    def send_up(self, pick: int, data: bytes, ended: bool) -> None:
        """Send part of a request's body."""
        number = self._pick(pick, lambda s: not s.up.ended)
        if number is not None:
            self.client.send_data(number, data, ended=ended)
            direction = self.streams[number].up
            direction.sent += data
            direction.ended = ended

    @rule(pick=PICK, body=st.binary(max_size=30), ended=st.booleans())
    def respond(self, pick: int, body: bytes, ended: bool) -> None:
        """Begin a response, possibly with its complete body."""
        number = self._pick(pick, lambda s: s.opened and not s.responded)
        if number is not None:
            body = body if ended else b""
            self.server.respond(number, ResponseHead(200, Outcome.SERVED), ended=ended, body=body)
            stream = self.streams[number]
            stream.responded = True
            stream.down.sent, stream.down.ended = body, ended

    @rule(pick=PICK, data=st.binary(max_size=200), ended=st.booleans())
    def send_down(self, pick: int, data: bytes, ended: bool) -> None:
        """Send part of a response's body."""
        number = self._pick(pick, lambda s: s.responded and not s.down.ended)
        if number is not None:
            self.server.send_data(number, data, ended=ended)
            direction = self.streams[number].down
            direction.sent += data
            direction.ended = ended

    @rule(pick=PICK, by_client=st.booleans())
    def reset(self, pick: int, by_client: bool) -> None:
        """Reset a stream from one end."""
        number = self._pick(pick, lambda s: s.opened)
        if number is not None:
            (self.client if by_client else self.server).reset(number, ResetCode.CANCELLED)
            self.streams[number].reset = True

    @rule(size=st.integers(1, 400), up=st.booleans())
    def carry(self, size: int, up: bool) -> None:
        """Deliver some bytes, split at any position."""
        self._collect()
        if up:
            data, self.to_server = self.to_server[:size], self.to_server[size:]
            for event in self.server.receive(data):
                self._handle_event(event, up=True)
        else:
            data, self.to_client = self.to_client[:size], self.to_client[size:]
            for event in self.client.receive(data):
                self._handle_event(event, up=False)

    def _handle_event(self, event: object, *, up: bool) -> None:
        match event:
            case RequestReceived():
                stream = self.streams[event.stream]
                assert not stream.opened
                stream.opened = True
                self._receive_data(stream.up, event.body, event.ended)
            case ResponseReceived():
                stream = self.streams[event.stream]
                assert stream.responded and not stream.head_received
                stream.head_received = True
                self._receive_data(stream.down, event.body, event.ended)
            case DataReceived():
                stream = self.streams[event.stream]
                self._receive_data(stream.up if up else stream.down, event.data, event.ended)
                mux = self.server if up else self.client
                mux.consumed(event.stream, len(event.data))
            case ResetReceived():
                assert self.streams[event.stream].reset

    def _receive_data(self, direction: Direction, data: bytes, ended: bool) -> None:
        assert not direction.end_received, "data was received after the end of the stream"
        direction.received += data
        direction.end_received = ended
        assert direction.sent.startswith(direction.received), (
            "the data received is not a prefix of the data sent on this stream"
        )
        if ended:
            assert direction.ended and direction.received == direction.sent, (
                "the stream ended before all data was received"
            )

    @invariant()
    def nothing_foreign(self) -> None:
        """On each stream the data received is a prefix of the data sent."""
        for stream in getattr(self, "streams", {}).values():
            for direction in (stream.up, stream.down):
                assert direction.sent.startswith(direction.received)

    def teardown(self) -> None:
        """Deliver the rest: streams that neither end has reset must be received completely."""
        if not hasattr(self, "streams"):
            return
        for _ in range(200):
            self.carry(10_000, True)
            self.carry(10_000, False)
        for stream in self.streams.values():
            for direction in (stream.up, stream.down):
                if direction.ended and not stream.reset:
                    assert direction.end_received and direction.received == direction.sent
