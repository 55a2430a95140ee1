"""The local target of a daemon: its heartbeats, keys, slots and requests."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from twisted.internet.defer import Deferred, succeed

from pearward_coordination.former_incarnation import Registration
from pearward_coordination.grant_calls import CALL_TRANSIT_S
from pearward_coordination.grants import GrantManager, ReleasedRow
from pearward_coordination.incarnations import IncarnationTracker
from pearward_coordination.key_load import KeyCounter
from pearward_coordination.link_queue import LinkQueue
from pearward_coordination.messages import KeyReport
from pearward_protocol.heads import RequestHead
from pearward_state.keymap import KeyMap, Predecessor
from pearward_state.members import Departure, TargetState, target_id
from pearward_state.outcome import Outcome, Reason
from pearward_state.routes import ServiceRules
from pearward_transport.clock import boot_time, unix_time
from pearward_transport.errors import ServerUnreachable
from pearward_transport.http_client import ServerClient
from pearward_transport.server_connection import ServerConnection

from ..exchange import ReplySink
from .call_delivery import CallDelivery
from .crash_guard import CrashGuard, QuarantineRejection
from .dialect import (
    Dialect,
    GrantPort,
    HeartbeatResponse,
    ResponseFacts,
    TargetHeartbeat,
    TargetLeave,
)
from .grant_delivery import GrantDelivery
from .heartbeat_responses import HeartbeatResponses
from .log import DecisionLog
from .parked_requests import ParkedRequests
from .settings import GrantMode, MeshSettings
from .target_departure import UNKNOWN_START, TargetDeparture
from .target_identity import TargetIdentity
from .target_info import LocalTargetListener, TargetInfo
from .target_request import TargetRequest
from .target_signals import TargetSignals
from .target_slots import TargetSlots
from .termination_detector import END_CHECK_S, TerminationDetector

__all__ = ["LocalTarget"]

HEARTBEAT_TIMEOUT_S = 4.0
"""Seconds without a heartbeat after which a target is published as draining. Heartbeats may be
late by seconds; a terminated target is detected sooner by its connections."""
MOVED_RETRY_S = 0.05
"""Seconds after which a caller should retry a request that was refused as moved."""
COLD_ESTIMATE_TOLERANCE_S = 1.0
"""Seconds by which a target's estimate of its cold time must change to be published again."""
LEAVE_RECORD_TIMEOUT_S = 0.5
"""Seconds after which a leave is acknowledged though the store has not confirmed its record.
Targets accept an acknowledgement within one second."""
MAX_LOGGED_IDS = 64
"""Number of target ids for which an unreadable heartbeat is logged; real targets do not use
more than these."""
MS_PER_S = 1000
RESTART_S = 1.2
"""Seconds until a daemon that shuts down now is restarted and serves its target again."""


class LocalTarget:
    """Manages the local target: heartbeats, key grants, slots and requests."""

    def __init__(
        self,
        reactor: Any,
        settings: MeshSettings,
        dialect: Dialect,
        log: DecisionLog,
        client: ServerClient,
        link: LinkQueue,
        grants: GrantPort,
        guard: CrashGuard,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._dialect = dialect
        self._log = log
        self._client = client
        self._grant_manager = GrantManager(settings.service, boot_time(), settings.holds)
        self._slots = TargetSlots(settings.overload, link, reactor.callLater)
        self._signals = TargetSignals(self._slots.rate, log)
        self._counter = KeyCounter()
        self._link = link
        self._open: set[TargetRequest] = set()
        self._parked = ParkedRequests()
        self._guard = guard
        self._termination = TerminationDetector(client, self._target_listening, self._target_ended)
        self._delivery = self._make_delivery(settings.grant_mode, grants)
        self._incarnations = IncarnationTracker()
        self._identity = TargetIdentity(
            self._incarnations, self._grant_manager, log,
            reports_keys=settings.grant_mode is GrantMode.HEARTBEAT,
        )  # fmt: skip
        self._info: TargetInfo | None = None
        self._keyed = False
        self._drained_since: float | None = None
        self._departure = TargetDeparture(settings.drain_s, log)
        self._unheard_departed = ""
        """Id of a target that leaves and has sent no heartbeat to this process."""
        self._silent = False
        self._stopping = False
        self._refusing = False
        self._listener: LocalTargetListener | None = None
        self._reported_ended: list[str] = []
        self._slowness = 1.0
        self._unreadable: set[str] = set()
        """Ids whose unreadable heartbeats have been logged; each is logged once."""

    def _make_delivery(self, mode: GrantMode, grants: GrantPort) -> GrantDelivery:
        if mode is GrantMode.CALL:
            return CallDelivery(
                self._reactor, self._grant_manager, grants, self._log, self._parked.admit,
                self._keys_released, self._map_outdated, self._other_target_found,
            )  # fmt: skip
        return HeartbeatResponses(
            self._reactor, self._grant_manager, self._log, self._parked.admit_all
        )

    # -- properties -------------------------------------------------------------

    @property
    def client(self) -> ServerClient:
        """Client that holds the connections to the target."""
        return self._client

    @property
    def grant_manager(self) -> GrantManager:
        """Manager of the keys that are granted to the target."""
        return self._grant_manager

    @property
    def is_identified(self) -> bool:
        """Whether it is certain which incarnation of the target sent the last heartbeat."""
        return self._identity.is_certain

    @property
    def slots(self) -> TargetSlots:
        """Slots of the target, with running and queued requests."""
        return self._slots

    @property
    def info(self) -> TargetInfo | None:
        """Published state of the target; None while there is no target."""
        return self._info

    @property
    def map_version(self) -> int:
        """Version of the key map in use; 0 before there is one."""
        key_map = self._grant_manager.key_map
        return key_map.version if key_map is not None else 0

    @property
    def slowness(self) -> float:
        """Ratio of the target's current to its usual processing time, as it last reported."""
        return self._slowness

    @property
    def drained_since(self) -> float | None:
        """Start of the failure domain's drain in s of the steady clock; None if not drained."""
        return self._drained_since

    @property
    def open_requests(self) -> int:
        """Number of requests without a complete response."""
        return len(self._open)

    def listen(self, listener: LocalTargetListener) -> None:
        """Notify *listener* of changes, and start to watch the target process."""
        self._listener = listener
        self._reactor.callLater(END_CHECK_S, self._watch_target)

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Any:
        """Run *call* after *delay_s* seconds."""
        return self._reactor.callLater(delay_s, call)

    # -- heartbeats -------------------------------------------------------------------

    def target_heartbeat(self, target_heartbeat: TargetHeartbeat) -> "Deferred[HeartbeatResponse]":
        """Process a heartbeat; its response may be delayed until the target's keys change."""
        now = boot_time()
        if target_heartbeat.service != self._settings.service:
            self.log_invalid_heartbeat(
                target_heartbeat.target, f"service {target_heartbeat.service!r} does not run here"
            )
            return succeed(HeartbeatResponse())
        incarnation = self._incarnation_of(target_heartbeat, now)
        if incarnation is None:
            return self._ignore_late(target_heartbeat, now)
        reported = target_heartbeat
        target_heartbeat = replace(target_heartbeat, target=incarnation)
        if self._grant_manager.has_ended(target_heartbeat.target) or self._is_stale(
            target_heartbeat, now
        ):
            return self._ignore_late(target_heartbeat, now)
        self._incarnations.heard(now)
        self._identity.accepted(reported, now)
        self._silent = False
        self._termination.heartbeat_received()
        if target_heartbeat.target != self._grant_manager.target:
            self._begin_incarnation(target_heartbeat)
        self._grant_manager.heartbeat(now, target_heartbeat.held, target_heartbeat.released)
        self._slots.rate.cold.set_cold_time(target_heartbeat.cold_s, now)
        self._signals.expire(target_heartbeat.target, now)
        self._slots.apply_limits()
        self._update_state(target_heartbeat, now)
        if target_heartbeat.released and self._listener is not None:
            self._listener.keys_changed()
        response = self._delivery.respond(
            now, at_once=bool(target_heartbeat.released) or self._departure.announced
        )
        self.update_grants()
        return response

    def _ignore_late(
        self, target_heartbeat: TargetHeartbeat, now: float
    ) -> "Deferred[HeartbeatResponse]":
        """Answer a heartbeat that the present incarnation did not send, or sent earlier."""
        self._log.emit(
            "late_heartbeat_ignored", target=target_heartbeat.target,
            sequence=target_heartbeat.sequence, current_target=self._grant_manager.target,
            last_heartbeat_age_s=round(now - self._incarnations.last, 3),
            leaves=self._incarnations.leaves(target_id(target_heartbeat.target)),
        )  # fmt: skip
        return succeed(HeartbeatResponse())

    def _incarnation_of(self, target_heartbeat: TargetHeartbeat, received: float) -> str | None:
        """Return the incarnation that sent a heartbeat, or None if the heartbeat is outdated."""
        return self._identity.incarnation_of(
            target_heartbeat, received, round(unix_time() * MS_PER_S),
            process_ended=self._delivery.process_ended,
        )  # fmt: skip

    def log_invalid_heartbeat(self, target: str, error: str) -> None:
        """Log an unreadable heartbeat once for each target id; it changes nothing else."""
        if target not in self._unreadable and len(self._unreadable) < MAX_LOGGED_IDS:
            self._unreadable.add(target)
            self._log.emit("heartbeat_unreadable", failure=True, target=target, error=error)

    def _is_stale(self, target_heartbeat: TargetHeartbeat, now: float) -> bool:
        """Return whether a heartbeat is a delayed one of a former target."""
        present = self._grant_manager.target
        if not present or target_heartbeat.target == present:
            return False
        if target_id(target_heartbeat.target) == target_id(present):
            # A later incarnation of this id: those of earlier ones were already filtered out.
            return False
        return self._incarnations.is_stale(
            target_heartbeat.sequence, self._client.open_connections, now
        )

    def leave(self, leave: TargetLeave) -> "Deferred[None]":
        """Mark the target as draining: it announced its end and sends no more heartbeats.

        The Deferred fires when the leave may be acknowledged: it is recorded, or the store does
        not answer.
        """
        self._log.emit("leave_received", target=leave.target, current=self._grant_manager.target)
        info = self._info
        if info is not None and leave.target == target_id(info.target):
            recorded = self._announce_departure(
                info.target, "termination announced", boot_time(), silent=True
            )
        elif info is None:
            self._unheard_departed = leave.target
            recorded = self._record_departure(leave.target, silent=True)
        else:
            # Of a former target: the record is for the present one.
            self._incarnations.leave_announced(leave.target, boot_time(), silent=True)
            recorded = succeed(None)
        acknowledged: Deferred[None] = Deferred()
        timer = self._reactor.callLater(LEAVE_RECORD_TIMEOUT_S, acknowledged.callback, None)

        def on_recorded(_: object) -> None:
            if timer.active():
                timer.cancel()
                acknowledged.callback(None)

        recorded.addCallback(on_recorded)
        return acknowledged

    def _announce_departure(
        self, target: str, how: str, since: float, *, silent: bool = False
    ) -> "Deferred[None]":
        """Mark the target as draining since a time in s, and record that it leaves.

        A *silent* one sends no more heartbeats.
        """
        self._departure.announce(target, how, since)
        recorded = self._record_departure(target_id(target), silent=silent)
        self._publish_state()
        return recorded

    def _record_departure(self, target: str, *, silent: bool) -> "Deferred[None]":
        departure = self._incarnations.leave_announced(target, boot_time(), silent=silent)
        if self._listener is None:
            return succeed(None)
        return self._listener.departure_announced(departure)

    def set_former_departure(self, departure: Departure) -> None:
        """Apply the announced end of a target that an earlier run of this daemon acknowledged."""
        self._incarnations.departure_recorded(departure, boot_time())
        target = self._grant_manager.target
        if not target:
            self._unheard_departed = departure.target
        elif target_id(target) == departure.target:
            self._apply_former_departure(target)
            self._publish_state()

    def _apply_former_departure(self, target: str) -> None:
        """Mark an incarnation as draining if it announced its end before; else drop the record.

        Its drain time may be over.
        """
        if self._incarnations.leaves(target_id(target)):
            self._departure.announce(target, "announced before", UNKNOWN_START)
        elif self._listener is not None:
            self._listener.departure_over(target_id(target))

    def _begin_incarnation(self, target_heartbeat: TargetHeartbeat) -> None:
        former = self._grant_manager.target
        if former:
            self._record_end(former, "heartbeat of its next incarnation")
        self._guard.target_began()
        same_id = bool(former) and target_id(former) == target_id(target_heartbeat.target)
        if same_id and self._incarnations.is_presumed(target_id(target_heartbeat.target)):
            self._grant_manager.target_presumed_replaced(target_heartbeat.target, boot_time())
        else:
            self._grant_manager.target_changed(target_heartbeat.target)
            if former:
                self._reported_ended.append(former)
        self._delivery.target_changed()
        self._client.close()
        self._departure.forget()
        self._unheard_departed = ""
        self._apply_former_departure(target_heartbeat.target)
        self._slots.rate.advertised.target_changed(known=bool(former))
        self._slots.set_slots(target_heartbeat.slots)
        self._log.emit(
            "target_first_heartbeat", target=target_heartbeat.target, former=former,
            slots=target_heartbeat.slots, sequence=target_heartbeat.sequence,
        )  # fmt: skip

    def _update_state(self, target_heartbeat: TargetHeartbeat, now: float) -> None:
        """Publish the state of the target if a heartbeat changed it."""
        if target_heartbeat.state is TargetState.DRAINING:
            # Without an earlier heartbeat nothing shows when the drain began.
            since = now if self._info is not None else UNKNOWN_START
            if not self._departure.announced:
                self._announce_departure(target_heartbeat.target, "draining", since)
        cold_until = unix_time() + target_heartbeat.cold_s if target_heartbeat.cold_s > 0.0 else 0.0
        if self._info is not None and self._info.target == target_heartbeat.target:
            cold_until = _stable_estimate(self._info.cold_until, cold_until)
        self._publish(
            TargetInfo(target_heartbeat.target, target_heartbeat.slots, self._state(), cold_until)
        )

    def _state(self) -> TargetState:
        given_up = self._stopping and not self._keyed
        leaving = self._departure.announced or self._silent or given_up
        return TargetState.DRAINING if leaving else TargetState.READY

    def _publish(self, info: TargetInfo | None) -> None:
        if info == self._info:
            return
        self._info = info
        if self._listener is not None:
            self._listener.target_info_changed(info)

    def _publish_state(self) -> None:
        info = self._info
        if info is not None:
            self._publish(TargetInfo(info.target, info.slots, self._state(), info.cold_until))

    def stop(self) -> None:
        """Stop this daemon; publish the target as draining unless its service is keyed.

        Other targets cannot serve its keys in the meantime.
        """
        self._stopping = True
        self._publish_state()
        self.update_grants()

    def update_grants(self) -> None:
        """Deliver due grants and releases, request missing keys, re-evaluate parked requests."""
        now = boot_time()
        grant_manager = self._grant_manager
        if (
            grant_manager.must_release(now)
            or grant_manager.has_new_grants_ready(now)
            or self._stopping
        ):
            self._delivery.deliver()
        self._request_pending(now)
        self._parked.admit_all()

    def _request_pending(self, now: float) -> None:
        """Request keys that predecessors still hold; log the waiting time once all are released."""
        pending = self._grant_manager.pending(now)
        if pending:
            self._parked.gap.start(now)
            if self._listener is not None:
                self._listener.keys_missing()
        elif (waited_s := self._parked.gap.finish(now)) is not None:
            self._log.emit(
                "keys_released_by_others", target=self._grant_manager.target, map=self.map_version,
                waited_s=round(waited_s, 3), parked=len(self._parked),
            )  # fmt: skip

    def refuse_new(self) -> None:
        """Refuse new requests for the target because this daemon is about to shut down."""
        self._refusing = True

    # -- keys ------------------------------------------------------------------------

    def set_rules(self, rules: ServiceRules | None) -> None:
        """Apply the configuration of the target's service."""
        self._keyed = rules is not None and rules.keyed
        self._delivery.set_keyed(self._keyed)
        per_s = rules.cold_per_s if rules is not None else 0.0
        self._slots.rate.cold.set_rate(per_s * self._settings.cold_overage)

    def set_drained(self, since: float | None) -> None:
        """Set when the drain of the target's failure domain began; None if it is not drained.

        A target without requests may turn cold, and its heartbeat reports this only later.
        """
        if since is None and self._drained_since is not None:
            self._slots.rate.cold.suspect_cold(boot_time())
        self._drained_since = since

    def adopt(self, key_map: KeyMap) -> None:
        """Adopt a newer key map."""
        if not self._grant_manager.adopt(key_map, boot_time()):
            return
        owned = key_map.owned_by(self._grant_manager.target)
        self._log.emit(
            "key_map_adopted", service=key_map.service, version=key_map.version,
            ranges=len(owned), keys=sum(r.size for r in owned),
            pending=len(self._grant_manager.pending(boot_time())),
        )  # fmt: skip
        self.update_grants()
        if self._listener is not None:
            self._listener.keys_changed()

    def released_by_predecessor(
        self, predecessor: Predecessor, rows: tuple[ReleasedRow, ...]
    ) -> None:
        """Record the release of keys by a predecessor of the local target."""
        for row in rows:
            self._grant_manager.note_predecessor_released(predecessor, row)
        self.update_grants()

    def _keys_released(self) -> None:
        if self._listener is not None:
            self._listener.keys_changed()

    def _other_target_found(self, addressed: str) -> None:
        """Record that another incarnation replies at the address; the next heartbeat identifies it.

        After a restart of this daemon, a long delayed heartbeat may be accepted as the first
        one; without this record the running target's own would then be rejected as late.
        """
        if addressed == self._grant_manager.target and self._incarnations.note_other_incarnation():
            self._log.emit("other_target_detected", failure=True, target=addressed)

    def _map_outdated(self) -> None:
        if self._listener is not None:
            self._listener.map_outdated()

    def take_report(self) -> KeyReport:
        """Return the report for the key planner, with the key counts since the last report."""
        info = self._info
        return KeyReport(
            service=self._settings.service,
            target=info.target if info is not None else "",
            version=self.map_version,
            capacity=self._slots.capacity(),
            draining=info is None or info.state is TargetState.DRAINING,
            ended=tuple(self._reported_ended[-16:]),
            confirmed=tuple(self._grant_manager.confirmed()),
            counts=self._counter.take(),
            limited=self._slots.rate.per_s(boot_time()) is not None,
        )

    def set_former_incarnations(
        self, targets: list[str], registration: Registration | None
    ) -> None:
        """Set the incarnations that earlier runs of this daemon served, the newest last.

        *registration* is the recent entry of the last one, if there is one.
        """
        provisional = self._identity.set_former_incarnations(targets, registration)
        if provisional is not None:
            self._identify(*provisional)

    def _identify(self, target_heartbeat: TargetHeartbeat, received: float) -> None:
        """Replace the provisional id under which a heartbeat was received."""
        incarnation = self._incarnation_of(target_heartbeat, received)
        if incarnation is None or incarnation == self._grant_manager.target:
            return
        self._grant_manager.target_identified(incarnation)
        self._delivery.target_changed()
        self._grant_manager.heartbeat(received, target_heartbeat.held, target_heartbeat.released)
        if self._info is not None:
            self._publish(replace(self._info, target=incarnation))

    def note_ended(self, target: str) -> None:
        """Record that an incarnation served by an earlier run of this daemon has terminated.

        One with the id of the present target is possibly the same process, unless its start time
        shows that it is not: an earlier run may have presumed a new incarnation.
        """
        present = target_id(self._grant_manager.target)
        if target_id(target) == present and not self._incarnations.reports_start_time(present):
            self._grant_manager.note_presumed_ended(target, CALL_TRANSIT_S)
            return
        self._grant_manager.note_ended(target)
        if self._grant_manager.has_ended(target) and target not in self._reported_ended:
            self._reported_ended.append(target)

    # -- requests ------------------------------------------------------------------------

    def take(self, head: RequestHead, ended: bool, body: bytes, reply: ReplySink) -> TargetRequest:
        """Create a request for the target; its begin() starts it."""
        request = TargetRequest(self, head, ended, body, reply)
        self._open.add(request)
        if self._keyed and head.key and self._owns(head.position):
            self._counter.count(head.position)
        return request

    def _owns(self, position: int) -> bool:
        """Return whether the target owns a key by the map in force.

        A request that is refused as moved and sent again to its former owner is not load.
        """
        key_map = self._grant_manager.key_map
        owned = key_map.range_of(position) if key_map is not None else None
        return owned is not None and self._info is not None and owned.owner == self._info.target

    def rejection(self, head: RequestHead) -> Reason | None:
        """Return the reason to reject a request now, or None if the target may run it."""
        info = self._info
        if info is None or (head.target and head.target != info.target):
            return Reason.MOVED
        if self._refusing:
            return Reason.DRAINING
        now = boot_time()
        if self._is_drained_for(head, now):
            return Reason.MOVED
        if self._departure.refuses_work(now):
            return Reason.DRAINING
        if not self._keyed or not head.key:
            return None
        if self._grant_manager.serves(head.position, now):
            return None
        return Reason.NOT_READY if self._owns(head.position) else Reason.MOVED

    def _is_drained_for(self, head: RequestHead, now: float) -> bool:
        """Return whether a request is rejected because the failure domain is drained.

        Keyed requests are served until their keys are handed over, at most for the
        configured drain time.
        """
        since = self._drained_since
        if since is None:
            return False
        if not self._keyed or not head.key:
            return True
        return now > since + self._settings.keyed_drain_s

    def park(self, request: TargetRequest, deadline_left_s: float) -> float:
        """Park a request until its key is granted; return the maximum wait in s, 0 if refused."""
        return self._parked.park(
            request, deadline_left_s, self._slots.load().service_s, boot_time()
        )

    def unpark(self, request: TargetRequest) -> None:
        """Remove a request from those that wait for their key."""
        self._parked.unpark(request)

    def retry_delay_s(self, reason: Reason) -> float:
        """Return the seconds after which the caller of a refused request should retry."""
        if reason is Reason.NOT_READY:
            return self._parked.gap.left_s(boot_time())
        return RESTART_S if self._refusing else MOVED_RETRY_S

    def quarantine_rejection(self, request: TargetRequest) -> QuarantineRejection | None:
        """Return why quarantine rejects a request, or None if the target may run it."""
        return self._guard.rejection(request, self._slots.load().service_s, boot_time())

    def headers(self, head: RequestHead, left_ms: int) -> bytes:
        """Return the header lines for the target."""
        target = self._info.target if self._info is not None else head.target
        return self._dialect.target_headers(head.headers, target, head.caller_service, left_ms)

    def content_identity(self, headers: bytes) -> bytes:
        """Return the header lines that, with the path, identify the content of a request."""
        return self._dialect.content_identity(headers)

    def facts(self, headers: bytes) -> ResponseFacts:
        """Parse the headers of a response of the target."""
        return self._dialect.response_facts(headers)

    def response_received(self, target: str, facts: ResponseFacts, sent_at: float) -> None:
        """Process the head of a response of *target* itself to a request sent at *sent_at*."""
        if target != self._grant_manager.target:
            return
        if facts.load is not None and facts.load.slowness is not None:
            self._slowness = facts.load.slowness
        now = boot_time()
        if self._signals.response(target, facts, sent_at, now):
            self._slots.apply_limits()
        if facts.leaving and not self._departure.announced:
            self._announce_departure(target, "stated in a response", now)

    def response_forwarded(self, target: str, facts: ResponseFacts, sent_at: float) -> None:
        """Process a complete response of *target* that is forwarded to the caller."""
        if target != self._grant_manager.target:
            return
        if self._signals.response_ended(target, facts, sent_at, boot_time()):
            self._slots.apply_limits()

    def sent(self, head: RequestHead, left_ms: int, connection: ServerConnection) -> None:
        """Record that a request is sent to the target over *connection*."""
        self._log.emit(
            "sent_to_target", id=_text(head.request_id), target=head.target, left_ms=left_ms,
            connection=connection.local_port, running=self._slots.running,
            waiting=self._slots.waiting, map=self.map_version,
        )  # fmt: skip

    def surplus_response(
        self, head: RequestHead, facts: ResponseFacts, connection: ServerConnection
    ) -> None:
        """Record a response to another request than the one that *connection* carries."""
        self._log.emit(
            "surplus_response_skipped", failure=True, id=_text(head.request_id),
            response_id=_text(facts.request_id), target=head.target,
            connection=connection.local_port,
        )  # fmt: skip

    def ended(
        self,
        request: TargetRequest,
        outcome: Outcome,
        reason: Reason | None,
        detail: str,
        took_s: float,
    ) -> None:
        """Record the end of a request, whether answered or abandoned."""
        self._open.discard(request)
        head = request.head
        content = self._guard.ended(request, _text(head.request_id), outcome, reason, boot_time())
        if outcome is Outcome.SERVED:
            return
        self._log.emit(
            "not_served_here", failure=True, id=_text(head.request_id),
            outcome=outcome.value, reason=reason.value if reason else "", detail=detail,
            ms=round(took_s * 1000), running=self._slots.running,
            waiting=self._slots.waiting, link_s=round(self._link.backlog_s(boot_time()), 3),
            map=self.map_version, content=content, **self._limit_fields(),
        )  # fmt: skip

    def _limit_fields(self) -> dict[str, float]:
        """Return the advertised rate limit and its age for a log line; nothing if there is none."""
        advertised = self._slots.rate.advertised
        if advertised.per_s is None:
            return {}
        return {
            "limit_per_s": advertised.per_s,
            "limit_age_s": round(advertised.age_s(boot_time()), 3),
        }

    # -- the target's end ----------------------------------------------------------

    def unreachable(self, error: ServerUnreachable) -> None:
        """Record a failed connection attempt to the target."""
        if error.refused and self._termination.refused():
            # The process that listens on this port next will have just started.
            self._slots.rate.cold.suspect_cold(boot_time())

    def _watch_target(self) -> None:
        """Check for silence, and probe a target that drains or had a connection fail."""
        self._reactor.callLater(END_CHECK_S, self._watch_target)
        now = boot_time()
        self._reported_ended.extend(self._grant_manager.take_expired_incarnations(now))
        info = self._info
        if info is None:
            if self._unheard_departed:
                self._termination.check(suspected=True, leaves=True)
            return
        if not self._silent and now - self._incarnations.last > HEARTBEAT_TIMEOUT_S:
            self._log.emit(
                "target_silent",
                target=info.target,
                last_heartbeat_age_s=round(now - self._incarnations.last, 3),
            )
            self._silent = True
            self._publish_state()
        suspected = self._departure.is_overdue(now) or self._guard.target_suspected
        self._termination.check(suspected=suspected, leaves=self._departure.announced)

    def _target_listening(self) -> None:
        """Record that the target's port accepts connections: the target is running."""
        self._guard.target_listening(boot_time())

    def _record_end(self, target: str, shown_by: str) -> None:
        """Record the end of an incarnation as a crash or as an announced termination.

        A draining target serves until its drain time has expired; ending sooner is a crash.
        """
        now = boot_time()
        if self._departure.is_overdue(now):
            self._guard.target_left(now)
        else:
            self._guard.target_crashed(target, shown_by, now, unix_time())

    def _target_ended(self) -> None:
        if self._info is None:
            self._departed_ended(self._unheard_departed)
            return
        target = self._grant_manager.target
        self._record_end(target, "its port refuses")
        self._log.emit("target_ended", target=target, evidence="its port refuses")
        self._departure.forget()
        self._departed_ended(target_id(target))
        self._grant_manager.target_ended()
        self._reported_ended.append(target)
        self._publish(None)
        if self._listener is not None:
            self._listener.keys_changed()

    def _departed_ended(self, target: str) -> None:
        """Note that a target which may have announced its end has ended, by its id."""
        self._unheard_departed = ""
        self._incarnations.ended(target)
        if target and self._listener is not None:
            self._listener.departure_over(target)


def _stable_estimate(before: float, now: float) -> float:
    """Return the Unix time in s to publish; clock drift and rounding do not change it."""
    return before if abs(now - before) < COLD_ESTIMATE_TOLERANCE_S else now


def _text(request_id: bytes) -> str:
    return request_id.decode("latin-1")
