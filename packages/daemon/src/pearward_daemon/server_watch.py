"""The local server: its health, and the grants that it is sent."""

import json
from collections.abc import Callable

import eliot
from twisted.internet.task import LoopingCall

from pearward_coordination.agent import GrantServer
from pearward_state.shards import Shard
from pearward_transport.errors import ServerConnectionLost, ServerUnreachable
from pearward_transport.http_client import ServerClient

from .settings import ServerSettings
from .tasks import spawn

__all__ = ["ServerWatch"]

GRANT_TIMEOUT_S = 0.5
GRANT_PATH = b"/.pearward/grants"
HTTP_OK = 200
UNHEALTHY_AFTER = 2
"""Consecutive probes without a response after which the server is unhealthy."""
PROBE_TIMEOUT_S = 1.0


class ServerWatch:
    """Probes the server and sends it its grants."""

    def __init__(
        self, settings: ServerSettings, client: ServerClient, on_probed: Callable[[bool], None]
    ) -> None:
        self._settings = settings
        self._client = client
        self._on_probed = on_probed
        self._fenced = True
        self._failed_probes = 0
        self._probing = False
        self._loop = LoopingCall(self._probe)

    @property
    def healthy(self) -> bool:
        """Whether the server responds to probes."""
        return self._failed_probes < UNHEALTHY_AFTER

    def start(self) -> None:
        """Start probing."""
        self._loop.start(self._settings.probe_s, now=True)

    def stop(self) -> None:
        """Stop probing."""
        if self._loop.running:
            self._loop.stop()

    def set_fenced(self, fenced: bool) -> None:
        """Set whether the server checks the epochs of requests against its grants."""
        self._fenced = fenced

    def suspect(self) -> None:
        """Probe a healthy server at once, since a connection to it failed."""
        if self.healthy:
            self._probe()

    async def grant(self, grant: GrantServer) -> bool:
        """Send the server the shards that it owns; return whether it accepted them.

        A server that is not fenced gets no call, and counts as having accepted.
        """
        if not self._fenced:
            return True
        body = json.dumps(
            {
                "service": self._settings.service,
                "version": grant.version,
                "shards": [_shard_row(shard) for shard in grant.shards],
            }
        ).encode()
        try:
            status, _ = await self._client.fetch(
                b"PUT", GRANT_PATH, b"", body, timeout_s=GRANT_TIMEOUT_S
            )
        except (ServerUnreachable, ServerConnectionLost) as error:
            eliot.log_message("pearward:grant-failed", error=str(error))
            return False
        return status == HTTP_OK

    def _probe(self) -> None:
        """Start a probe unless one is running; any response counts, whatever its status."""
        if not self._probing:
            self._probing = True
            spawn(self._probe_once())

    async def _probe_once(self) -> None:
        try:
            path = self._settings.health_path.encode()
            await self._client.fetch(b"GET", path, timeout_s=PROBE_TIMEOUT_S)
            self._failed_probes = 0
        except (ServerUnreachable, ServerConnectionLost):
            self._failed_probes += 1
        finally:
            self._probing = False
        self._on_probed(self.healthy)


def _shard_row(shard: Shard) -> dict[str, object]:
    """Return a shard in the form that a grant uses."""
    return {"start": f"{shard.start:x}", "end": f"{shard.end:x}", "epoch": shard.epoch}
