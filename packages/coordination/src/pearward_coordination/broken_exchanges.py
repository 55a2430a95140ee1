"""Record which requests a target was running when it ended.

A crashing target closes all of its connections at one moment. That it has ended, and not only
broken some of them, is known a little later, when its port refuses connections or its next
incarnation sends a heartbeat. Exchanges broken until then are kept here, and so are those that
callers aborted shortly before, as the target may still have been working on them. No I/O and no
clock.
"""

from dataclasses import dataclass

__all__ = ["BrokenExchange", "BrokenExchanges"]

ALIVE_AFTER_S = 0.25
"""Seconds after a break for which a response does not show that the target survived it: data sent
before the end may be read after the break of another connection."""
KEPT_S = 10.0
"""Seconds for which a break is kept without further signs of the target; a crashed one has
restarted after some seconds."""
CUT_BEFORE_S = 1.0
"""Seconds before the first break in which aborted exchanges count as running: targets stop such
work when they notice the abort, some only at its end."""
MAX_KEPT = 256
"""Maximum number of breaks kept: more than any target has slots."""


@dataclass(frozen=True, slots=True)
class BrokenExchange:
    """A request that was at the target when its connection broke."""

    request_id: str
    content: str
    """Digest of the request, see content_digest()."""
    at: float
    """Time of the break in s of the steady clock."""
    by_target: bool
    """Whether the target broke the connection; if not, the caller left or the time ran out."""


class BrokenExchanges:
    """Exchanges with one target that broke since its last sign of running."""

    def __init__(self) -> None:
        self._broken: list[BrokenExchange] = []

    @property
    def by_target(self) -> bool:
        """Whether the target broke any of them."""
        return any(exchange.by_target for exchange in self._broken)

    def broke(self, exchange: BrokenExchange) -> None:
        """Record an exchange that the target did not end with a complete response."""
        if len(self._broken) < MAX_KEPT:
            self._broken.append(exchange)

    def answered(self, now: float) -> None:
        """Note a complete response: the target has survived breaks well before it."""
        if self._broken:
            self._broken = [b for b in self._broken if now - b.at < ALIVE_AFTER_S]

    def take(self, now: float) -> tuple[BrokenExchange, ...]:
        """Return and remove the exchanges that were running when the target ended."""
        broken, self._broken = self._broken, []
        first = min((b.at for b in broken if b.by_target), default=now)
        since = max(now - KEPT_S, first - CUT_BEFORE_S)
        return tuple(b for b in broken if b.at >= since)
