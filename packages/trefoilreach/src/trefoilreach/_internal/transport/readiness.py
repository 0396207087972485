"""Tells whether a socket can be read, for any descriptor.

``select.select`` refuses descriptors above 1023, which a daemon with many connections has.
"""

import select
import socket

_MILLISECONDS_PER_SECOND = 1000.0


def is_readable(open_socket: socket.socket, wait_seconds: float = 0.0) -> bool:
    """Return whether a socket has bytes or connections, or was closed by the other side.

    :param wait_seconds: longest wait for that.
    """
    poll = select.poll()
    poll.register(open_socket, select.POLLIN)
    return bool(poll.poll(wait_seconds * _MILLISECONDS_PER_SECOND))
