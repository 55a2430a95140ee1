"""Coroutines that run in the background."""

from typing import Any

import eliot
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

__all__ = ["spawn"]


def spawn(coroutine: Any) -> "Deferred[None]":
    """Run a coroutine in the background; an unexpected exception is logged."""

    def failed(failure: Failure) -> None:
        eliot.log_message(
            "pearward:unexpected-exception",
            error=failure.getErrorMessage(),
            traceback=failure.getTraceback(),
        )

    return ensureDeferred(coroutine).addErrback(failed)
