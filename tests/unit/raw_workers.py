"""Workers that answer real connections with given bytes."""

import re
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
    :param gate: holds the bytes back until it is set.
    """

    data: bytes | Callable[[bytes], bytes]
    reset: bool = False
    kept: bool = False
    gate: threading.Event | None = None


def name_request(answer: bytes) -> Callable[[bytes], bytes]:
    """Return a function that adds the id of the request to the head of an answer."""

    def make(request: bytes) -> bytes:
        found = re.search(rb"X-Request-Id: [^\r]+\r\n", request)
        status_line, rest = answer.split(b"\r\n", 1)
        return b"%b\r\n%b%b" % (status_line, found.group() if found else b"", rest)

    return make


class RawWorkers:
    """One listener that answers one connection after the other.

    :param replies: answers to the requests, in order.
    :param repeated: answer to all requests after those.
    :param respond: returns the answer to the bytes of a request, in place of ``replies``.
    """

    def __init__(
        self,
        stack: ExitStack,
        *replies: Reply,
        repeated: Reply | None = None,
        respond: Callable[[bytes], Reply] | None = None,
    ) -> None:
        self.replies = list(replies)
        self.repeated = repeated
        self._respond = respond or self._take_reply
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
                # A peer that resets its connection must not end the worker.
                with suppress(OSError):
                    self._answer(connection)

    def _take_reply(self, request: bytes) -> Reply:
        return self.repeated if self.repeated and not self.replies else self.replies.pop(0)

    def _answer(self, connection: socket.socket) -> None:
        request = connection.recv(65536)
        if not request:
            # The daemon only looks whether the worker still listens.
            connection.close()
            return
        self.requests.append(request)
        reply = self._respond(request)
        if reply.gate is not None:
            reply.gate.wait(10.0)
        connection.sendall(reply.data(request) if callable(reply.data) else reply.data)
        if reply.reset:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if reply.kept:
            self._stack.callback(connection.close)
        else:
            connection.close()
