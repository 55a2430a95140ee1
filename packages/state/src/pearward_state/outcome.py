"""What became of a request, as every answer made by pearward itself says."""

from enum import IntEnum, StrEnum

__all__ = ["Outcome", "Reason", "RequestClass"]


class Outcome(StrEnum):
    """Whether a request's work may have been done."""

    SERVED = "served"
    """The server's own answer follows."""
    NOT_RUN = "not-run"
    """The server never received a byte of the request."""
    UNKNOWN = "unknown"
    """The server may have received the request; nobody knows whether it ran."""
    ALREADY_RUN = "already-run"
    """A request of the same id was handed to the server before; this one was not."""


class Reason(StrEnum):
    """Why a request was refused or given up; part of an answer and of metrics."""

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
    NOT_SEEN_BEFORE_GRANT = "first-seen-before-grant"
    BODY_CUT = "body-cut"
    TOO_LARGE = "too-large"
    TARGET_REFUSED = "target-refused"
    """The target said that it did not run the request."""
    TARGET_FAILED = "target-failed"
    """The target answered with a failure of its own."""
    QUARANTINED = "quarantined"
    """Targets crashed while they ran this request under other ids."""
    SPOILT = "spoilt-answer"
    """What came from the target is no whole answer to this request."""


class RequestClass(IntEnum):
    """Priority class of a request; a lower number goes first."""

    INTERACTIVE = 0
    SUBMIT = 1
    EXPORT = 2

    @classmethod
    def from_name(cls, name: str) -> "RequestClass":
        """Return the class called *name* in a header, a row or a command."""
        return cls[name.upper()]

    @property
    def label(self) -> str:
        """Name as headers, rows and metrics carry it."""
        return _CLASS_LABELS[self]


_CLASS_LABELS = {member: member.name.lower() for member in RequestClass}
