"""Errors of the transport layer; errors of sockets and libraries are converted to these."""

from pearward_state.errors import PearwardError

__all__ = [
    "CasConflict",
    "PeerUnreachable",
    "PlatformError",
    "PlatformUnavailable",
    "ServerConnectionLost",
    "ServerUnreachable",
    "TransportError",
]


class TransportError(PearwardError):
    """Base class of the transport layer's errors."""


class PeerUnreachable(TransportError):
    """No connection to another daemon could be made; nothing was sent."""


class ServerUnreachable(TransportError):
    """No connection to the server could be made; it received nothing."""

    def __init__(self, detail: str, *, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused
        """Whether the connection was refused: no process listens at the address."""


class ServerConnectionLost(TransportError):
    """The connection to the server was lost, or timed out, after the request was started."""


class PlatformError(TransportError):
    """Base class of errors of the platform's key-value service."""


class PlatformUnavailable(PlatformError):
    """The service did not respond in time; a write may or may not have taken effect."""


class CasConflict(PlatformError):
    """A compare-and-swap found a revision other than the expected one."""
