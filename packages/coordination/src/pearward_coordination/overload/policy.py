"""Switches for the overload mechanisms; all are on unless a setting turns them off."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Mechanism", "OverloadPolicy"]


class Mechanism(StrEnum):
    """A mechanism that can be switched off separately, to measure its effect."""

    RETRY_WITHIN_OBJECTIVE = "returns-in-time"
    """Refused callers retry soon enough to meet the latency objective."""
    BURST_WAIT = "burst-patience"
    """Requests may wait longer in a queue that has formed only recently."""
    AGED_RETRIES = "aged-returns"
    """A retried request's objective runs from its caller's first try."""
    FEW_SAMPLES = "few-looks"
    """A target is chosen as the best of a small random sample."""
    SHED_KEYS = "shed-keys"
    """The ingress daemon refuses part of the requests for a key whose owner refuses them."""
    IDLE_FIRST = "idle-first"
    """A target without a free slot is passed over while other targets were not asked yet."""
    COMPRESS_HEADS = "compress-heads"
    """Heads and control messages between daemons are compressed."""
    NEAR_FIRST = "near-first"
    """A far target is not asked while near ones are expected to serve the request in time."""
    RETURN_TO_INSTANCE = "return-to-instance"
    """After a loss of many targets their keys wait for the next targets of the same instances."""


@dataclass(frozen=True, slots=True)
class OverloadPolicy:
    """The mechanisms in force."""

    off: frozenset[Mechanism] = frozenset()

    def uses(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is on."""
        return mechanism not in self.off
