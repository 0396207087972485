"""Processor time of one daemon for each request and each relayed token."""

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

_TOKEN_SIZES = (2, 16, 64, 200)
_RATE = 10.0
_SEED = 1


@probes.register("entry")
def measure_entry(seconds: float) -> list[Slope]:
    """Measure against the number of tokens of a request, at 10 requests a second."""
    accounts = build_accounts([1000.0])
    site = Site("entry", daemons=1, engines=2, accounts=accounts, slots=64)
    points = []
    with tempfile.TemporaryDirectory() as folder, start_site(site, Path(folder)) as running:
        for tokens in _TOKEN_SIZES:
            stream = LoadStream("a0", running.entries, key_of("a0"), MODEL, _RATE, tokens)
            before = read_usage(running)
            result = run_in_processes(LoadPlan(_SEED, seconds, (stream,)), 1).total
            spent = spent_between(before, read_usage(running))
            points.append(Point(tokens, spent.processor_seconds / result.complete * 1000))
    return [fit_slope("entry", "processor time of a request", "ms", "tokens in the answer", points)]
