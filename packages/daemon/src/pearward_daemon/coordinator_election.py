"""Election of a cell's coordinator: finds the holder of the role, or replaces a silent one."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import eliot

from pearward_coordination.messages import PeerId
from pearward_protocol.etcd import KeyValue
from pearward_transport.clock import boot_time
from pearward_transport.errors import CasConflict, PlatformUnavailable
from pearward_transport.platform import KeyValueService

from .tasks import spawn

__all__ = ["CoordinatorElection", "Role", "role_holder"]

ROLE_TTL_S = 15
"""Lease of the role's key in seconds, three renewals: the store drops the key of a holder that has
ended after this time."""
COORDINATOR_SILENCE_S = 0.7
"""Time without a reply after which a member looks for a coordinator: nearly three heartbeats."""
HOLDER_REPLY_S = 0.4
"""Time that a holder named by the store has to reply before it is replaced."""
RANK_DELAY_S = 0.12
"""Delay for each rank of a member, so that the first one has taken the role before the next reads
the holder."""
MAX_RANK = 8
SEEK_BACKOFF_MIN_S = 0.1
SEEK_BACKOFF_MAX_S = 4.0
"""Limits of the delay between reads while the store is unavailable, so that it gets few calls when
it is available again."""


@dataclass(frozen=True, slots=True)
class Role:
    """Holder of the coordinator's role according to the platform's store."""

    incarnation: str
    address: str
    revision: int


def role_holder(pair: KeyValue | None) -> Role | None:
    """Return the holder of the role; an invalid value gives a holder with an empty incarnation."""
    if pair is None:
        return None
    try:
        raw = json.loads(pair.value)
        return Role(str(raw["incarnation"]), str(raw["address"]), pair.revision)
    except (ValueError, KeyError, TypeError):
        return Role("", "", pair.revision)


class CoordinatorElection:
    """Finds the coordinator of a cell, and takes the role if its holder does not reply."""

    def __init__(
        self,
        reactor: Any,
        platform: KeyValueService,
        me: PeerId,
        cell: str,
        rng: Random,
        on_found: Callable[[str], None],
        on_taken: Callable[[int], None],
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self._me = me
        self._cell = cell
        self._rng = rng
        self._on_found = on_found
        self._on_taken = on_taken
        self._silent_holder = ""
        self._holder = ""
        """Incarnation of the holder that gets this member's heartbeats."""
        self._holder_replied = False
        """Whether that holder has replied: if it is silent afterwards, it is replaced at once."""
        self._seeking = False
        self._may_replace = True
        self._may_take = True
        self._last_reply = float("-inf")
        self._not_before = 0.0
        self._backoff_s = SEEK_BACKOFF_MIN_S

    def note_received(self) -> None:
        """Note that the coordinator replied to a heartbeat."""
        self._last_reply = boot_time()
        self._silent_holder = ""
        self._holder_replied = True
        self._backoff_s = SEEK_BACKOFF_MIN_S

    def note_resigned(self) -> None:
        """Look for a coordinator now, since the one that replied so far has given up the role."""
        if self._holder_replied:
            self._holder, self._silent_holder, self._holder_replied = "", "", False
            self._last_reply = boot_time() - COORDINATOR_SILENCE_S

    def tick(
        self, rank: int, election_delay_s: float, *, may_replace: bool, may_take: bool = True
    ) -> None:
        """Look for a coordinator if none has replied within COORDINATOR_SILENCE_S.

        *rank* orders the members, so that they do not all call the platform at once;
        *election_delay_s* delays a daemon that has no lease. Without *may_replace* the role is
        taken only if it has no other holder, without *may_take* not even then.
        """
        now = boot_time()
        self._may_replace = may_replace
        self._may_take = may_take
        if self._seeking or now < self._not_before:
            return
        delay = min(rank, MAX_RANK) * RANK_DELAY_S + election_delay_s
        if now - self._last_reply >= COORDINATOR_SILENCE_S + delay:
            self._seeking = True
            spawn(self._seek())

    async def _seek(self) -> None:
        try:
            pair = await self._platform.get(f"coordinator/{self._cell}")
            role = role_holder(pair)
            silent = self._holder if self._holder_replied else self._silent_holder
            if role is not None and role.incarnation not in ("", silent):
                # Give the holder time to reply before it is replaced.
                self._silent_holder = self._holder = role.incarnation
                self._holder_replied = False
                self._last_reply = boot_time() - COORDINATOR_SILENCE_S + HOLDER_REPLY_S
                self._on_found(role.address)
                return
            foreign = role is not None and role.incarnation != self._me.incarnation
            if role is not None and foreign and not self._may_replace:
                self._defer_to_holder(role)
                return
            if not foreign and not self._may_take:
                # Another member is about to take the role.
                self._last_reply = boot_time() - COORDINATOR_SILENCE_S
                return
            await self._take(role.revision if role is not None else 0)
        except CasConflict:
            # Another member has taken the role: read the holder again at once.
            self._silent_holder, self._holder_replied = "", False
        except PlatformUnavailable as error:
            eliot.log_message(
                "pearward:platform-call-failed", call="find coordinator", error=str(error)
            )
            self._back_off()
        finally:
            self._seeking = False

    def _defer_to_holder(self, role: Role) -> None:
        """Leave the role to a holder that does not reply to this daemon.

        This daemon is cut off from its peers in at least one direction. The holder coordinates the
        others, or its key expires with its lease. Without this rule a daemon that was cut off took
        the role every 5 to 11 s, and each time the others had no coordinator for 1 to 2 s (four
        runs of 20 to 40 s). It goes on sending heartbeats to the holder, which may reply later.
        """
        eliot.log_message("pearward:role-kept-by-holder", cell=self._cell, holder=role.incarnation)
        self._last_reply = boot_time() - COORDINATOR_SILENCE_S
        self._on_found(role.address)

    async def _take(self, revision: int) -> None:
        lease = await self._platform.grant_lease(ROLE_TTL_S)
        value = json.dumps({"incarnation": self._me.incarnation, "address": self._me.address})
        await self._platform.swap(f"coordinator/{self._cell}", revision, value.encode(), lease)
        eliot.log_message("pearward:coordinator-role-taken", cell=self._cell)
        self._holder = self._me.incarnation
        self.note_received()
        self._on_taken(lease)

    def _back_off(self) -> None:
        """Delay the next read exponentially with jitter, since the platform is unavailable."""
        self._not_before = boot_time() + self._backoff_s * (0.5 + self._rng.random())
        self._backoff_s = min(SEEK_BACKOFF_MAX_S, self._backoff_s * 2)
