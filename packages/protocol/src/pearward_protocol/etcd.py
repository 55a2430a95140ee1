"""JSON messages of the platform's key-value service, in the etcd v3 HTTP mapping.

Source: etcd's published gRPC gateway (``/v3/kv/range``, ``/v3/kv/txn``,
``/v3/lease/grant``, ``/v3/lease/keepalive``, ``/v3/lease/revoke``, ``/v3/watch``). Keys
and values are encoded in base64, 64-bit integers as strings.
"""

import base64
import binascii
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .errors import BadPlatformResponse

__all__ = [
    "KeyRevision",
    "KeyValue",
    "Path",
    "WatchEvent",
    "encode_json",
    "keepalive_body",
    "lease_body",
    "parse_json",
    "parse_lease_id",
    "parse_lease_ttl",
    "parse_range",
    "parse_txn_succeeded",
    "parse_watch_line",
    "prefix_end",
    "range_body",
    "revoke_body",
    "txn_body",
    "watch_body",
]


class Path:
    """URL paths of the calls that pearward uses."""

    RANGE = "/v3/kv/range"
    TXN = "/v3/kv/txn"
    LEASE_GRANT = "/v3/lease/grant"
    LEASE_KEEPALIVE = "/v3/lease/keepalive"
    LEASE_REVOKE = "/v3/lease/revoke"
    WATCH = "/v3/watch"


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value, the revision of its last change, and its lease (0 for none)."""

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class KeyRevision:
    """A key and the revision that it is expected to have; 0 means that it is absent."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change reported by a watch; *value* is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


def _b64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def prefix_end(prefix: str) -> bytes:
    """Return the exclusive end of the range of keys that start with *prefix*."""
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def range_body(key: str, *, prefix: bool = False, keys_only: bool = False) -> dict[str, Any]:
    """Return the body of a range call; with *keys_only*, the response has no values."""
    body: dict[str, Any] = {"key": _b64(key.encode())}
    if prefix:
        body["range_end"] = _b64(prefix_end(key))
    if keys_only:
        body["keys_only"] = True
    return body


def txn_body(
    key: str,
    expected_revision: int,
    value: bytes | None,
    lease: int,
    guard: KeyRevision | None = None,
) -> dict[str, Any]:
    """Return the body of a compare-and-swap.

    An *expected_revision* of 0 means that the key is absent; a *value* of None deletes the key.
    With *guard* the swap also requires that another key is unchanged.
    """
    name = _b64(key.encode())
    conditions = [KeyRevision(key, expected_revision)]
    if guard is not None:
        conditions.append(guard)
    if value is None:
        operation: dict[str, Any] = {"request_delete_range": {"key": name}}
    else:
        put: dict[str, Any] = {"key": name, "value": _b64(value)}
        if lease:
            put["lease"] = str(lease)
        operation = {"request_put": put}
    compare = [
        {
            "key": _b64(condition.key.encode()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(condition.revision),
        }
        for condition in conditions
    ]
    return {"compare": compare, "success": [operation], "failure": []}


def lease_body(ttl_s: int) -> dict[str, Any]:
    """Return the body of a lease grant, in which the service assigns the id."""
    return {"TTL": str(ttl_s), "ID": "0"}


def keepalive_body(lease: int) -> dict[str, Any]:
    """Return the body of a lease keep-alive."""
    return {"ID": str(lease)}


def revoke_body(lease: int) -> dict[str, Any]:
    """Return the body of a lease revocation."""
    return {"ID": str(lease)}


def watch_body(key: str, *, prefix: bool, start_revision: int = 0) -> dict[str, Any]:
    """Return the body that creates a watch; *start_revision* 0 starts at the next change."""
    create: dict[str, Any] = range_body(key, prefix=prefix)
    if start_revision:
        create["start_revision"] = str(start_revision)
    return {"create_request": create}


def encode_json(body: Mapping[str, Any]) -> bytes:
    """Return *body* encoded for sending."""
    return json.dumps(body, separators=(",", ":")).encode()


def parse_json(data: bytes) -> dict[str, Any]:
    """Decode a response, which must be a JSON object; raises BadPlatformResponse."""
    try:
        response = json.loads(data)
    except ValueError as error:
        raise BadPlatformResponse(f"response is not JSON: {data[:80]!r}") from error
    if not isinstance(response, dict):
        raise BadPlatformResponse(f"response is not a JSON object: {data[:80]!r}")
    return response


def _key_value(raw: Mapping[str, Any]) -> KeyValue:
    try:
        return KeyValue(
            base64.b64decode(raw["key"]).decode(),
            base64.b64decode(raw.get("value", "")),
            int(raw.get("mod_revision", 0)),
            int(raw.get("lease", 0)),
        )
    except (KeyError, ValueError, TypeError, binascii.Error) as error:
        raise BadPlatformResponse(f"key-value {raw!r}: {error}") from error


def parse_range(response: Mapping[str, Any]) -> list[KeyValue]:
    """Return the key-value pairs in a range response; raises BadPlatformResponse."""
    return [_key_value(raw) for raw in response.get("kvs", [])]


def parse_txn_succeeded(response: Mapping[str, Any]) -> bool:
    """Return whether a compare-and-swap succeeded."""
    return bool(response.get("succeeded", False))


def parse_lease_id(response: Mapping[str, Any]) -> int:
    """Return the id of a granted lease; raises BadPlatformResponse."""
    try:
        return int(response["ID"])
    except (KeyError, ValueError) as error:
        raise BadPlatformResponse(f"lease grant {response!r}") from error


def parse_lease_ttl(response: Mapping[str, Any]) -> int:
    """Return the remaining seconds of a lease from a keep-alive response; 0 if it expired."""
    result = response.get("result", response)
    return int(result.get("TTL", 0))


def parse_watch_line(line: bytes) -> list[WatchEvent]:
    """Return the events in one line of a watch's response stream.

    Raises BadPlatformResponse, also if the line reports an error or that the watch was cancelled.
    """
    response = parse_json(line)
    if "error" in response:
        raise BadPlatformResponse(f"watch: {response['error']!r}")
    result = response.get("result", {})
    if result.get("canceled"):
        raise BadPlatformResponse(f"watch cancelled: {result.get('cancel_reason', '')!r}")
    events: list[WatchEvent] = []
    for raw in result.get("events", []):
        pair = _key_value(raw["kv"])
        deleted = raw.get("type") == "DELETE"
        events.append(WatchEvent(pair.key, None if deleted else pair.value, pair.revision))
    return events
