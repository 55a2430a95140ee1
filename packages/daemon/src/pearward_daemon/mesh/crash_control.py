"""Distribution of target crashes between the daemons of a service.

A crash of the local target is written to the store, for all daemons and for those that start
later. It is also sent at once to the daemons of the service's other targets: one of them may
receive the request next, and the store may be unavailable.
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
    """Collects the crashes of all targets that are reported to one daemon."""

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
        """Requests that are suspected of crashing targets."""
        return self._quarantine

    def report_local_crash(self, record: CrashRecord) -> None:
        """Record a crash of the local target, store it and send it to the other daemons."""
        self._note_crash(record, "detected by this daemon")
        self._store_record(record)
        message = TargetCrashed(record.target, record.contents)
        for member in self._directory.members:
            elsewhere = member.instance != self._settings.instance
            if elsewhere and member.service == self._settings.service:
                self._send(member.peer_address, message)

    def peer_reported(self, message: TargetCrashed) -> None:
        """Record a crash that another daemon has just detected."""
        self._note_crash(
            CrashRecord(message.target, unix_time(), message.contents), "reported by another daemon"
        )

    def recorded(self, records: Iterable[CrashRecord]) -> None:
        """Record crashes read from the store."""
        for record in records:
            self._note_crash(record, "recorded")

    def _note_crash(self, record: CrashRecord, how: str) -> None:
        for content in self._quarantine.note_crash(record, boot_time(), unix_time()):
            self._log.emit(
                "request_quarantined", failure=True, content=content, target=record.target,
                how=how, age_s=round(unix_time() - record.at, 3),
            )  # fmt: skip
