"""Which requests a target was running when it ended.

A target that crashes closes all of its connections at one moment; that it has ended, and not
only broken some of them, is known a little later, when its port refuses or its next life
beats. What broke off until then is kept here; so is what callers cut short just before, as a
target may have been working on it still. No I/O and no clock.
"""

from dataclasses import dataclass

__all__ = ["BrokenExchange", "BrokenExchanges"]

ALIVE_AFTER_S = 0.25
"""Seconds from a break to an answer that shows the target alive after it: what it sent before
it ended may be read after the break of another connection."""
KEPT_S = 10.0
"""Seconds for which a break is kept where nothing else is heard of the target: one that crashed
is back after some seconds."""
CUT_BEFORE_S = 1.0
"""Seconds before the first break in which what callers cut short counts as running: targets give
such work up when they notice, some not before its end."""
MAX_KEPT = 256
"""Breaks that are kept, at most: more than any target has slots."""


@dataclass(frozen=True, slots=True)
class BrokenExchange:
    """A request that was with the target when its connection broke."""

    request_id: str
    content: str
    """What it asked for, see content_digest()."""
    at: float
    """When the connection broke, in s of the steady clock."""
    by_target: bool
    """Whether the target broke it; if not, the caller left or its time was over."""


class BrokenExchanges:
    """The exchanges with one target that broke off since it last showed that it lives."""

    def __init__(self) -> None:
        self._broken: list[BrokenExchange] = []

    @property
    def by_target(self) -> bool:
        """Whether the target has broken any off."""
        return any(exchange.by_target for exchange in self._broken)

    def broke(self, exchange: BrokenExchange) -> None:
        """Note an exchange that the target did not end with a whole answer."""
        if len(self._broken) < MAX_KEPT:
            self._broken.append(exchange)

    def answered(self, now: float) -> None:
        """The target has given a whole answer: it outlived what broke well before."""
        if self._broken:
            self._broken = [b for b in self._broken if now - b.at < ALIVE_AFTER_S]

    def take(self, now: float) -> tuple[BrokenExchange, ...]:
        """Return, and forget, what broke when the target ended."""
        broken, self._broken = self._broken, []
        first = min((b.at for b in broken if b.by_target), default=now)
        since = max(now - KEPT_S, first - CUT_BEFORE_S)
        return tuple(b for b in broken if b.at >= since)
