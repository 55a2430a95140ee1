"""Stateful fuzzing of stream multiplexing: every byte arrives once, whole, on its own stream."""

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
class Half:
    """What one side sent on a stream, and what the other got."""

    sent: bytes = b""
    ended: bool = False
    got: bytes = b""
    got_end: bool = False


@dataclass
class Stream:
    """The oracle's view of one stream."""

    up: Half = field(default_factory=Half)
    down: Half = field(default_factory=Half)
    opened: bool = False
    answered: bool = False
    head_seen: bool = False
    reset: bool = False


def _head(name: str) -> RequestHead:
    return RequestHead(
        name, b"k", b"id", b"GET", b"/", b"", 10, RequestClass.SUBMIT, "-", True, 0, 1, "", 5, -1
    )


class StreamMachine(RuleBasedStateMachine):
    """Two ends, bytes cut anywhere, windows used up, resets that cross."""

    @initialize()
    def connect(self) -> None:
        """Greet."""
        self.client = Multiplexer(opener=True, window=WINDOW)
        self.server = Multiplexer(opener=False, window=WINDOW)
        self.client.send_hello(Hello("a", "1.1.1.1:1"))
        self.server.send_hello(Hello("b", "1.1.1.1:2"))
        self.to_server = self.to_client = b""
        self.streams: dict[int, Stream] = {}

    def _collect(self) -> None:
        self.to_server += b"".join(self.client.take_output())
        self.to_client += b"".join(self.server.take_output())

    def _pick(self, pick: int, wanted) -> int | None:  # type: ignore[no-untyped-def]
        fit = [i for i, s in self.streams.items() if not s.reset and wanted(s)]
        return fit[pick % len(fit)] if fit else None

    @rule(body=st.binary(max_size=30), ended=st.booleans())
    def open(self, body: bytes, ended: bool) -> None:
        """Open a stream, maybe with its whole body."""
        body = body if ended else b""
        number = self.client.open_stream(_head("s"), ended=ended, body=body)
        assert number not in self.streams
        self.streams[number] = Stream(up=Half(sent=body, ended=ended))

    @rule(pick=PICK, data=st.binary(max_size=200), ended=st.booleans())
    def send_up(self, pick: int, data: bytes, ended: bool) -> None:
        """Send part of a request's body."""
        number = self._pick(pick, lambda s: not s.up.ended)
        if number is not None:
            self.client.send_data(number, data, ended=ended)
            half = self.streams[number].up
            half.sent += data
            half.ended = ended

    @rule(pick=PICK, body=st.binary(max_size=30), ended=st.booleans())
    def respond(self, pick: int, body: bytes, ended: bool) -> None:
        """Begin an answer, maybe with its whole body."""
        number = self._pick(pick, lambda s: s.opened and not s.answered)
        if number is not None:
            body = body if ended else b""
            self.server.respond(number, ResponseHead(200, Outcome.SERVED), ended=ended, body=body)
            stream = self.streams[number]
            stream.answered = True
            stream.down.sent, stream.down.ended = body, ended

    @rule(pick=PICK, data=st.binary(max_size=200), ended=st.booleans())
    def send_down(self, pick: int, data: bytes, ended: bool) -> None:
        """Send part of an answer's body."""
        number = self._pick(pick, lambda s: s.answered and not s.down.ended)
        if number is not None:
            self.server.send_data(number, data, ended=ended)
            half = self.streams[number].down
            half.sent += data
            half.ended = ended

    @rule(pick=PICK, by_client=st.booleans())
    def reset(self, pick: int, by_client: bool) -> None:
        """Break a stream off from one end."""
        number = self._pick(pick, lambda s: s.opened)
        if number is not None:
            (self.client if by_client else self.server).reset(number, ResetCode.CANCELLED)
            self.streams[number].reset = True

    @rule(size=st.integers(1, 400), up=st.booleans())
    def carry(self, size: int, up: bool) -> None:
        """Carry some bytes, cut wherever they happen to be."""
        self._collect()
        if up:
            data, self.to_server = self.to_server[:size], self.to_server[size:]
            for event in self.server.receive(data):
                self._arrived(event, up=True)
        else:
            data, self.to_client = self.to_client[:size], self.to_client[size:]
            for event in self.client.receive(data):
                self._arrived(event, up=False)

    def _arrived(self, event: object, *, up: bool) -> None:
        match event:
            case RequestReceived():
                stream = self.streams[event.stream]
                assert not stream.opened
                stream.opened = True
                self._got(stream.up, event.body, event.ended)
            case ResponseReceived():
                stream = self.streams[event.stream]
                assert stream.answered and not stream.head_seen
                stream.head_seen = True
                self._got(stream.down, event.body, event.ended)
            case DataReceived():
                stream = self.streams[event.stream]
                self._got(stream.up if up else stream.down, event.data, event.ended)
                mux = self.server if up else self.client
                mux.consumed(event.stream, len(event.data))
            case ResetReceived():
                assert self.streams[event.stream].reset

    def _got(self, half: Half, data: bytes, ended: bool) -> None:
        assert not half.got_end, "data after the end"
        half.got += data
        half.got_end = ended
        assert half.sent.startswith(half.got), "not what was sent on this stream"
        if ended:
            assert half.ended and half.got == half.sent, "an end before the whole"

    @invariant()
    def nothing_foreign(self) -> None:
        """What arrived is a beginning of what was sent, on each stream."""
        for stream in getattr(self, "streams", {}).values():
            for half in (stream.up, stream.down):
                assert half.sent.startswith(half.got)

    def teardown(self) -> None:
        """Carry all the rest: streams that nobody broke off must arrive whole."""
        if not hasattr(self, "streams"):
            return
        for _ in range(200):
            self.carry(10_000, True)
            self.carry(10_000, False)
        for stream in self.streams.values():
            for half in (stream.up, stream.down):
                if half.ended and not stream.reset:
                    assert half.got_end and half.got == half.sent
