"""Lease of a shard owner, renewed by a majority of its witnesses.

The owner counts its lease from the moment *before* it sent a renewal, shortened by the clock drift
margin; a witness counts its grant from receipt. The lease therefore always expires before the
witness's grant does.
"""

from collections.abc import Collection
from dataclasses import dataclass

__all__ = ["LeaseTiming", "OwnerLease", "majority"]

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations of the lease protocol, in seconds."""

    lease_s: float = 1.0
    renew_s: float = 0.25
    drift: float = 0.02
    """Tolerated relative difference in rate between two clocks."""
    silence_s: float = 0.55
    """Time without a renewal after which a witness reports an owner as silent."""
    heartbeat_s: float = 0.25
    release_poll_s: float = 0.05

    @property
    def held_s(self) -> float:
        """Seconds for which a granted lease is valid after its renewal was sent."""
        return self.lease_s * (1.0 - 2.0 * self.drift)


def majority(count: int) -> int:
    """Return how many of *count* witnesses are a majority."""
    return count // 2 + 1


class OwnerLease:
    """Owner's state of its lease: the expiry that each witness has granted."""

    def __init__(self, timing: LeaseTiming) -> None:
        self._timing = timing
        self._sent: dict[str, dict[int, float]] = {}
        self._until: dict[str, float] = {}
        self._sets: tuple[frozenset[str], ...] = ()
        self._valid_until = NEVER
        self._term = 0
        self._nonce = 0

    @property
    def valid_until(self) -> float:
        """Time at which the lease expires unless it is renewed."""
        return self._valid_until

    @property
    def term(self) -> int:
        """Number of times that the lease started after a gap; a permit is valid in one term."""
        return self._term

    def held(self, now: float) -> bool:
        """Return whether the lease is valid at *now*."""
        return now < self._valid_until

    def set_witnesses(self, sets: Collection[Collection[str]], now: float) -> None:
        """Require a majority of each of *sets* from now on."""
        self._sets = tuple(frozenset(names) for names in sets if names)
        current = frozenset[str]().union(*self._sets) if self._sets else frozenset[str]()
        self._until = {name: t for name, t in self._until.items() if name in current}
        self._sent = {name: sent for name, sent in self._sent.items() if name in current}
        self._recompute(now)

    def renewal_sent(self, witness: str, now: float) -> int:
        """Record that a renewal is about to be sent and return its nonce."""
        self._nonce += 1
        sent = self._sent.setdefault(witness, {})
        sent[self._nonce] = now
        horizon = now - self._timing.lease_s
        for nonce in [n for n, t in sent.items() if t < horizon]:
            del sent[nonce]
        return self._nonce

    def renewal_granted(self, witness: str, nonce: int, now: float) -> None:
        """Record a witness's grant; ignore one that matches no outstanding renewal."""
        sent_at = self._sent.get(witness, {}).pop(nonce, None)
        if sent_at is None:
            return
        until = sent_at + self._timing.held_s
        if until > self._until.get(witness, NEVER):
            self._until[witness] = until
            self._recompute(now)

    def _recompute(self, now: float) -> None:
        """Compute the lease's expiry from the witnesses' grants; start a new term after a gap."""
        if not self._sets:
            valid_until = NEVER
        else:
            valid_until = min(self._majority_until(names) for names in self._sets)
        if now >= self._valid_until and valid_until > now:
            self._term += 1
        self._valid_until = valid_until

    def _majority_until(self, names: frozenset[str]) -> float:
        """Return the time until which a majority of *names* has granted the lease."""
        ends = sorted((self._until.get(name, NEVER) for name in names), reverse=True)
        return ends[majority(len(ends)) - 1]
