"""Tracks whether a caller is still connected."""

import threading
from collections.abc import Callable


class CallerConnection:
    """Connection state of a request's caller; notifies listeners of its disconnect."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._disconnected = False
        self._listeners: list[Callable[[], None]] = []

    @property
    def disconnected(self) -> bool:
        """Whether the caller has disconnected."""
        return self._disconnected

    def mark_disconnected(self) -> None:
        """Record that the caller has disconnected, and call the listeners."""
        with self._lock:
            self._disconnected = True
            listeners = list(self._listeners)
        for listener in listeners:
            listener()

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function when the caller disconnects, immediately if it already has."""
        with self._lock:
            self._listeners.append(listener)
            disconnected = self._disconnected
        if disconnected:
            listener()
