"""Calls to peers by address, with one client per address."""

import threading
from collections.abc import Callable
from typing import Any, TypeVar

from result import Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.membership.peers import PeerError
from trefoilreach._internal.transport.peer_client import PeerClient
from trefoilreach._internal.transport.peer_traffic import PeerTraffic

T = TypeVar("T")


class PeerCalls:
    """Caches a client for each peer address that was called."""

    def __init__(self, clock: Clock, traffic: PeerTraffic) -> None:
        self._clock = clock
        self._traffic = traffic
        self._lock = threading.Lock()
        self._clients: dict[tuple[str, int], PeerClient] = {}

    def call(
        self, address: tuple[str, int], action: Callable[[Any], T], timeout: float
    ) -> Result[T, PeerError]:
        """Run ``action`` with a thrift client of an address; ``timeout`` in seconds."""
        outcome = self._client(address).call(action, timeout)
        return outcome.map_err(lambda error: PeerError(str(error)))

    def forget(self, address: tuple[str, int]) -> None:
        """Close and drop the client of an address."""
        with self._lock:
            client = self._clients.pop(address, None)
        if client is not None:
            client.close()

    def drop_idle(self) -> None:
        """Close connections that exceeded the idle timeout."""
        with self._lock:
            clients = list(self._clients.values())
        for client in clients:
            client.drop_idle()

    def close(self) -> None:
        """Close all clients."""
        with self._lock:
            clients, self._clients = list(self._clients.values()), {}
        for client in clients:
            client.close()

    def _client(self, address: tuple[str, int]) -> PeerClient:
        with self._lock:
            client = self._clients.get(address)
            if client is None:
                client = PeerClient(address[0], address[1], self._clock, self._traffic)
                self._clients[address] = client
            return client
