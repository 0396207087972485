"""Counts the bytes of messages between daemons."""

import threading
from typing import Any

from thrift.transport.TTransport import TFramedTransport

_FRAME_HEADER_BYTES = 4


class PeerTraffic:
    """Bytes sent to and received from all peers, without the headers of TCP and IP."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sent = 0
        self._received = 0

    @property
    def sent(self) -> int:
        """Bytes sent so far."""
        return self._sent

    @property
    def received(self) -> int:
        """Bytes received so far."""
        return self._received

    def add_sent(self, count: int) -> None:
        """Count bytes that were sent."""
        with self._lock:
            self._sent += count

    def add_received(self, count: int) -> None:
        """Count bytes that were received."""
        with self._lock:
            self._received += count


class CountingTransport(TFramedTransport):
    """A framed transport that counts the bytes of its frames."""

    def __init__(self, transport: Any, traffic: PeerTraffic) -> None:
        super().__init__(transport)
        self._traffic = traffic
        self._pending_bytes = 0

    def write(self, buf: bytes) -> None:
        """Append to the frame that is being written."""
        self._pending_bytes += len(buf)
        super().write(buf)

    def flush(self) -> None:
        """Send the frame."""
        self._traffic.add_sent(self._pending_bytes + _FRAME_HEADER_BYTES)
        self._pending_bytes = 0
        super().flush()

    def readFrame(self) -> None:  # noqa: N802 - overrides the library's method
        """Read the next frame."""
        super().readFrame()
        size = len(self.cstringio_buf.getvalue())
        self._traffic.add_received(size + _FRAME_HEADER_BYTES)
