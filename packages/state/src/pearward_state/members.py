"""Who takes part: the entries that daemons keep in the platform's store."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["LIFE_MARK", "Holder", "Member", "TargetState", "target_id"]

LIFE_MARK = "~"
"""Stands between a target's id and when that life of it began, in the name of an incarnation."""


def target_id(incarnation: str) -> str:
    """Return the id by which a target knows itself; two lives of it may have the same."""
    return incarnation.partition(LIFE_MARK)[0]


class TargetState(StrEnum):
    """Whether a target takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Member:
    """A daemon and the target beside it; its entry lives as long as the daemon's lease."""

    instance: str
    failure_domain: str
    peer_address: str
    """Address (IP:port) where other daemons reach it."""
    incarnation: str
    """Id of the daemon's process."""
    service: str
    target: str
    """Id of the target's incarnation."""
    slots: int
    state: TargetState
    cold_until: float = 0.0
    """Unix time in s until which the target, newly started, is slow; 0 if it is not."""
    stopping: bool = False
    """The daemon was told to stop; it is started again if its target lives on."""
    link_mbit_per_s: float = 0.0
    """Rate of the instance's link; who tells every member of something needs a fast one."""


@dataclass(frozen=True, slots=True)
class Holder:
    """On which instance a target that may own keys runs.

    This entry has no lease: it outlasts the daemon beside the target, so that a later life
    of it knows which incarnations went before the one that beats now.
    """

    target: str
    instance: str
