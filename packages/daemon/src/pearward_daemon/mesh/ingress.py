"""The callers' side: routes, targets to choose from, and what all requests share."""

import math
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from pearward_coordination.directory import Directory
from pearward_coordination.overload.key_shedding import KeyShedding
from pearward_coordination.overload.policy import Mechanism
from pearward_coordination.overload.returns import UsualDeadline
from pearward_coordination.quarantine import Quarantine
from pearward_coordination.retry_window import RetryWindow
from pearward_coordination.selection import (
    Exchange,
    IdleOdds,
    TargetLoad,
    WeightedTurns,
    choose_target,
)
from pearward_protocol.errors import BadHeader
from pearward_state.routes import RequestKind, Route, RoutingTable
from pearward_transport.caller_request import BodySink, CallerRequest
from pearward_transport.clock import boot_time, unix_time
from pearward_transport.peer import PeerPool
from pearward_transport.peer_connection import PeerConnection

from .dialect import Dialect
from .key_maps import KeyMaps
from .log import DecisionLog
from .routed_request import RoutedRequest
from .settings import MeshSettings
from .target_side import TargetSide

__all__ = ["MeshIngress", "Placement", "RequestMetrics"]

WINDOW = 128 * 1024
"""Bytes of one stream that may be under way between two daemons."""
BAD_REQUEST, NOT_FOUND, TOO_LARGE, UNAVAILABLE = 400, 404, 413, 503
BYTES_PER_KB = 1000
MS_PER_S = 1000
SIZE_WEIGHT = 0.05
"""Weight of the newest exchange in the mean size of a route's exchanges."""
NO_CONFIGURATION_RETRY_S = 0.5


class RequestMetrics(Protocol):
    """Takes what is counted of requests."""

    def request_ended(self, route: str, service: str, how: str, took_s: float) -> None:
        """Count a caller's request that ended."""


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
        """Count the attempt as under way."""
        view = self._directory.view(self.target)
        if view is not None:
            view.in_flight += 1

    def attempt_ended(self) -> None:
        """Stop counting the attempt."""
        view = self._directory.view(self.target)
        if view is not None:
            view.in_flight = max(0, view.in_flight - 1)


class _DiscardedBody:
    """Takes the rest of a request that was answered at once."""

    def body_received(self, data: bytes) -> None:
        """Nobody needs it."""

    def body_ended(self) -> None:
        """Nobody needs it."""

    def caller_lost(self) -> None:
        """The answer was sent."""

    def resume(self) -> None:
        """The answer was sent whole."""

    def pause(self) -> None:
        """The answer was sent whole."""


class MeshIngress:
    """All requests of the callers on this instance."""

    def __init__(
        self,
        reactor: Any,
        settings: MeshSettings,
        dialect: Dialect,
        directory: Directory,
        key_maps: KeyMaps,
        local_target: TargetSide,
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
        self._turns: dict[tuple[str, tuple[Any, ...]], WeightedTurns] = {}
        self._budgets: dict[str, RetryWindow] = {}
        self._mean_size_kb: dict[str, float] = {}
        """Mean size of a request and its answer, by route."""
        self._usual_deadlines: dict[str, UsualDeadline] = {}
        """Time that callers usually allow for their first try, by route."""
        self._idle_odds: dict[str, IdleOdds] = {}
        self._shedding = KeyShedding(rng)
        self._sheds = settings.overload.uses(Mechanism.SHED_KEYS)
        self._open: set[RoutedRequest] = set()
        self._stopping = False
        self._ends_at = math.inf
        """Time in s at which this daemon ends; nothing reaches a caller from then on."""
        self._refusal_retry_s = 0.0
        self.directory = directory
        self.quarantine = quarantine
        self.local_target = local_target
        self.log = log

    # -- properties -------------------------------------------------------------

    @property
    def open_requests(self) -> int:
        """Callers' requests that are not answered yet."""
        return len(self._open)

    @property
    def ends_at(self) -> float:
        """Time in s at which this daemon ends; infinite until it is told to stop."""
        return self._ends_at

    @property
    def caller_service(self) -> str:
        """Service on whose instance the requests begin."""
        return self._settings.service

    @property
    def window(self) -> int:
        """Bytes that may be under way to the target beside this daemon."""
        return WINDOW

    def set_table(self, table: RoutingTable) -> None:
        """Put a newer configuration in force; routes that did not change keep their turns."""
        self._table = table
        names = {route.name for route in table.routes}
        self._usual_deadlines = {
            n: usual for n, usual in self._usual_deadlines.items() if n in names
        }
        self._mean_size_kb = {name: kb for name, kb in self._mean_size_kb.items() if name in names}
        present = {(route.name, route.services) for route in table.routes}
        self._turns = {key: turns for key, turns in self._turns.items() if key in present}

    def stop(self, ends_at: float) -> None:
        """Let callers' connections end with their next answer, and requests by *ends_at*."""
        self._stopping = True
        self._ends_at = ends_at

    def refuse_new(self, retry_after_s: float) -> None:
        """Turn new requests away from now on, to come back after some seconds."""
        self._refusal_retry_s = retry_after_s

    def cancel_open(self) -> int:
        """Tell callers without an answer that there will be none; return how many are cut."""
        for routed in list(self._open):
            routed.daemon_stopping()
        return len(self._open)

    # -- requests ---------------------------------------------------------------------

    def request_begun(self, request: CallerRequest, body_length: int | None) -> BodySink:
        """Take a request whose headers are in."""
        if self._stopping:
            request.close_after()
        try:
            intent = self._dialect.intent(request.header_values())
        except BadHeader as error:
            return self._answer(request, BAD_REQUEST, b"", str(error))
        if self._refusal_retry_s:
            return self._answer(
                request, UNAVAILABLE, intent.request_id, "stopping", self._refusal_retry_s
            )
        table = self._table
        if table is None:
            return self._answer(
                request, UNAVAILABLE, intent.request_id, "no configuration yet",
                NO_CONFIGURATION_RETRY_S,
            )  # fmt: skip
        if body_length is not None and body_length > table.limits.body_bytes:
            return self._answer(request, TOO_LARGE, intent.request_id, f"{body_length} bytes")
        path = request.uri.partition(b"?")[0].decode("latin-1")
        route = table.match(intent.host, path)
        if route is None:
            detail = f"{intent.host} {path} in version {table.version}"
            return self._answer(request, NOT_FOUND, intent.request_id, detail)
        routed = RoutedRequest(self, request, route, intent, body_length)
        self._open.add(routed)
        routed.begin()
        return routed

    def _answer(
        self,
        request: CallerRequest,
        status: int,
        request_id: bytes,
        detail: str,
        retry_after_s: float = 0.0,
    ) -> BodySink:
        """Answer at once, without any target."""
        headers = self._dialect.refusal_headers(request_id, retry_after_s)
        self.log.decided(
            "refused_at_once", failure=True, id=request_id.decode("latin-1"), status=status,
            detail=detail,
        )  # fmt: skip
        request.answer_whole(status, headers, b"")
        return _DiscardedBody()

    def request_finished(
        self, request: RoutedRequest, how: str, status: int, took_s: float
    ) -> None:
        """A request was answered, or its caller has left."""
        self._open.discard(request)
        outcome = how if status < 500 or how != "answered" else "target_failed"
        self._metrics.request_ended(request.route.name, request.service, outcome, took_s)

    # -- what requests ask ----------------------------------------------------------

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Any:
        """Run *call* after *delay_s* seconds."""
        return self._reactor.callLater(delay_s, call)

    def service_for(self, route: Route) -> str:
        """Return the service that a route's next request goes to."""
        if len(route.services) == 1:
            return route.services[0].service
        key = (route.name, route.services)
        turns = self._turns.get(key)
        if turns is None:
            turns = self._turns[key] = WeightedTurns(route.services, self._rng)
        return turns.next()

    def age_s(self, route: Route, deadline_ms: int | None, now: float) -> float:
        """Return the seconds since a caller's first try, by what it still allows."""
        if deadline_ms is None or not self._settings.overload.uses(Mechanism.AGED_RETURNS):
            return 0.0
        usual = self._usual_deadlines.setdefault(route.name, UsualDeadline())
        return usual.age_s(deadline_ms / MS_PER_S, now)

    def is_keyed(self, service: str) -> bool:
        """Return whether a service is divided by key."""
        rules = self._table.rules(service) if self._table is not None else None
        return rules is not None and rules.keyed

    def place(
        self,
        service: str,
        route: Route,
        key: int | None,
        tried: frozenset[str],
        asked: frozenset[str],
    ) -> Placement | None:
        """Return where the next attempt goes; None where nobody may be asked now.

        Targets in *tried* are left out, those in *asked* have just told their load.
        """
        if key is not None:
            return self._owner_of(service, key)
        now = boot_time()
        directory = self.directory
        candidates = directory.candidates(service, now, unix_time(), tried, self._rng, asked)
        size_kb = self._mean_size_kb.get(route.name, 0.0)
        exchange = Exchange(size_kb, route.kind is RequestKind.DOWNLOAD)
        usual_s = directory.usual_s(service)
        chosen = choose_target(candidates, now, self._rng, exchange, usual_s)
        return self._placement(chosen.target, 0) if chosen is not None else None

    def _owner_of(self, service: str, key: int) -> Placement | None:
        """Return the owner of a key; where none can be asked the map here may be old."""
        key_map = self._maps.of(service)
        owned = key_map.range_of(key) if key_map is not None else None
        placement = None
        if key_map is not None and owned is not None and owned.owner:
            placement = self._placement(owned.owner, key_map.version)
        if placement is None or not self.directory.reachable(placement.target, boot_time()):
            self._request_map_from_planner(service)
        return placement

    def _placement(self, target: str, map_version: int) -> Placement | None:
        member = self.directory.member_of(target)
        if member is None or self._is_drained(target):
            return None
        local = member.instance == self._settings.instance
        return Placement(self.directory, target, member.peer_address, local, map_version)

    def _is_drained(self, target: str) -> bool:
        """Return whether an owner of keys is where nothing may be sent any more."""
        since = self.directory.drained_since(target)
        return since is not None and boot_time() > since + self._settings.keyed_drain_s

    def is_wholly_drained(self, service: str) -> bool:
        """Return whether operators drain every failure domain that has targets of a service."""
        return self.directory.is_wholly_drained(service)

    def sheds(self, service: str, key: int) -> bool:
        """Return whether a request is refused here, as its key's owner turns most away."""
        return self._sheds and self._shedding.sheds(service, key, boot_time())

    def key_refused(self, service: str, key: int) -> None:
        """The owner of a key had no room for a request, or did not answer in time."""
        self._shedding.refused(service, key, boot_time())

    def key_served(self, service: str, key: int) -> None:
        """The owner of a key has run a request."""
        self._shedding.served(service, key, boot_time())

    def has_other_target(self, service: str, tried: set[str]) -> bool:
        """Return whether a service has a target that was not tried."""
        return self.directory.has_candidate(service, frozenset(tried))

    def idle_odds(self, service: str) -> IdleOdds | None:
        """Return how often targets of a service have a free place; None where nobody asks."""
        if not self._settings.overload.uses(Mechanism.IDLE_FIRST):
            return None
        return self._idle_odds.setdefault(service, IdleOdds())

    def connection(self, address: str) -> PeerConnection | None:
        """Return the connection to another daemon if it is up."""
        return self._pool.ready(address)

    def connect(self, address: str) -> "Deferred[PeerConnection]":
        """Connect to another daemon; fails with PeerUnreachable."""
        return self._pool.connect(address)

    def count_arrival(self, service: str) -> None:
        """A target of a service has received a request for the first time."""
        self._budget(service).request(boot_time())

    def take_repeat(self, service: str) -> bool:
        """Take one repeat from the budget of a service; return whether there was one."""
        daemons = len(self.directory.members)
        return self._budget(service).take(boot_time(), daemons)

    def _budget(self, service: str) -> RetryWindow:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryWindow(self._settings.retries)
        return budget

    # -- what requests learn -------------------------------------------------------------

    def load_reported(self, target: str, load: TargetLoad) -> None:
        """An answer told a target's load."""
        self.directory.loaded(target, load, boot_time())

    def exchange_completed(self, route: Route, size: int) -> None:
        """A request and its answer of *size* bytes were exchanged on a route."""
        kilobytes = size / BYTES_PER_KB
        mean = self._mean_size_kb.get(route.name, kilobytes)
        self._mean_size_kb[route.name] = mean + SIZE_WEIGHT * (kilobytes - mean)

    def target_failed(self, target: str) -> None:
        """A target failed a request."""
        view = self.directory.view(target)
        if view is not None:
            view.failed(boot_time())

    def target_succeeded(self, target: str) -> None:
        """A target answered as it should: half of what it failed lately is forgiven."""
        view = self.directory.view(target)
        if view is not None and view.failures:
            view.failures = view.recent_failures(boot_time()) * 0.7
            view.failed_at = boot_time()

    def target_unreachable(self, target: str, detail: str) -> None:
        """The daemon beside a target could not be reached."""
        self.directory.unreachable(target, boot_time())
        self.log.decided("peer_unreachable", failure=True, target=target, detail=detail)

    def map_version_seen(self, service: str, map_version: int, placement: Placement) -> None:
        """A daemon answered by a key map of *map_version*: ask it for that if it is newer."""
        if map_version > self._maps.version(service) and not placement.local:
            self._request_map(service, placement.address)

    # -- headers -------------------------------------------------------------------------

    def forwarded(self, request: CallerRequest, request_id: bytes) -> bytes:
        """Return the header lines that are passed on to the target."""
        return self._dialect.forwarded(list(request.requestHeaders.getAllRawHeaders()), request_id)

    def named(self, headers: bytes) -> bytes:
        """Return what a request's header lines add to its path, to say what it asks for."""
        return self._dialect.named(headers)

    def answer_headers(self, headers: bytes) -> bytes:
        """Return the header lines of an answer that go back to the caller."""
        return self._dialect.answer_headers(headers)

    def refusal_headers(self, request_id: bytes, retry_after_s: float) -> bytes:
        """Return the header lines of an answer of pearward's own."""
        return self._dialect.refusal_headers(request_id, retry_after_s)
