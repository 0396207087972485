"""Calls to other daemons: one client per peer, which reuses its connections."""

import threading
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

from result import Err, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TApplicationException, TException
from thrift.transport.TSocket import TSocket

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.protocol.gen.peer import Peer
from trefoilreach._internal.transport.peer_traffic import CountingTransport, PeerTraffic

T = TypeVar("T")

# Below SERVER_IDLE_SECONDS of the peer's server, so that it never closes a connection in use.
CLIENT_IDLE_SECONDS = 30.0
_MILLISECONDS_PER_SECOND = 1000.0
_MIN_TIMEOUT_SECONDS = 0.001


class PeerCallError(Exception):
    """A peer did not answer in time, or answered that its handler failed."""


class _Connection:
    """One thrift connection."""

    def __init__(self, host: str, port: int, timeout: float, traffic: PeerTraffic) -> None:
        self._socket = TSocket(host, port)
        self.set_timeout(timeout)
        self._transport = CountingTransport(self._socket, traffic)
        self._transport.open()
        protocol = TCompactProtocolAcceleratedFactory().getProtocol(self._transport)
        self.client = Peer.Client(protocol)

    def set_timeout(self, seconds: float) -> None:
        """Set the timeout of each wait for the peer."""
        self._socket.setTimeout(max(seconds, _MIN_TIMEOUT_SECONDS) * _MILLISECONDS_PER_SECOND)

    def close(self) -> None:
        """Close the connection."""
        self._transport.close()


class _Idle(NamedTuple):
    connection: _Connection
    since: float


class PeerClient:
    """Calls to one address; a connection carries one call at a time."""

    def __init__(
        self, host: str, port: int, clock: Clock, traffic: PeerTraffic | None = None
    ) -> None:
        self._traffic = traffic or PeerTraffic()
        self._host = host
        self._port = port
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: deque[_Idle] = deque()
        self._closed = False

    def call(self, action: Callable[[Any], T], timeout: float) -> Result[T, PeerCallError]:
        """Run ``action`` with a thrift client.

        A kept connection may have stopped working, so it gets half of the time; the call is
        then repeated once on a new connection. Messages must therefore be idempotent.

        :param timeout: limit in seconds over both attempts.
        """
        deadline = self._clock.now() + timeout
        kept = self._take_idle()
        if kept is not None:
            outcome = self._call_on(kept, action, timeout / 2)
            if isinstance(outcome, Ok) or self._clock.now() >= deadline:
                return outcome
        return self._call_on_new_connection(action, deadline - self._clock.now())

    def close(self) -> None:
        """Close the idle connections; later calls still work, each on a new connection."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, deque()
        for entry in idle:
            entry.connection.close()

    def drop_idle(self) -> None:
        """Close connections that were idle for too long."""
        oldest = self._clock.now() - CLIENT_IDLE_SECONDS
        with self._lock:
            expired = [entry for entry in self._idle if entry.since < oldest]
            self._idle = deque(entry for entry in self._idle if entry.since >= oldest)
        for entry in expired:
            entry.connection.close()

    def _call_on_new_connection(
        self, action: Callable[[Any], T], timeout: float
    ) -> Result[T, PeerCallError]:
        try:
            connection = _Connection(self._host, self._port, timeout, self._traffic)
        except (TException, OSError) as error:
            message = f"cannot connect to {self._host}:{self._port}: {error!r}"
            return Err(PeerCallError(message))
        return self._call_on(connection, action, timeout)

    def _call_on(
        self, connection: _Connection, action: Callable[[Any], T], timeout: float
    ) -> Result[T, PeerCallError]:
        connection.set_timeout(timeout)
        try:
            answer = action(connection.client)
        except TApplicationException as error:
            # The answer was read completely, so the connection can be reused.
            self._put_idle(connection)
            return Err(PeerCallError(f"{self._host}:{self._port} failed: {error}"))
        except (TException, OSError, EOFError) as error:
            connection.close()
            return Err(PeerCallError(f"no answer from {self._host}:{self._port}: {error!r}"))
        except BaseException:
            connection.close()
            raise
        self._put_idle(connection)
        return Ok(answer)

    def _take_idle(self) -> _Connection | None:
        self.drop_idle()
        with self._lock:
            return self._idle.pop().connection if self._idle else None

    def _put_idle(self, connection: _Connection) -> None:
        with self._lock:
            if not self._closed:
                self._idle.append(_Idle(connection, self._clock.now()))
                return
        connection.close()
