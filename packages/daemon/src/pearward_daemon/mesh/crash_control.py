"""What this daemon knows, and tells others, of crashes of targets.

A crash of the target beside this daemon is written to the store, which keeps it for all daemons
and for those that start later, and told at once to those beside the service's other targets: one
of them may get the request next, and the store may be away.
"""

from collections.abc import Callable, Iterable

from pearward_coordination.directory import Directory
from pearward_coordination.messages import ControlMessage, TargetCrashed
from pearward_coordination.quarantine import Quarantine
from pearward_state.crashes import CrashRecord
from pearward_transport.clock import boot_time, unix_time

from .log import DecisionLog
from .settings import MeshSettings

__all__ = ["CrashControl"]


class CrashControl:
    """The crashes of all targets, as they reach one daemon."""

    def __init__(
        self,
        settings: MeshSettings,
        directory: Directory,
        log: DecisionLog,
        send: Callable[[str, ControlMessage], None],
        store_record: Callable[[CrashRecord], None],
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._log = log
        self._send = send
        self._store_record = store_record
        self._quarantine = Quarantine(settings.quarantine)

    @property
    def quarantine(self) -> Quarantine:
        """The requests under which targets crashed."""
        return self._quarantine

    def crashed_here(self, record: CrashRecord) -> None:
        """The target beside this daemon has crashed: let the others know."""
        self._learn(record, "seen here")
        self._store_record(record)
        message = TargetCrashed(record.target, record.contents)
        for member in self._directory.members:
            elsewhere = member.instance != self._settings.instance
            if elsewhere and member.service == self._settings.service:
                self._send(member.peer_address, message)

    def told(self, message: TargetCrashed) -> None:
        """Another daemon tells of a crash that it has just noticed."""
        self._learn(CrashRecord(message.target, unix_time(), message.contents), "told")

    def recorded(self, records: Iterable[CrashRecord]) -> None:
        """The store has entries of crashes."""
        for record in records:
            self._learn(record, "recorded")

    def _learn(self, record: CrashRecord, how: str) -> None:
        for content in self._quarantine.learn(record, boot_time(), unix_time()):
            self._log.decided(
                "request_quarantined", failure=True, content=content, target=record.target,
                how=how, age_s=round(unix_time() - record.at, 3),
            )  # fmt: skip
