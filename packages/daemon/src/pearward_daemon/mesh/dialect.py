"""What the daemon needs of a platform's way of speaking: the words are the adapter's.

Callers, targets and daemons mean the same by these types whatever headers and documents
carry them; everything that decides works on them alone.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from twisted.internet.defer import Deferred

from pearward_coordination.grants import GrantedRow, HeldRow, ReleasedRow
from pearward_state.members import TargetState
from pearward_state.routes import RoutingTable

__all__ = [
    "AnswerFacts",
    "BeatAnswer",
    "CallerIntent",
    "Dialect",
    "GrantPort",
    "GrantReply",
    "GrantVerdict",
    "ReleaseReply",
    "ReportedLoad",
    "TargetBeat",
    "TargetLeave",
]


@dataclass(frozen=True, slots=True)
class CallerIntent:
    """What a caller's headers say of its request."""

    request_id: bytes
    host: str
    deadline_ms: int | None
    """Milliseconds that the caller waits; None where it does not say."""
    key: int | None
    """Key of the request; None where it has none."""


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """What a target says of its own load; told for operators, trusted for nothing."""

    running: int
    waiting: int
    slots: int
    slowness: float | None
    """Time that work takes there now, over its usual time; None where it is not told."""


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What a target's answer says beside its status and body."""

    request_id: bytes
    not_run: bool
    """The target says that it did not run the request."""
    other_target: bool
    """Another incarnation has the address, or the key is not the target's."""
    signed: bool
    encoded: bool
    """The body was encoded on the way: it is not the target's own."""
    load: ReportedLoad | None


@dataclass(frozen=True, slots=True)
class TargetBeat:
    """A heartbeat of the target beside this daemon."""

    target: str
    """Id of the target, which a later life of it may have as well."""
    service: str
    address: str
    failure_domain: str
    slots: int
    state: TargetState
    cold_s: float
    """Seconds for which the target, newly started, stays slow."""
    sequence: int
    """Rises with each call of one incarnation; a late one has a lower number."""
    held: tuple[HeldRow, ...]
    released: tuple[ReleasedRow, ...]
    born_ms: int | None = None
    """Unix time in ms at which the target's process started; None where it does not say."""


@dataclass(frozen=True, slots=True)
class TargetLeave:
    """The target beside this daemon says that it leaves, now or in a moment."""

    target: str
    """Id of the target, without its life."""


@dataclass(frozen=True, slots=True)
class BeatAnswer:
    """What a target is told: all that it is to hold, or nothing about that."""

    rows: tuple[GrantedRow, ...] | None = None
    """None renews nothing; what a row list leaves out, the target lets go."""
    hold_s: float = 0.0


class GrantVerdict(Enum):
    """What became of a grant that was made by a call."""

    TAKEN = "taken"
    NEWER_SEEN = "newer seen"
    """The target has seen a higher fence on one of the keys: nothing was granted."""
    MALFORMED = "malformed"
    """The target could not read the call: nothing was granted."""
    NOT_SENT = "not sent"
    """There was no connection: nothing was granted."""
    UNANSWERED = "unanswered"
    """The grant may have been taken, or may be taken later."""


@dataclass(frozen=True, slots=True)
class GrantReply:
    """The target's answer to a grant, or what stood in its place."""

    verdict: GrantVerdict
    detail: str = ""
    other_target: bool = False
    """Whether another incarnation than the one that was meant answered."""


@dataclass(frozen=True, slots=True)
class ReleaseReply:
    """The target's answer to a call that took keys back."""

    released: bool
    """Whether the target holds the keys no longer and nothing runs on them."""
    token: str = ""
    """Hands the keys' warm state over to their next holder."""
    detail: str = ""
    """Why the keys are not known to be released."""


class GrantPort(Protocol):
    """Calls that give keys to the target beside this daemon and take them back."""

    @property
    def attached(self) -> bool:
        """Whether the target's process that `attach` found runs still."""

    def attach(self) -> "Deferred[None]":
        """Note the process that is there now; fails with ServerUnreachable where none is."""

    def grant(
        self, target: str, row: GrantedRow, hold_s: float, send_by: float
    ) -> "Deferred[GrantReply]":
        """Give keys, or renew them, to the process that `attach` found; never fails.

        The hold of *hold_s* seconds runs from the arrival: a call that is not with the kernel at
        *send_by*, a time in s, is not sent.
        """

    def release(self, target: str, row: HeldRow) -> "Deferred[ReleaseReply]":
        """Take keys back; answered when what ran on them has ended; never fails."""

    def close(self) -> None:
        """The target has ended: drop the connections to it."""


class Dialect(Protocol):
    """One way of speaking HTTP with callers and targets."""

    def intent(self, headers: dict[bytes, bytes]) -> CallerIntent:
        """Read a caller's headers; raises BadHeader."""

    def forwarded(self, headers: list[tuple[bytes, list[bytes]]], request_id: bytes) -> bytes:
        """Return the header lines that are passed on to the target."""

    def named(self, forwarded: bytes) -> bytes:
        """Return what forwarded header lines add to the path, to say what a request asks for."""

    def target_headers(
        self, forwarded: bytes, target: str, caller_service: str, left_ms: int
    ) -> bytes:
        """Return the header lines of a request to a target."""

    def answer_facts(self, headers: bytes) -> AnswerFacts:
        """Read a target's answer's headers."""

    def answer_headers(self, headers: bytes) -> bytes:
        """Return the header lines of a target's answer that go back to the caller."""

    def refusal_headers(self, request_id: bytes, retry_after_s: float) -> bytes:
        """Return the header lines of an answer that pearward makes itself."""

    def configuration(self, document: bytes) -> RoutingTable:
        """Read a configuration document; raises InvalidRecord, naming what is wrong."""

    def check_drain(self, entry: bytes) -> None:
        """Check an entry that drains a failure domain; raises InvalidRecord."""
