"""The routing configuration: one versioned document, frozen once it has been read.

Routes are chosen by host and longest path prefix. A document is replaced as a whole and
only by one with a higher version.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CallerLimits",
    "RequestKind",
    "Route",
    "RoutingTable",
    "ServiceRules",
    "WeightedService",
]


class RequestKind(StrEnum):
    """What a route's requests allow."""

    SAFE = "safe"
    """May run more than once."""
    UNSAFE = "unsafe"
    """Runs at most once for each request that a caller sends."""
    DOWNLOAD = "download"
    """A large answer; may run more than once."""

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        return self is not RequestKind.UNSAFE


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes part of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of one host and path prefix go, and how long they may take."""

    name: str
    host: str
    prefix: str
    """Path prefix; begins and ends with a slash."""
    kind: RequestKind
    timeout_ms: int
    """Longest time in ms that a request is held."""
    objective_ms: int
    """Latency in ms within which an answer is worth most."""
    rank: int
    """Urgency; 0 goes first."""
    services: tuple[WeightedService, ...]
    max_attempts: int
    """Targets that one request may be sent to, at most."""


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """What the configuration says of one service."""

    name: str
    keyed: bool
    """Whether each key belongs to one target at a time."""
    max_connections: int
    """Connections that a target accepts from all callers together."""
    warmup_s: float
    """Seconds for which a key is slow at a target that got it without a hand-over token."""
    cold_per_s: float = 0.0
    """Requests a second that a target bears while it is cold; 0 where nothing is said."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take or rest."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceRules]
    limits: CallerLimits = field(default_factory=CallerLimits)
    _by_host: dict[str, list[Route]] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        for route in sorted(self.routes, key=lambda r: -len(r.prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of *host* whose prefix is the longest that begins *path*."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def rules(self, service: str) -> ServiceRules | None:
        """Return what is said of a service, or None where it is not in the document."""
        return self.services.get(service)

    @property
    def keyed_services(self) -> tuple[str, ...]:
        """Names of the services that are divided by key, sorted."""
        return tuple(sorted(name for name, rules in self.services.items() if rules.keyed))
