"""Tracks whether a request must end early, for example because its caller disconnected."""

import threading
from collections.abc import Callable

_DISCONNECTED = "the caller disconnected"


class CallerConnection:
    """Whether an answer is still wanted; notifies listeners when it no longer is."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._reason = ""
        self._listeners: list[Callable[[], None]] = []

    @property
    def cancel_reason(self) -> str:
        """Why the request must end early; empty while it may go on."""
        return self._reason

    def mark_disconnected(self) -> None:
        """Record that the caller has disconnected, and call the listeners."""
        self.cancel(_DISCONNECTED)

    def cancel(self, reason: str) -> None:
        """End the request early, and call the listeners; the first reason is kept."""
        with self._lock:
            self._reason = self._reason or reason
            listeners = list(self._listeners)
        for listener in listeners:
            listener()

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function when the request must end, immediately if it already must."""
        with self._lock:
            self._listeners.append(listener)
            cancelled = bool(self._reason)
        if cancelled:
            listener()
