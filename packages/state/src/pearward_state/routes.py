"""The routing configuration: one versioned, immutable document.

Routes are matched by host and longest path prefix. The document is replaced as a whole, and
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
    """How often a route's requests may be executed, and whether responses are large."""

    SAFE = "safe"
    """May be executed more than once."""
    UNSAFE = "unsafe"
    """Executed at most once for each request that a caller sends."""
    DOWNLOAD = "download"
    """Has a large response; may be executed more than once."""

    @property
    def repeatable(self) -> bool:
        """Whether a request may be resent although it may have been executed already."""
        return self is not RequestKind.UNSAFE


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Services and time limits for the requests of one host and path prefix."""

    name: str
    host: str
    prefix: str
    """Path prefix; begins and ends with a slash."""
    kind: RequestKind
    timeout_ms: int
    """Time in ms after which a request is abandoned."""
    objective_ms: int
    """Target latency in ms; a response within it has the highest value."""
    rank: int
    """Priority; 0 is served first."""
    services: tuple[WeightedService, ...]
    max_attempts: int
    """Maximum number of targets that one request is sent to."""


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """Configuration of one service."""

    name: str
    keyed: bool
    """Whether each key is owned by at most one target at a time."""
    max_connections: int
    """Maximum number of connections that a target accepts from all callers together."""
    warmup_s: float
    """Seconds for which a key is slow at a target that received it without a handover token."""
    cold_per_s: float = 0.0
    """Requests per second that a target can serve while it is cold; 0 if not configured."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits for the requests and connections of callers."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the complete routing configuration."""

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
        """Return the route of *host* with the longest prefix of *path*, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def rules(self, service: str) -> ServiceRules | None:
        """Return the configuration of a service, or None if the document does not have it."""
        return self.services.get(service)

    @property
    def keyed_services(self) -> tuple[str, ...]:
        """Names of the keyed services, sorted."""
        return tuple(sorted(name for name, rules in self.services.items() if rules.keyed))
