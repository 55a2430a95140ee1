"""Ingress for callers' requests: routing, target selection and state shared by all requests."""

import math
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from pearward_coordination.directory import Directory
from pearward_coordination.near_first import Allowance, choose_near_first
from pearward_coordination.overload.key_shedding import KeyShedding
from pearward_coordination.overload.owner_return import OwnerReturns
from pearward_coordination.overload.policy import Mechanism
from pearward_coordination.overload.retry_delay import RetryAgeEstimator
from pearward_coordination.quarantine import Quarantine
from pearward_coordination.retry_window import RetryWindow
from pearward_coordination.selection import (
    ExchangeProfile,
    FreeSlotOdds,
    TargetLoad,
    WeightedRoundRobin,
)
from pearward_protocol.errors import BadHeader
from pearward_state.keymap import KeyMap
from pearward_state.routes import RequestKind, Route, RoutingTable
from pearward_transport.caller_request import BodySink, CallerRequest
from pearward_transport.clock import boot_time, unix_time
from pearward_transport.peer import PeerPool
from pearward_transport.peer_connection import PeerConnection

from .dialect import Dialect
from .key_maps import KeyMaps
from .local_target import LocalTarget
from .log import DecisionLog
from .routed_request import RoutedRequest
from .settings import MeshSettings
from .target_departure import refuses_work

__all__ = ["MeshIngress", "Placement", "RequestMetrics"]

WINDOW = 128 * 1024
"""Flow control window in bytes of one stream between two daemons."""
BAD_REQUEST, NOT_FOUND, TOO_LARGE, UNAVAILABLE = 400, 404, 413, 503
BYTES_PER_KB = 1000
MS_PER_S = 1000
SIZE_WEIGHT = 0.05
"""Weight of the newest exchange in the moving mean of a route's exchange sizes."""
NO_CONFIGURATION_RETRY_S = 0.5


class RequestMetrics(Protocol):
    """Receives the metrics of finished requests."""

    def request_ended(self, route: str, service: str, how: str, took_s: float) -> None:
        """Record a finished request, its outcome and its duration."""


class Placement:
    """The target that one attempt goes to."""

    __slots__ = ("_directory", "address", "local", "map_version", "target")

    def __init__(
        self, directory: Directory, target: str, address: str, local: bool, map_version: int
    ) -> None:
        self._directory = directory
        self.target = target
        self.address = address
        self.local = local
        self.map_version = map_version

    def attempt_started(self) -> None:
        """Count the attempt as in flight."""
        view = self._directory.view(self.target)
        if view is not None:
            view.in_flight += 1

    def attempt_ended(self) -> None:
        """Stop counting the attempt as in flight."""
        view = self._directory.view(self.target)
        if view is not None:
            view.in_flight = max(0, view.in_flight - 1)


class _DiscardedBody:
    """Discards the body of a request that was answered at once."""

    def body_received(self, data: bytes) -> None:
        """Discard the chunk."""

    def body_ended(self) -> None:
        """Do nothing, as the request was answered."""

    def caller_lost(self) -> None:
        """Do nothing, as the request was answered."""

    def resume(self) -> None:
        """Do nothing, as the whole response was sent."""

    def pause(self) -> None:
        """Do nothing, as the whole response was sent."""


class MeshIngress:
    """Accepts and routes all requests of the callers on this instance."""

    def __init__(
        self,
        reactor: Any,
        settings: MeshSettings,
        dialect: Dialect,
        directory: Directory,
        key_maps: KeyMaps,
        local_target: LocalTarget,
        pool: PeerPool,
        log: DecisionLog,
        metrics: RequestMetrics,
        rng: Random,
        quarantine: Quarantine,
        request_map: Callable[[str, str], None],
        request_map_from_planner: Callable[[str], None],
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._dialect = dialect
        self._maps = key_maps
        self._pool = pool
        self._metrics = metrics
        self._rng = rng
        self._request_map = request_map
        self._request_map_from_planner = request_map_from_planner
        self._table: RoutingTable | None = None
        self._turns: dict[tuple[str, tuple[Any, ...]], WeightedRoundRobin] = {}
        self._budgets: dict[str, RetryWindow] = {}
        self._mean_size_kb: dict[str, float] = {}
        """Mean size of a request and its response, by route."""
        self._usual_deadlines: dict[str, RetryAgeEstimator] = {}
        """Time that callers usually allow for their first attempt, by route."""
        self._idle_odds: dict[str, FreeSlotOdds] = {}
        self._shedding = KeyShedding(rng)
        self._near_first = settings.overload.uses(Mechanism.NEAR_FIRST)
        self._sheds = settings.overload.uses(Mechanism.SHED_KEYS)
        self._owner_returns: dict[str, OwnerReturns] = {}
        """Absent owners, by service."""
        self._expects_returns = settings.overload.uses(Mechanism.RETURN_TO_INSTANCE)
        key_maps.on_newer(self._map_adopted)
        self._open: set[RoutedRequest] = set()
        self._stopping = False
        self._ends_at = math.inf
        """Time in s at which this daemon ends; no response reaches a caller after it."""
        self._refusal_retry_s = 0.0
        self.directory = directory
        self.quarantine = quarantine
        self.local_target = local_target
        self.log = log

    # -- properties -------------------------------------------------------------

    @property
    def open_requests(self) -> int:
        """Number of callers' requests without a complete response."""
        return len(self._open)

    @property
    def ends_at(self) -> float:
        """Time in s at which this daemon ends; infinite until it is stopped."""
        return self._ends_at

    @property
    def caller_service(self) -> str:
        """Service of the instance on which the callers run."""
        return self._settings.service

    @property
    def window(self) -> int:
        """Flow control window in bytes towards the local target."""
        return WINDOW

    def set_table(self, table: RoutingTable) -> None:
        """Put a newer configuration in force; unchanged routes keep their round robin state."""
        self._table = table
        names = {route.name for route in table.routes}
        self._usual_deadlines = {
            n: usual for n, usual in self._usual_deadlines.items() if n in names
        }
        self._mean_size_kb = {name: kb for name, kb in self._mean_size_kb.items() if name in names}
        present = {(route.name, route.services) for route in table.routes}
        self._turns = {key: turns for key, turns in self._turns.items() if key in present}

    def stop(self, ends_at: float) -> None:
        """Close callers' connections after their next response, and end requests by *ends_at*."""
        self._stopping = True
        self._ends_at = ends_at

    def refuse_new(self, retry_after_s: float) -> None:
        """Refuse new requests from now on, with a retry delay of *retry_after_s* seconds."""
        self._refusal_retry_s = retry_after_s

    def cancel_open(self) -> int:
        """Refuse requests without a response; return the number of responses that are cut off."""
        for routed in list(self._open):
            routed.daemon_stopping()
        return len(self._open)

    # -- new requests -----------------------------------------------------------------

    def request_started(self, request: CallerRequest, body_length: int | None) -> BodySink:
        """Accept a request whose headers have been received."""
        if self._stopping:
            request.close_after()
        try:
            intent = self._dialect.intent(request.header_values())
        except BadHeader as error:
            return self._refuse(request, BAD_REQUEST, b"", str(error))
        if self._refusal_retry_s:
            return self._refuse(
                request, UNAVAILABLE, intent.request_id, "stopping", self._refusal_retry_s
            )
        table = self._table
        if table is None:
            return self._refuse(
                request, UNAVAILABLE, intent.request_id, "no configuration yet",
                NO_CONFIGURATION_RETRY_S,
            )  # fmt: skip
        if body_length is not None and body_length > table.limits.body_bytes:
            return self._refuse(request, TOO_LARGE, intent.request_id, f"{body_length} bytes")
        path = request.uri.partition(b"?")[0].decode("latin-1")
        route = table.match(intent.host, path)
        if route is None:
            detail = f"{intent.host} {path} in version {table.version}"
            return self._refuse(request, NOT_FOUND, intent.request_id, detail)
        routed = RoutedRequest(self, request, route, intent, body_length)
        self._open.add(routed)
        routed.begin()
        return routed

    def _refuse(
        self,
        request: CallerRequest,
        status: int,
        request_id: bytes,
        detail: str,
        retry_after_s: float = 0.0,
    ) -> BodySink:
        """Refuse a request at once, without an attempt."""
        headers = self._dialect.refusal_headers(request_id, retry_after_s)
        self.log.emit(
            "request_refused", failure=True, id=request_id.decode("latin-1"), status=status,
            detail=detail,
        )  # fmt: skip
        request.send_response(status, headers, b"")
        return _DiscardedBody()

    def request_finished(
        self, request: RoutedRequest, how: str, status: int, took_s: float
    ) -> None:
        """Record a request that was answered or whose caller has disconnected."""
        self._open.discard(request)
        outcome = how if status < 500 or how != "answered" else "target_failed"
        self._metrics.request_ended(request.route.name, request.service, outcome, took_s)

    # -- queries of requests --------------------------------------------------------

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Any:
        """Run *call* after *delay_s* seconds."""
        return self._reactor.callLater(delay_s, call)

    def service_for(self, route: Route) -> str:
        """Return the service for the next request of a route, by weighted round robin."""
        if len(route.services) == 1:
            return route.services[0].service
        key = (route.name, route.services)
        turns = self._turns.get(key)
        if turns is None:
            turns = self._turns[key] = WeightedRoundRobin(route.services, self._rng)
        return turns.next()

    def age_s(self, route: Route, deadline_ms: int | None, now: float) -> float:
        """Return the estimated seconds since a caller's first attempt, by the time it allows."""
        if deadline_ms is None or not self._settings.overload.uses(Mechanism.AGED_RETRIES):
            return 0.0
        usual = self._usual_deadlines.setdefault(route.name, RetryAgeEstimator())
        return usual.age_s(deadline_ms / MS_PER_S, now)

    def is_keyed(self, service: str) -> bool:
        """Return whether a service is partitioned by key."""
        rules = self._table.rules(service) if self._table is not None else None
        return rules is not None and rules.keyed

    def place(
        self,
        service: str,
        route: Route,
        key: int | None,
        tried: frozenset[str],
        full: frozenset[str],
        objective: float,
    ) -> Placement | None:
        """Return the placement of the next attempt; None if no target is available now.

        Targets in *tried* are excluded; those in *full* have just reported that they had no slot.
        *objective* is the time of the request's latency objective.
        """
        if key is not None:
            return self._owner_of(service, key)
        now = boot_time()
        directory = self.directory
        candidates = directory.candidates(service, now, unix_time(), tried, self._rng, full)
        size_kb = self._mean_size_kb.get(route.name, 0.0)
        exchange = ExchangeProfile(size_kb, route.kind is RequestKind.DOWNLOAD)
        mean_run_s = directory.mean_run_s(service)
        objective_s = route.objective_ms / MS_PER_S if self._near_first else 0.0
        allowance = Allowance(objective_s, objective - now, len(full))
        chosen = choose_near_first(candidates, now, self._rng, allowance, exchange, mean_run_s)
        return self._placement(chosen.target, 0) if chosen is not None else None

    def _owner_of(self, service: str, key: int) -> Placement | None:
        """Return the owner of a key; if none is reachable, request a newer key map."""
        key_map = self._maps.of(service)
        owned = key_map.range_of(key) if key_map is not None else None
        placement = None
        if key_map is not None and owned is not None and owned.owner:
            placement = self._placement(owned.owner, key_map.version)
        if placement is None or not self.directory.reachable(placement.target, boot_time()):
            self._request_map_from_planner(service)
            if owned is not None and owned.owner:
                self._returns_of(service).note_absent(owned.owner, boot_time())
        return placement

    def owner_return_delay_s(self, service: str, key: int) -> float:
        """Return the retry delay for a key whose owner is absent; 0 if it is not known."""
        key_map = self._maps.of(service)
        owned = key_map.range_of(key) if key_map is not None else None
        if not self._expects_returns or owned is None or not owned.owner:
            return 0.0
        return self._returns_of(service).retry_delay_s(owned.owner, boot_time())

    def _returns_of(self, service: str) -> OwnerReturns:
        return self._owner_returns.setdefault(service, OwnerReturns(self._rng))

    def _map_adopted(self, key_map: KeyMap) -> None:
        """Record which absent owners were replaced by a newer map."""
        returns = self._owner_returns.get(key_map.service)
        if returns is None or not returns.absent:
            return
        owners = {r.owner for r in key_map.ranges}
        replaced = [owner for owner in returns.absent if owner not in owners]
        if replaced:
            returns.note_replaced(replaced, boot_time())

    def _placement(self, target: str, map_version: int) -> Placement | None:
        member = self.directory.member_of(target)
        if member is None or self._is_drained(target) or self._has_left(target):
            return None
        local = member.instance == self._settings.instance
        return Placement(self.directory, target, member.peer_address, local, map_version)

    def _is_drained(self, target: str) -> bool:
        """Return whether the time for keyed requests in an owner's drained domain has expired."""
        since = self.directory.drained_since(target)
        return since is not None and boot_time() > since + self._settings.keyed_drain_s

    def _has_left(self, target: str) -> bool:
        """Return whether a target that leaves, as this daemon has forwarded, gets no more requests.

        The daemon beside the target applies this as well, but forgets it in a restart.
        """
        since = self.directory.leaving_since(target)
        return refuses_work(since, self._settings.drain_s, boot_time())

    def is_wholly_drained(self, service: str) -> bool:
        """Return whether all failure domains with targets of a service are drained."""
        return self.directory.is_wholly_drained(service)

    def sheds(self, service: str, key: int) -> bool:
        """Return whether a request is shed here, as the owner of its key refuses most of them."""
        return self._sheds and self._shedding.sheds(service, key, boot_time())

    def key_refused(self, service: str, key: int) -> None:
        """Record that the owner of a key had no free capacity, or did not respond in time."""
        self._shedding.refused(service, key, boot_time())

    def key_served(self, service: str, key: int) -> None:
        """Record that the owner of a key has run a request."""
        self._shedding.served(service, key, boot_time())
        key_map, returns = self._maps.of(service), self._owner_returns.get(service)
        if key_map is not None and returns is not None and returns.absent:
            owned = key_map.range_of(key)
            returns.note_present(owned.owner if owned is not None else "")

    def has_other_target(self, service: str, tried: set[str]) -> bool:
        """Return whether a service has an available target that was not tried."""
        return self.directory.has_candidate(service, frozenset(tried))

    def idle_odds(self, service: str) -> FreeSlotOdds | None:
        """Return the odds that a service's targets have a free slot; None if that is not probed."""
        if not self._settings.overload.uses(Mechanism.IDLE_FIRST):
            return None
        return self._idle_odds.setdefault(service, FreeSlotOdds())

    def connection(self, address: str) -> PeerConnection | None:
        """Return the connection to another daemon, or None if it is not established."""
        return self._pool.ready(address)

    def connect(self, address: str) -> "Deferred[PeerConnection]":
        """Connect to another daemon; fails with PeerUnreachable."""
        return self._pool.connect(address)

    def count_arrival(self, service: str) -> None:
        """Count a request that a target has received for the first time, for the retry budget."""
        self._budget(service).request(boot_time())

    def take_repeat(self, service: str) -> bool:
        """Take one retry from the budget of a service; return whether one was available."""
        daemons = len(self.directory.members)
        return self._budget(service).take(boot_time(), daemons)

    def _budget(self, service: str) -> RetryWindow:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryWindow(self._settings.retries)
        return budget

    # -- results of attempts -------------------------------------------------------------

    def load_reported(self, target: str, load: TargetLoad) -> None:
        """Record the load that a target's response reported."""
        self.directory.note_load(target, load, boot_time())

    def target_leaves(self, target: str) -> None:
        """Record that a response, which is about to be forwarded, states that its target leaves."""
        if self.directory.note_leaving(target, boot_time()):
            self.log.emit("target_leaves", target=target, how="stated in a forwarded response")

    def exchange_completed(self, route: Route, size: int) -> None:
        """Record the size in bytes of a request and its response on a route."""
        kilobytes = size / BYTES_PER_KB
        mean = self._mean_size_kb.get(route.name, kilobytes)
        self._mean_size_kb[route.name] = mean + SIZE_WEIGHT * (kilobytes - mean)

    def target_failed(self, target: str) -> None:
        """Record a request that failed at a target."""
        view = self.directory.view(target)
        if view is not None:
            view.failed(boot_time())

    def target_succeeded(self, target: str) -> None:
        """Record a success at a target, which reduces the weight of its recent failures."""
        view = self.directory.view(target)
        if view is not None and view.failures:
            view.failures = view.recent_failures(boot_time()) * 0.7
            view.failed_at = boot_time()

    def target_unreachable(self, target: str, detail: str) -> None:
        """Record that a target's daemon could not be reached."""
        self.directory.note_unreachable(target, boot_time())
        self.log.emit("peer_unreachable", failure=True, target=target, detail=detail)

    def map_version_seen(self, service: str, map_version: int, placement: Placement) -> None:
        """Request the key map of a daemon that replied by a newer version than the one here."""
        if map_version > self._maps.version(service) and not placement.local:
            self._request_map(service, placement.address)

    # -- headers -------------------------------------------------------------------------

    def forwarded(self, request: CallerRequest, request_id: bytes) -> bytes:
        """Return the header lines that are forwarded to the target."""
        return self._dialect.forwarded(list(request.requestHeaders.getAllRawHeaders()), request_id)

    def content_identity(self, headers: bytes) -> bytes:
        """Return the part of the header lines that, beside the path, identifies the content."""
        return self._dialect.content_identity(headers)

    def response_headers(self, headers: bytes) -> bytes:
        """Return the header lines of a response that are forwarded to the caller."""
        return self._dialect.response_headers(headers)

    def refusal_headers(self, request_id: bytes, retry_after_s: float) -> bytes:
        """Return the header lines of a response that pearward generates itself."""
        return self._dialect.refusal_headers(request_id, retry_after_s)
