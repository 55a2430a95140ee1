"""Messages between daemons about ownership and versions."""

from dataclasses import dataclass

from .grants import HeldRow, ReleasedRow
from .key_load import KeyCount
from .watchers import EntryChange

__all__ = [
    "Announce",
    "AskChanges",
    "AskDeparture",
    "AskKeys",
    "AskRelease",
    "ControlMessage",
    "Digest",
    "Heartbeat",
    "HeartbeatReply",
    "KeyReport",
    "KeysLetGo",
    "PeerId",
    "Pull",
    "Push",
    "PushChange",
    "ReleaseReply",
    "Released",
    "Renew",
    "RenewReply",
    "TargetCrashed",
    "TargetDeparted",
    "TellChanges",
    "VersionedKey",
]


@dataclass(frozen=True, slots=True)
class PeerId:
    """Running daemon: its incarnation and the address at which peers connect to it."""

    incarnation: str
    address: str


@dataclass(frozen=True, slots=True)
class VersionedKey:
    """Key of the platform's service (``table/...`` or ``cell/...``) and a version of it."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Renew:
    """Owner's request to a witness to renew its lease."""

    cell: str
    nonce: int
    adopted: int
    """Version of the cell record in force at the sender."""
    released: int
    """Highest version whose taken shards the sender has released completely."""
    table_version: int
    owner: str = ""
    """Target whose lease is renewed, if the witness tracks leases by target and not by daemon."""


@dataclass(frozen=True, slots=True)
class RenewReply:
    """Witness's reply to Renew."""

    cell: str
    owner: str
    """Incarnation that requested the renewal: another one at its address must ignore the reply."""
    nonce: int
    granted: bool
    version: int
    """Record version of the witness; if higher than the sender's, a Push follows the reply."""


@dataclass(frozen=True, slots=True)
class AskRelease:
    """New owner's query to a witness of an earlier owner whether that one can still act."""

    cell: str
    owner: str
    version: int


@dataclass(frozen=True, slots=True)
class ReleaseReply:
    """Witness's reply to AskRelease."""

    cell: str
    owner: str
    version: int
    """Version of the request."""
    released: bool
    known: int
    """Record version of the witness."""
    remaining_ms: int
    """Milliseconds until the last grant expires, if not released."""


@dataclass(frozen=True, slots=True)
class Released:
    """Owner's notification to a successor that it has released the shards *version* took."""

    cell: str
    version: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Member's report to the coordinator of its cell."""

    cell: str
    instance: str
    server: str
    failure_domain: str
    caller: str
    adopted: int
    settled: int
    """Highest version whose shards assigned to the sender are all being served."""
    released: int
    table_version: int
    draining: bool
    healthy: bool
    """Whether the sender's local server responds."""
    running: int
    """Number of requests that run at the server now."""
    silent: tuple[str, ...]
    """Incarnations for which the sender is a witness and that have sent it no renewal lately."""
    stopping: bool = False
    """Whether the sender is in a planned stop, which is never cancelled; *draining* is set too."""


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Coordinator's reply to a heartbeat; without it a member detects a lost coordinator."""

    cell: str
    coordinating: bool
    version: int


@dataclass(frozen=True, slots=True)
class Digest:
    """Versions that the sender holds; a peer whose versions differ replies with the differences."""

    fingerprint: int
    """Hash over the entries."""
    full: bool = False
    """Whether the entries are listed; a digest that only compares fingerprints has none."""
    entries: tuple[VersionedKey, ...] = ()


@dataclass(frozen=True, slots=True)
class Announce:
    """Notification of a version; only peers that have an older one pull the value."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Pull:
    """Request for the values of some keys."""

    keys: tuple[str, ...]
    held: int = 0
    """Version that the sender holds, if *keys* is one key: the reply may be a PushChange then."""


@dataclass(frozen=True, slots=True)
class Push:
    """Versioned value, byte for byte as the platform's service stores it."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class PushChange:
    """Difference between version *base* of a value and *version*; usable only with *base*."""

    key: str
    base: int
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class KeyReport:
    """Report of a target of a keyed service, sent by its daemon to the planner."""

    service: str
    target: str
    """Id of the target's incarnation; empty if no target runs."""
    version: int
    """Version of the key map in force."""
    capacity: float
    """Requests per second that the target can run."""
    draining: bool
    ended: tuple[str, ...]
    """Former local targets that certainly hold no keys any more."""
    confirmed: tuple[HeldRow, ...]
    counts: tuple[KeyCount, ...]
    """Number of requests by key since the last report."""
    limited: bool = False
    """Whether the capacity is a rate limit in force, not a measured speed."""


@dataclass(frozen=True, slots=True)
class AskKeys:
    """Query of a new owner's daemon to a predecessor's whether keys were released."""

    service: str
    target: str
    """The predecessor's target."""
    fence: int
    first: int
    last: int
    version: int
    """Version of the key map in force at the sender."""


@dataclass(frozen=True, slots=True)
class KeysLetGo:
    """Reply to AskKeys: confirmation that a predecessor has released keys."""

    service: str
    target: str
    fence: int
    rows: tuple[ReleasedRow, ...]


@dataclass(frozen=True, slots=True)
class AskChanges:
    """Query to a watcher for changes of the members' entries."""

    nonce: int
    after: int
    """Revision of the store up to which the sender has all changes."""


@dataclass(frozen=True, slots=True)
class TellChanges:
    """Watcher's reply, sent with the next change or after an interval without changes."""

    nonce: int
    follows: bool
    """Whether the sender currently watches the store; if not, the reply has no changes."""
    known: bool
    """Whether it has all changes after the requested revision; if not, the reply has none."""
    revision: int
    """Revision of the store up to which the reply is complete."""
    changes: tuple[EntryChange, ...]
    drains_revision: int = 0
    """Revision of the store at which the sender last read the drains of failure domains."""
    drained: tuple[str, ...] = ()
    """Failure domains that are drained as of that revision."""


@dataclass(frozen=True, slots=True)
class TargetCrashed:
    """Notification to the daemons of a service's targets of what one target ran when it crashed.

    The store distributes the crash to all daemons; this message arrives sooner, and also while the
    store is unavailable.
    """

    target: str
    """Id of the target's incarnation."""
    contents: tuple[str, ...]
    """Digests of the contents of the requests."""


@dataclass(frozen=True, slots=True)
class TargetDeparted:
    """Departure of an instance's target that the store has not recorded yet.

    Sent to daemons that keep it, and by them to the instance's next daemon process.
    """

    instance: str
    entry: bytes
    """Value of the departure's entry; empty if the departure is over."""


@dataclass(frozen=True, slots=True)
class AskDeparture:
    """Query of a daemon that has started for a departure that its earlier process has shared."""

    instance: str


ControlMessage = (
    Renew
    | RenewReply
    | AskRelease
    | ReleaseReply
    | Released
    | Heartbeat
    | HeartbeatReply
    | Digest
    | Announce
    | Pull
    | Push
    | KeyReport
    | AskKeys
    | KeysLetGo
    | AskChanges
    | TellChanges
    | PushChange
    | TargetCrashed
    | TargetDeparted
    | AskDeparture
)
