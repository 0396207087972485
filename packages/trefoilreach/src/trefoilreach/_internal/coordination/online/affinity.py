"""Estimate of the prompt prefixes that each engine holds in its cache.

Cache events arrive late and some are missing, so the estimate is only a hint: a wrong
entry costs one prompt computation and never changes an answer.
"""

import threading
from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.transport.engine import CacheEvent

# Lengths of the prompt prefixes that engines hash.
_PREFIX_LENGTHS_CHARACTERS = (64, 128, 256, 512, 1024, 2048)
_MAX_ENTRIES_PER_SERVER = 2048
# Lifetime of an entry that may be wrong: its removal may be among missed events, or no
# event has confirmed it yet.
_UNCONFIRMED_ENTRY_SECONDS = 10.0


class Prefix(NamedTuple):
    """Hash of a prompt prefix, and the share of the prompt that it covers, from 0 to 1."""

    hash: str
    share: float


def hash_prefixes(text: str) -> list[Prefix]:
    """Return the hashed prefixes of a prompt, longest first."""
    lengths = [length for length in _PREFIX_LENGTHS_CHARACTERS if length <= len(text)] or [
        len(text)
    ]
    return [
        Prefix(xxhash.xxh64_hexdigest(text[:length].encode()), length / max(1, len(text)))
        for length in reversed(lengths)
    ]


class _ServerCache:
    def __init__(self) -> None:
        # Expiry time of each prefix hash, least recently added first.
        self.expires_at: OrderedDict[str, float] = OrderedDict()
        self.last_sequence = 0


class PrefixView:
    """Cached prefixes by server, from cache events and from this daemon's own requests."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._caches: dict[str, _ServerCache] = {}

    def last_sequence(self, server: str) -> int:
        """Return the sequence number of the last event applied, 0 if there is none."""
        with self._lock:
            return self._cache(server).last_sequence

    def apply_events(self, server: str, events: Sequence[CacheEvent]) -> None:
        """Apply the cache events of a server; events already applied are ignored."""
        with self._lock:
            cache = self._cache(server)
            for event in sorted(events):
                if event.sequence <= cache.last_sequence:
                    continue
                if event.sequence > cache.last_sequence + 1:
                    self._limit_expiry(cache)
                cache.last_sequence = event.sequence
                if event.action == "add":
                    _add(cache, event.prefix_hash, float("inf"))
                else:
                    cache.expires_at.pop(event.prefix_hash, None)

    def record_prefixes(self, server: str, prefixes: Sequence[Prefix]) -> None:
        """Record the prefixes of an answered request before the server's events report them."""
        expires = self._clock.now() + _UNCONFIRMED_ENTRY_SECONDS
        with self._lock:
            cache = self._cache(server)
            for prefix in prefixes:
                _add(cache, prefix.hash, max(expires, cache.expires_at.get(prefix.hash, expires)))

    def clear_server(self, server: str) -> None:
        """Drop all entries of a server that restarted."""
        with self._lock:
            self._caches.pop(server, None)

    def cached_share(self, server: str, prefixes: Sequence[Prefix]) -> float:
        """Return the share of a prompt that a server probably has cached, from 0 to 1."""
        now = self._clock.now()
        with self._lock:
            cache = self._caches.get(server)
            if cache is None:
                return 0.0
            held = (p.share for p in prefixes if cache.expires_at.get(p.hash, 0.0) > now)
            return next(held, 0.0)

    def _cache(self, server: str) -> _ServerCache:
        found = self._caches.get(server)
        if found is None:
            found = self._caches[server] = _ServerCache()
        return found

    def _limit_expiry(self, cache: _ServerCache) -> None:
        limit = self._clock.now() + _UNCONFIRMED_ENTRY_SECONDS
        for key, expires in cache.expires_at.items():
            cache.expires_at[key] = min(expires, limit)


def _add(cache: _ServerCache, key: str, expires: float) -> None:
    cache.expires_at[key] = expires
    cache.expires_at.move_to_end(key)
    if len(cache.expires_at) > _MAX_ENTRIES_PER_SERVER:
        cache.expires_at.popitem(last=False)
