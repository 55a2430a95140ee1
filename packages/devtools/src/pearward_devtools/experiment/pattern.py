"""A pattern of load: services, classes of requests, and changes during the simulation.

Source: the YAML files in ``patterns/`` beside this module.
"""

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
    """Speed of each target as a factor of the normal speed; the key ``repeat`` of a pattern's
    file repeats the list."""
    slots: int
    keyed: bool
    """Whether each request has one owner; otherwise any target may run it."""
    domain_sizes: tuple[int, ...]
    """Number of targets in each failure domain, in the order of the speeds; empty if the targets
    are dealt out to the domains in turn."""

    def domain_of(self, number: int, domains: int) -> int:
        """Return the failure domain of a target, of *domains* in all."""
        for domain, size in enumerate(self.domain_sizes):
            if number < size:
                return domain
            number -= size
        return number % domains


@dataclass(frozen=True, slots=True)
class Call:
    """A request that a target sends while it runs another one."""

    request: str
    share: float
    """Share of the runs that send it."""
    times: int


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A class of requests; times in seconds."""

    name: str
    service: str
    per_s: float
    """Requests of callers per second; 0 for requests that only targets send."""
    work_s: float
    """Mean running time at a target of normal speed, without calls."""
    spread: float
    """Standard deviation of the logarithm of the running time."""
    objective_s: float
    timeout_s: float
    """Time limit of the router for one request."""
    deadline_s: float
    """Time limit of the caller, retries included."""
    rank: int
    value: float
    """Credit for a response within the objective."""
    late_value: float
    """Share of the credit that a later response earns."""
    max_retries: int
    """Number of retries of a caller after refusals."""
    idempotent: bool
    """Whether a caller also retries when it is unknown whether the request was executed."""
    calls: tuple[Call, ...]


@dataclass(frozen=True, slots=True)
class Change:
    """A temporary change of the load or of the targets."""

    kind: str
    """``rate``, ``hot``, ``slow``, ``lost``, ``grey`` or ``abuse``."""
    start_s: float
    duration_s: float
    magnitude: float
    """A factor, a share of the requests, or for ``abuse`` the number of added retries."""
    service: str
    """Affected service; empty for all services."""
    targets: int
    """Number of affected targets, counted from the first one."""


@dataclass(frozen=True, slots=True)
class Pattern:
    """The complete input of one simulation."""

    name: str
    seconds: float
    ingress_count: int
    """Number of daemons that choose among targets, each by the loads that it has observed."""
    domains: int
    """Number of failure domains, over which ingress daemons and targets are spread."""
    services: tuple[ServiceSpec, ...]
    requests: tuple[RequestSpec, ...]
    changes: tuple[Change, ...]

    @classmethod
    def from_file(cls, path: Path) -> "Pattern":
        """Read a pattern from a YAML file; raises InvalidField that names the invalid field."""
        return cls.from_config(path.stem, yaml.safe_load(path.read_text(encoding="utf-8")))

    @classmethod
    def from_config(cls, name: str, data: object) -> "Pattern":
        """Create a pattern from parsed YAML; raises InvalidField."""
        root = FieldReader(data, name)
        pattern = cls(
            name=name,
            seconds=root.number("seconds", 30.0, low=1.0),
            ingress_count=root.integer("requesters", 4, low=1),
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
        domain_sizes=tuple(int(size) for size in reader.items("domain_sizes")),
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
        value=reader.number("worth", 1.0),
        late_value=reader.number("late_worth", 0.3),
        max_retries=reader.integer("returns", 1),
        idempotent=reader.flag("safe", True),
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
        start_s=reader.number("at_s", 0.0),
        duration_s=reader.number("for_s", 5.0),
        magnitude=reader.number("x", 1.0),
        service=reader.raw("service", ""),
        targets=reader.integer("targets", 1),
    )
    reader.finish()
    return change
