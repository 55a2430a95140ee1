"""Outcome, reason and priority class of a request, as given in pearward's own responses."""

from enum import IntEnum, StrEnum

__all__ = ["Outcome", "Reason", "RequestClass"]


class Outcome(StrEnum):
    """Whether a request may have been executed."""

    SERVED = "served"
    """The response is the server's own."""
    NOT_RUN = "not-run"
    """The server did not receive any byte of the request."""
    UNKNOWN = "unknown"
    """The server may have received the request; it is undetermined whether it was executed."""
    ALREADY_RUN = "already-run"
    """A request with the same id was sent to the server earlier; this one was not sent."""


class Reason(StrEnum):
    """Why a request was refused or abandoned; used in responses and metrics."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_SERVICE = "unknown-service"
    NO_ROUTE = "no-route"
    MOVED = "moved"
    NOT_READY = "not-ready"
    DRAINING = "draining"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection-lost"
    SERVER_FAILED = "server-failed"
    FENCED = "fenced"
    LEASE_LOST = "lease-lost"
    CANCELLED = "cancelled"
    DUPLICATE = "duplicate"
    FIRST_SEEN_BEFORE_GRANT = "first-seen-before-grant"
    BODY_CUT = "body-cut"
    TOO_LARGE = "too-large"
    TARGET_REFUSED = "target-refused"
    """The target reported that it did not run the request."""
    TARGET_FAILED = "target-failed"
    """The target responded with an error of its own."""
    QUARANTINED = "quarantined"
    """Targets crashed while running the same request under other ids."""
    INVALID_RESPONSE = "spoilt-answer"
    """The target's response was incomplete or did not belong to this request."""


class RequestClass(IntEnum):
    """Priority class of a request; lower numbers are served first."""

    INTERACTIVE = 0
    SUBMIT = 1
    EXPORT = 2

    @classmethod
    def from_name(cls, name: str) -> "RequestClass":
        """Return the class called *name* in a header, a table row or a command."""
        return cls[name.upper()]

    @property
    def label(self) -> str:
        """Name used in headers, table rows and metrics."""
        return _CLASS_LABELS[self]


_CLASS_LABELS = {member: member.name.lower() for member in RequestClass}
