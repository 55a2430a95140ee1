"""Detects the termination of the local target by its connections and its port.

The port of a target that has ended refuses connections. While a target leaves, one connection to it
is kept open: if the target's next process starts at once, the port refuses only for a moment, right
after that connection has closed.
"""

from collections.abc import Callable
from typing import Any

from pearward_transport.clock import boot_time
from pearward_transport.errors import ServerUnreachable
from pearward_transport.http_client import ServerClient
from pearward_transport.server_connection import ServerConnection

__all__ = ["END_CHECK_S", "TerminationDetector"]

END_CHECK_S = 0.25
"""Seconds between checks of a target that leaves or whose port refused a connection."""


class TerminationDetector:
    """Probes the port of the local target when its termination is suspected."""

    def __init__(
        self, client: ServerClient, on_listening: Callable[[], None], on_ended: Callable[[], None]
    ) -> None:
        self._client = client
        self._on_listening = on_listening
        self._on_ended = on_ended
        self._refused_at: float | None = None
        self._leaves = False
        self._kept: ServerConnection | None = None
        """Connection that is kept open while the target leaves."""
        self._probed_at = 0.0
        client.when_all_closed(self._all_closed)

    def heartbeat_received(self) -> None:
        """Reset after a heartbeat of this or of a new target."""
        self._refused_at = None

    def refused(self) -> bool:
        """Record that the port refused a connection; return whether this is the first refusal."""
        if self._refused_at is not None:
            return False
        self._refused_at = boot_time()
        return True

    def check(self, *, suspected: bool, leaves: bool) -> None:
        """Probe the port if no connection is open and the target is suspected, or was refused.

        *leaves* states that the target has announced its end.
        """
        self._leaves = leaves
        if not leaves and self._kept is not None:
            kept, self._kept = self._kept, None
            kept.close()
        if suspected or leaves or self._refused_at is not None:
            self._probe(self._refused)

    def _all_closed(self) -> None:
        """Probe at once: a target that leaves has ended, or has closed its idle connections."""
        if self._leaves and boot_time() - self._probed_at >= END_CHECK_S:
            self._probe(self._refused_after_close)

    def _probe(self, on_refused: Callable[[], None]) -> None:
        if self._client.open_connections:
            return
        self._probed_at = boot_time()
        self._client.connect().addCallbacks(
            self._connected, self._not_connected, errbackArgs=(on_refused,)
        )

    def _connected(self, connection: ServerConnection) -> None:
        if self._leaves:
            self._kept = connection
        else:
            connection.close()
        self._on_listening()

    def _not_connected(self, failure: Any, on_refused: Callable[[], None]) -> None:
        failure.trap(ServerUnreachable)
        if failure.value.refused and not self._client.open_connections:
            on_refused()

    def _refused(self) -> None:
        """Report termination on a second refusal."""
        now = boot_time()
        if self._refused_at is None:
            self._refused_at = now
        elif now - self._refused_at >= END_CHECK_S / 2:
            self._report_end()

    def _refused_after_close(self) -> None:
        """Report termination: the target has closed its connections as well."""
        if self._leaves:
            self._report_end()

    def _report_end(self) -> None:
        self._refused_at = None
        self._on_ended()
