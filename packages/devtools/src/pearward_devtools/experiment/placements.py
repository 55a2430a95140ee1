"""Where the attempts of a simulation went, and how evenly they kept the targets busy."""

from dataclasses import dataclass, field

from pearward_coordination.selection import Candidate

__all__ = ["Placements"]


@dataclass
class Placements:
    """Attempts at services that are not divided by key."""

    by_second: dict[tuple[int, int], list[int]] = field(default_factory=dict)
    """Attempts that stayed in the failure domain of their ingress and that left it, by this domain
    and by second."""
    busy_s: dict[str, dict[str, float]] = field(default_factory=dict)
    """Slot seconds used, by service and target."""

    @property
    def far_share(self) -> float:
        """Share of the attempts that left the failure domain of their ingress."""
        far = sum(counts[1] for counts in self.by_second.values())
        attempts = far + sum(counts[0] for counts in self.by_second.values())
        return far / attempts if attempts else 0.0

    @property
    def busiest_shares(self) -> dict[str, float]:
        """Slot seconds of the busiest target relative to the mean one, by service."""
        return {
            service: max(by_target.values()) * len(by_target) / sum(by_target.values())
            for service, by_target in self.busy_s.items()
            if sum(by_target.values())
        }

    def attempt_placed(self, domain: int, now: float, chosen: Candidate) -> None:
        """Count an attempt of an ingress in *domain* at the chosen target."""
        counts = self.by_second.setdefault((domain, int(now)), [0, 0])
        counts[0 if chosen.near else 1] += 1

    def request_ran(self, service: str, target: str, seconds: float) -> None:
        """Count the time for which a request used a slot."""
        by_target = self.busy_s.setdefault(service, {})
        by_target[target] = by_target.get(target, 0.0) + seconds
