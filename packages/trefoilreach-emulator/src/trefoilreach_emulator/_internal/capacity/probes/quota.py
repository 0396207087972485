"""Peer messages of quota loans against the number of accounts in use on one daemon."""

import tempfile
from pathlib import Path

from trefoilreach_emulator._internal.bench.sites import (
    MODEL,
    Site,
    build_accounts,
    key_of,
    start_site,
)
from trefoilreach_emulator._internal.bench.usage import read_usage, spent_between
from trefoilreach_emulator._internal.capacity.slopes import Point, Slope, fit_slope, probes
from trefoilreach_emulator._internal.load.plan import LoadPlan, LoadStream
from trefoilreach_emulator._internal.load.processes import run_in_processes

_ACCOUNT_SIZES = (4, 16, 48, 96)
_DAEMONS = 4
# Requests a second of each account, all through one daemon, which borrows for them.
_RATE_EACH = 0.5
_TOKENS = 2
_SEED = 1


@probes.register("quota")
def measure_quota(seconds: float) -> list[Slope]:
    """Measure the peer traffic of a fleet of four, all daemons together."""
    accounts = build_accounts([2.0] * max(_ACCOUNT_SIZES))
    site = Site("quota", daemons=_DAEMONS, engines=2, accounts=accounts, slots=64)
    traffic, refused = [], []
    with tempfile.TemporaryDirectory() as folder, start_site(site, Path(folder)) as running:
        for size in _ACCOUNT_SIZES:
            streams = tuple(
                LoadStream(a.name, running.entries[:1], key_of(a.name), MODEL, _RATE_EACH, _TOKENS)
                for a in accounts[:size]
            )
            before = read_usage(running)
            result = run_in_processes(LoadPlan(_SEED, 2 * seconds, streams), 1).total
            spent = spent_between(before, read_usage(running))
            traffic.append(Point(size, spent.control_bytes_per_second / _DAEMONS / 1000))
            refused.append(Point(size, 100.0 * result.refused(429, 503) / result.sent))
    against = "accounts in use on one daemon of four"
    return [
        fit_slope(
            "quota", "messages to and from peers, mean of a daemon", "KB/s", against, traffic
        ),
        fit_slope("quota", "refused inside the rate", "%", against, refused),
    ]
