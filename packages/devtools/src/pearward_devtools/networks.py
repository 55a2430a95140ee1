"""Loopback networks for test clusters: each one is claimed by one cluster at a time."""

import os
import socket
from dataclasses import dataclass

__all__ = ["ClaimedNetwork"]

FIRST, COUNT = 20, 200
"""Second numbers of the networks 127.<number>.0.0/16 that clusters use."""
CLAIM_PORT = 7399
"""Port that is held for as long as the network is claimed; no process of a cluster uses it."""


@dataclass(frozen=True)
class ClaimedNetwork:
    """A network that no other cluster on this machine uses until it is let go."""

    prefix: str
    """The first two numbers of its addresses, as ``127.20``."""
    _claim: socket.socket

    @classmethod
    def claim(cls) -> "ClaimedNetwork":
        """Claim a free network; raises OSError where all are in use.

        Two clusters that chose one network by their process ids wrote to one store: a cell of
        four lost a server from its table and was never ready again.
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
        """Let the network go."""
        self._claim.close()
