"""Rounds and messages until a new version has reached every daemon.

The sans-I/O cores run alone, in rounds of one message delay. Announcements are sent at once;
each daemon exchanges a digest with a random peer once in DIGEST_ROUNDS rounds, as the daemon
does once per second.
"""

from collections import deque
from random import Random

from pearward_coordination.gossip import RecordGossip
from pearward_coordination.messages import Announce, Digest, Pull, Push

from .report import emit

__all__ = ["measure_spread", "run"]

DIGEST_ROUNDS = 200
"""Message delays per second, at 5 ms each."""
KEY = "table/roster-app"
MAX_ROUNDS = 5000
Message = Announce | Digest | Pull | Push


class _Fleet:
    """The gossip cores of all daemons and the messages in transit between them."""

    def __init__(self, daemons: int) -> None:
        self._rng = Random(7)
        self._cores = [RecordGossip(Random(i)) for i in range(daemons)]
        self._names = [str(i) for i in range(daemons)]
        self._queue: deque[tuple[int, int, Message]] = deque()
        self.messages = 0
        self.value_messages = 0

    def start(self) -> None:
        """Store the new version at one daemon, as a coordinator does."""
        self._store(0, 1, b"x")

    def informed(self) -> int:
        """Return the number of daemons that have the new version."""
        return sum(core.version(KEY) > 0 for core in self._cores)

    def round(self, number: int) -> None:
        """Deliver the messages in transit, and send the digests that are due in this round."""
        for _ in range(len(self._queue)):
            recipient, sender, message = self._queue.popleft()
            self._deliver(recipient, sender, message, number)
        count = len(self._cores)
        for daemon in range(number % DIGEST_ROUNDS, count, DIGEST_ROUNDS):
            peer = self._rng.randrange(count)
            self._send(daemon, peer, self._cores[daemon].short_digest())

    def _send(self, source: int, target: int, message: Message) -> None:
        self.messages += 1
        self.value_messages += isinstance(message, Push)
        self._queue.append((target, source, message))

    def _store(self, daemon: int, version: int, value: bytes) -> None:
        core = self._cores[daemon]
        if core.offer(KEY, version, value):
            for name in core.choose_peers(self._names):
                self._send(daemon, int(name), core.announce(KEY))

    def _deliver(self, recipient: int, sender: int, message: Message, number: int) -> None:
        core = self._cores[recipient]
        if isinstance(message, Push):
            self._store(recipient, message.version, message.value)
            return
        replies: list[Message] = []
        if isinstance(message, Announce):
            replies += core.on_announce(message, number / DIGEST_ROUNDS)
        elif isinstance(message, Pull):
            replies += core.on_pull(message)
        else:
            replies += core.on_digest(message)
        for reply in replies:
            self._send(recipient, sender, reply)


def measure_spread(daemons: int) -> None:
    """Measure a fleet of *daemons* daemons and print it."""
    fleet = _Fleet(daemons)
    fleet.start()
    rounds_90_percent = rounds = 0
    while fleet.informed() < daemons and rounds < MAX_ROUNDS:
        rounds += 1
        fleet.round(rounds)
        if not rounds_90_percent and fleet.informed() * 100 >= daemons * 90:
            rounds_90_percent = rounds
    emit(f"spread_rounds_90_percent_{daemons}", rounds_90_percent, "message delays")
    emit(f"spread_rounds_all_{daemons}", rounds, "message delays", 7 * DIGEST_ROUNDS)
    emit(f"spread_messages_per_daemon_{daemons}", fleet.messages / daemons, "messages")
    emit(f"spread_values_per_daemon_{daemons}", fleet.value_messages / daemons, "values")


def run() -> None:
    """Run all measurements of this group."""
    for daemons in (140, 1400, 14_000):
        measure_spread(daemons)
