"""The server beside this daemon: whether it answers, and what it is told that it owns."""

import json
from collections.abc import Callable

import eliot
from twisted.internet.task import LoopingCall

from pearward_coordination.agent import GrantServer
from pearward_state.shards import Shard
from pearward_transport.errors import ServerBroke, ServerUnreachable
from pearward_transport.http_client import ServerClient

from .settings import ServerSettings
from .tasks import spawn

__all__ = ["ServerWatch"]

GRANT_TIMEOUT_S = 0.5
GRANT_PATH = b"/.pearward/grants"
HTTP_OK = 200
UNHEALTHY_AFTER = 2
"""Probes in a row without an answer that make the server unhealthy."""
PROBE_TIMEOUT_S = 1.0


class ServerWatch:
    """Probes the server and tells it its shards."""

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
        """Whether the server answers probes."""
        return self._failed_probes < UNHEALTHY_AFTER

    def start(self) -> None:
        """Begin to probe."""
        self._loop.start(self._settings.probe_s, now=True)

    def stop(self) -> None:
        """End."""
        if self._loop.running:
            self._loop.stop()

    def set_fenced(self, fenced: bool) -> None:
        """Note whether the server checks what it was granted."""
        self._fenced = fenced

    def suspect(self) -> None:
        """The server did not answer a connection: probe it now."""
        if self.healthy:
            self._probe()

    async def grant(self, grant: GrantServer) -> bool:
        """Tell the server all that it owns now; one that does not check is not asked."""
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
        except (ServerUnreachable, ServerBroke) as error:
            eliot.log_message("pearward:grant-failed", error=str(error))
            return False
        return status == HTTP_OK

    def _probe(self) -> None:
        """Ask the server whether it lives; its answer's content is only a hint."""
        if not self._probing:
            self._probing = True
            spawn(self._probe_once())

    async def _probe_once(self) -> None:
        try:
            path = self._settings.health_path.encode()
            await self._client.fetch(b"GET", path, timeout_s=PROBE_TIMEOUT_S)
            self._failed_probes = 0
        except (ServerUnreachable, ServerBroke):
            self._failed_probes += 1
        finally:
            self._probing = False
        self._on_probed(self.healthy)


def _shard_row(shard: Shard) -> dict[str, object]:
    """Return a shard as a grant names it."""
    return {"start": f"{shard.start:x}", "end": f"{shard.end:x}", "epoch": shard.epoch}
