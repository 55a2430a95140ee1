"""Structured logs by eliot, written without blocking the event loop.

Lines are buffered and written in one batch several times a second to a descriptor in
non-blocking mode. If its reader falls behind, lines are dropped and counted: a slow
log collector must not slow down requests. Only at the end of the process the last lines wait for
the reader, for a short time.
"""

import os
import select
import time
from collections import deque
from typing import Any

import eliot
import orjson
from eliot.json import json_default

__all__ = ["LineWriter"]

MAX_LINES = 20_000
"""Maximum number of buffered lines if the reader falls behind; further ones are dropped."""
FLUSH_S = 0.1
END_WAIT_S = 0.2
"""Maximum time in s for which the last lines wait for a reader that is behind."""


class LineWriter:
    """An eliot destination that writes JSON lines to a descriptor."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @classmethod
    def start(cls, reactor: Any, descriptor: int) -> "LineWriter":
        """Start writing eliot's messages to *descriptor*, flushed periodically by *reactor*."""
        writer = cls(descriptor)
        eliot.add_destinations(writer.write)
        reactor.addSystemEventTrigger("after", "shutdown", writer.finish)

        def flush_again() -> None:
            writer.flush()
            reactor.callLater(FLUSH_S, flush_again)

        reactor.callLater(FLUSH_S, flush_again)
        return writer

    @property
    def dropped(self) -> int:
        """Number of lines that were dropped because the reader fell behind."""
        return self._dropped

    def write(self, message: dict[str, Any]) -> None:
        """Buffer one message."""
        if len(self._lines) >= MAX_LINES:
            self._dropped += 1
            return
        self._lines.append(orjson.dumps(message, default=json_default))

    def finish(self) -> None:
        """Write the last lines, and wait up to END_WAIT_S for the descriptor to accept them."""
        until = time.monotonic() + END_WAIT_S
        self.flush()
        while self._unwritten and (left_s := until - time.monotonic()) > 0.0:
            if select.select([], [self._descriptor], [], left_s)[1]:
                before = len(self._unwritten)
                self.flush()
                if len(self._unwritten) == before:
                    # The reader has closed its end.
                    return

    def flush(self) -> None:
        """Write as many buffered bytes as the descriptor accepts without blocking."""
        if self._lines:
            self._unwritten += b"\n".join(self._lines) + b"\n"
            self._lines.clear()
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except OSError:
                break
            self._unwritten = self._unwritten[written:]
        if len(self._unwritten) > MAX_LINES * 512:
            self._dropped += self._unwritten.count(b"\n")
            self._unwritten = b""
