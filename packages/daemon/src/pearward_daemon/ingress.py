"""The callers' side of a daemon: state that all requests share."""

from random import Random
from typing import Any, Protocol

from pearward_coordination.retry import RetryBudget
from pearward_coordination.routing import Router
from pearward_coordination.seen_requests import SeenRequests
from pearward_protocol.httpmap import RequestLimits
from pearward_state.records import CellRecord
from pearward_transport.caller_request import BodySink, CallerRequest
from pearward_transport.peer import PeerPool

from .caller_request import RoutedRequest
from .metrics import Metrics
from .owner import OwnerService
from .service_finder import ServiceFinder
from .settings import LimitSettings, LogRequests

__all__ = ["Ingress", "IngressControl"]


class IngressControl(Protocol):
    """Interface of the control plane that the callers' side uses."""

    @property
    def incarnation(self) -> str:
        """This daemon's incarnation."""

    @property
    def draining(self) -> bool:
        """Whether this daemon is draining."""

    @property
    def finder(self) -> ServiceFinder:
        """Looks up services that peers have not sent."""

    def want_record(self, service: str, version: int, address: str) -> None:
        """Request a newer record of *service* from the peer at *address*."""


class Ingress:
    """Handles all requests of callers in this daemon."""

    def __init__(
        self,
        reactor: Any,
        router: Router,
        owner: OwnerService,
        pool: PeerPool,
        control: IngressControl,
        metrics: Metrics,
        limits: LimitSettings,
        requests: RequestLimits,
        log_requests: LogRequests,
        log_sample: int,
        rng: Random,
    ) -> None:
        self.reactor = reactor
        self.router = router
        self.owner = owner
        self.pool = pool
        self.control = control
        self.metrics = metrics
        self.limits = limits
        self.request_limits = requests
        self.log_requests = log_requests
        self._log_sample = log_sample
        self._until_sampled = 0
        self.rng = rng
        self.memory = SeenRequests(limits.remember_s, limits.remember_count)
        self._budgets: dict[str, RetryBudget] = {}
        self._open: set[RoutedRequest] = set()
        self._closed = False

    @property
    def open_requests(self) -> int:
        """Number of callers' requests without a complete response."""
        return len(self._open)

    @property
    def closed(self) -> bool:
        """Whether this daemon stops, so that new requests are refused."""
        return self._closed

    def close(self) -> None:
        """Refuse new requests, since this daemon stops."""
        self._closed = True

    def end_open(self) -> None:
        """Respond to the requests that are left, since this daemon ends."""
        for request in list(self._open):
            request.daemon_stops()

    def request_started(self, request: CallerRequest, body_length: int | None) -> BodySink:
        """Handle a request whose headers have been received."""
        handled = RoutedRequest(self, request, body_length)
        self._open.add(handled)
        handled.begin()
        return handled

    def ended(self, request: RoutedRequest) -> None:
        """Remove a request that has ended."""
        self._open.discard(request)

    def record_changed(self, record: CellRecord) -> None:
        """End attempts at daemons that *record* has removed or retired.

        The lease of such an owner has expired, so that its responses are no longer valid; its
        connection may stay open for a long time if the daemon is frozen.
        """
        for request in list(self._open):
            request.record_changed(record)

    def sample_next(self) -> bool:
        """Count a request, and return whether it is logged as an action of its own."""
        if self.log_requests not in (LogRequests.ALL, LogRequests.SAMPLED):
            return False
        self._until_sampled -= 1
        if self._until_sampled > 0:
            return False
        self._until_sampled = self._log_sample
        return True

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            ratio = self.router.row(service).service.retry_ratio
            budget = self._budgets[service] = RetryBudget(ratio)
        return budget

    def set_retry_ratio(self, service: str, ratio: float) -> None:
        """Apply a changed retry ratio to the service's retry budget."""
        if service in self._budgets:
            self._budgets[service].set_ratio(ratio)
