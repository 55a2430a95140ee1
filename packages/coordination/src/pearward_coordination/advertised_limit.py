"""The request rate that a target advertises in its responses, for as long as it does so.

The load pattern: an overloaded target serves a fraction of its usual rate for some seconds.
Responses to requests that were sent before it advertised its limit arrive for as long as these
requests run, and some of them may have been prepared before. So a response relaxes the limit only
if its request was sent after the limit was last advertised; a stricter limit applies at once. No
I/O and no clock.
"""

from dataclasses import dataclass

__all__ = ["AdvertisedLimit", "LimitChange"]

RETENTION_S = 10.0
"""Seconds without a response that advertises the limit after which it is unknown whether it is
still in force. A target that gets no requests cannot state the end of its limit."""


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A change of the limit in requests per second; None stands for no limit."""

    before: float | None
    after: float | None


class AdvertisedLimit:
    """The limit that the current incarnation of a target advertises."""

    def __init__(self) -> None:
        self._per_s: float | None = None
        self._confirmed_at = 0.0
        self._known = False

    # -- properties -------------------------------------------------------------

    @property
    def per_s(self) -> float | None:
        """Requests per second; None if no limit is in force."""
        return self._per_s

    @property
    def is_known(self) -> bool:
        """Whether a response of the target has shown if it advertises a limit."""
        return self._known

    def age_s(self, now: float) -> float:
        """Return the seconds since a response advertised the limit or a stricter one."""
        return now - self._confirmed_at

    # -- changes ------------------------------------------------------------------

    def response_seen(self) -> bool:
        """Record a response of the target, which advertises a limit if one is in force.

        Return whether it was unknown until now if there is a limit.
        """
        was_known, self._known = self._known, True
        return not was_known

    def target_changed(self, *, known: bool) -> None:
        """Forget the limit, as another incarnation of the target runs.

        *known* states that it was started a moment ago and has advertised no limit yet. It is unset
        for a target that was running before this daemon.
        """
        self._per_s = None
        self._known = known

    def expire(self, now: float) -> LimitChange | None:
        """Forget a limit that was advertised too long ago; return the change, or None."""
        if self._per_s is None or self.age_s(now) <= RETENTION_S:
            return None
        self._known = False
        return self._change(None)

    def advertised(self, per_s: float, sent_at: float, now: float) -> LimitChange | None:
        """Apply the limit of a response; return the change, or None.

        *sent_at* is the time at which the request was sent to the target.
        """
        before = self._per_s
        relaxes = before is not None and per_s > before
        if relaxes and sent_at <= self._confirmed_at:
            return None
        self._confirmed_at = now
        return self._change(per_s)

    def not_advertised(self, sent_at: float) -> LimitChange | None:
        """Apply a response without a limit; return the change, or None."""
        if self._per_s is not None and sent_at <= self._confirmed_at:
            return None
        return self._change(None)

    def _change(self, per_s: float | None) -> LimitChange | None:
        before, self._per_s = self._per_s, per_s
        return LimitChange(before, per_s) if before != per_s else None
