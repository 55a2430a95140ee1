"""Loopback networks for test clusters, each claimed by one cluster at a time."""

import os
import socket
from dataclasses import dataclass

__all__ = ["ClaimedNetwork"]

FIRST, COUNT = 20, 200
"""Range of *number* in the networks 127.<number>.0.0/16 that clusters use."""
CLAIM_PORT = 7399
"""Port that is bound while the network is claimed; no process of a cluster uses it."""


@dataclass(frozen=True)
class ClaimedNetwork:
    """A network that no other cluster on this machine uses until it is released."""

    prefix: str
    """The first two bytes of its addresses, for example ``127.20``."""
    _claim: socket.socket

    @classmethod
    def claim(cls) -> "ClaimedNetwork":
        """Claim a free network; raises OSError if all are in use.

        The process id alone does not make the choice unique: two clusters on one network write to
        the same store, remove servers from each other's tables and never become ready.
        """
        for offset in range(COUNT):
            prefix = f"127.{FIRST + (os.getpid() + offset) % COUNT}"
            claim = socket.socket()
            try:
                claim.bind((f"{prefix}.0.1", CLAIM_PORT))
                claim.listen(1)
            except OSError:
                claim.close()
                continue
            return cls(prefix, claim)
        raise OSError(f"all {COUNT} networks for test clusters are in use")

    def release(self) -> None:
        """Release the network."""
        self._claim.close()
