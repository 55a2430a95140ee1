"""Calls to the daemons: status, confirmations of changes, releases."""

import json
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import DeferredList, ensureDeferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from pearward_state.records import Instance, InstanceState
from pearward_transport.clock import sleep
from pearward_transport.errors import PlatformUnavailable
from pearward_transport.instances import INSTANCES, parse_instance
from pearward_transport.platform import IpEndpoints, KeyValueService

from .errors import DaemonDown, PlatformDown

__all__ = ["Fleet", "Report"]

QUERY_TIMEOUT_S = 1.5
MAX_CONCURRENT = 64
"""Maximum number of daemons that are queried concurrently."""
POLL_S = 0.1
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class Report:
    """The status of one daemon; *status* is None if it did not respond."""

    instance: Instance
    status: dict[str, Any] | None


class Fleet:
    """Calls to the daemons on the platform's list of instances."""

    def __init__(self, reactor: Any, platform: KeyValueService) -> None:
        self._reactor = reactor
        self._platform = platform
        pool = HTTPConnectionPool(reactor, persistent=False)
        endpoints = IpEndpoints(reactor, QUERY_TIMEOUT_S)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, pool=pool)

    async def instances(self) -> list[Instance]:
        """Return the platform's list of instances."""
        try:
            pairs = await self._platform.scan(INSTANCES)
        except PlatformUnavailable as error:
            raise PlatformDown(str(error)) from error
        return [i for i in map(parse_instance, pairs) if i is not None]

    async def reports(self, instances: list[Instance]) -> list[Report]:
        """Query every daemon, at most MAX_CONCURRENT at a time."""
        reports: list[Report] = []
        for start in range(0, len(instances), MAX_CONCURRENT):
            group = instances[start : start + MAX_CONCURRENT]
            queries = [ensureDeferred(self._query(instance)) for instance in group]
            results = await DeferredList(queries, consumeErrors=True)
            reports.extend(report for _, report in results)
        return reports

    async def wait_confirmed(self, versions: dict[str, int], timeout_s: float) -> list[Report]:
        """Wait until all live daemons have applied *versions*; return those that have not."""
        deadline = self._reactor.seconds() + timeout_s
        missing = [i for i in await self.instances() if i.state is InstanceState.LIVE]
        while True:
            reports = await self.reports(missing)
            behind = [r for r in reports if not _has_applied(r, versions)]
            if not behind or self._reactor.seconds() >= deadline:
                return behind
            missing = [r.instance for r in behind]
            await sleep(self._reactor, POLL_S)

    async def release(self, instance: Instance, incarnation: str) -> bool:
        """Notify a coordinator that an incarnation has ended; return whether it accepted this."""
        host = instance.admin_address or instance.address
        url = f"http://{host}:{instance.admin_port}/release?incarnation={incarnation}".encode()
        exchange = self._agent.request(b"POST", url)
        exchange.addTimeout(QUERY_TIMEOUT_S, self._reactor)
        try:
            return bool((await exchange).code == HTTP_OK)
        except Exception as error:
            raise DaemonDown(f"{instance.name}: {error or type(error).__name__}") from error

    async def _query(self, instance: Instance) -> Report:
        host = instance.admin_address or instance.address
        url = f"http://{host}:{instance.admin_port}/status".encode()
        exchange = self._agent.request(b"GET", url).addCallback(readBody)
        exchange.addTimeout(QUERY_TIMEOUT_S, self._reactor)
        try:
            return Report(instance, json.loads(await exchange))
        except Exception:
            # Any failure is reported as no response.
            return Report(instance, None)


def _has_applied(report: Report, versions: dict[str, int]) -> bool:
    """Return whether a daemon has applied at least *versions*."""
    if report.status is None:
        return False
    applied = report.status.get("versions", {})
    return all(applied.get(key, 0) >= version for key, version in versions.items())
