"""A blocking caller for tests and demonstrations that checks its responses."""

import hashlib
import http.client
import itertools
import json
import os
from dataclasses import dataclass, field

from .standin_server import CHUNK, body_pattern

__all__ = ["Caller", "CheckedResponse"]

_numbers = itertools.count(1)


@dataclass(frozen=True)
class CheckedResponse:
    """A response as its caller received it."""

    status: int
    outcome: str
    reason: str
    request_id: str
    headers: dict[str, str] = field(repr=False)
    body: bytes = field(repr=False)
    complete: bool = True
    """False if the response was truncated."""
    matches_request: bool = True
    """False if the body belongs to another request."""


class Caller:
    """Send requests to daemons, each on a new connection."""

    def __init__(self, timeout_s: float = 30.0) -> None:
        self._timeout_s = timeout_s

    @staticmethod
    def new_id() -> str:
        """Return a new request id."""
        return f"{os.getpid():x}-{next(_numbers):x}"

    def call(
        self,
        address: str,
        service: str,
        key: str = "",
        *,
        method: str = "GET",
        path: str = "/work",
        body: bytes | None = None,
        request_id: str | None = None,
        headers: dict[str, str] | None = None,
        expect_bytes: int = 0,
    ) -> CheckedResponse:
        """Send a request and check its response; raises OSError if there is no response."""
        request_id = request_id or self.new_id()
        sent = {"Pearward-Service": service, "Pearward-Request-Id": request_id}
        if key:
            sent["Pearward-Key"] = key
        sent.update(headers or {})
        connection = http.client.HTTPConnection(address, timeout=self._timeout_s)
        try:
            connection.request(method, path, body, sent)
            response = connection.getresponse()
            try:
                content, complete = response.read(), True
            except (http.client.IncompleteRead, ConnectionError) as error:
                content, complete = getattr(error, "partial", b""), False
            received = {name.lower(): value for name, value in response.getheaders()}
            outcome = received.get("pearward-outcome", "")
            matches_request = True
            if outcome == "served" and complete and response.status == 200:
                matches_request = self._is_own(content, request_id, body, expect_bytes)
            return CheckedResponse(
                response.status, outcome, received.get("pearward-reason", ""), request_id,
                received, content, complete, matches_request,
            )  # fmt: skip
        except http.client.HTTPException as error:
            raise OSError(f"{address}: {error!r}") from error
        finally:
            connection.close()

    def _is_own(self, content: bytes, request_id: str, body: bytes | None, size: int) -> bool:
        """Return whether a body is complete and belongs to the request."""
        if size:
            pattern = body_pattern(request_id.encode())
            expected = (pattern * (size // CHUNK + 1))[:size]
            return content == expected
        reply = json.loads(content)
        digest = hashlib.sha256(body).hexdigest() if body else ""
        return bool(reply["id"] == request_id and reply["body"] == digest)
