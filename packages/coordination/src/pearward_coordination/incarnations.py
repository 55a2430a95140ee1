"""Which incarnation of a target is the one that lives, by its heartbeats alone.

A heartbeat can be held up on its way and arrive after its sender has crashed, and after
another incarnation has begun at the same address, perhaps under the same id. Where targets
tell when they were born, that tells two lives of one id apart; where they do not, their
counts of calls do. No I/O and no clock.
"""

from dataclasses import dataclass

from pearward_state.members import LIFE_MARK, target_id

__all__ = ["BeatClock", "BeatSign"]

MAX_INITIAL_SEQUENCE = 6
"""Calls of a new incarnation that may have met a daemon that was not there yet."""
PRESENT_S = 2.0
"""Seconds after a heartbeat in which its sender counts as present: two intervals."""
RESTART_SPACING_S = 0.2
"""Seconds between two heartbeats that count anew from which they are a new life's: late ones
that were held up together arrive at once."""
MISSED_S = 1.2
"""Seconds since the last heartbeat of the known life after which it has missed one."""


@dataclass(frozen=True, slots=True)
class BeatSign:
    """What a heartbeat says of who sent it."""

    target: str
    """Id of the target; may be the same in two lives."""
    born_ms: int | None
    """Unix time in ms at which its process started; None where it does not say."""
    sequence: int
    """Rises with each call of one life."""
    holds_nothing: bool
    """Whether it says that it holds no key."""


@dataclass(slots=True)
class _Incarnation:
    """The newest life of one id."""

    name: str
    born_ms: int | None
    sequence: int
    last_heartbeat: float
    presumed: bool = False
    restart_sequence: int = 0
    """Count of the last heartbeat that was not above the newest; 0 where there was none."""
    restart_at: float = 0.0


class BeatClock:
    """When the present incarnation beat last, and which heartbeats are old ones."""

    def __init__(self) -> None:
        self._newest: dict[str, _Incarnation] = {}
        self._former: tuple[str, ...] = ()
        self._last = 0.0
        self._certain = False

    @property
    def last(self) -> float:
        """When the present incarnation beat last, in s of the steady clock."""
        return self._last

    # -- lives of one id ----------------------------------------------------------

    def former_known(self, names: list[str]) -> None:
        """Take the incarnations that earlier lives of this daemon served, the newest last."""
        self._former = tuple(names)
        for target, incarnation in self._newest.items():
            if incarnation.born_ms is None and incarnation.name == target:
                incarnation.name = self._served_last(target)

    def incarnation_of(self, identity: BeatSign, now: float, unix_ms: int) -> str | None:
        """Return the incarnation that a heartbeat is of, or None for one that is late."""
        incarnation = self._newest.get(identity.target)
        if incarnation is None:
            if identity.born_ms is None:
                return self._track(identity, self._served_last(identity.target), now)
            return self._track(identity, _incarnation_name(identity.target, identity.born_ms), now)
        if (
            identity.born_ms is not None
            and incarnation.born_ms is not None
            and identity.born_ms != incarnation.born_ms
        ):
            if identity.born_ms < incarnation.born_ms:
                return None
            return self._track(identity, _incarnation_name(identity.target, identity.born_ms), now)
        if identity.sequence > incarnation.sequence:
            incarnation.sequence, incarnation.last_heartbeat, incarnation.restart_sequence = (
                identity.sequence,
                now,
                0,
            )
            incarnation.born_ms = (
                incarnation.born_ms if identity.born_ms is None else identity.born_ms
            )
            return incarnation.name
        if identity.born_ms is not None and identity.born_ms == incarnation.born_ms:
            return None
        if self._has_restarted(incarnation, identity, now):
            name = _incarnation_name(
                identity.target, unix_ms if identity.born_ms is None else identity.born_ms
            )
            return self._track(identity, name, now, presumed=True)
        return None

    def is_supposed(self, target: str) -> bool:
        """Return whether the newest life of an id is only supposed to be another than before.

        Then the former one may live yet.
        """
        incarnation = self._newest.get(target)
        return incarnation is not None and incarnation.presumed

    def _served_last(self, target: str) -> str:
        """Name an id that this life of the daemon has not heard before: its newest known life."""
        served = [name for name in self._former if target_id(name) == target]
        return served[-1] if served else target

    def _track(self, identity: BeatSign, name: str, now: float, *, presumed: bool = False) -> str:
        self._newest[identity.target] = _Incarnation(
            name, identity.born_ms, identity.sequence, now, presumed
        )
        return name

    @staticmethod
    def _has_restarted(incarnation: _Incarnation, identity: BeatSign, now: float) -> bool:
        """Return whether a target has started again, of which one life did not tell its birth.

        Two heartbeats in turn have to count anew, while the known life misses one of its own.
        """
        rises = 0 < incarnation.restart_sequence < identity.sequence
        apart = now - incarnation.restart_at >= RESTART_SPACING_S
        if (
            rises
            and apart
            and identity.holds_nothing
            and now - incarnation.last_heartbeat >= MISSED_S
        ):
            return True
        if not rises or apart:
            incarnation.restart_sequence, incarnation.restart_at = identity.sequence, now
        return False

    # -- incarnations at one address ------------------------------------------------

    def heard(self, now: float) -> None:
        """The present incarnation beat."""
        self._last = now
        self._certain = True

    def doubt(self) -> bool:
        """Another incarnation answered at the address; return whether that is news."""
        was_certain, self._certain = self._certain, False
        return was_certain

    def is_from_the_past(self, sequence: int, connections: int, now: float) -> bool:
        """Return whether a heartbeat of another incarnation is one of a former target.

        A new incarnation begins to count its calls anew; one that has counted far, while
        the present one still beats, has been on its way since before that began. So has one
        that begins to count while *connections* to the present one are open: they end with
        its process, which has to end before another one has its address.
        """
        if not self._certain or now - self._last >= PRESENT_S:
            return False
        return sequence > MAX_INITIAL_SEQUENCE or connections > 0


def _incarnation_name(target: str, start_ms: int) -> str:
    """Return the incarnation of a target that began at a Unix time in ms."""
    return f"{target}{LIFE_MARK}{start_ms}"
