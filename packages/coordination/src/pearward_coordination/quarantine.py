"""Requests under which targets crashed, and which of them are sent to no target any more.

The load pattern that this answers: one request crashes every target that begins to run it, and
it comes again and again, under new ids and at any daemon. Each time a target ends with all that
it was running; its keys rest until they have a new owner, which gets the request next. Eight
targets of one service ended so within 15 s, two thirds of the service's requests were refused.

A crash does not tell which of the requests that a target was running caused it. So each crash
is held against all of them, and three things clear the innocent:

* whatever a target has run to an end is cleared at the daemons that saw it;
* a request that was running at all crashes but one of the number that bars it runs only while
  no other such request does at that target, so that the last crash accuses one request. Without
  this 2 to 9 of up to 12 requests for the same keys were refused with the one that crashed the
  targets, with it none (nine plays of 60 s in virtual time, features/quarantine.feature);
* nothing is held against a request for longer than a quarantine.

No I/O and no clock.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from pearward_state.crashes import CrashRecord

__all__ = ["LONGEST_S", "REFUSED_AFTER", "Quarantine", "QuarantineRule", "Standing"]

LONGEST_S = 600.0
"""Seconds of the longest quarantine: the store keeps an entry by one lease for ten minutes."""
REFUSED_AFTER = 3
"""Crashes under a request after which it is sent to no target: two may be chance, when many
targets crash at once and callers come again with what was lost."""
MAX_CONTENTS = 4096
"""Contents that are known, at most: those of some hundred crashes."""
MAX_CRASHES = 1024
"""Crashes that are known by the target's name, at most, so that none counts twice."""


class Standing(Enum):
    """What may be done with a request, by the crashes under it."""

    FREE = "free"
    ALONE = "alone"
    """A target runs it only while it runs no other request of this standing."""
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class QuarantineRule:
    """When a request is refused, and for how long."""

    refused_after: int = REFUSED_AFTER
    """Crashes under a request after which it is refused; 0 never refuses one."""
    lasts_s: float = LONGEST_S
    """Seconds since the last crash in which it is refused."""


@dataclass(slots=True)
class _Suspect:
    """A content that was running at crashes."""

    targets: set[str] = field(default_factory=set)
    last: float = float("-inf")
    """When the last of them crashed, in s of the steady clock."""


class Quarantine:
    """The contents under which targets crashed, as one daemon knows them.

    It is empty, and costs nothing, as long as no target has crashed.
    """

    def __init__(self, rule: QuarantineRule) -> None:
        self._rule = rule
        self._suspects: dict[str, _Suspect] = {}
        self._crashes: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def learn(self, record: CrashRecord, now: float, unix_now: float) -> tuple[str, ...]:
        """Take a crash; return the contents that are refused from now on because of it.

        One that is known already changes nothing. *now* is by the steady clock in s, *unix_now*
        the same moment by the clock that the record was made by.
        """
        age_s = max(0.0, unix_now - record.at)
        if not self._rule.refused_after or age_s >= self._rule.lasts_s:
            return ()
        if record.target in self._crashes:
            return ()
        self._crashes[record.target] = None
        _drop_oldest(self._crashes, MAX_CRASHES)
        before = {content: self.standing(content, now) for content in record.contents}
        for content in record.contents:
            suspect = self._suspects.pop(content, None) or _Suspect()
            suspect.targets.add(record.target)
            suspect.last = max(suspect.last, now - age_s)
            self._suspects[content] = suspect
        _drop_oldest(self._suspects, MAX_CONTENTS)
        return tuple(
            content
            for content, standing in before.items()
            if standing is not Standing.REFUSED and self.standing(content, now) is Standing.REFUSED
        )

    def ran(self, content: str) -> bool:
        """Clear a request that a target has run to an end; return whether that was needed."""
        return self._suspects.pop(content, None) is not None

    def standing(self, content: str, now: float) -> Standing:
        """Return what may be done with a request."""
        suspect = self._suspects.get(content)
        if suspect is None:
            return Standing.FREE
        refused_after = self._rule.refused_after
        crashes, since_s = len(suspect.targets), now - suspect.last
        if crashes >= refused_after and since_s < self._rule.lasts_s:
            return Standing.REFUSED
        if since_s >= self._retention_s(crashes):
            del self._suspects[content]
            return Standing.FREE
        return Standing.ALONE if crashes >= refused_after - 1 else Standing.FREE

    def left_s(self, content: str, now: float) -> float:
        """Return for how many seconds a request is still refused; 0 where it is not."""
        if self.standing(content, now) is not Standing.REFUSED:
            return 0.0
        return self._suspects[content].last + self._rule.lasts_s - now

    def refused(self, now: float) -> int:
        """Return how many contents are refused."""
        return sum(self.standing(each, now) is Standing.REFUSED for each in list(self._suspects))

    def _retention_s(self, crashes: int) -> float:
        """Return for how long after the last crash a content is known.

        One that was refused is tried again after that, alone, and refused at the next crash: it
        costs one target in a quarantine, not three.
        """
        lasts_s = self._rule.lasts_s
        return 2 * lasts_s if crashes >= self._rule.refused_after else lasts_s


def _drop_oldest(known: dict[str, Any], max_size: int) -> None:
    while len(known) > max_size:
        del known[next(iter(known))]
