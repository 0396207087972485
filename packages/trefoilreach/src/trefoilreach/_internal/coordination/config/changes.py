"""Recent configuration changes, for peers that are only a few versions behind."""

import threading
from collections.abc import Sequence

# 16 changes of 4 KB are less than the whole compressed document at the target size,
# which has 104 KB.
_KEPT_CHANGES = 16
MAX_CHANGE_BYTES = 4096


class ChangeLog:
    """Holds recent encoded changes by the version that each one produces."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._changes: dict[int, bytes] = {}

    def record(self, version: int, changes: Sequence[bytes]) -> None:
        """Store successive changes, the last of which produces ``version``."""
        first = version - len(changes) + 1
        with self._lock:
            self._changes.update(enumerate(changes, first))
            newest = max(self._changes, default=0)
            for old in [each for each in self._changes if each <= newest - _KEPT_CHANGES]:
                del self._changes[old]

    def find(self, base: int, version: int) -> list[bytes]:
        """Return the changes that lead from ``base`` to ``version``; none if one is missing."""
        # Bounds the range when the base is unknown or far behind.
        if not version - _KEPT_CHANGES <= base < version:
            return []
        with self._lock:
            found = [self._changes.get(each) for each in range(base + 1, version + 1)]
        return [data for data in found if data is not None] if None not in found else []
