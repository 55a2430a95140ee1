"""How a new version reaches every daemon: the sans-I/O core alone, in rounds.

A round is one message delay. Announcements go at once; each daemon exchanges a digest with
a random peer once in DIGEST_ROUNDS rounds, as the daemon does once a second.
"""

from collections import deque
from random import Random

from pearward_coordination.gossip import RecordGossip
from pearward_coordination.messages import Announce, Digest, Pull, Push

from .report import emit

__all__ = ["measure_spread", "run"]

DIGEST_ROUNDS = 200
"""Message delays in one second, at 5 ms each."""
KEY = "table/roster-app"
MAX_ROUNDS = 5000
Message = Announce | Digest | Pull | Push


class _Fleet:
    """The cores of all daemons and the messages between them."""

    def __init__(self, daemons: int) -> None:
        self._rng = Random(7)
        self._spreads = [RecordGossip(Random(i)) for i in range(daemons)]
        self._names = [str(i) for i in range(daemons)]
        self._queue: deque[tuple[int, int, Message]] = deque()
        self.messages = 0
        self.value_messages = 0

    def start(self) -> None:
        """Let one daemon learn the version, as a coordinator does."""
        self._learn(0, 1, b"x")

    def informed(self) -> int:
        """Return how many daemons have the version."""
        return sum(spread.version(KEY) > 0 for spread in self._spreads)

    def round(self, number: int) -> None:
        """Deliver what is under way; some daemons exchange digests."""
        for _ in range(len(self._queue)):
            to, back, message = self._queue.popleft()
            self._deliver(to, back, message, number)
        count = len(self._spreads)
        for daemon in range(number % DIGEST_ROUNDS, count, DIGEST_ROUNDS):
            peer = self._rng.randrange(count)
            self._send(daemon, peer, self._spreads[daemon].short_digest())

    def _send(self, source: int, target: int, message: Message) -> None:
        self.messages += 1
        self.value_messages += isinstance(message, Push)
        self._queue.append((target, source, message))

    def _learn(self, daemon: int, version: int, value: bytes) -> None:
        spread = self._spreads[daemon]
        if spread.offer(KEY, version, value):
            for name in spread.choose_peers(self._names):
                self._send(daemon, int(name), spread.announce(KEY))

    def _deliver(self, to: int, back: int, message: Message, number: int) -> None:
        spread = self._spreads[to]
        if isinstance(message, Push):
            self._learn(to, message.version, message.value)
            return
        answers: list[Message] = []
        if isinstance(message, Announce):
            answers += spread.on_announce(message, number / DIGEST_ROUNDS)
        elif isinstance(message, Pull):
            answers += spread.on_pull(message)
        else:
            answers += spread.on_digest(message)
        for answer in answers:
            self._send(to, back, answer)


def measure_spread(daemons: int) -> None:
    """Measure one size and print it."""
    fleet = _Fleet(daemons)
    fleet.start()
    most = rounds = 0
    while fleet.informed() < daemons and rounds < MAX_ROUNDS:
        rounds += 1
        fleet.round(rounds)
        if not most and fleet.informed() * 100 >= daemons * 90:
            most = rounds
    emit(f"spread_rounds_90_percent_{daemons}", most, "message delays")
    emit(f"spread_rounds_all_{daemons}", rounds, "message delays", 7 * DIGEST_ROUNDS)
    emit(f"spread_messages_per_daemon_{daemons}", fleet.messages / daemons, "messages")
    emit(f"spread_values_per_daemon_{daemons}", fleet.value_messages / daemons, "values")


def run() -> None:
    """Run the group."""
    for daemons in (140, 1400, 14_000):
        measure_spread(daemons)
