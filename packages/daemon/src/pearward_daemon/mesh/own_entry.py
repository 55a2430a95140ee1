"""This daemon's own member entry in the platform's store.

The entry exists as long as the daemon's lease. It is written when the daemon or its target
changes, and again if it was removed or changed by another writer.
"""

from collections.abc import Callable, Coroutine
from typing import Any

from pearward_protocol.entries import encode_holder, encode_member, holder_key, member_key
from pearward_protocol.etcd import KeyValue
from pearward_state.members import Holder, Member
from pearward_transport.errors import PlatformError
from pearward_transport.store import FleetStore, LeaseNotFound, Put

from .log import DecisionLog

__all__ = ["OwnEntry"]


class OwnEntry:
    """Writes the member entry of one daemon and the holder entries of its targets."""

    def __init__(
        self,
        instance: str,
        store: FleetStore,
        log: DecisionLog,
        run: Callable[[Coroutine[Any, Any, None]], None],
        on_failed: Callable[[PlatformError], None],
    ) -> None:
        self._key = member_key(instance)
        self._store = store
        self._log = log
        self._run = run
        self._on_failed = on_failed
        self._lease = 0
        self._member: Member | None = None
        self._keyed = False
        self._written: Member | None = None
        self._written_at = 0
        """Revision of the store at the last write."""
        self._holder_written = ""
        """Target whose holder entry was written last."""
        self._writing = False
        self._stopped = False

    # -- properties -------------------------------------------------------------

    @property
    def key(self) -> str:
        """Key of the member entry."""
        return self._key

    @property
    def is_written(self) -> bool:
        """Whether the entry was written and is not known to have been removed since."""
        return self._written is not None

    # -- writing -----------------------------------------------------------------

    def publish(self, member: Member | None, keyed: bool) -> None:
        """Write *member*; None keeps the current entry. Write a holder entry if *keyed*."""
        self._member = member
        self._keyed = keyed
        self._write_soon()

    def _write_soon(self) -> None:
        if self._lease and not self._writing:
            self._run(self.write())

    async def write_under_lease(self, lease: int) -> None:
        """Write the entry under a new lease."""
        self._lease = lease
        self._written = None
        await self.write()

    def lease_expired(self) -> None:
        """Record that the lease expired, and the entry with it."""
        self._lease = 0
        self._written = None

    def store_restored(self) -> None:
        """Write all entries again under the next lease: the restored store may have lost them."""
        self.lease_expired()
        self._holder_written = ""
        self._written_at = 0

    def stop(self) -> None:
        """Stop restoring entries that are removed or changed from now on."""
        self._stopped = True

    async def write(self) -> None:
        """Write until the entries in the store are up to date."""
        if self._writing:
            return
        self._writing = True
        try:
            while self._member is not None and self._member != self._written and self._lease:
                await self._write_once(self._member, self._lease)
        except LeaseNotFound:
            # The renewal detects this as well, and starts a new lease.
            self._log.emit("entry_refused", failure=True, lease=self._lease)
        except PlatformError as error:
            self._on_failed(error)
        finally:
            self._writing = False

    async def _write_once(self, member: Member, lease: int) -> None:
        puts = [Put(member_key(member.instance), encode_member(member), lease)]
        if self._keyed and self._holder_written != member.target:
            entry = Holder(member.target, member.instance)
            puts.append(Put(holder_key(member.target), encode_holder(entry)))
        self._written_at = await self._store.commit([], puts)
        if lease != self._lease:
            # The lease expired during the write, and the entry with it.
            return
        self._written = member
        if len(puts) > 1:
            self._holder_written = member.target
        self._log.emit("entry_written", target=member.target, state=member.state.value, lease=lease)

    # -- changes in the store ------------------------------------------------------

    def entry_missing(self) -> None:
        """Write the entry again: it is missing although the lease may be valid."""
        if self._written is None or self._stopped:
            return
        self._log.emit("entry_missing", failure=True, lease=self._lease)
        self._written = None
        self._write_soon()

    def seen(self, item: KeyValue) -> bool:
        """Write the entry again if another writer changed it; return whether one did.

        Changes before this daemon's last write are ignored.
        """
        written = self._written
        if written is None or self._writing or item.revision <= self._written_at:
            return False
        if item.value == encode_member(written):
            return False
        self._log.emit(
            "entry_unreadable",
            failure=True,
            key=item.key,
            error="value differs from what this daemon wrote",
        )
        self.entry_missing()
        return True
