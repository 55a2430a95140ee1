"""Detects the termination of the local target: its port refuses connections twice."""

from collections.abc import Callable
from typing import Any

from pearward_transport.clock import boot_time
from pearward_transport.errors import ServerUnreachable
from pearward_transport.http_client import ServerClient
from pearward_transport.server_connection import ServerConnection

__all__ = ["END_CHECK_S", "TerminationDetector"]

END_CHECK_S = 0.25
"""Seconds between checks of a target that is draining or whose port refused a connection."""


class TerminationDetector:
    """Probes the port of the local target when its termination is suspected."""

    def __init__(
        self, client: ServerClient, on_listening: Callable[[], None], on_ended: Callable[[], None]
    ) -> None:
        self._client = client
        self._on_listening = on_listening
        self._on_ended = on_ended
        self._refused_at: float | None = None

    def heartbeat_received(self) -> None:
        """Reset after a heartbeat of this or of a new target."""
        self._refused_at = None

    def refused(self) -> bool:
        """Record that the port refused a connection; return whether this is the first refusal."""
        if self._refused_at is not None:
            return False
        self._refused_at = boot_time()
        return True

    def check(self, *, suspected: bool) -> None:
        """Probe the port if the target is suspected or was refused, and no connection is open."""
        if (suspected or self._refused_at is not None) and not self._client.open_connections:
            self._client.connect().addCallbacks(self._connected, self._not_connected)

    def _connected(self, connection: ServerConnection) -> None:
        connection.close()
        self._on_listening()

    def _not_connected(self, failure: Any) -> None:
        """Report termination on a second refusal without an open connection."""
        failure.trap(ServerUnreachable)
        if not failure.value.refused:
            return
        now = boot_time()
        if self._refused_at is None:
            self._refused_at = now
        elif now - self._refused_at >= END_CHECK_S / 2 and not self._client.open_connections:
            self._refused_at = None
            self._on_ended()
