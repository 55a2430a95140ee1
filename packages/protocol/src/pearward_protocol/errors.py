"""Errors of the protocol layer."""

from pearward_state.errors import PearwardError

__all__ = ["BadHeader", "BadPlatformAnswer", "FrameError", "ProtocolError", "StreamError"]


class ProtocolError(PearwardError):
    """Root of the protocol layer's errors."""


class FrameError(ProtocolError):
    """The peer sent bytes that are no frame of this version; the connection must end."""


class StreamError(ProtocolError):
    """A stream was used against its rules, by the peer or by this process."""


class BadHeader(ProtocolError):
    """A caller's header has a value that is not allowed."""

    def __init__(self, name: str, value: object, reason: str) -> None:
        super().__init__(f"{name}: {value!r}: {reason}")


class BadPlatformAnswer(ProtocolError):
    """The platform's service answered something that its protocol does not allow."""
