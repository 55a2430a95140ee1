"""What the kernel knows of a connection before the loop has read it."""

from socket import MSG_DONTWAIT, MSG_PEEK, socket

__all__ = ["still_open"]


def still_open(connected: socket) -> bool:
    """Return whether the other end has not closed a connection, as far as the kernel knows.

    Bytes that wait to be read hide an end that stands behind them.
    """
    try:
        return bool(connected.recv(1, MSG_PEEK | MSG_DONTWAIT))
    except BlockingIOError:
        return True
    except OSError:
        return False
