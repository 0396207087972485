"""HTTP connections to one backend server, reused only after complete answers."""

import socket
import threading
from collections import deque
from contextlib import suppress
from http.client import HTTPConnection, HTTPException, HTTPResponse
from typing import Any, NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.protocol.verdict import Verdict

# A network device between both ends may drop the state of a connection idle for longer.
IDLE_LIMIT_SECONDS = 5.0


class HttpFailure(Exception):
    """A request got no complete answer.

    :param verdict: whether the other side may have run the request.
    :param refused: whether the connection was refused, so that no process listens there.
    :param timed_out: whether the wait for the other side timed out.
    """

    def __init__(
        self, message: str, verdict: Verdict, refused: bool = False, timed_out: bool = False
    ) -> None:
        super().__init__(message)
        self.verdict = verdict
        self.refused = refused
        self.timed_out = timed_out


class Interrupt:
    """Ends another thread's wait on a connection by shutting down its socket."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._reason = ""

    @property
    def reason(self) -> str:
        """Why the wait was ended; empty if it was not."""
        return self._reason

    def attach(self, open_socket: socket.socket) -> None:
        """Set the socket to shut down; shut it down at once if :meth:`trigger` was called."""
        with self._lock:
            self._socket = open_socket
            if self._reason:
                _shut_down_socket(open_socket)

    def detach(self) -> None:
        """Drop the socket, so that :meth:`trigger` no longer affects it."""
        with self._lock:
            self._socket = None

    def trigger(self, reason: str) -> None:
        """End the wait; the first reason is kept."""
        with self._lock:
            self._reason = self._reason or reason
            if self._socket is not None:
                _shut_down_socket(self._socket)


def _shut_down_socket(open_socket: socket.socket) -> None:
    with suppress(OSError):
        open_socket.shutdown(socket.SHUT_RDWR)


class _Connection(HTTPConnection):
    """Sends head and body in one call; separately they cost two system calls and two packets."""

    def __init__(self, host: str, port: int, timeout: float) -> None:
        super().__init__(host, port, timeout=timeout)
        self._buffered: list[bytes] | None = None

    def exchange(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> HTTPResponse:
        """Send a request and return the response once its head has arrived."""
        buffered: list[bytes] = []
        self._buffered = buffered
        try:
            self.request(method, path, body=body, headers=headers)
        finally:
            self._buffered = None
        self.send(b"".join(buffered))
        return self.getresponse()

    def send(self, data: Any) -> None:
        """Send bytes, or buffer them while a request is being built."""
        if self._buffered is None:
            super().send(data)
        else:
            self._buffered.append(data)


class _Idle(NamedTuple):
    connection: _Connection
    since: float


class HttpPool:
    """Pool of keep-alive connections to one address."""

    def __init__(self, host: str, port: int, clock: Clock, connect_timeout: float = 1.0) -> None:
        self._host = host
        self._port = port
        self._clock = clock
        self._connect_timeout = connect_timeout
        self._lock = threading.Lock()
        self._idle: deque[_Idle] = deque()

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float = 10.0,
        fresh: bool = False,
        interrupt: Interrupt | None = None,
    ) -> "HttpExchange":
        """Send a request and wait for the response head.

        :param timeout: longest wait in seconds for each receipt of data from the other side.
        :param fresh: open a new connection even if the pool has an idle one.
        :param interrupt: lets another thread end the exchange.
        :raises HttpFailure: when no response head arrives.
        """
        connection = None if fresh else self._take_idle()
        if connection is None:
            connection = self._connect()
        # http.client drops its own reference when the answer says "Connection: close".
        open_socket = connection.sock
        if interrupt is not None:
            interrupt.attach(open_socket)
        try:
            open_socket.settimeout(timeout)
            response = connection.exchange(method, path, body, headers or {})
        except (OSError, HTTPException) as error:
            if interrupt is not None:
                interrupt.detach()
            connection.close()
            message = f"no answer from {self._host}:{self._port}: {error!r}"
            silent = isinstance(error, TimeoutError)
            raise HttpFailure(message, Verdict.MAY_HAVE_RUN, timed_out=silent) from error
        return HttpExchange(self, connection, response, open_socket, interrupt)

    def is_refused(self) -> bool:
        """Return whether a new connection is refused."""
        try:
            self._connect().close()
        except HttpFailure as failure:
            return failure.refused
        return False

    def drop_idle(self) -> None:
        """Close the idle connections, for example after a request on one of them timed out."""
        with self._lock:
            idle, self._idle = self._idle, deque()
        for entry in idle:
            entry.connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        self.drop_idle()

    def _connect(self) -> _Connection:
        connection = _Connection(self._host, self._port, self._connect_timeout)
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            refused = isinstance(error, ConnectionRefusedError)
            message = f"cannot connect to {self._host}:{self._port}: {error!r}"
            silent = isinstance(error, TimeoutError)
            raise HttpFailure(message, Verdict.NOT_RUN, refused, silent) from error
        return connection

    def _take_idle(self) -> _Connection | None:
        oldest = self._clock.now() - IDLE_LIMIT_SECONDS
        with self._lock:
            while self._idle:
                entry = self._idle.pop()
                if entry.since >= oldest:
                    return entry.connection
                entry.connection.close()
        return None

    def _put_idle(self, connection: _Connection) -> None:
        with self._lock:
            self._idle.append(_Idle(connection, self._clock.now()))


class HttpExchange:
    """One response; :meth:`close` keeps the connection only if the body was read to its end."""

    def __init__(
        self,
        pool: HttpPool,
        connection: _Connection,
        response: HTTPResponse,
        open_socket: socket.socket,
        interrupt: Interrupt | None,
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._response = response
        self._socket = open_socket
        self._interrupt = interrupt
        self._complete = False

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self._response.status

    @property
    def response(self) -> HTTPResponse:
        """The response, for its headers and for reading line by line."""
        return self._response

    def read(self) -> bytes:
        """Read the complete body.

        :raises HttpFailure: when the body ends early.
        """
        try:
            data = self._response.read()
        except (OSError, HTTPException) as error:
            raise HttpFailure(f"incomplete answer: {error!r}", Verdict.MAY_HAVE_RUN) from error
        self._complete = True
        return data

    def set_timeout(self, seconds: float) -> None:
        """Change the timeout of each wait for the other side."""
        self._socket.settimeout(seconds)

    def close(self) -> None:
        """Return the connection to the pool, or close it after an incomplete answer."""
        if self._interrupt is not None:
            self._interrupt.detach()
        interrupted = self._interrupt is not None and self._interrupt.reason
        complete = self._complete and self._response.isclosed()
        if complete and not self._response.will_close and not interrupted:
            self._pool._put_idle(self._connection)
        else:
            self._response.close()
            self._connection.close()


class HttpPools:
    """One pool for each address, created when it is first used."""

    def __init__(self, clock: Clock, connect_timeout: float) -> None:
        self._clock = clock
        self._connect_timeout = connect_timeout
        self._lock = threading.Lock()
        self._pools: dict[tuple[str, int], HttpPool] = {}

    def get(self, host: str, port: int) -> HttpPool:
        """Return the pool of an address."""
        with self._lock:
            pool = self._pools.get((host, port))
            if pool is None:
                pool = HttpPool(host, port, self._clock, self._connect_timeout)
                self._pools[host, port] = pool
            return pool

    def close(self) -> None:
        """Close the kept connections."""
        with self._lock:
            pools = list(self._pools.values())
        for pool in pools:
            pool.close()
