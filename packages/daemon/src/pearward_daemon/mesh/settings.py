"""Settings of a daemon on a users' platform, read from a YAML file and validated as a whole."""

from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

import orjson

from pearward_coordination.grants import HOLD_S, LEASE_S, RENEW_S, GrantTiming
from pearward_coordination.lease import LeaseTiming
from pearward_coordination.overload.policy import Mechanism, OverloadPolicy
from pearward_coordination.quarantine import MAX_QUARANTINE_S, REFUSED_AFTER, QuarantineRule
from pearward_coordination.retry_window import RetryRule
from pearward_state.errors import InvalidField
from pearward_state.fields import FieldReader

from ..errors import SettingsError

__all__ = ["Address", "GrantMode", "MeshSettings", "StoreSettings"]

LEASE_TTL_S = 3.0
"""Time to live in s of a daemon's lease, with which its entry expires. Peers detect a failed
daemon sooner by themselves."""
KEEP_INTERVAL_S = 0.95
"""Seconds between renewals of the lease: two may be lost before the entry expires. It is not
shorter since the store serves the whole fleet."""
REPORT_TIMEOUT_S = 2.2
"""Seconds without a report after which an owner's keys are reassigned: a daemon that was killed
reports again after 1.6 s."""
LINK_MBIT_PER_S = 1000.0
"""Default rate of an instance's link, so high that responses never wait for the link."""
KEYED_DRAIN_SHARE = 0.6
"""Fraction of the drain time of a failure domain in which keys still held there are served: their
handover takes half a second, and up to two for some."""
DOMAIN_DRAIN_S = 5.0
"""Seconds from an operator's drain of a failure domain until nothing may be sent there."""
LOG_LINES_PER_S = 200
"""Log lines per second; further ones are only counted. A busy daemon handles 60 requests/s."""


class GrantMode(StrEnum):
    """The mechanism by which keys are granted to targets."""

    HEARTBEAT = "heartbeat"
    """In the responses to their heartbeats."""
    CALL = "call"
    """By calls of their daemon."""


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port to listen on."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The address of the platform's store, and the timing of the lease."""

    address: str
    lease_ttl_s: float
    keep_interval_s: float


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """All settings of one daemon."""

    instance: str
    failure_domain: str
    failure_domains: frozenset[str]
    """All existing failure domains; empty if not stated."""
    service: str
    """Service of the local target."""
    target_address: str
    callers: Address
    heartbeats: Address
    readiness: Address
    peers: Address
    peers_reached_at: Address
    """Address at which other daemons reach *peers*; differs only behind a proxy or the like."""
    metrics: Address
    store: StoreSettings
    grant_mode: GrantMode
    """The mechanism by which keys are granted to the local target."""
    holds: GrantTiming
    silent_s: float
    """Seconds without a report after which an owner's keys are reassigned."""
    retries: RetryRule
    overload: OverloadPolicy
    """The enabled mechanisms against overload."""
    quarantine: QuarantineRule
    """The rule by which requests are refused whose content crashed targets."""
    drain_s: float
    """Seconds in which a target may get new requests after its leave is acknowledged."""
    stop_s: float
    """Seconds from SIGTERM to the platform's SIGKILL."""
    domain_drain_s: float
    """Seconds from an operator's drain of a failure domain until nothing may be sent there."""
    cold_overage: float
    """Factor on the load that the configuration allows for a cold target."""
    link_mbit_per_s: float
    """Rate of the instance's own link."""
    log_lines_per_s: int

    @property
    def keyed_drain_s(self) -> float:
        """Seconds after the drain of a failure domain in which keys held there are served."""
        return self.domain_drain_s * KEYED_DRAIN_SHARE

    @classmethod
    def from_file(cls, path: Path) -> "MeshSettings":
        """Read and validate a file; raises SettingsError that names the field and the value."""
        try:
            data = _parsed(path.read_bytes())
        except (OSError, ValueError) as error:
            raise SettingsError(f"{path}: {error}") from error
        try:
            return cls.from_config(data)
        except InvalidField as error:
            raise SettingsError(f"{path}: {error}") from error

    @classmethod
    def from_config(cls, data: object) -> "MeshSettings":
        """Validate settings; raises InvalidField."""
        root = FieldReader(data, "")
        target = root.section("target")
        listen = root.section("listen")
        limits = root.section("limits")
        peers = _address(listen, "peers")
        settings = cls(
            instance=root.text("instance"),
            failure_domain=root.text("failure_domain"),
            failure_domains=frozenset(root.texts("failure_domains")),
            service=target.text("service"),
            target_address=str(_address(target, "address")),
            callers=_address(listen, "callers"),
            heartbeats=_address(listen, "heartbeats"),
            readiness=_address(listen, "readiness"),
            peers=peers,
            peers_reached_at=_address(listen, "peers_reached_at", str(peers)),
            metrics=_address(listen, "metrics"),
            store=_store(root.section("store")),
            grant_mode=root.choice("grants", GrantMode, GrantMode.HEARTBEAT),
            holds=_holds(root.section("holds")),
            silent_s=limits.number("silent_ms", REPORT_TIMEOUT_S * 1000, low=500) / 1000,
            retries=_retries(root.section("retries")),
            overload=_overload(root.section("overload")),
            quarantine=_quarantine(root.section("quarantine")),
            drain_s=limits.number("drain_ms", 2000, low=100) / 1000,
            stop_s=limits.number("stop_s", 6, low=1),
            domain_drain_s=limits.number("domain_drain_ms", DOMAIN_DRAIN_S * 1000, low=500) / 1000,
            cold_overage=limits.number("cold_overage", 1.0, low=1.0, high=100.0),
            link_mbit_per_s=limits.number("link_mbit_per_s", LINK_MBIT_PER_S, low=0.1),
            log_lines_per_s=root.section("log").integer("lines_per_s", LOG_LINES_PER_S, low=1),
        )
        for reader in (target, listen, limits, root):
            reader.finish()
        return settings


def _parsed(text: bytes) -> Any:
    """Parse a settings file; raises ValueError.

    A file that is also valid JSON is read without the YAML parser, whose import takes 24 of
    about 600 ms of a start.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        import yaml

        try:
            return yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
        except yaml.YAMLError as error:
            raise ValueError(str(error)) from error


def _address(reader: FieldReader, name: str, default: str | None = None) -> Address:
    """Return the IP address and port of a field."""
    ip, _, port = reader.address(name, default).rpartition(":")
    return Address(ip, int(port))


def _store(reader: FieldReader) -> StoreSettings:
    ttl_s = reader.number("lease_ttl_ms", LEASE_TTL_S * 1000, low=1000) / 1000
    shortest_s = reader.number("shortest_ttl_ms", 1000, low=0) / 1000
    settings = StoreSettings(
        address=str(_address(reader, "address")),
        lease_ttl_s=max(ttl_s, shortest_s),
        keep_interval_s=reader.number("keep_interval_ms", KEEP_INTERVAL_S * 1000, low=50) / 1000,
    )
    reader.finish()
    return settings


def _holds(reader: FieldReader) -> GrantTiming:
    longest_s = reader.number("longest_ms", HOLD_S * 1000, low=500) / 1000
    hold_s = reader.number("hold_ms", HOLD_S * 1000, low=500) / 1000
    lease = LeaseTiming(
        lease_s=reader.number("lease_ms", LEASE_S * 1000, low=500) / 1000,
        renew_s=reader.number("renew_ms", RENEW_S * 1000, low=50) / 1000,
    )
    timing = GrantTiming(min(hold_s, longest_s), lease)
    reader.finish()
    return timing


def _overload(reader: FieldReader) -> OverloadPolicy:
    off: set[Mechanism] = set()
    for name in reader.items("without"):
        try:
            off.add(Mechanism(name))
        except ValueError:
            allowed = ", ".join(Mechanism)
            raise InvalidField(reader.path("without"), name, f"expected one of {allowed}") from None
    reader.finish()
    return OverloadPolicy(frozenset(off))


def _quarantine(reader: FieldReader) -> QuarantineRule:
    rule = QuarantineRule(
        refused_after=reader.integer("refused_after", REFUSED_AFTER, low=0, high=100),
        lasts_s=reader.number("lasts_s", MAX_QUARANTINE_S, low=10.0, high=MAX_QUARANTINE_S),
    )
    reader.finish()
    return rule


def _retries(reader: FieldReader) -> RetryRule:
    rule = RetryRule(
        ratio=reader.number("ratio", 0.2, high=10),
        allowance=reader.number("allowance", 50),
        window_s=reader.number("window_s", 10, low=0.1),
    )
    reader.finish()
    return rule
