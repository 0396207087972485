"""Which prompt prefixes each engine probably holds in its cache.

Cache events come late and with gaps, so the view is only a hint: a wrong entry costs
one prompt computation and never a wrong answer.
"""

import threading
from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.transport.engine import CacheEvent

# Engines hash prompt prefixes of these lengths.
_PREFIX_CHARACTERS = (64, 128, 256, 512, 1024, 2048)
_ENTRIES_PER_SERVER = 2048
# After a gap, an entry may have been removed unseen; it is trusted for this time only.
_DOUBTFUL_SECONDS = 10.0


class Prefix(NamedTuple):
    """One prefix of a prompt, with the share of the prompt that it covers."""

    hash: str
    share: float


def find_prefixes(text: str) -> list[Prefix]:
    """Return the prefixes of a prompt, the longest first."""
    lengths = [size for size in _PREFIX_CHARACTERS if size <= len(text)] or [len(text)]
    return [
        Prefix(xxhash.xxh64_hexdigest(text[:size].encode()), size / max(1, len(text)))
        for size in reversed(lengths)
    ]


class _ServerCache:
    def __init__(self) -> None:
        # Hash to the time until which it is trusted.
        self.entries: OrderedDict[str, float] = OrderedDict()
        self.sequence = 0


class PrefixView:
    """Prefixes by server, from cache events and from this daemon's own requests."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._caches: dict[str, _ServerCache] = {}

    def sequence(self, server: str) -> int:
        """Return the number of the last event seen."""
        with self._lock:
            return self._cache(server).sequence

    def apply(self, server: str, events: Sequence[CacheEvent]) -> None:
        """Take events of a server; old ones are ignored."""
        with self._lock:
            cache = self._cache(server)
            for event in sorted(events):
                if event.sequence <= cache.sequence:
                    continue
                if event.sequence > cache.sequence + 1:
                    self._doubt(cache)
                cache.sequence = event.sequence
                if event.action == "add":
                    _add(cache, event.prefix_hash, float("inf"))
                else:
                    cache.entries.pop(event.prefix_hash, None)

    def learn(self, server: str, prefixes: Sequence[Prefix]) -> None:
        """Note the prefixes of a request that a server answered, before its events say so."""
        until = self._clock.now() + _DOUBTFUL_SECONDS
        with self._lock:
            cache = self._cache(server)
            for prefix in prefixes:
                _add(cache, prefix.hash, max(until, cache.entries.get(prefix.hash, until)))

    def forget(self, server: str) -> None:
        """Drop all of a server that restarted."""
        with self._lock:
            self._caches.pop(server, None)

    def share(self, server: str, prefixes: Sequence[Prefix]) -> float:
        """Return the share of a prompt that a server has cached, from 0 to 1."""
        now = self._clock.now()
        with self._lock:
            cache = self._caches.get(server)
            if cache is None:
                return 0.0
            held = (p.share for p in prefixes if cache.entries.get(p.hash, 0.0) > now)
            return next(held, 0.0)

    def _cache(self, server: str) -> _ServerCache:
        found = self._caches.get(server)
        if found is None:
            found = self._caches[server] = _ServerCache()
        return found

    def _doubt(self, cache: _ServerCache) -> None:
        until = self._clock.now() + _DOUBTFUL_SECONDS
        for key, trusted in cache.entries.items():
            cache.entries[key] = min(trusted, until)


def _add(cache: _ServerCache, key: str, until: float) -> None:
    cache.entries[key] = until
    cache.entries.move_to_end(key)
    if len(cache.entries) > _ENTRIES_PER_SERVER:
        cache.entries.popitem(last=False)
