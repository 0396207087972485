"""Calls to other daemons: one client per peer, which keeps its connections open."""

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
from trefoilreach._internal.transport.peer_traffic import CountedTransport, PeerTraffic

T = TypeVar("T")

# Under the idle limit of the server, so that it never closes a connection in use.
CLIENT_IDLE_SECONDS = 30.0
_MILLISECONDS = 1000.0
_MIN_TIMEOUT_SECONDS = 0.001


class PeerCallError(Exception):
    """A peer gave no answer in time, or answered that its handler failed."""


class _Connection:
    """One thrift connection."""

    def __init__(self, host: str, port: int, timeout: float, traffic: PeerTraffic) -> None:
        self._socket = TSocket(host, port)
        self.set_timeout(timeout)
        self._transport = CountedTransport(self._socket, traffic)
        self._transport.open()
        protocol = TCompactProtocolAcceleratedFactory().getProtocol(self._transport)
        self.client = Peer.Client(protocol)

    def set_timeout(self, seconds: float) -> None:
        """Limit each wait for the peer."""
        self._socket.setTimeout(max(seconds, _MIN_TIMEOUT_SECONDS) * _MILLISECONDS)

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

        A kept connection may have gone silent, so it gets half of the time; the call
        is then repeated once on a new connection. Messages must bear being repeated.

        :param timeout: limit in seconds over both attempts.
        """
        end = self._clock.now() + timeout
        kept = self._take_idle()
        if kept is not None:
            outcome = self._try(kept, action, timeout / 2)
            if isinstance(outcome, Ok) or self._clock.now() >= end:
                return outcome
        return self._call_fresh(action, end - self._clock.now())

    def close(self) -> None:
        """Close the idle connections; later calls still work but keep none."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, deque()
        for entry in idle:
            entry.connection.close()

    def drop_idle(self) -> None:
        """Close connections that were idle for too long."""
        limit = self._clock.now() - CLIENT_IDLE_SECONDS
        with self._lock:
            old = [entry for entry in self._idle if entry.since < limit]
            self._idle = deque(entry for entry in self._idle if entry.since >= limit)
        for entry in old:
            entry.connection.close()

    def _call_fresh(self, action: Callable[[Any], T], timeout: float) -> Result[T, PeerCallError]:
        try:
            connection = _Connection(self._host, self._port, timeout, self._traffic)
        except (TException, OSError) as error:
            message = f"cannot connect to {self._host}:{self._port}: {error!r}"
            return Err(PeerCallError(message))
        return self._try(connection, action, timeout)

    def _try(
        self, connection: _Connection, action: Callable[[Any], T], timeout: float
    ) -> Result[T, PeerCallError]:
        connection.set_timeout(timeout)
        try:
            answer = action(connection.client)
        except TApplicationException as error:
            # A whole answer was read, so the connection is still in step.
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
