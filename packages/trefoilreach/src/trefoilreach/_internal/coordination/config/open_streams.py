"""Registry of open streams by key, so that a withdrawal can close them."""

import threading
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

from trefoilreach._internal.protocol.verdict import Refusal, Verdict


def build_stream_refusal(withdrawn: bool) -> Refusal:
    """Return the error for a request that was aborted while it ran.

    :param withdrawn: whether its key was withdrawn; otherwise the daemon is isolated.
    """
    if withdrawn:
        message = "the key was withdrawn while the request ran"
        return Refusal(401, "invalid_key", message, Verdict.MAY_HAVE_RUN)
    message = "this daemon is cut off and cannot learn whether the key was withdrawn"
    return Refusal(503, "isolated", message, Verdict.MAY_HAVE_RUN, retry_after=1.0)


class OpenStreams:
    """Tracks open response streams by key id."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._open: dict[str, dict[object, Callable[[], None]]] = {}

    @property
    def count(self) -> int:
        """Number of open streams."""
        with self._lock:
            return sum(map(len, self._open.values()))

    @contextmanager
    def register(self, key_id: str, close: Callable[[], None]) -> Iterator[None]:
        """Register a stream; ``close`` is called if its key is withdrawn or the daemon isolated.

        ``close`` runs on another thread and must not block.
        """
        handle = object()
        with self._lock:
            self._open.setdefault(key_id, {})[handle] = close
        try:
            yield
        finally:
            with self._lock:
                entries = self._open[key_id]
                del entries[handle]
                if not entries:
                    del self._open[key_id]

    def close_keys(self, key_ids: Iterable[str]) -> int:
        """End the streams of these keys; return how many there were."""
        with self._lock:
            found = [close for key in key_ids for close in self._open.get(key, {}).values()]
        for close in found:
            close()
        return len(found)

    def close_all(self) -> int:
        """End all streams; return how many there were."""
        with self._lock:
            keys = list(self._open)
        return self.close_keys(keys)
