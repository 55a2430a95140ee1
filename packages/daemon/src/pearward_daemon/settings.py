"""The daemon's settings: one YAML file, validated completely before the daemon starts."""

import ipaddress
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

import yaml

from pearward_coordination.lease import LeaseTiming
from pearward_protocol.httpmap import RequestLimits
from pearward_state.errors import InvalidField
from pearward_state.fields import FieldReader

from .errors import SettingsError

__all__ = ["LogRequests", "Settings"]


class LogRequests(StrEnum):
    """Selection of the requests that are logged."""

    ALL = "all"
    """An eliot action for each request, continued across daemons."""
    SAMPLED = "sampled"
    """An action for one request in *log_sample*, and a line for each failed request."""
    FAILURES = "failures"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Ports of this daemon."""

    ip: str
    caller_port: int
    peer_port: int
    admin_port: int


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """The local server."""

    service: str
    name: str
    address: str
    health_path: str
    probe_s: float


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on callers' requests and on memory use."""

    header_bytes: int
    header_count: int
    idle_s: float
    replay_bytes: int
    """Bytes of a request's body that are buffered for a retry."""
    window_bytes: int
    """Bytes of one stream that may be in transit between two daemons."""
    queue: int
    remember_s: float
    """Seconds for which ids of non-repeatable requests are remembered."""
    remember_count: int
    tenants: int
    """Number of tenants with histograms of their own; the others share one."""
    max_requests: int
    """Maximum number of callers' requests in progress in this daemon."""


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon."""

    instance: str
    failure_domain: str
    advertise_ip: str
    listen: ListenSettings
    server: ServerSettings
    platform: tuple[str, ...]
    limits: LimitSettings
    requests: RequestLimits
    lease: LeaseTiming
    drain_limit_s: float
    log_requests: LogRequests
    log_sample: int
    """One request in this many is logged as an action of its own."""

    @property
    def peer_address(self) -> str:
        """Address (IP:port) where peers reach this daemon."""
        return f"{self.advertise_ip}:{self.listen.peer_port}"

    @property
    def caller_address(self) -> str:
        """Address (IP:port) where callers reach this daemon."""
        return f"{self.listen.ip}:{self.listen.caller_port}"

    @classmethod
    def from_file(cls, path: Path) -> "Settings":
        """Read and validate a file; raises SettingsError."""
        try:
            data = yaml.safe_load(path.read_text(encoding="utf-8"))
        except OSError as error:
            raise SettingsError(f"{path}: {error.strerror}") from error
        except yaml.YAMLError as error:
            reason = " ".join(str(error).split())
            raise SettingsError(f"{path}: no YAML: {reason}") from error
        try:
            return cls.from_mapping(data)
        except InvalidField as error:
            raise SettingsError(f"{path}: {error}") from error

    @classmethod
    def from_mapping(cls, data: object) -> "Settings":
        """Validate a parsed mapping; raises InvalidField."""
        reader = FieldReader(data, "")
        instance = reader.section("instance")
        name = instance.text("name")
        domain = _failure_domain(reader, instance)
        listen = _listen(reader.section("listen"))
        advertise = _ip(instance, "advertise_ip", listen.ip)
        instance.finish()
        server = _server(reader.section("server"), listen)
        platform = reader.section("platform")
        endpoints = tuple(
            _address(platform.path(f"endpoints[{index}]"), value)
            for index, value in enumerate(platform.items("endpoints"))
        )
        if not endpoints:
            raise InvalidField(platform.path("endpoints"), [], "is required")
        platform.finish()
        stop = reader.section("stop")
        drain_limit = stop.number("drain_limit_s", 3600.0, low=0.1)
        stop.finish()
        log = reader.section("log")
        log_requests = log.choice("requests", LogRequests, LogRequests.SAMPLED)
        log_sample = log.integer("sample", 100, low=1)
        log.finish()
        settings = cls(
            instance=name,
            failure_domain=domain,
            advertise_ip=advertise,
            listen=listen,
            server=server,
            platform=endpoints,
            limits=_limits(reader.section("limits")),
            requests=_requests(reader.section("requests")),
            lease=_lease(reader.section("lease")),
            drain_limit_s=drain_limit,
            log_requests=log_requests,
            log_sample=1 if log_requests is LogRequests.ALL else log_sample,
        )
        reader.finish()
        return settings


def _failure_domain(reader: FieldReader, instance: FieldReader) -> str:
    """Return the instance's failure domain, which must be one of those declared."""
    known = [str(item) for item in reader.items("failure_domains")]
    if not known:
        raise InvalidField(reader.path("failure_domains"), known, "is required")
    domain = instance.text("failure_domain")
    if domain not in known:
        raise InvalidField(instance.path("failure_domain"), domain, f"not among {', '.join(known)}")
    return domain


def _ip(reader: FieldReader, name: str, default: str | None = None) -> str:
    value = reader.text(name, default)
    try:
        return str(ipaddress.IPv4Address(value))
    except ValueError:
        raise InvalidField(reader.path(name), value, "expected an IPv4 address") from None


def _address(path: str, value: object) -> str:
    """Return a validated IP:port."""
    host, _, port = str(value).rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        if not 1 <= int(port) <= 65535:
            raise ValueError(port)
    except ValueError:
        raise InvalidField(path, value, "expected an IPv4 address and a port") from None
    return f"{host}:{int(port)}"


def _listen(reader: FieldReader) -> ListenSettings:
    listen = ListenSettings(
        ip=_ip(reader, "ip"),
        caller_port=reader.integer("caller_port", 7400, low=1, high=65535),
        peer_port=reader.integer("peer_port", 7401, low=1, high=65535),
        admin_port=reader.integer("admin_port", 7402, low=1, high=65535),
    )
    used: dict[int, str] = {}
    for name in ("caller_port", "peer_port", "admin_port"):
        port = getattr(listen, name)
        if port in used:
            raise InvalidField(reader.path(name), port, f"is also {reader.path(used[port])}")
        used[port] = name
    reader.finish()
    return listen


def _server(reader: FieldReader, listen: ListenSettings) -> ServerSettings:
    server = ServerSettings(
        service=reader.text("service"),
        name=reader.text("name"),
        address=_address(reader.path("address"), reader.raw("address")),
        health_path=reader.text("health_path", "/health"),
        probe_s=reader.number("probe_s", 0.25, low=0.05, high=60.0),
    )
    own = {
        f"{listen.ip}:{port}" for port in (listen.caller_port, listen.peer_port, listen.admin_port)
    }
    if server.address in own:
        raise InvalidField(reader.path("address"), server.address, "is a port of this daemon")
    reader.finish()
    return server


def _limits(reader: FieldReader) -> LimitSettings:
    limits = LimitSettings(
        header_bytes=reader.integer("header_bytes", 16_384, low=1024, high=1 << 20),
        header_count=reader.integer("header_count", 100, low=8, high=1000),
        idle_s=reader.number("idle_s", 60.0, low=1.0, high=3600.0),
        replay_bytes=reader.integer("replay_bytes", 65_536, high=16 << 20),
        window_bytes=reader.integer("window_bytes", 131_072, low=16_384, high=16 << 20),
        queue=reader.integer("queue", 64, low=1, high=100_000),
        remember_s=reader.number("remember_s", 600.0, low=1.0, high=86_400.0),
        remember_count=reader.integer("remember_count", 100_000, low=10),
        tenants=reader.integer("tenants", 50, low=1, high=10_000),
        max_requests=reader.integer("max_requests", 10_000, low=1),
    )
    reader.finish()
    return limits


def _requests(reader: FieldReader) -> RequestLimits:
    limits = RequestLimits(
        default_deadline_ms=reader.integer("default_deadline_ms", 30_000, low=1),
        max_deadline_ms=reader.integer("max_deadline_ms", 3_600_000, low=1, high=2**31),
        max_key_bytes=reader.integer("max_key_bytes", 1024, low=1, high=65_536),
        max_id_bytes=reader.integer("max_id_bytes", 128, low=8, high=4096),
    )
    reader.finish()
    return limits


def _lease(reader: FieldReader) -> LeaseTiming:
    timing = LeaseTiming(
        lease_s=reader.number("lease_s", 1.0, low=0.1, high=60.0),
        renew_s=reader.number("renew_s", 0.25, low=0.02, high=20.0),
        drift=reader.number("drift", 0.02, low=0.0, high=0.2),
        silence_s=reader.number("silence_s", 0.55, low=0.05, high=60.0),
        heartbeat_s=reader.number("heartbeat_s", 0.25, low=0.02, high=20.0),
    )
    if timing.renew_s * 2 > timing.lease_s:
        raise InvalidField(reader.path("renew_s"), timing.renew_s, "over half of lease_s")
    reader.finish()
    return timing
