"""What daemons tell each other about ownership and versions."""

from dataclasses import dataclass

from .grants import HeldRow, ReleasedRow
from .key_load import KeyCount
from .watchers import EntryChange

__all__ = [
    "Announce",
    "AskChanges",
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
    "TellChanges",
    "VersionedKey",
]


@dataclass(frozen=True, slots=True)
class PeerId:
    """A running daemon: its incarnation and the address where peers reach it."""

    incarnation: str
    address: str


@dataclass(frozen=True, slots=True)
class VersionedKey:
    """A key of the platform's service (``table/...`` or ``cell/...``) and a version of it."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Renew:
    """An owner asks a witness to renew its lease."""

    cell: str
    nonce: int
    adopted: int
    """Version of the cell record that the sender acts on."""
    released: int
    """Highest version whose taken shards the sender has given up entirely."""
    table_version: int
    owner: str = ""
    """Target whose lease is renewed, where a witness tells targets and not daemons apart."""


@dataclass(frozen=True, slots=True)
class RenewReply:
    """A witness's answer to Renew."""

    cell: str
    owner: str
    """The incarnation that was granted: a new daemon at its address must not count it."""
    nonce: int
    granted: bool
    version: int
    """The witness's own record version; a higher one than the asker's comes with a Push."""


@dataclass(frozen=True, slots=True)
class AskRelease:
    """A new owner asks a witness of an earlier owner whether that one has ended."""

    cell: str
    owner: str
    version: int


@dataclass(frozen=True, slots=True)
class ReleaseReply:
    """A witness's answer to AskRelease."""

    cell: str
    owner: str
    version: int
    """The version asked for."""
    released: bool
    known: int
    """The witness's own record version."""
    remaining_ms: int
    """Milliseconds until the last grant runs out, where it is not released."""


@dataclass(frozen=True, slots=True)
class Released:
    """An owner tells a successor that it has given up what *version* took from it."""

    cell: str
    version: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A member reports to the coordinator of its cell."""

    cell: str
    instance: str
    server: str
    failure_domain: str
    caller: str
    adopted: int
    settled: int
    """Highest version whose shards given to the sender are all being served."""
    released: int
    table_version: int
    draining: bool
    healthy: bool
    """Whether the server beside the sender answers."""
    running: int
    """Requests that run at the server now."""
    silent: tuple[str, ...]
    """Incarnations that the sender is a witness of and has not heard from."""


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The coordinator's answer; its absence is how a lost coordinator is noticed."""

    cell: str
    coordinating: bool
    version: int


@dataclass(frozen=True, slots=True)
class Digest:
    """What the sender holds; the receiver answers with what is newer, and asks for the rest."""

    fingerprint: int
    """Hash over the entries."""
    full: bool = False
    """Whether the entries are listed; while fingerprints are being compared they are not."""
    entries: tuple[VersionedKey, ...] = ()


@dataclass(frozen=True, slots=True)
class Announce:
    """Tells of a newer version; who is behind pulls it, so that the value travels once."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Pull:
    """Asks for the values of some keys."""

    keys: tuple[str, ...]
    held: int = 0
    """Version that the asker holds, where one key is asked for: a change may do then."""


@dataclass(frozen=True, slots=True)
class Push:
    """A versioned value, byte for byte as the platform's service holds it."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class PushChange:
    """What turns one version of a value into the next; of no use to who lacks the former."""

    key: str
    base: int
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class KeyReport:
    """The daemon beside a target of a keyed service tells the planner what it sees."""

    service: str
    target: str
    """Id of the target's incarnation; empty while there is none."""
    version: int
    """Version of the key map that is acted on."""
    capacity: float
    """Requests a second that the target can run."""
    draining: bool
    ended: tuple[str, ...]
    """Targets, once beside this daemon, that surely hold nothing any more."""
    confirmed: tuple[HeldRow, ...]
    counts: tuple[KeyCount, ...]
    """Requests by key since the last report."""


@dataclass(frozen=True, slots=True)
class AskKeys:
    """A new owner's daemon asks a predecessor's whether keys were let go."""

    service: str
    target: str
    """The predecessor."""
    fence: int
    first: int
    last: int
    version: int
    """Version of the key map that the sender acts on."""


@dataclass(frozen=True, slots=True)
class KeysLetGo:
    """Confirms that a predecessor holds keys no longer."""

    service: str
    target: str
    fence: int
    rows: tuple[ReleasedRow, ...]


@dataclass(frozen=True, slots=True)
class AskChanges:
    """Asks a watcher what has changed in the members' entries."""

    nonce: int
    after: int
    """Revision of the store up to which the asker knows all."""


@dataclass(frozen=True, slots=True)
class TellChanges:
    """A watcher's answer: with the next news, or after a while without any."""

    nonce: int
    follows: bool
    """Whether the sender follows the store at present; if not, it tells nothing."""
    known: bool
    """Whether it knows all changes after the revision asked for; if not, it tells none."""
    revision: int
    """Revision of the store up to which all is told."""
    changes: tuple[EntryChange, ...]
    drains_revision: int = 0
    """Revision of the store up to which the sender knows the drains of failure domains."""
    drained: tuple[str, ...] = ()
    """Failure domains that are drained as of that revision."""


@dataclass(frozen=True, slots=True)
class TargetCrashed:
    """Tells the daemons beside a service's targets what one of these was running as it crashed.

    The store tells everybody; this comes sooner, and also while the store is away.
    """

    target: str
    """Id of the target's incarnation."""
    contents: tuple[str, ...]
    """Digests of what the requests asked for."""


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
)
