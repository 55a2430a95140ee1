"""Interfaces and types that a platform's adapter implements for the daemon.

The types are independent of the headers and documents that carry their values on a platform;
all decisions are made on these types alone.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from twisted.internet.defer import Deferred

from pearward_coordination.grants import GrantedRow, HeldRow, ReleasedRow
from pearward_state.members import TargetState
from pearward_state.routes import RoutingTable

__all__ = [
    "CallerIntent",
    "Dialect",
    "GrantPort",
    "GrantReply",
    "GrantVerdict",
    "HeartbeatResponse",
    "ReleaseReply",
    "ReportedLoad",
    "ResponseFacts",
    "TargetHeartbeat",
    "TargetLeave",
]


@dataclass(frozen=True, slots=True)
class CallerIntent:
    """The metadata of a request, from the caller's headers."""

    request_id: bytes
    host: str
    deadline_ms: int | None
    """Milliseconds that the caller waits; None if not stated."""
    key: int | None
    """Key of the request; None if it has none."""


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load that a target reports; shown to operators, not used for decisions."""

    running: int
    waiting: int
    slots: int
    slowness: float | None
    """Present time of the target's work over its usual time; None if not reported."""


@dataclass(frozen=True, slots=True)
class ResponseFacts:
    """The metadata of a target's response, from its headers."""

    request_id: bytes
    not_run: bool
    """The target states that it did not run the request."""
    other_target: bool
    """Another incarnation has the address, or the target does not own the key."""
    signed: bool
    encoded: bool
    """The body was encoded in transit, so that it is not as the target sent it."""
    load: ReportedLoad | None
    rate_limit: float | None = None
    """Requests per second that the target takes from all senders together; None if it names none,
    or none that can be read."""
    unreadable_limit: bytes = b""
    """A rate limit that is not a number of requests per second; empty if there is none."""
    leaving: bool = False
    """The target states that it terminates shortly."""
    unknown: tuple[bytes, ...] = ()
    """Names of headers that this platform does not define, in lower case."""


@dataclass(frozen=True, slots=True)
class TargetHeartbeat:
    """A heartbeat of the local target."""

    target: str
    """Id of the target, which a later incarnation may have as well."""
    service: str
    address: str
    failure_domain: str
    slots: int
    state: TargetState
    cold_s: float
    """Remaining seconds in which the target, newly started, is slow."""
    sequence: int
    """Increases with each heartbeat of one incarnation; a delayed one has a lower number."""
    held: tuple[HeldRow, ...]
    released: tuple[ReleasedRow, ...]
    started_ms: int | None = None
    """Unix time in ms at which the target's process started; None if not stated."""


@dataclass(frozen=True, slots=True)
class TargetLeave:
    """Announcement of the local target that it stops, now or shortly."""

    target: str
    """Id of the target, without its incarnation."""


@dataclass(frozen=True, slots=True)
class HeartbeatResponse:
    """The response to a heartbeat, with all keys that the target is to hold, or without any."""

    rows: tuple[GrantedRow, ...] | None = None
    """Granted key ranges; the target releases all others. None renews nothing."""
    hold_s: float = 0.0


class GrantVerdict(Enum):
    """The result of a grant that was made by a call."""

    TAKEN = "taken"
    NEWER_SEEN = "newer seen"
    """The target has seen a higher fence on one of the keys; nothing was granted."""
    MALFORMED = "malformed"
    """The target could not parse the call; nothing was granted."""
    NOT_SENT = "not sent"
    """There was no connection; nothing was granted."""
    UNANSWERED = "unanswered"
    """The grant may have been accepted, or may be accepted later."""


@dataclass(frozen=True, slots=True)
class GrantReply:
    """The target's reply to a grant, or the reason why there is none."""

    verdict: GrantVerdict
    detail: str = ""
    other_target: bool = False
    """Whether another incarnation than the intended one replied."""


@dataclass(frozen=True, slots=True)
class ReleaseReply:
    """The target's reply to a call that revokes keys."""

    released: bool
    """Whether the target no longer holds the keys and no request runs on them."""
    token: str = ""
    """Handover token by which the next holder gets the keys' warm state."""
    detail: str = ""
    """The reason why the keys are not known to be released."""


class GrantPort(Protocol):
    """Calls that grant keys to the local target and revoke them."""

    @property
    def attached(self) -> bool:
        """Whether the process that `attach` found still runs."""

    def attach(self) -> "Deferred[None]":
        """Connect to the target's present process; fails with ServerUnreachable."""

    def grant(
        self, target: str, row: GrantedRow, hold_s: float, send_by: float
    ) -> "Deferred[GrantReply]":
        """Grant keys to the process that `attach` found, or renew them; never fails.

        The hold of *hold_s* seconds starts on arrival, so a call that was not written to the
        socket by *send_by*, a time in s, is not sent.
        """

    def release(self, target: str, row: HeldRow) -> "Deferred[ReleaseReply]":
        """Revoke keys; fires once all requests on them have ended; never fails."""

    def close(self) -> None:
        """Close the connections to the target, as it has ended."""


class Dialect(Protocol):
    """A platform's conventions for HTTP with callers and targets, and its documents."""

    def intent(self, headers: dict[bytes, bytes]) -> CallerIntent:
        """Parse a caller's headers; raises BadHeader."""

    def forwarded(self, headers: list[tuple[bytes, list[bytes]]], request_id: bytes) -> bytes:
        """Return the header lines that are forwarded to the target."""

    def content_identity(self, forwarded: bytes) -> bytes:
        """Return the part of forwarded header lines that, with the path, identifies the content."""

    def target_headers(
        self, forwarded: bytes, target: str, caller_service: str, left_ms: int
    ) -> bytes:
        """Return the header lines of a request to a target."""

    def response_facts(self, headers: bytes) -> ResponseFacts:
        """Parse the headers of a target's response."""

    def response_headers(self, headers: bytes) -> bytes:
        """Return the header lines of a target's response that are forwarded to the caller."""

    def refusal_headers(self, request_id: bytes, retry_after_s: float) -> bytes:
        """Return the header lines of a response that pearward generates itself."""

    def configuration(self, document: bytes) -> RoutingTable:
        """Parse a configuration document; raises InvalidRecord that advertises the fault."""

    def check_drain(self, entry: bytes) -> None:
        """Validate an entry that drains a failure domain; raises InvalidRecord."""
