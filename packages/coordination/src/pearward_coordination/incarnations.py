"""Determine from heartbeats alone which incarnation of a target is the running one.

A heartbeat may be delayed and arrive after its sender has crashed, and after another incarnation
has started at the same address, perhaps under the same id. Two incarnations of one id are
distinguished by the start time of their process where targets report it, otherwise by their call
counts. No I/O and no clock.

An incarnation that has announced its end may send no more heartbeats, so that neither its silence
nor any number of earlier ones, which may also arrive twice, shows that another process runs.
"""

import math
from dataclasses import dataclass

from pearward_state.members import ID_SEPARATOR, Departure, target_id

__all__ = ["MAX_TRANSIT_S", "HeartbeatIdentity", "IncarnationTracker"]

MAX_TRANSIT_S = 120.0
"""Maximum seconds in transit of a heartbeat: the maximum segment lifetime of TCP (RFC 9293)."""

MAX_INITIAL_SEQUENCE = 6
"""Highest call count of a new incarnation whose earlier calls may have found no daemon yet."""
PRESENT_S = 2.0
"""Seconds for which a target counts as running after a heartbeat: two intervals."""
RESTART_SPACING_S = 0.2
"""Minimum seconds between two heartbeats with restarted counts that indicate a new incarnation;
late ones that were delayed together arrive at once."""
MISSED_S = 1.2
"""Seconds since the last heartbeat of the known incarnation after which it has missed one."""
MIN_INTERVAL_S = 0.15
"""Minimum seconds between two heartbeats of one process, even if they get no answers."""


@dataclass(frozen=True, slots=True)
class HeartbeatIdentity:
    """Identity of the sender of a heartbeat."""

    target: str
    """Id of the target; two incarnations may share it."""
    started_ms: int | None
    """Unix time in ms at which its process started; None if not reported."""
    sequence: int
    """Call count, which rises with each call of one incarnation."""
    holds_nothing: bool
    """Whether it reports that it holds no key."""
    process_ended: bool = False
    """Whether all connections to the process that was heard last have closed."""
    lost_keys: bool = False
    """Whether it reports no key, though the process that was heard last was granted some."""
    outlived_daemon: bool = True
    """Whether a first heartbeat without a start time counts as the former incarnation's."""
    draining: bool = False
    """Whether it reports that it leaves."""


@dataclass(frozen=True, slots=True)
class _Departed:
    """An incarnation that has announced its end."""

    started_ms: int | None
    until: float
    """Time in s after which none of its heartbeats may arrive, except those that say that it
    leaves; infinite if it may continue to send them."""


@dataclass(slots=True)
class _Incarnation:
    """The newest incarnation of one id."""

    name: str
    started_ms: int | None
    sequence: int
    last_heartbeat: float
    presumed: bool = False
    restart_sequence: int = 0
    """Highest count that may be the next process's; 0 if there was none."""
    restart_at: float = 0.0
    """Time at which heartbeats with such counts were last received."""
    departed: _Departed | None = None
    """Set if it has announced its end, and is not known to have ended."""


class IncarnationTracker:
    """Tracks the present incarnation's last heartbeat and detects outdated heartbeats."""

    def __init__(self) -> None:
        self._newest: dict[str, _Incarnation] = {}
        self._departed: dict[str, _Departed] = {}
        """Incarnations that have announced their end, by id."""
        self._former: tuple[str, ...] = ()
        self._last = 0.0
        self._certain = False

    @property
    def last(self) -> float:
        """Time of the present incarnation's last heartbeat, in s of the steady clock."""
        return self._last

    # -- incarnations of one id ------------------------------------------------

    def set_former_incarnations(self, names: list[str]) -> None:
        """Set the incarnations that earlier processes of this daemon served, the newest last."""
        self._former = tuple(names)

    def is_known(self, target: str) -> bool:
        """Return whether a heartbeat of an id has been received."""
        return target in self._newest

    def leave_announced(self, target: str, now: float, *, silent: bool) -> Departure:
        """Note that the newest incarnation of an id leaves, also if the id is unknown.

        *now* is the time in s of the steady clock; a *silent* one sends no more heartbeats.
        Returns what a later process of this daemon has to know.
        """
        incarnation = self._newest.get(target)
        started_ms = incarnation.started_ms if incarnation is not None else None
        departed = _Departed(started_ms, now + MAX_TRANSIT_S if silent else math.inf)
        self._note_departed(target, departed, now)
        if incarnation is not None:
            incarnation.departed = departed
        return Departure(target, started_ms)

    def departure_recorded(self, departure: Departure, now: float) -> None:
        """Note a leave that was announced to an earlier process of this daemon."""
        departed = _Departed(departure.started_ms, now + MAX_TRANSIT_S)
        self._note_departed(departure.target, departed, now)
        incarnation = self._newest.get(departure.target)
        if incarnation is not None and incarnation.departed is None:
            self._compare_with_departed(departure.target, incarnation, now)

    def _note_departed(self, target: str, departed: _Departed, now: float) -> None:
        self._departed = {t: d for t, d in self._departed.items() if now <= d.until}
        self._departed[target] = departed

    def leaves(self, target: str) -> bool:
        """Return whether the newest incarnation of an id has announced its end."""
        incarnation = self._newest.get(target)
        return incarnation is not None and incarnation.departed is not None

    def ended(self, target: str) -> None:
        """Note that the newest incarnation of an id has ended: another may send heartbeats."""
        self._departed.pop(target, None)
        incarnation = self._newest.get(target)
        if incarnation is not None:
            incarnation.departed = None

    def served_last(self, target: str) -> str:
        """Return the newest incarnation of an id that an earlier process served, or an empty id."""
        served = [name for name in self._former if target_id(name) == target]
        return served[-1] if served else ""

    def forget(self, target: str) -> None:
        """Treat the next heartbeat of an id as the first one."""
        self._newest.pop(target, None)

    def incarnation_of(self, identity: HeartbeatIdentity, now: float, unix_ms: int) -> str | None:
        """Return the incarnation that sent a heartbeat, or None if the heartbeat is outdated."""
        incarnation = self._newest.get(identity.target)
        if incarnation is None:
            name = self._identify_first(identity, now, unix_ms)
            self._compare_with_departed(identity.target, self._newest[identity.target], now)
            return name
        if (
            identity.started_ms is not None
            and incarnation.started_ms is not None
            and identity.started_ms != incarnation.started_ms
        ):
            if identity.started_ms < incarnation.started_ms:
                return None
            return self._track(
                identity, _incarnation_name(identity.target, identity.started_ms), now
            )
        same_start = identity.started_ms is not None and (
            identity.started_ms == incarnation.started_ms
        )
        departed = incarnation.departed
        replaced = departed is not None and now > departed.until and not identity.draining
        if (
            not replaced
            and identity.sequence > incarnation.sequence
            and (same_start or not self._may_be_next(incarnation, identity, now))
        ):
            incarnation.sequence, incarnation.last_heartbeat, incarnation.restart_sequence = (
                identity.sequence,
                now,
                0,
            )
            incarnation.started_ms = (
                incarnation.started_ms if identity.started_ms is None else identity.started_ms
            )
            return incarnation.name
        if same_start:
            return None
        if departed is None:
            replaced = self._has_restarted(incarnation, identity, now)
        if replaced:
            name = _incarnation_name(
                identity.target, unix_ms if identity.started_ms is None else identity.started_ms
            )
            return self._track(identity, name, now, presumed=True)
        return None

    def is_presumed(self, target: str) -> bool:
        """Return whether the newest incarnation of an id is only presumed to differ from the last.

        In that case the former one possibly still runs.
        """
        incarnation = self._newest.get(target)
        return incarnation is not None and incarnation.presumed

    def reports_start_time(self, target: str) -> bool:
        """Return whether the newest incarnation of an id is identified by its start time."""
        incarnation = self._newest.get(target)
        return incarnation is not None and incarnation.started_ms is not None

    def _identify_first(self, identity: HeartbeatIdentity, now: float, unix_ms: int) -> str:
        """Return the incarnation that sent the first heartbeat of an id to this process."""
        if identity.started_ms is not None:
            return self._track(
                identity, _incarnation_name(identity.target, identity.started_ms), now
            )
        former = self.served_last(identity.target)
        if not former or identity.outlived_daemon:
            return self._track(identity, former or identity.target, now)
        return self._track(
            identity, _incarnation_name(identity.target, unix_ms), now, presumed=True
        )

    def _compare_with_departed(self, target: str, incarnation: _Incarnation, now: float) -> None:
        """Determine whether an incarnation is the one of its id that has announced its end."""
        departed = self._departed.get(target)
        if departed is None or now > departed.until:
            return
        if (
            departed.started_ms is None
            or incarnation.started_ms is None
            or incarnation.started_ms <= departed.started_ms
        ):
            incarnation.departed = departed

    def _track(
        self, identity: HeartbeatIdentity, name: str, now: float, *, presumed: bool = False
    ) -> str:
        self._newest[identity.target] = _Incarnation(
            name, identity.started_ms, identity.sequence, now, presumed
        )
        return name

    @staticmethod
    def _may_be_next(incarnation: _Incarnation, identity: HeartbeatIdentity, now: float) -> bool:
        """Return whether a higher count may be the next process's.

        Either lower ones were heard before, which arrive at once if they were held up together, or
        the process that was heard last seems to have ended, and the next one's were delayed.
        """
        if _is_older(identity, now - incarnation.last_heartbeat):
            return False
        if identity.lost_keys or identity.process_ended:
            return True
        if not incarnation.restart_sequence or not identity.holds_nothing:
            return False
        elapsed_s = now - incarnation.restart_at
        counted_s = (identity.sequence - incarnation.restart_sequence) * MIN_INTERVAL_S
        return elapsed_s < RESTART_SPACING_S or counted_s <= elapsed_s

    @staticmethod
    def _has_restarted(incarnation: _Incarnation, identity: HeartbeatIdentity, now: float) -> bool:
        """Return whether a target has restarted, if one of its incarnations reports no start time.

        The connections to its process must have closed, or two successive heartbeats must have
        restarted counts while the known incarnation misses one of its own.
        """
        silent_s = now - incarnation.last_heartbeat
        if _is_older(identity, silent_s):
            return False
        if identity.process_ended:
            return True
        rises = 0 < incarnation.restart_sequence < identity.sequence
        apart = now - incarnation.restart_at >= RESTART_SPACING_S
        if rises and apart and identity.holds_nothing and silent_s >= MISSED_S:
            return True
        if not rises or apart:
            incarnation.restart_at = now
        incarnation.restart_sequence = identity.sequence
        return False

    # -- incarnations at one address -------------------------------------------

    def heard(self, now: float) -> None:
        """Record a heartbeat of the present incarnation."""
        self._last = now
        self._certain = True

    def note_other_incarnation(self) -> bool:
        """Note that another incarnation answered at the address; return whether this is new."""
        was_certain, self._certain = self._certain, False
        return was_certain

    def is_stale(self, sequence: int, connections: int, now: float) -> bool:
        """Return whether a heartbeat of another incarnation is from a former target.

        A new incarnation restarts its call count. If the count is high while the present one still
        sends heartbeats, the heartbeat has been in transit since before the present one started.
        The same holds for a low count while *connections* to the present one are open: they end
        with its process, which has to end before another process gets its address.
        """
        if not self._certain or now - self._last >= PRESENT_S:
            return False
        return sequence > MAX_INITIAL_SEQUENCE or connections > 0


def _is_older(identity: HeartbeatIdentity, age_s: float) -> bool:
    """Return whether the count of a heartbeat shows that its process is older than *age_s*."""
    return (identity.sequence - 1) * MIN_INTERVAL_S > age_s


def _incarnation_name(target: str, start_ms: int) -> str:
    """Return the name of a target's incarnation that started at a Unix time in ms."""
    return f"{target}{ID_SEPARATOR}{start_ms}"
