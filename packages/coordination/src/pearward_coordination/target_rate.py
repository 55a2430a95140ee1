"""The rate at which requests may be sent to the local target, from all that limits it.

Two sources limit the rate: operators, for targets that are cold, and the target itself, which may
advertise a limit in its responses. Both use one count of the requests that were sent. No I/O and no
clock.
"""

from typing import Protocol

from .advertised_limit import AdvertisedLimit
from .cold_limit import ColdLimit
from .send_history import RateLimit, SendHistory

__all__ = ["SendGate", "TargetRate", "Unlimited"]

ADVERTISED_BURST_S = 0.25
"""Seconds of an advertised limit that may be sent at once. Short, as an overloaded target is served
best by an even rate, and a queued request has to wait no longer than this for the next send."""
MIN_PER_S = 0.2
"""Rate in requests per second under an advertised limit of 0 or little more. Only a response can
show that the limit has ended, so that some requests must still be sent."""
COLD, ADVERTISED = "target is cold", "target limits its rate"


class SendGate(Protocol):
    """Decides when requests may be sent to a target, apart from its free slots."""

    def per_s(self, now: float) -> float | None:
        """Return the limit in requests per second, or None if there is none."""

    def delay_s(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until one more request may be sent, with *ahead* others before it."""

    def reason(self, now: float) -> str:
        """Return what limits the rate now; empty if nothing does."""

    def reserve(self, now: float) -> None:
        """Count a request that is sent now, or as soon as it has a connection."""

    def cancel(self, reserved_at: float) -> None:
        """Remove a counted request that was not sent."""


class Unlimited:
    """The gate of a target that may get requests whenever it has a free slot."""

    def per_s(self, now: float) -> float | None:
        """Return None: there is no limit."""
        return None

    def delay_s(self, now: float, ahead: int = 0) -> float:
        """Return 0: a request may be sent at any time."""
        return 0.0

    def reason(self, now: float) -> str:
        """Return an empty text."""
        return ""

    def reserve(self, now: float) -> None:
        """Do nothing."""

    def cancel(self, reserved_at: float) -> None:
        """Do nothing."""


class TargetRate:
    """The limits of one target and the requests that count against them."""

    def __init__(self) -> None:
        self._cold = ColdLimit()
        self._advertised = AdvertisedLimit()
        self._history = SendHistory()

    # -- properties -------------------------------------------------------------

    @property
    def cold(self) -> ColdLimit:
        """Limit while the target is cold."""
        return self._cold

    @property
    def advertised(self) -> AdvertisedLimit:
        """Limit that the target advertises in its responses."""
        return self._advertised

    @property
    def history(self) -> SendHistory:
        """Times of the requests sent to the target."""
        return self._history

    # -- queries ------------------------------------------------------------------

    def per_s(self, now: float) -> float | None:
        """Return the strictest limit in requests per second, or None if there is none."""
        return min((limit.per_s for limit, _ in self._limits(now)), default=None)

    def delay_s(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until one more request may be sent, with *ahead* others before it."""
        delays = (self._history.delay_s(limit, now, ahead) for limit, _ in self._limits(now))
        return max(delays, default=0.0)

    def reason(self, now: float) -> str:
        """Return what limits the rate most now; empty if nothing does."""
        limits = self._limits(now)
        return min(limits, key=lambda each: each[0].per_s)[1] if limits else ""

    def _limits(self, now: float) -> list[tuple[RateLimit, str]]:
        found = []
        if (cold := self._cold.limit(now)) is not None:
            found.append((cold, COLD))
        if (per_s := self._advertised.per_s) is not None:
            found.append((RateLimit(max(MIN_PER_S, per_s), ADVERTISED_BURST_S), ADVERTISED))
        return found

    # -- changes ------------------------------------------------------------------

    def reserve(self, now: float) -> None:
        """Count a request that is sent now, or as soon as it has a connection."""
        self._history.record(now)

    def cancel(self, reserved_at: float) -> None:
        """Remove a counted request that was not sent."""
        self._history.withdraw(reserved_at)
