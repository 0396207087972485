"""Whether a caller still waits for its answer."""

import threading
from collections.abc import Callable


class CallerWatch:
    """Whether a request's caller has left; wakes whatever waits for it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._left = False
        self._listeners: list[Callable[[], None]] = []

    @property
    def left(self) -> bool:
        """Whether the caller has left."""
        return self._left

    def mark(self) -> None:
        """Note that the caller has left."""
        with self._lock:
            self._left = True
            listeners = list(self._listeners)
        for listener in listeners:
            listener()

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function when the caller leaves, at once if it has left."""
        with self._lock:
            self._listeners.append(listener)
            left = self._left
        if left:
            listener()
