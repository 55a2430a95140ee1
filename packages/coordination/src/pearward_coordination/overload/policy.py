"""Which mechanisms against overload are on; all are unless a setting names them as off."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Mechanism", "OverloadPolicy"]


class Mechanism(StrEnum):
    """A mechanism that can be switched off alone, to measure what it is worth."""

    RETURNS_IN_TIME = "returns-in-time"
    """Refused callers come back soon enough for the objective."""
    BURST_WAIT = "burst-patience"
    """A queue that has not stood for long may be waited in for longer."""
    AGED_RETURNS = "aged-returns"
    """A return's objective runs from its caller's first try."""
    FEW_LOOKS = "few-looks"
    """The target of a request is the best of a few that are drawn at random."""
    SHED_KEYS = "shed-keys"
    """Part of the requests for a key that its owner turns away is refused where they come in."""
    IDLE_FIRST = "idle-first"
    """A target without a free slot is passed over while others were not asked yet."""


@dataclass(frozen=True, slots=True)
class OverloadPolicy:
    """The mechanisms in force."""

    off: frozenset[Mechanism] = frozenset()

    def uses(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is on."""
        return mechanism not in self.off
