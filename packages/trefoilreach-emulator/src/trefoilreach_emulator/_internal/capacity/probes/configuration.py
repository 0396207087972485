"""Size, decoding time and memory of the configuration and of one change.

``whole`` is what a daemon fetches and decodes that takes whole documents, ``change`` what
one takes that knows the version before. The sizes are those of the stored objects, without
heads of HTTP or thrift.
"""

import time
from collections.abc import Callable
from statistics import mean
from typing import Any

from trefoilreach._internal.coordination.config.active_config import ConfigView, build_view
from trefoilreach._internal.state.config import (
    Account,
    ConfigDocument,
    Key,
    Route,
    Server,
    WithdrawnKey,
    decode_config,
    encode_compressed_config,
    encode_config,
    hash_key,
)
from trefoilreach._internal.state.config_change import apply_changes, encode_change

from trefoilreach_emulator._internal.capacity.memory import measure_resident
from trefoilreach_emulator._internal.capacity.slopes import Point, Slope, fit_slope, probes

_ACCOUNT_SIZES = (8, 48, 120, 460)
_WORKER_SIZES = (6, 120, 700, 3100)
_KEYS_PER_ACCOUNT = 4
_TARGET_ACCOUNTS = 460
_REPEATS = 5
_ROLE = "configuration"


def build_document(accounts: int, workers: int) -> ConfigDocument:
    """Return a document with so many accounts and workers."""
    names = [f"account-{number}" for number in range(accounts)]
    return ConfigDocument(
        version=1,
        accounts=tuple(Account(name, 10.0, 20.0) for name in names),
        keys=tuple(
            Key(f"key-{name}-{number}", hash_key(f"{name}{number}"), "caller", name)
            for name in names
            for number in range(_KEYS_PER_ACCOUNT)
        ),
        routes=tuple(Route(f"model-{number}") for number in range(4)),
        servers=tuple(
            Server(f"worker-{number}", "engine", "10.0.0.1", 8000, ("model-0",), "dc-1")
            for number in range(workers)
        ),
    )


def build_views_of_accounts(accounts: int) -> ConfigView:
    """Decode a document with so many accounts."""
    return build_view(decode_config(encode_config(build_document(accounts, 1))))


def build_views_of_workers(workers: int) -> ConfigView:
    """Decode a document with so many workers."""
    return build_view(decode_config(encode_config(build_document(1, workers))))


def build_views_of_target(workers: int) -> ConfigView:
    """Decode a document with the accounts of the target size and so many workers."""
    return build_view(decode_config(encode_config(build_document(_TARGET_ACCOUNTS, workers))))


def list_edits(document: ConfigDocument) -> list[ConfigDocument]:
    """Return the next version after each of the usual changes of one entry."""
    account = document.accounts[len(document.accounts) // 2]
    key = Key("key-new", hash_key("new"), "caller", account.name)
    server = document.servers[len(document.servers) // 2]
    edits = [
        document._replace(accounts=_replace(document.accounts, account, account._replace(rate=11))),
        document._replace(keys=(*document.keys, key)),
        document._replace(
            servers=_replace(document.servers, server, server._replace(state="leaving"))
        ),
        document._replace(
            withdrawn=(*document.withdrawn, WithdrawnKey(document.keys[0].id, time.time()))
        ),
    ]
    return [edited._replace(version=document.version + 1) for edited in edits]


@probes.register("configuration")
def measure_configuration(seconds: float) -> list[Slope]:
    """Measure against the number of accounts and the number of workers."""
    slopes = []
    for against, sizes, build in (
        (f"accounts with {_KEYS_PER_ACCOUNT} keys each", _ACCOUNT_SIZES, build_views_of_accounts),
        ("workers", _WORKER_SIZES, build_views_of_workers),
        (f"{_TARGET_ACCOUNTS} accounts and workers", _WORKER_SIZES, build_views_of_target),
    ):
        slopes.append(_fit("document size", "KB", against, sizes, _size_of(build)))
        slopes.append(_fit("compressed document", "KB", against, sizes, _packed_size_of(build)))
        slopes.append(_fit("change of one entry", "KB", against, sizes, _change_size_of(build)))
        slopes.append(_fit("adoption of a whole version", "ms", against, sizes, _time_of(build)))
        slopes.append(_fit("adoption of a change", "ms", against, sizes, _change_time_of(build)))
        slopes.append(_fit("memory", "KB", against, sizes, _memory_of(build)))
    return slopes


def _replace(entries: tuple[Any, ...], old: Any, new: Any) -> tuple[Any, ...]:
    return tuple(new if entry is old else entry for entry in entries)


def _fit(
    cost: str, unit: str, against: str, sizes: tuple[int, ...], measure: Callable[[int], float]
) -> Slope:
    points = [Point(size, measure(size)) for size in sizes]
    return fit_slope(_ROLE, cost, unit, against, points)


def _size_of(build: Callable[[int], ConfigView]) -> Callable[[int], float]:
    return lambda size: len(encode_config(build(size).document)) / 1000


def _packed_size_of(build: Callable[[int], ConfigView]) -> Callable[[int], float]:
    return lambda size: len(encode_compressed_config(build(size).document)) / 1000


def _change_size_of(build: Callable[[int], ConfigView]) -> Callable[[int], float]:
    def measure(size: int) -> float:
        document = build(size).document
        return mean(len(encode_change(document, edited)) for edited in list_edits(document)) / 1000

    return measure


def _time_of(build: Callable[[int], ConfigView]) -> Callable[[int], float]:
    def measure(size: int) -> float:
        data = encode_config(build(size).document)
        return min(_time_adoption(data) for _ in range(_REPEATS)) * 1000

    return measure


def _change_time_of(build: Callable[[int], ConfigView]) -> Callable[[int], float]:
    def measure(size: int) -> float:
        document = build(size).document
        changes = [encode_change(document, edited) for edited in list_edits(document)]
        times = [
            min(_time_change(document, data) for _ in range(_REPEATS)) * 1000 for data in changes
        ]
        return mean(times)

    return measure


def _time_change(document: ConfigDocument, data: bytes) -> float:
    started = time.perf_counter()
    build_view(apply_changes(document, [data]))
    return time.perf_counter() - started


def _time_adoption(data: bytes) -> float:
    started = time.perf_counter()
    build_view(decode_config(data))
    return time.perf_counter() - started


def _memory_of(build: Callable[[int], ConfigView]) -> Callable[[int], float]:
    return lambda size: measure_resident(build, size) / 1000
