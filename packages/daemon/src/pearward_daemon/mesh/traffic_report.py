"""Log lines and metrics of the bytes that are sent to other daemons."""

from collections import Counter
from collections.abc import Iterator
from typing import Any

from pearward_coordination.directory import Directory
from pearward_transport.traffic_ledger import Distance, TrafficLedger

from .log import DecisionLog

__all__ = ["MemberDomains", "TrafficReport"]

REPORT_INTERVAL_S = 10.0
"""Interval in s of the log lines; one line of the 2,000 that the log allows in this time."""


class MemberDomains:
    """Looks up the failure domain of the daemon that listens at an address."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._revision = -1
        self._domains: dict[str, str] = {}

    def domain_of(self, address: str) -> str | None:
        """Return the failure domain of the member at *address*, or None if none is known."""
        if self._revision != self._directory.revision:
            self._revision = self._directory.revision
            self._domains = {m.peer_address: m.failure_domain for m in self._directory.members}
        return self._domains.get(address)


class TrafficReport:
    """Writes what was sent since the previous line, while anything is sent."""

    def __init__(self, reactor: Any, ledger: TrafficLedger, log: DecisionLog) -> None:
        self._reactor = reactor
        self._ledger = ledger
        self._log = log
        self._bytes: Counter[tuple[str, Distance]] = Counter()
        self._frames: Counter[str] = Counter()

    def start(self) -> None:
        """Write a line every REPORT_INTERVAL_S."""
        self._reactor.callLater(REPORT_INTERVAL_S, self._report_again)

    def report(self) -> None:
        """Write the bytes by kind for each distance, and the number of frames by kind."""
        sent = Counter(self._ledger.bytes_sent())
        frames = Counter(self._ledger.frames)
        new_bytes, new_frames = sent - self._bytes, frames - self._frames
        self._bytes, self._frames = sent, frames
        if not new_frames:
            return
        by_distance: dict[Distance, dict[str, int]] = {distance: {} for distance in Distance}
        for (kind, distance), size in sorted(new_bytes.items()):
            by_distance[distance][kind] = size
        self._log.emit(
            "peer_traffic",
            same=by_distance[Distance.SAME],
            other=by_distance[Distance.OTHER],
            unknown=by_distance[Distance.UNKNOWN],
            frames=dict(sorted(new_frames.items())),
        )

    def observations(self) -> Iterator[tuple[float, dict[str, str]]]:
        """Yield the bytes since the start with their labels, for the metrics."""
        for (kind, distance), size in self._ledger.bytes_sent().items():
            yield size, {"kind": kind, "distance": distance.value}

    def _report_again(self) -> None:
        self.report()
        self.start()
