"""Membership entries that daemons keep in the platform's store."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["ID_SEPARATOR", "MAX_SLOTS", "Departure", "Holder", "Member", "TargetState", "target_id"]

ID_SEPARATOR = "~"
"""Separates the target's own id from the start time of the incarnation in an incarnation's id."""

MAX_SLOTS = 65_536
"""Maximum number of requests that a target runs at the same time."""


def target_id(incarnation: str) -> str:
    """Return the id that the target reports itself, which several incarnations may share."""
    return incarnation.partition(ID_SEPARATOR)[0]


class TargetState(StrEnum):
    """Whether a target accepts new requests and keys."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Member:
    """A daemon and its local target; the entry expires with the daemon's lease."""

    instance: str
    failure_domain: str
    peer_address: str
    """Address (IP:port) for connections from other daemons."""
    incarnation: str
    """Id of the daemon's process."""
    service: str
    target: str
    """Id of the target's incarnation."""
    slots: int
    state: TargetState
    cold_until: float = 0.0
    """Unix time in s until which the target is slow after its start; 0 if it is not cold."""
    stopping: bool = False
    """The daemon has been requested to stop; it is restarted if its target keeps running."""
    link_mbit_per_s: float = 0.0
    """Rate of the instance's link in Mbit/s; members that send to all others need a fast link."""


@dataclass(frozen=True, slots=True)
class Holder:
    """The instance of a target that may own keys.

    This entry has no lease, so it remains when the target's daemon ends. A restarted daemon
    finds in it which incarnations preceded the one that sends heartbeats now.
    """

    target: str
    instance: str


@dataclass(frozen=True, slots=True)
class Departure:
    """The announced end of a target, which still binds its daemon after a restart.

    It has a lease of its own, so it remains when the daemon's process ends.
    """

    target: str
    """Id that the target reports itself."""
    started_ms: int | None
    """Unix time in ms at which its process started; None if not reported."""
