"""The kernel's state of a connection, before the event loop has processed it."""

from socket import MSG_DONTWAIT, MSG_PEEK, socket

__all__ = ["still_open"]


def still_open(connected: socket) -> bool:
    """Return whether the other end has not closed a connection, according to the kernel.

    A close is not detected while unread data precedes it.
    """
    try:
        return bool(connected.recv(1, MSG_PEEK | MSG_DONTWAIT))
    except BlockingIOError:
        return True
    except OSError:
        return False
