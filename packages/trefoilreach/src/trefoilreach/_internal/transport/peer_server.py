"""Answers the messages of other daemons, one thread for each connection."""

import socket
import threading
from contextlib import suppress

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket

from trefoilreach._internal.protocol.gen.peer import Peer
from trefoilreach._internal.transport.peer_handler import PeerHandlers
from trefoilreach._internal.transport.peer_traffic import CountingTransport, PeerTraffic

# Clients close idle connections earlier (CLIENT_IDLE_SECONDS), so that no call is sent on a
# connection that the server is closing.
SERVER_IDLE_SECONDS = 60.0
_ACCEPT_BACKLOG = 512
# Pause after a failed accept, which would otherwise fail again at once while the process is out
# of file descriptors.
_ACCEPT_RETRY_PAUSE_SECONDS = 0.1


class PeerServer:
    """Serves the framed compact protocol of thrift; handlers run on the connections' threads."""

    def __init__(
        self,
        handlers: PeerHandlers,
        host: str,
        port: int,
        traffic: PeerTraffic | None = None,
    ) -> None:
        self._traffic = traffic or PeerTraffic()
        self._processor = Peer.Processor(handlers)
        self._listener = socket.create_server((host, port), backlog=_ACCEPT_BACKLOG)
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._stopped = threading.Event()

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self._listener.getsockname()[1])

    @property
    def connections(self) -> int:
        """Number of open connections."""
        with self._lock:
            return len(self._connections)

    def start(self) -> None:
        """Start to accept connections."""
        threading.Thread(target=self._accept_connections, name="peer-accept", daemon=True).start()

    def close(self) -> None:
        """Stop listening and drop the connections."""
        with self._lock:
            self._stopped.set()
            connections = list(self._connections)
        for connection in [self._listener, *connections]:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept_connections(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                if self._stopped.wait(_ACCEPT_RETRY_PAUSE_SECONDS):
                    return
                continue
            with self._lock:
                self._connections.add(connection)
            threading.Thread(
                target=self._serve_connection,
                args=(connection,),
                name="peer-connection",
                daemon=True,
            ).start()

    def _serve_connection(self, connection: socket.socket) -> None:
        connection.settimeout(SERVER_IDLE_SECONDS)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        thrift_socket = TSocket()
        thrift_socket.setHandle(connection)
        transport = CountingTransport(thrift_socket, self._traffic)
        protocol = TCompactProtocolAcceleratedFactory().getProtocol(transport)
        try:
            while not self._stopped.is_set():
                self._processor.process(protocol, protocol)
        except (TException, OSError, EOFError):
            # The peer closed the connection, left it idle for too long or sent an invalid message.
            pass
        finally:
            with self._lock:
                self._connections.discard(connection)
            transport.close()
