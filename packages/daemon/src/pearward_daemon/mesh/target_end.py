"""Finds out whether the target beside a daemon has ended: its port refuses, and refuses again."""

from collections.abc import Callable
from typing import Any

from pearward_transport.clock import boot_time
from pearward_transport.errors import ServerUnreachable
from pearward_transport.http_client import ServerClient
from pearward_transport.server_connection import ServerConnection

__all__ = ["END_CHECK_S", "TerminationDetector"]

END_CHECK_S = 0.25
"""Seconds between looks for the end of a target that leaves, or whose port was closed."""


class TerminationDetector:
    """Looks for the end of one target at a time, where there is a reason to."""

    def __init__(
        self, client: ServerClient, on_listening: Callable[[], None], on_ended: Callable[[], None]
    ) -> None:
        self._client = client
        self._on_listening = on_listening
        self._on_ended = on_ended
        self._refused_at: float | None = None

    def heartbeat_received(self) -> None:
        """The target has sent a heartbeat, or another one has taken its place."""
        self._refused_at = None

    def refused(self) -> bool:
        """The target's port has refused a connection; return whether that is news."""
        if self._refused_at is not None:
            return False
        self._refused_at = boot_time()
        return True

    def check(self, *, suspected: bool) -> None:
        """Try the port if there is a reason to: no connection is left, and somebody doubts."""
        if (suspected or self._refused_at is not None) and not self._client.open_connections:
            self._client.connect().addCallbacks(self._connected, self._not_connected)

    def _connected(self, connection: ServerConnection) -> None:
        connection.close()
        self._on_listening()

    def _not_connected(self, failure: Any) -> None:
        """A second refusal, with no connection left, shows that the process has ended."""
        failure.trap(ServerUnreachable)
        if not failure.value.refused:
            return
        now = boot_time()
        if self._refused_at is None:
            self._refused_at = now
        elif now - self._refused_at >= END_CHECK_S / 2 and not self._client.open_connections:
            self._refused_at = None
            self._on_ended()
