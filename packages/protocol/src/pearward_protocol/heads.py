"""Heads of requests and responses between daemons, and the greeting, in Cap'n Proto."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from pearward_coordination.selection import TargetLoad
from pearward_state.outcome import Outcome, Reason, RequestClass

from .errors import FrameError

__all__ = [
    "PROTOCOL_VERSION",
    "Hello",
    "RequestHead",
    "ResponseHead",
    "decode_hello",
    "decode_request",
    "decode_response",
    "encode_hello",
    "encode_request",
    "encode_response",
    "schema",
]

PROTOCOL_VERSION = 1

capnp.remove_import_hook()
schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))

_OUTCOMES = tuple(Outcome)
_OUTCOME_NUMBERS = {outcome: number for number, outcome in enumerate(_OUTCOMES)}
_REASONS = {reason.value: reason for reason in Reason}
_US_PER_S = 1_000_000
_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Hello:
    """Who is at one end of a connection."""

    incarnation: str
    address: str
    sent_ms: int = 0
    """Time in ms of the sender's steady clock; 0 where it tells none."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A request on its way to the daemon beside its server."""

    service: str
    key: bytes
    request_id: bytes
    method: bytes
    path: bytes
    headers: bytes
    """Header block as HTTP/1.1 writes it: ``name: value`` lines that each end in CR LF."""
    deadline_ms: int
    """Milliseconds left when the frame was sent."""
    request_class: RequestClass
    tenant: str
    repeatable: bool
    prior_age_ms: int
    """Milliseconds since an earlier submission of the same id was first seen; 0 for none."""
    version: int
    """Version of the record that the route was chosen by."""
    task_id: str
    """Id under which logs of all daemons join."""
    position: int
    body_length: int
    """Bytes of the body; -1 where the sender does not know."""
    target: str = ""
    """Incarnation of the target that is to run it; empty where any incarnation may."""
    rank: int = 0
    """Urgency; 0 goes first."""
    objective_ms: int = 0
    """Milliseconds left, when the frame was sent, within which an answer is worth most."""
    caller_service: str = ""
    """Service beside which the request began."""
    last_target: bool = False
    """Whether no other target will be asked for a slot."""
    route: str = ""
    """Name of the route: requests of one route run about equally long."""
    idle_only: bool = False
    """Whether the target is passed over unless it has a free slot now."""
    sent_ms: int = 0
    """Time in ms of the sender's steady clock as the frame was made; 0 where it tells none."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The server's answer, or a daemon's own."""

    status: int
    outcome: Outcome
    reason: Reason | None = None
    headers: bytes = b""
    retry_after_ms: int = 0
    version: int = 0
    detail: str = ""
    body_length: int = -1
    load: TargetLoad | None = None
    """Load of the target that answered, or would have."""


def encode_hello(hello: Hello) -> bytes:
    """Return the payload of a HELLO frame."""
    message = schema.Hello.new_message(
        protocol=PROTOCOL_VERSION, incarnation=hello.incarnation, address=hello.address,
        sentMs=hello.sent_ms,
    )  # fmt: skip
    return message.to_bytes()


def decode_hello(payload: bytes) -> Hello:
    """Read a greeting; raises FrameError for another protocol version or garbage."""
    try:
        with schema.Hello.from_bytes(payload) as message:
            if message.protocol != PROTOCOL_VERSION:
                raise FrameError(f"peer speaks version {message.protocol}")
            return Hello(message.incarnation, message.address, message.sentMs)
    except (capnp.KjException, ValueError) as error:
        raise FrameError(f"greeting: {error}") from error


def encode_request(head: RequestHead) -> bytes:
    """Return the payload of a REQUEST frame."""
    message = schema.RequestHead.new_message()
    message.service = head.service
    message.key = head.key
    message.requestId = head.request_id
    message.method = head.method
    message.path = head.path
    message.headers = head.headers
    message.deadlineMs = head.deadline_ms
    message.requestClass = int(head.request_class)
    message.tenant = head.tenant
    message.repeatable = head.repeatable
    message.priorAgeMs = head.prior_age_ms
    message.version = head.version
    message.taskId = head.task_id
    message.position = head.position
    message.bodyLength = head.body_length
    if head.target:
        message.target = head.target
        message.rank = head.rank
        message.objectiveMs = head.objective_ms
        message.callerService = head.caller_service
        message.lastTarget = head.last_target
        message.route = head.route
        message.idleOnly = head.idle_only
        message.sentMs = head.sent_ms
    return message.to_bytes()


def decode_request(payload: bytes) -> RequestHead:
    """Read a request's head; raises FrameError."""
    try:
        with schema.RequestHead.from_bytes(payload) as message:
            return RequestHead(
                message.service,
                message.key,
                message.requestId,
                message.method,
                message.path,
                message.headers,
                message.deadlineMs,
                RequestClass(message.requestClass),
                message.tenant,
                message.repeatable,
                message.priorAgeMs,
                message.version,
                message.taskId,
                message.position,
                message.bodyLength,
                message.target,
                message.rank,
                message.objectiveMs,
                message.callerService,
                message.lastTarget,
                message.route,
                message.idleOnly,
                message.sentMs,
            )
    except (capnp.KjException, ValueError) as error:
        raise FrameError(f"request head: {error}") from error


def encode_response(head: ResponseHead) -> bytes:
    """Return the payload of a RESPONSE frame."""
    message = schema.ResponseHead.new_message()
    message.status = head.status
    message.outcome = _OUTCOME_NUMBERS[head.outcome]
    message.headers = head.headers
    message.version = head.version
    message.bodyLength = head.body_length
    if head.load is not None:
        message.running = head.load.running
        message.waiting = head.load.waiting
        message.slots = head.load.slots
        message.serviceUs = int(head.load.service_s * _US_PER_S)
        message.linkMs = int(head.load.link_s * _MS_PER_S)
    if head.reason is not None:
        message.reason = head.reason.value
        message.retryAfterMs = head.retry_after_ms
        message.detail = head.detail
    return message.to_bytes()


def decode_response(payload: bytes) -> ResponseHead:
    """Read a response's head; raises FrameError."""
    try:
        with schema.ResponseHead.from_bytes(payload) as message:
            outcome = _OUTCOMES[message.outcome]
            if outcome is Outcome.SERVED:
                # The common case has no refusal to read; each field read costs.
                return ResponseHead(
                    message.status,
                    outcome,
                    headers=message.headers,
                    version=message.version,
                    body_length=message.bodyLength,
                    load=_load(message),
                )
            return ResponseHead(
                message.status,
                outcome,
                _REASONS.get(message.reason),
                message.headers,
                message.retryAfterMs,
                message.version,
                message.detail,
                message.bodyLength,
                _load(message),
            )
    except (capnp.KjException, IndexError, ValueError) as error:
        raise FrameError(f"response head: {error}") from error


def _load(message: Any) -> TargetLoad | None:
    """Return the load that an answer carries; one without slots carries none."""
    slots = message.slots
    if not slots:
        return None
    return TargetLoad(
        message.running,
        message.waiting,
        slots,
        message.serviceUs / _US_PER_S,
        message.linkMs / _MS_PER_S,
    )
