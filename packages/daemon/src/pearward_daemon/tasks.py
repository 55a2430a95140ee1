"""Coroutines that run by themselves."""

from typing import Any

import eliot
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

__all__ = ["spawn"]


def spawn(coroutine: Any) -> "Deferred[None]":
    """Run a coroutine; an unexpected error is logged, never lost."""

    def failed(failure: Failure) -> None:
        eliot.log_message(
            "pearward:bug", error=failure.getErrorMessage(), traceback=failure.getTraceback()
        )

    return ensureDeferred(coroutine).addErrback(failed)
