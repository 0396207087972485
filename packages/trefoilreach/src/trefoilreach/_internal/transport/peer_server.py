"""Answers the messages of other daemons, one thread for each connection."""

import socket
import threading
from contextlib import suppress

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket

from trefoilreach._internal.protocol.gen.peer import Peer
from trefoilreach._internal.transport.peer_handler import PeerHandlers
from trefoilreach._internal.transport.peer_traffic import CountedTransport, PeerTraffic

# Clients drop idle connections earlier, so that a call never meets a closing connection.
SERVER_IDLE_SECONDS = 60.0
_BACKLOG = 512


class PeerServer:
    """Serves the thrift framed compact protocol; the handlers run on connection threads."""

    def __init__(
        self,
        handlers: PeerHandlers,
        host: str,
        port: int,
        traffic: PeerTraffic | None = None,
    ) -> None:
        self._traffic = traffic or PeerTraffic()
        self._processor = Peer.Processor(handlers)
        self._listener = socket.create_server((host, port), backlog=_BACKLOG)
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._closed = False

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self._listener.getsockname()[1])

    @property
    def connections(self) -> int:
        """Number of open connections."""
        with self._lock:
            return len(self._open)

    def start(self) -> None:
        """Begin to serve."""
        threading.Thread(target=self._accept, name="peer-accept", daemon=True).start()

    def close(self) -> None:
        """Stop listening and drop the connections."""
        with self._lock:
            self._closed = True
            connections = list(self._open)
        for connection in [self._listener, *connections]:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                if self._closed:
                    return
                continue
            with self._lock:
                self._open.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), name="peer-connection", daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.settimeout(SERVER_IDLE_SECONDS)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        handle = TSocket()
        handle.setHandle(connection)
        transport = CountedTransport(handle, self._traffic)
        protocol = TCompactProtocolAcceleratedFactory().getProtocol(transport)
        try:
            while not self._closed:
                self._processor.process(protocol, protocol)
        except (TException, OSError, EOFError):
            # The peer closed the connection, left it idle or sent no valid message.
            pass
        finally:
            with self._lock:
                self._open.discard(connection)
            transport.close()
