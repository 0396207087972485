"""Limits the memory that the bodies of answers take together while they are read."""

import threading

# An eighth of the 320 MB that users give a process.
_LIMIT_BYTES = 40 * 2**20
# Part of each body that needs no share, so that large bodies cannot keep out small ones.
_FREE_BYTES = 256 * 2**10


class BufferBudget:
    """Space that large bodies share.

    :param limit_bytes: size of the space.
    """

    def __init__(self, limit_bytes: int = _LIMIT_BYTES) -> None:
        self._lock = threading.Lock()
        self._left = limit_bytes

    def reserve(self, size: int) -> bool:
        """Take a number of bytes; return False, and take none, if fewer are left."""
        with self._lock:
            if size > self._left:
                return False
            self._left -= size
            return True

    def release(self, size: int) -> None:
        """Give bytes back."""
        with self._lock:
            self._left += size


class BodyReservation:
    """Share of one body in the space."""

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._size = 0

    def grow(self, body_size: int) -> bool:
        """Reserve what a body of this size needs; return whether there is space for it."""
        missing = body_size - _FREE_BYTES - self._size
        if missing <= 0:
            return True
        if not self._budget.reserve(missing):
            return False
        self._size += missing
        return True

    def close(self) -> None:
        """Give the share back."""
        self._budget.release(self._size)
        self._size = 0
