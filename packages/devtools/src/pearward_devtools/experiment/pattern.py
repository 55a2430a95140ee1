"""A pattern of load: services, classes of requests, and what changes while it is played."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from pearward_state.errors import InvalidField
from pearward_state.fields import FieldReader

__all__ = ["Call", "Change", "Pattern", "RequestSpec", "ServiceSpec"]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service and its targets."""

    name: str
    speeds: tuple[float, ...]
    """Work that each target does in a second, over that of a usual one; a pattern's file may
    say how often its list is repeated."""
    slots: int
    keyed: bool
    """Whether each request has one owner; else any target may run it."""


@dataclass(frozen=True, slots=True)
class Call:
    """A request that a target makes while it runs another one."""

    request: str
    share: float
    """Part of the runs that make it."""
    times: int


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A class of requests; times in seconds."""

    name: str
    service: str
    per_s: float
    """Requests of callers in a second; 0 for those that only targets make."""
    work_s: float
    spread: float
    """Standard deviation of the logarithm of the work."""
    objective_s: float
    timeout_s: float
    """By when the router gives up."""
    deadline_s: float
    """By when the caller gives up, returns included."""
    rank: int
    worth: float
    late_worth: float
    returns: int
    """Tries after the first that a caller makes when it is refused."""
    safe: bool
    """Whether a caller comes back after any failure, and at once."""
    calls: tuple[Call, ...]


@dataclass(frozen=True, slots=True)
class Change:
    """Something that is different for a while."""

    kind: str
    """``rate``, ``hot``, ``slow``, ``lost``, ``grey`` or ``abuse``."""
    at_s: float
    for_s: float
    x: float
    """How strong it is: a factor, or a share of the requests."""
    service: str
    """Service that it concerns; empty for all."""
    targets: int
    """Targets that it concerns, from the first one on."""


@dataclass(frozen=True, slots=True)
class Pattern:
    """All that is played."""

    name: str
    seconds: float
    requesters: int
    """Daemons that choose among targets, each by what it has seen itself."""
    domains: int
    """Failure domains, over which requesters and targets are spread."""
    services: tuple[ServiceSpec, ...]
    requests: tuple[RequestSpec, ...]
    changes: tuple[Change, ...]

    @classmethod
    def from_file(cls, path: Path) -> "Pattern":
        """Read a YAML file; raises InvalidField that names what is wrong."""
        return cls.from_config(path.stem, yaml.safe_load(path.read_text(encoding="utf-8")))

    @classmethod
    def from_config(cls, name: str, data: object) -> "Pattern":
        """Check a pattern; raises InvalidField."""
        root = FieldReader(data, name)
        pattern = cls(
            name=name,
            seconds=root.number("seconds", 30.0, low=1.0),
            requesters=root.integer("requesters", 4, low=1),
            domains=root.integer("domains", 4, low=1),
            services=tuple(_service(root, row) for row in root.items("services")),
            requests=tuple(_request(root, row) for row in root.items("requests")),
            changes=tuple(_change(root, row) for row in root.items("changes")),
        )
        root.finish()
        known = {service.name for service in pattern.services}
        for request in pattern.requests:
            if request.service not in known:
                raise InvalidField(f"{name}.requests", request.service, "no such service")
        return pattern


def _service(root: FieldReader, row: object) -> ServiceSpec:
    reader = FieldReader(row, root.path("services"))
    spec = ServiceSpec(
        name=reader.text("name"),
        speeds=tuple(float(speed) for speed in reader.items("speeds"))
        * reader.integer("repeat", 1, low=1),
        slots=reader.integer("slots", 12, low=1),
        keyed=reader.flag("keyed", False),
    )
    reader.finish()
    return spec


def _request(root: FieldReader, row: object) -> RequestSpec:
    reader = FieldReader(row, root.path("requests"))
    objective_s = reader.number("objective_s", 0.4)
    spec = RequestSpec(
        name=reader.text("name"),
        service=reader.text("service"),
        per_s=reader.number("per_s", 0.0),
        work_s=reader.number("work_s", 0.1),
        spread=reader.number("spread", 0.5),
        objective_s=objective_s,
        timeout_s=reader.number("timeout_s", objective_s * 2),
        deadline_s=reader.number("deadline_s", objective_s * 4),
        rank=reader.integer("rank", 0),
        worth=reader.number("worth", 1.0),
        late_worth=reader.number("late_worth", 0.3),
        returns=reader.integer("returns", 1),
        safe=reader.flag("safe", True),
        calls=tuple(_call(reader, call) for call in reader.items("calls")),
    )
    reader.finish()
    return spec


def _call(root: FieldReader, row: Any) -> Call:
    reader = FieldReader(row, root.path("calls"))
    call = Call(reader.text("request"), reader.number("share", 1.0), reader.integer("times", 1))
    reader.finish()
    return call


def _change(root: FieldReader, row: object) -> Change:
    reader = FieldReader(row, root.path("changes"))
    change = Change(
        kind=reader.text("kind"),
        at_s=reader.number("at_s", 0.0),
        for_s=reader.number("for_s", 5.0),
        x=reader.number("x", 1.0),
        service=reader.raw("service", ""),
        targets=reader.integer("targets", 1),
    )
    reader.finish()
    return change
