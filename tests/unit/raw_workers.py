"""Workers that answer real connections with given bytes."""

import socket
import struct
import threading
from collections.abc import Callable
from contextlib import ExitStack, suppress
from typing import NamedTuple

from trefoilreach._internal.state.serving import WorkerEntry


class Reply(NamedTuple):
    """Bytes that a worker sends to one request.

    :param data: the bytes, or a function that makes them from the bytes of the request.
    :param reset: whether it then resets the connection instead of closing it.
    :param kept: whether it keeps the connection open.
    """

    data: bytes | Callable[[bytes], bytes]
    reset: bool = False
    kept: bool = False


class RawWorkers:
    """One listener that answers one connection after the other.

    :param replies: answers to the requests, in order.
    :param respond: returns the answer to the bytes of a request, in place of ``replies``.
    """

    def __init__(
        self,
        stack: ExitStack,
        *replies: Reply,
        respond: Callable[[bytes], Reply] | None = None,
    ) -> None:
        self.replies = list(replies)
        self._respond = respond or (lambda request: self.replies.pop(0))
        self.requests: list[bytes] = []
        self._stack = stack
        self._listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._run, daemon=True).start()

    def entry(self, name: str) -> WorkerEntry:
        return WorkerEntry(name, "pool", "127.0.0.1", self.port, "a", 2, False, 1)

    def _run(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                request = connection.recv(65536)
                if not request:
                    # The daemon only looks whether the worker still listens.
                    connection.close()
                    continue
                self.requests.append(request)
                reply = self._respond(request)
                connection.sendall(reply.data(request) if callable(reply.data) else reply.data)
                if reply.reset:
                    linger = struct.pack("ii", 1, 0)
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                if reply.kept:
                    self._stack.callback(connection.close)
                else:
                    connection.close()
