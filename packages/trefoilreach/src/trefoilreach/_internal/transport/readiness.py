"""Tells whether a socket can be read, for any descriptor.

``select.select`` refuses descriptors above 1023, which a daemon with many connections has.
"""

import select
import socket


def is_readable(open_socket: socket.socket) -> bool:
    """Return whether a socket has bytes or connections, or was closed by the other side."""
    poll = select.poll()
    poll.register(open_socket, select.POLLIN)
    return bool(poll.poll(0))
