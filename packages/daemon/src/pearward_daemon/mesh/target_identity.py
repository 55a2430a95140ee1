"""Which incarnation of the local target sent a heartbeat, also after a restart of this daemon."""

from pearward_coordination.former_incarnation import (
    FirstHeartbeat,
    FormerIncarnation,
    Registration,
)
from pearward_coordination.grants import GrantManager
from pearward_coordination.incarnations import HeartbeatIdentity, IncarnationTracker
from pearward_state.members import TargetState

from .dialect import TargetHeartbeat
from .log import DecisionLog

__all__ = ["TargetIdentity"]


class TargetIdentity:
    """Identifies the senders of heartbeats.

    Until the incarnations that earlier processes of this daemon served have been read from the
    store, a target that does not report its start time has a provisional id.
    """

    def __init__(
        self,
        tracker: IncarnationTracker,
        grant_manager: GrantManager,
        log: DecisionLog,
        *,
        reports_keys: bool,
    ) -> None:
        self._tracker = tracker
        self._grant_manager = grant_manager
        self._log = log
        self._reports_keys = reports_keys
        """Whether heartbeats contain the keys that the target holds."""
        self._former_known = False
        self._registration: Registration | None = None
        self._provisional: tuple[TargetHeartbeat, float] | None = None
        """Last heartbeat under a provisional id, and the time of its receipt."""

    # -- properties -------------------------------------------------------------

    @property
    def is_certain(self) -> bool:
        """Whether the target has no provisional id."""
        return self._provisional is None

    # -- heartbeats -------------------------------------------------------------

    def incarnation_of(
        self, heartbeat: TargetHeartbeat, received: float, unix_ms: int, *, process_ended: bool
    ) -> str | None:
        """Return the incarnation that sent a heartbeat, or None if the heartbeat is outdated.

        *process_ended* states that all connections to the process heard before have closed.
        """
        holds_nothing = self._reports_keys and not heartbeat.held
        identity = HeartbeatIdentity(
            heartbeat.target,
            heartbeat.started_ms,
            heartbeat.sequence,
            holds_nothing,
            process_ended=process_ended,
            lost_keys=holds_nothing and bool(self._grant_manager.confirmed()),
            outlived_daemon=self._tracker.is_known(heartbeat.target)
            or self._has_outlived_daemon(heartbeat, received),
            draining=heartbeat.state is TargetState.DRAINING,
        )
        return self._tracker.incarnation_of(identity, received, unix_ms)

    def accepted(self, heartbeat: TargetHeartbeat, received: float) -> None:
        """Note a heartbeat of the present incarnation."""
        certain = self._former_known or heartbeat.started_ms is not None
        self._provisional = None if certain else (heartbeat, received)

    def set_former_incarnations(
        self, names: list[str], registration: Registration | None
    ) -> tuple[TargetHeartbeat, float] | None:
        """Set the incarnations that earlier processes of this daemon served, the newest last.

        *registration* is the recent entry of the last one, if there is one. Returns the last
        heartbeat under a provisional id, and the time of its receipt: it must be identified again.
        """
        self._tracker.set_former_incarnations(names)
        if self._former_known:
            return None
        self._former_known = True
        self._registration = registration
        provisional, self._provisional = self._provisional, None
        if provisional is not None:
            self._tracker.forget(provisional[0].target)
        return provisional

    def _has_outlived_daemon(self, heartbeat: TargetHeartbeat, received: float) -> bool:
        """Return whether a first heartbeat counts as one of the incarnation served last."""
        former = self._tracker.served_last(heartbeat.target)
        if not former or heartbeat.started_ms is not None:
            return True
        key_map, seen = self._grant_manager.key_map, self._registration
        first = FirstHeartbeat(received, heartbeat.sequence, heartbeat.cold_s, heartbeat.held)
        if FormerIncarnation(former, key_map, seen).has_sent(first):
            return True
        self._log.emit(
            "target_presumed_replaced", former=former, sequence=first.sequence,
            cold_s=first.cold_s, held=len(first.held),
            map=key_map.version if key_map is not None else 0,
            registered_age_s=round(received - seen.at, 3) if seen is not None else None,
        )  # fmt: skip
        return False
