"""The kernel's state of a connection."""

import sys
from fcntl import ioctl
from socket import MSG_DONTWAIT, MSG_PEEK, socket
from termios import TIOCOUTQ

__all__ = ["still_open", "unacknowledged"]

COUNT_BYTES = 4
"""Size of the integer in which the kernel returns a number of bytes."""


def still_open(connected: socket) -> bool:
    """Return whether the other end has not closed a connection, according to the kernel.

    The event loop may not have processed the close yet.

    A close is not detected while unread data precedes it.
    """
    try:
        return bool(connected.recv(1, MSG_PEEK | MSG_DONTWAIT))
    except BlockingIOError:
        return True
    except OSError:
        return False


def unacknowledged(connected: socket) -> int:
    """Return the number of bytes sent that the other end's kernel has not acknowledged.

    It is 0 where the kernel does not tell, or the connection has ended.
    """
    try:
        count = ioctl(connected.fileno(), TIOCOUTQ, bytes(COUNT_BYTES))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(count, sys.byteorder)
