"""HTTP/1.1 headers of pearward between callers, daemons and servers."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from pearward_state.outcome import Outcome, RequestClass

from .errors import BadHeader

__all__ = [
    "HeaderName",
    "RequestContext",
    "RequestLimits",
    "join_headers",
    "read_context",
    "split_headers",
    "status_for",
]

HeaderReader = Callable[[bytes], bytes | None]


class HeaderName:
    """Names of pearward's own headers, and of the standard Idempotency-Key header."""

    SERVICE = b"Pearward-Service"
    KEY = b"Pearward-Key"
    REQUEST_ID = b"Pearward-Request-Id"
    IDEMPOTENCY_KEY = b"Idempotency-Key"
    DEADLINE_MS = b"Pearward-Deadline-Ms"
    CLASS = b"Pearward-Class"
    TENANT = b"Pearward-Tenant"
    REPEATABLE = b"Pearward-Repeatable"
    AGE_MS = b"Pearward-Age-Ms"
    OUTCOME = b"Pearward-Outcome"
    REASON = b"Pearward-Reason"
    OWNER = b"Pearward-Owner"
    RETRY_AFTER_MS = b"Pearward-Retry-After-Ms"
    EPOCH = b"Pearward-Epoch"
    SHARD = b"Pearward-Shard"
    START_BEFORE_MS = b"Pearward-Start-Before-Ms"


_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
_PEARWARD_HEADERS = frozenset(
    name.lower()
    for label, name in vars(HeaderName).items()
    if not label.startswith("_") and name != HeaderName.IDEMPOTENCY_KEY
)
_REPEATABLE_METHODS = frozenset({b"GET", b"HEAD", b"PUT", b"DELETE", b"OPTIONS", b"TRACE"})
MAX_TENANT_LENGTH = 64


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Configurable limits on the values in a caller's headers."""

    default_deadline_ms: int = 30_000
    max_deadline_ms: int = 3_600_000
    max_key_bytes: int = 1024
    max_id_bytes: int = 128


@dataclass(frozen=True, slots=True)
class RequestContext:
    """Routing and scheduling parameters from the headers of a request."""

    service: str
    key: bytes
    request_id: bytes
    """Empty if the caller gave none."""
    deadline_ms: int
    request_class: RequestClass | None
    """None if the default of the service applies."""
    tenant: str
    repeatable: bool
    """Whether the request may be executed more than once."""
    age_ms: int
    """Milliseconds since an earlier submission of the request, as given by the caller."""


def _text(name: bytes, value: bytes) -> str:
    try:
        return value.decode("ascii")
    except UnicodeDecodeError:
        raise BadHeader(name.decode(), value, "expected ASCII") from None


def _integer(get: HeaderReader, name: bytes, default: int, low: int, high: int) -> int:
    """Return the integer in header *name*, or *default* if the header is absent."""
    value = get(name)
    if value is None:
        return default
    if not value.isdigit() or not low <= int(value) <= high:
        raise BadHeader(name.decode(), value, f"expected a whole number in {low}..{high}")
    return int(value)


def _repeatable(get: HeaderReader, method: bytes) -> bool:
    """Return whether the request may be executed more than once.

    Without the header, this depends on whether the method is idempotent.
    """
    value = get(HeaderName.REPEATABLE)
    if value is None:
        return method in _REPEATABLE_METHODS
    if value not in (b"true", b"false"):
        raise BadHeader(HeaderName.REPEATABLE.decode(), value, "expected true or false")
    return value == b"true"


def _class(get: HeaderReader) -> RequestClass | None:
    value = get(HeaderName.CLASS)
    if value is None:
        return None
    try:
        return RequestClass.from_name(_text(HeaderName.CLASS, value))
    except KeyError:
        allowed = ", ".join(c.label for c in RequestClass)
        raise BadHeader(HeaderName.CLASS.decode(), value, f"expected one of {allowed}") from None


def read_context(method: bytes, get: HeaderReader, limits: RequestLimits) -> RequestContext:
    """Parse a caller's headers; raises BadHeader with the header's name and invalid value."""
    service = get(HeaderName.SERVICE)
    if not service:
        raise BadHeader(HeaderName.SERVICE.decode(), service, "is required")
    key = get(HeaderName.KEY) or b""
    if len(key) > limits.max_key_bytes:
        raise BadHeader(HeaderName.KEY.decode(), len(key), f"over {limits.max_key_bytes} bytes")
    request_id = get(HeaderName.REQUEST_ID) or get(HeaderName.IDEMPOTENCY_KEY) or b""
    if len(request_id) > limits.max_id_bytes:
        raise BadHeader(
            HeaderName.REQUEST_ID.decode(), len(request_id), f"over {limits.max_id_bytes} bytes"
        )
    tenant = _text(HeaderName.TENANT, get(HeaderName.TENANT) or b"-")
    if len(tenant) > MAX_TENANT_LENGTH:
        raise BadHeader(HeaderName.TENANT.decode(), tenant, f"over {MAX_TENANT_LENGTH} characters")
    return RequestContext(
        service=_text(HeaderName.SERVICE, service),
        key=key,
        request_id=request_id,
        deadline_ms=_integer(
            get, HeaderName.DEADLINE_MS, limits.default_deadline_ms, 1, limits.max_deadline_ms
        ),
        request_class=_class(get),
        tenant=tenant,
        repeatable=_repeatable(get, method),
        age_ms=_integer(get, HeaderName.AGE_MS, 0, 0, 2**31),
    )


def join_headers(raw: Iterable[tuple[bytes, Iterable[bytes]]]) -> bytes:
    """Return *raw* as a header block without hop-by-hop headers and pearward's own."""
    lines: list[bytes] = []
    for name, values in raw:
        lower = name.lower()
        if lower in _HOP_BY_HOP or lower in _PEARWARD_HEADERS:
            continue
        lines.extend(name + b": " + value + b"\r\n" for value in values)
    return b"".join(lines)


def split_headers(block: bytes) -> list[tuple[bytes, bytes]]:
    """Return the names and values in a header block from join_headers."""
    pairs: list[tuple[bytes, bytes]] = []
    for line in block.split(b"\r\n"):
        name, found, value = line.partition(b": ")
        if found:
            pairs.append((name, value))
    return pairs


_STATUSES = {
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 502,
    Outcome.ALREADY_RUN: 409,
    Outcome.SERVED: 200,
}


def status_for(outcome: Outcome) -> int:
    """Return the HTTP status of a response that pearward generates itself."""
    return _STATUSES[outcome]
