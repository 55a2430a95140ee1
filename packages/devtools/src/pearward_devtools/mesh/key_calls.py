"""The grant and release calls of a stand-in target that takes its keys by calls.

``POST /standin/late`` takes a list of lists of seconds, one list for each of the next grants. Such
a grant gets no response and is applied once after each of its delays.
"""

import json
import secrets
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor
from twisted.web.server import NOT_DONE_YET

from .held_keys import HeldKeys

__all__ = ["KeyCalls"]

OK, BAD_REQUEST, CONFLICT = 200, 400, 409
POLL_INTERVAL_S = 0.01
"""Interval between checks whether requests for released keys have ended."""


class KeyCalls:
    """Handle grants and releases of one target."""

    def __init__(self, keys: HeldKeys, is_working_on: Callable[[int, int], bool]) -> None:
        self._keys = keys
        self._is_working_on = is_working_on
        self._grant_delays: list[list[float]] = []

    def delay_grants(self, delays: list[list[float]]) -> None:
        """Leave the next grants without a response and apply each after its delays in seconds."""
        self._grant_delays.extend(delays)

    def grant(self, request: Any) -> Any:
        """Handle a grant; its hold starts when the request arrives."""
        body = _body(request)
        if body is None or not all(isinstance(body.get(k), int) for k in _GRANT_FIELDS):
            return _respond(request, BAD_REQUEST)
        arrived = time.monotonic()
        if self._grant_delays:
            for delay_s in self._grant_delays.pop(0):
                reactor.callLater(delay_s, self._apply_grant, body, arrived)
            return NOT_DONE_YET
        return _respond(request, self._apply_grant(body, arrived))

    def _apply_grant(self, body: dict[str, Any], arrived: float) -> int:
        until = arrived + body["holdMs"] / 1000
        granted = self._keys.grant(body["from"], body["targetVersion"], body["fence"], until)
        return OK if granted else CONFLICT

    def release(self, request: Any) -> Any:
        """Release keys at once; respond when the running requests for them have ended."""
        body = _body(request)
        if body is None:
            return _respond(request, BAD_REQUEST)
        first, last = body["from"], body["targetVersion"]
        self._keys.drop(first, last)
        disconnected: list[bool] = []
        request.notifyFinish().addErrback(lambda _: disconnected.append(True))

        def poll() -> None:
            if disconnected:
                return
            if self._is_working_on(first, last):
                reactor.callLater(POLL_INTERVAL_S, poll)
                return
            request.setHeader("Handover", secrets.token_hex(8))
            request.finish()

        poll()
        return NOT_DONE_YET


_GRANT_FIELDS = ("from", "targetVersion", "fence", "holdMs")


def _body(request: Any) -> dict[str, Any] | None:
    try:
        body = json.loads(request.content.read())
    except ValueError:
        return None
    return body if isinstance(body, dict) else None


def _respond(request: Any, status: int) -> bytes:
    request.setResponseCode(status)
    return b""
