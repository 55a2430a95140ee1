"""Departures that could not be recorded in the store, kept by other daemons meanwhile.

A daemon that restarts asks whether its target has announced its end to an earlier process. The
daemons that watch the store are told and asked, as each daemon knows them.
"""

from collections.abc import Callable, Iterable

from pearward_coordination.incarnations import MAX_TRANSIT_S
from pearward_coordination.messages import (
    AskDeparture,
    ControlMessage,
    PeerId,
    TargetDeparted,
)
from pearward_protocol.entries import decode_departure, encode_departure
from pearward_state.errors import InvalidRecord
from pearward_state.members import Departure, Member
from pearward_transport.clock import boot_time

from .log import DecisionLog

__all__ = ["DepartureControl"]

MAX_ASKED = 8
"""Maximum number of daemons that one asks after its start; as many keep a shared departure."""
MAX_KEPT = 1024
"""Maximum number of instances for which a departure is kept."""


class DepartureControl:
    """Tells other daemons of a departure, keeps theirs, and asks for one's own after a restart."""

    def __init__(
        self,
        instance: str,
        log: DecisionLog,
        send: Callable[[str, ControlMessage], None],
        on_own: Callable[[Departure], None],
    ) -> None:
        self._instance = instance
        self._log = log
        self._send = send
        self._on_own = on_own
        self._asks_left = MAX_ASKED
        self._shared_with: list[Member] = []
        self._kept: dict[str, tuple[TargetDeparted, float]] = {}
        """Departures of other instances' targets, with the time in s at which each was received."""

    def share(self, departure: Departure, keepers: Iterable[Member]) -> None:
        """Tell other daemons that the local target leaves, as the store does not answer."""
        self._shared_with = list(keepers)[:MAX_ASKED]
        self._tell(encode_departure(departure))
        self._log.emit(
            "departure_shared", target=departure.target,
            instances=[member.instance for member in self._shared_with],
        )  # fmt: skip

    def withdraw(self) -> None:
        """Tell them that the departure is over: the target has ended."""
        self._tell(b"")
        self._shared_with = []

    def _tell(self, entry: bytes) -> None:
        for member in self._shared_with:
            self._send(member.peer_address, TargetDeparted(self._instance, entry))

    def ask(self, members: Iterable[Member]) -> None:
        """Ask other daemons for a departure that an earlier process of this one has shared.

        After a start the members become known one by one if the store was unavailable before.
        """
        for member in members:
            if member.instance != self._instance and self._asks_left:
                self._asks_left -= 1
                self._send(member.peer_address, AskDeparture(self._instance))

    def asked(self, sender: PeerId, query: AskDeparture) -> None:
        """Answer a daemon that has restarted."""
        message, received = self._kept.get(query.instance, (None, 0.0))
        if message is not None and boot_time() - received <= MAX_TRANSIT_S:
            self._send(sender.address, message)

    def told(self, message: TargetDeparted) -> None:
        """Keep another instance's departure, or apply the own one."""
        if not message.entry:
            self._kept.pop(message.instance, None)
            return
        try:
            departure = decode_departure(message.entry)
        except InvalidRecord as error:
            self._log.emit("entry_unreadable", failure=True, key=message.instance, error=str(error))
            return
        if message.instance == self._instance:
            self._on_own(departure)
            return
        now = boot_time()
        self._kept = {i: k for i, k in self._kept.items() if now - k[1] <= MAX_TRANSIT_S}
        if len(self._kept) < MAX_KEPT:
            self._kept[message.instance] = (message, now)
