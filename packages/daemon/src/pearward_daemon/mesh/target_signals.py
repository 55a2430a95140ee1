"""What the local target states in its responses: its rate limit, and unknown headers."""

from pearward_coordination.advertised_limit import LimitChange
from pearward_coordination.target_rate import TargetRate

from .dialect import ResponseFacts
from .log import DecisionLog

__all__ = ["TargetSignals"]

RECENT_S = 4.0
"""Seconds over which the requests are counted that a change of the limit is logged with."""
MAX_LOGGED_NAMES = 32
"""Number of unknown headers that are logged, and of unreadable limits."""


class TargetSignals:
    """Applies and logs the statements in the target's responses."""

    def __init__(self, rate: TargetRate, log: DecisionLog) -> None:
        self._limit = rate.advertised
        self._history = rate.history
        self._log = log
        self._logged: set[tuple[str, bytes]] = set()
        """Unknown headers and unreadable limits that have been logged; each is logged once."""

    def response(self, target: str, facts: ResponseFacts, sent_at: float, now: float) -> bool:
        """Process the head of a response of *target* itself to a request sent at *sent_at*.

        Return whether the rate limit changed or was unknown until now.
        """
        revealed = self._limit.response_seen()
        for name in facts.unknown:
            self._log_once("response_header_unknown", target, name)
        if facts.unreadable_limit:
            self._log_once("rate_limit_unreadable", target, facts.unreadable_limit)
            return revealed
        if facts.rate_limit is None:
            return revealed
        change = self._limit.advertised(facts.rate_limit, sent_at, now)
        return self._note(target, change, sent_at, now) or revealed

    def response_ended(self, target: str, facts: ResponseFacts, sent_at: float, now: float) -> bool:
        """Process a complete response that is forwarded: without a limit it lifts a former one.

        Return whether the rate limit changed.
        """
        if facts.rate_limit is not None or facts.unreadable_limit:
            return False
        return self._note(target, self._limit.not_advertised(sent_at), sent_at, now)

    def expire(self, target: str, now: float) -> bool:
        """Forget a limit that no response has advertised for long; return whether there was one."""
        age_s = self._limit.age_s(now)
        change = self._limit.expire(now)
        if change is None:
            return False
        self._log.emit(
            "rate_limit_expired", target=target, previous_per_s=change.before,
            age_s=round(age_s, 3),
        )  # fmt: skip
        return True

    def _note(self, target: str, change: LimitChange | None, sent_at: float, now: float) -> bool:
        if change is None:
            return False
        self._log.emit(
            "rate_limit_changed", target=target, previous_per_s=change.before,
            per_s=change.after, sent_in_4_s=self._history.count_since(now - RECENT_S),
            response_s=round(now - sent_at, 3),
        )  # fmt: skip
        return True

    def _log_once(self, event: str, target: str, value: bytes) -> None:
        key = (event, value)
        if key in self._logged or len(self._logged) >= MAX_LOGGED_NAMES:
            return
        self._logged.add(key)
        self._log.emit(event, failure=True, target=target, value=value[:64].decode("latin-1"))
