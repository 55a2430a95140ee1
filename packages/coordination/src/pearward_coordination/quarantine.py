"""Quarantine requests under which targets crashed.

The load pattern: one request crashes every target that starts to run it, and it is repeated under
new ids and at any daemon. Each time a target ends with all requests that it was running; its keys
are unavailable until they have a new owner, which gets the request next. Eight targets of one
service ended so within 15 s, and two thirds of the service's requests were refused.

A crash does not show which of the running requests caused it. Each crash therefore counts against
all of them, and three rules clear the others:

* A request that a target has completed is cleared at the daemons that observed it.
* A request that was running at all but one of the crashes needed for quarantine runs only while no
  other such request does at that target, so that the last crash identifies one request. Without
  this rule 2 to 9 of up to 12 requests for the same keys were refused together with the faulty one,
  with it none (nine runs of 60 s in virtual time, features/quarantine.feature).
* No crash counts against a request for longer than a quarantine.

No I/O and no clock.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from pearward_state.crashes import CrashRecord

__all__ = ["MAX_QUARANTINE_S", "REFUSED_AFTER", "Quarantine", "QuarantineRule", "Standing"]

MAX_QUARANTINE_S = 600.0
"""Maximum quarantine in seconds: the store keeps an entry under one lease for ten minutes."""
REFUSED_AFTER = 3
"""Crashes under a request after which no target gets it. Two may be chance when many targets crash
at once and callers repeat the lost requests."""
MAX_CONTENTS = 4096
"""Maximum number of contents on record: those of several hundred crashes."""
MAX_CRASHES = 1024
"""Maximum number of crashes on record by target name, so that none counts twice."""


class Standing(Enum):
    """Admission of a request, by the crashes under it."""

    FREE = "free"
    ALONE = "alone"
    """A target runs it only while it runs no other request of this standing."""
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class QuarantineRule:
    """Threshold and duration of a quarantine."""

    refused_after: int = REFUSED_AFTER
    """Crashes under a request after which it is refused; 0 never refuses any."""
    lasts_s: float = MAX_QUARANTINE_S
    """Seconds since the last crash for which it is refused."""


@dataclass(slots=True)
class _Suspect:
    """A content that was running at crashes."""

    targets: set[str] = field(default_factory=set)
    last: float = float("-inf")
    """Time of the last of these crashes in s of the steady clock."""


class Quarantine:
    """Contents under which targets crashed, as known to one daemon.

    It is empty and costs nothing until a target crashes.
    """

    def __init__(self, rule: QuarantineRule) -> None:
        self._rule = rule
        self._suspects: dict[str, _Suspect] = {}
        self._crashes: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def note_crash(self, record: CrashRecord, now: float, unix_now: float) -> tuple[str, ...]:
        """Record a crash; return the contents that are refused from now on because of it.

        A known crash changes nothing. *now* is the time of the steady clock in s, *unix_now* the
        same moment on the clock of the record.
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
        """Clear a request that a target has completed; return whether it was under suspicion."""
        return self._suspects.pop(content, None) is not None

    def standing(self, content: str, now: float) -> Standing:
        """Return the admission of a request."""
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
        """Return the remaining seconds for which a request is refused; 0 if it is not refused."""
        if self.standing(content, now) is not Standing.REFUSED:
            return 0.0
        return self._suspects[content].last + self._rule.lasts_s - now

    def refused(self, now: float) -> int:
        """Return the number of refused contents."""
        return sum(self.standing(each, now) is Standing.REFUSED for each in list(self._suspects))

    def _retention_s(self, crashes: int) -> float:
        """Return the seconds after the last crash for which a content stays on record.

        A content that was refused may run again after its quarantine, alone, and is refused after
        the next crash: this costs one target per quarantine, not three.
        """
        lasts_s = self._rule.lasts_s
        return 2 * lasts_s if crashes >= self._rule.refused_after else lasts_s


def _drop_oldest(known: dict[str, Any], max_size: int) -> None:
    while len(known) > max_size:
        del known[next(iter(known))]
