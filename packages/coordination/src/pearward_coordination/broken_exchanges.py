"""Which requests a target was running when it ended.

A target that crashes closes all of its connections at one moment; that it has ended, and not
only broken some of them, is known a little later, when its port refuses or its next life
beats. What broke off until then is kept here. No I/O and no clock.
"""

from dataclasses import dataclass

__all__ = ["BrokenExchange", "BrokenExchanges"]

ALIVE_AFTER_S = 0.25
"""Seconds from a break to an answer that shows the target alive after it: what it sent before
it ended may be read after the break of another connection."""
KEPT_S = 10.0
"""Seconds for which a break is kept where nothing else is heard of the target: one that crashed
is back after some seconds."""
MOST_KEPT = 256
"""Breaks that are kept, at most: more than any target has slots."""


@dataclass(frozen=True, slots=True)
class BrokenExchange:
    """A request that was with the target when its connection broke."""

    request_id: str
    content: str
    """What it asked for, see content_digest()."""
    at: float
    """When the connection broke, in s of the steady clock."""


class BrokenExchanges:
    """The exchanges with one target that broke off since it last showed that it lives."""

    def __init__(self) -> None:
        self._broken: list[BrokenExchange] = []

    def __len__(self) -> int:
        return len(self._broken)

    def broke(self, exchange: BrokenExchange) -> None:
        """Note an exchange that the target did not end with a whole answer."""
        if len(self._broken) < MOST_KEPT:
            self._broken.append(exchange)

    def answered(self, now: float) -> None:
        """The target has given a whole answer: it outlived what broke well before."""
        if self._broken:
            self._broken = [b for b in self._broken if now - b.at < ALIVE_AFTER_S]

    def take(self, now: float) -> tuple[BrokenExchange, ...]:
        """Return, and forget, what broke when the target ended."""
        broken, self._broken = self._broken, []
        return tuple(b for b in broken if now - b.at < KEPT_S)
