"""Exceptions of the protocol layer."""

from pearward_state.errors import PearwardError

__all__ = ["BadHeader", "BadPlatformResponse", "FrameError", "ProtocolError", "StreamError"]


class ProtocolError(PearwardError):
    """Base class of the protocol layer's exceptions."""


class FrameError(ProtocolError):
    """The peer sent data that is not valid in this protocol version; close the connection."""


class StreamError(ProtocolError):
    """A stream operation is not allowed in the stream's current state."""


class BadHeader(ProtocolError):
    """A caller's request header has an invalid value."""

    def __init__(self, name: str, value: object, reason: str) -> None:
        super().__init__(f"{name}: {value!r}: {reason}")


class BadPlatformResponse(ProtocolError):
    """The platform's key-value service sent a response that violates its protocol."""
