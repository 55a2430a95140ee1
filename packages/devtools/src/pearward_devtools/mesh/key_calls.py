"""The two calls by which the stand-in target is given keys, and asked for them back.

``POST /standin/late`` makes the next grants go unanswered; they are taken after the seconds
that its body lists, each as often as it has times.
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
LOOK_S = 0.01
"""Seconds between looks whether the work on released keys has ended."""


class KeyCalls:
    """Takes grants and releases for one target."""

    def __init__(self, keys: HeldKeys, works_on: Callable[[int, int], bool]) -> None:
        self._keys = keys
        self._works_on = works_on
        self._late: list[list[float]] = []

    def late(self, delays: list[list[float]]) -> None:
        """Let the next grants go unanswered, and be taken after these times in seconds."""
        self._late.extend(delays)

    def grant(self, request: Any) -> Any:
        """Take a grant, whose time runs from now."""
        body = _body(request)
        if body is None or not all(isinstance(body.get(k), int) for k in _GRANT_FIELDS):
            return _answer(request, BAD_REQUEST)
        arrived = time.monotonic()
        if self._late:
            for delay_s in self._late.pop(0):
                reactor.callLater(delay_s, self._take, body, arrived)
            return NOT_DONE_YET
        return _answer(request, self._take(body, arrived))

    def _take(self, body: dict[str, Any], arrived: float) -> int:
        until = arrived + body["holdMs"] / 1000
        taken = self._keys.take(body["from"], body["targetVersion"], body["fence"], until)
        return OK if taken else CONFLICT

    def release(self, request: Any) -> Any:
        """End new work on keys at once; answered when what ran on them has ended."""
        body = _body(request)
        if body is None:
            return _answer(request, BAD_REQUEST)
        first, last = body["from"], body["targetVersion"]
        self._keys.cut(first, last)
        gone: list[bool] = []
        request.notifyFinish().addErrback(lambda _: gone.append(True))

        def look() -> None:
            if gone:
                return
            if self._works_on(first, last):
                reactor.callLater(LOOK_S, look)
                return
            request.setHeader("Handover", secrets.token_hex(8))
            request.finish()

        look()
        return NOT_DONE_YET


_GRANT_FIELDS = ("from", "targetVersion", "fence", "holdMs")


def _body(request: Any) -> dict[str, Any] | None:
    try:
        body = json.loads(request.content.read())
    except ValueError:
        return None
    return body if isinstance(body, dict) else None


def _answer(request: Any, status: int) -> bytes:
    request.setResponseCode(status)
    return b""
