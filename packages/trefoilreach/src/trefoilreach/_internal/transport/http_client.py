"""HTTP connections to one backend server, reused only after complete answers."""

import io
import socket
import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from email.errors import (
    FirstHeaderLineIsContinuationDefect,
    InvalidHeaderDefect,
    MisplacedEnvelopeHeaderDefect,
    MissingHeaderBodySeparatorDefect,
)
from http.client import HTTPConnection, HTTPException, HTTPResponse, RemoteDisconnected
from typing import Any, NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.logs import describe_error
from trefoilreach._internal.protocol.checked_values import MAX_PORT
from trefoilreach._internal.protocol.completeness import (
    BodyEnd,
    Framing,
    IncompleteAnswerError,
    StatusLine,
    check_body,
    check_head,
    parse_status_line,
)
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.transport.readiness import is_readable

# A network device between both ends may drop the state of a connection idle for longer.
IDLE_LIMIT_SECONDS = 5.0
# Longest time that the system takes to close the sockets of a process that ends, also on a busy
# machine.
_ENDING_SECONDS = 0.1
# Largest head of an answer, with interim answers: twice the largest that usual servers send.
_MAX_HEAD_BYTES = 65536
# Defects of the lines of a head; the parser also reports those of multipart bodies.
_HEAD_DEFECTS = (
    FirstHeaderLineIsContinuationDefect,
    InvalidHeaderDefect,
    MisplacedEnvelopeHeaderDefect,
    MissingHeaderBodySeparatorDefect,
)
_SWITCHING_PROTOCOLS = 101
# Largest body that is kept in memory as a whole; the largest object of the platform's store has
# 8 MiB.
MAX_BODY_BYTES = 16 * 2**20


# Longest part of a host in a message.
_MAX_SHOWN_HOST_LENGTH = 100


class HttpFailure(Exception):
    """A request got no complete answer.

    :param verdict: whether the other side may have run the request.
    :param refused: whether the connection was refused, so that no process listens there.
    :param timed_out: whether the wait for the other side timed out.
    :param unwritable: whether the request has a target or headers that HTTP cannot carry.
    """

    def __init__(
        self,
        message: str,
        verdict: Verdict,
        refused: bool = False,
        timed_out: bool = False,
        unwritable: bool = False,
    ) -> None:
        super().__init__(message)
        self.verdict = verdict
        self.refused = refused
        self.timed_out = timed_out
        self.unwritable = unwritable


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


class _LimitedReader(io.RawIOBase):
    """Reads from a socket for a limited time and up to a limited size.

    A socket's own timeout restarts with every byte, so a server that sends a byte now and then
    would hold its reader for ever.

    :param raw: unbuffered reader of the socket.
    """

    def __init__(self, raw: io.RawIOBase, open_socket: socket.socket, clock: Clock) -> None:
        self._raw = raw
        self._socket = open_socket
        self._clock = clock
        self._wait: float | None = open_socket.gettimeout()
        self._socket_timeout = self._wait
        self._seconds: float | None = None
        self._deadline: float | None = None
        self._bytes_left: int | None = None
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether the end of the connection was read."""
        return self._ended

    def limit(self, wait: float | None, seconds: float | None, size: int | None) -> None:
        """Set the limits of what is read from now on; the time starts with the first read.

        :param wait: longest wait in seconds for any bytes; None for no limit.
        :param seconds: longest time for all of it; None for no limit.
        :param size: most bytes; None for no limit.
        """
        self._wait = wait
        self._seconds = seconds
        self._deadline = None
        self._bytes_left = size

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read available bytes into a buffer.

        :raises TimeoutError: when the time is over.
        :raises HTTPException: when the size is exceeded.
        """
        self._apply_timeout()
        count = self._raw.readinto(buffer)
        self._ended = self._ended or count == 0
        if self._bytes_left is not None and count:
            self._bytes_left -= count
            if self._bytes_left < 0:
                raise HTTPException("the answer is too large")
        return count

    def close(self) -> None:
        """Release the socket."""
        if not self.closed:
            self._raw.close()
        super().close()

    def _apply_timeout(self) -> None:
        """Set the socket's timeout to what is left of the time, if that differs."""
        timeout = self._wait
        if self._seconds is not None:
            now = self._clock.now()
            if self._deadline is None:
                self._deadline = now + self._seconds
            left = self._deadline - now
            if left <= 0:
                raise TimeoutError("the answer took too long")
            timeout = left if timeout is None else min(timeout, left)
        if timeout != self._socket_timeout:
            self._socket.settimeout(timeout)
            self._socket_timeout = timeout


class _Response(HTTPResponse):
    """A response that is read with limits on time and size."""

    headers: Any
    msg: Any

    def __init__(self, open_socket: socket.socket, clock: Clock, **arguments: Any) -> None:
        super().__init__(open_socket, **arguments)
        self.limited = _LimitedReader(self.fp.detach(), open_socket, clock)
        self.limited.limit(None, open_socket.gettimeout(), _MAX_HEAD_BYTES)
        self.fp = io.BufferedReader(self.limited)
        self.framing = Framing.CONNECTION

    def _read_status(self) -> StatusLine:
        """Read the first line of the head; http.client accepts "0200" and statuses up to 999."""
        line = self.fp.readline(_MAX_HEAD_BYTES)
        if not line:
            raise RemoteDisconnected("the connection ended without an answer")
        return parse_status_line(line)

    def begin(self) -> None:
        """Read the head.

        :raises IncompleteAnswerError: when it is cut off or malformed.
        """
        super().begin()
        while 100 <= self.status < 200 and self.status != _SWITCHING_PROTOCOLS:
            # http.client skips only 100, and takes the others for answers without a body.
            self.headers = self.msg = None
            super().begin()
        for defect in self.headers.defects:
            # The parser drops a malformed line and all lines after it, perhaps the body's length.
            if isinstance(defect, _HEAD_DEFECTS):
                raise IncompleteAnswerError(f"malformed head: {defect!r}")
        self.framing = check_head(self.headers.items(), self.limited.ended)
        if self.framing is Framing.CHUNKS and not self.chunked:
            # http.client compares the value with its trailing space.
            self.chunked, self.chunk_left, self.length = True, None, None


class _Connection(HTTPConnection):
    """Sends head and body in one call; separately they cost two system calls and two packets."""

    response_class: Any

    def __init__(self, host: str, port: int, timeout: float, clock: Clock) -> None:
        super().__init__(host, port, timeout=timeout)
        self._clock = clock
        self._buffered: list[bytes] | None = None
        self.response_class = self._create_response

    def _create_response(self, open_socket: socket.socket, **arguments: Any) -> _Response:
        return _Response(open_socket, self._clock, **arguments)

    def exchange(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> _Response:
        """Send a request and return the response once its head has arrived.

        :raises HttpFailure: when the request cannot be written; nothing was sent.
        """
        buffered: list[bytes] = []
        self._buffered = buffered
        try:
            self.request(method, path, body=body, headers=headers)
        except (HTTPException, ValueError) as error:
            message = f"the request cannot be written: {describe_error(error)}"
            raise HttpFailure(message, Verdict.NOT_RUN, unwritable=True) from error
        finally:
            self._buffered = None
        self.send(b"".join(buffered))
        response = self.getresponse()
        assert isinstance(response, _Response)
        return response

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

        :param timeout: longest time in seconds until the head has arrived, and longest wait for
            more data of the body.
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
        except HttpFailure:
            if interrupt is not None:
                interrupt.detach()
            connection.close()
            raise
        except (OSError, HTTPException, IncompleteAnswerError) as error:
            if interrupt is not None:
                interrupt.detach()
            connection.close()
            message = f"no answer from {self._host}:{self._port}: {error!r}"
            silent = isinstance(error, TimeoutError)
            raise HttpFailure(message, Verdict.MAY_HAVE_RUN, timed_out=silent) from error
        response.limited.limit(timeout, None, None)
        return HttpExchange(self, connection, response, timeout, interrupt)

    def is_refused(self) -> bool:
        """Return whether a new connection is refused."""
        try:
            self._connect().close()
        except HttpFailure as failure:
            return failure.refused
        return False

    def has_ended(self) -> bool:
        """Return whether the process that listened at the address has ended, or is about to.

        The system closes the sockets of a process one after the other, and the listening one may be
        the last. It then closes a connection that it has just accepted.
        """
        try:
            connection = self._connect()
        except HttpFailure as failure:
            return failure.refused
        closed = is_readable(connection.sock, _ENDING_SECONDS)
        connection.close()
        # A process that lives may close connections beyond its limit.
        return closed and self.is_refused()

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
        if not 0 < self._port <= MAX_PORT:
            # The system's resolver keeps only the lowest 16 bits of a port.
            raise HttpFailure("cannot connect: the port is out of range", Verdict.NOT_RUN)
        try:
            connection = _Connection(self._host, self._port, self._connect_timeout, self._clock)
        except HTTPException as error:
            message = f"cannot connect: {describe_error(error)}"
            raise HttpFailure(message, Verdict.NOT_RUN) from error
        try:
            connection.connect()
        except (OSError, ValueError) as error:
            # A host with a NUL or a long label raises ValueError.
            connection.close()
            refused = isinstance(error, ConnectionRefusedError)
            address = f"{self._host[:_MAX_SHOWN_HOST_LENGTH]}:{self._port}"
            message = f"cannot connect to {address}: {describe_error(error)}"
            silent = isinstance(error, TimeoutError)
            raise HttpFailure(message, Verdict.NOT_RUN, refused, silent) from error
        return connection

    def _take_idle(self) -> _Connection | None:
        oldest = self._clock.now() - IDLE_LIMIT_SECONDS
        with self._lock:
            while self._idle:
                entry = self._idle.pop()
                # Bytes on an idle connection are a late second answer, or its end. The next request
                # would take them for its own answer.
                if entry.since >= oldest and not is_readable(entry.connection.sock):
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
        response: _Response,
        timeout: float,
        interrupt: Interrupt | None,
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._response = response
        self._timeout = timeout
        self._interrupt = interrupt
        self._complete = False

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self._response.status

    @property
    def framing(self) -> Framing:
        """What marks the end of the body."""
        return self._response.framing

    @property
    def response(self) -> HTTPResponse:
        """The response, for its headers and for reading line by line."""
        return self._response

    def read(self) -> bytes:
        """Read the complete body within the timeout.

        :raises HttpFailure: when the body ends early, takes too long or is too large.
        """
        self._response.limited.limit(self._timeout, self._timeout, MAX_BODY_BYTES)
        data = self._read(self._response.read)
        self._check_end()
        self._complete = True
        return data

    def read_some(self, limit: int) -> bytes:
        """Return the next bytes of the body; none only once the body is complete.

        :param limit: most bytes.
        :raises HttpFailure: when the body ends early, or nothing arrives in time.
        """
        data = self._read(lambda: self._response.read1(limit))
        if not data:
            self._check_end()
        return data

    def _read(self, read: Callable[[], bytes]) -> bytes:
        try:
            return read()
        except (OSError, HTTPException, ValueError) as error:
            silent = isinstance(error, TimeoutError)
            message = f"the answer was interrupted: {error!r}"
            raise HttpFailure(message, Verdict.MAY_HAVE_RUN, timed_out=silent) from error

    def _check_end(self) -> None:
        """Check that the body is complete.

        :raises HttpFailure: when it is not.
        """
        response = self._response
        ended_here = "" if self._interrupt is None else self._interrupt.reason
        missing = 0 if response.framing is Framing.CHUNKS else response.length or 0
        try:
            check_body(BodyEnd(response.framing, missing, response.limited.ended, ended_here))
        except IncompleteAnswerError as error:
            raise HttpFailure(str(error), Verdict.MAY_HAVE_RUN) from error

    def set_timeout(self, seconds: float) -> None:
        """Change the timeout of each wait for the other side."""
        self._timeout = seconds
        self._response.limited.limit(seconds, None, None)

    def limit_next_read(self, seconds: float) -> None:
        """Limit the time of the next read of the response, however many waits it takes."""
        self._response.limited.limit(seconds, seconds, MAX_BODY_BYTES)

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
