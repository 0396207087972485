"""Processor time and store traffic of batch work against the number of items."""

import tempfile
import time
from pathlib import Path

from trefoilreach_emulator._internal.bench.batch_load import build_items, count_done, submit_job
from trefoilreach_emulator._internal.bench.sites import (
    RunningSite,
    Site,
    build_accounts,
    start_site,
)
from trefoilreach_emulator._internal.bench.usage import Spent, read_usage, spent_between
from trefoilreach_emulator._internal.capacity.slopes import Point, Slope, fit_slope, probes

_ITEM_SIZES = (200, 600, 1200, 2400)
_TOKENS = 4
_POLL_SECONDS = 1.0
_LIMIT_SECONDS = 90.0
_ACCOUNT = "a0"


@probes.register("batch")
def measure_batch(seconds: float) -> list[Slope]:
    """Run whole jobs of several sizes on one daemon with fast engines."""
    site = Site(
        "batch",
        daemons=1,
        engines=4,
        accounts=build_accounts([100.0]),
        slots=32,
        first_token=0.01,
        token_interval=0.005,
    )
    with tempfile.TemporaryDirectory() as folder, start_site(site, Path(folder)) as running:
        found = {size: _run_job(running, size) for size in _ITEM_SIZES}
    core = [Point(n, 1000 * spent.processor_seconds) for n, spent in found.items()]
    writes = [Point(n, spent.writes_per_second * spent.seconds) for n, spent in found.items()]
    reads = [Point(n, spent.reads_per_second * spent.seconds) for n, spent in found.items()]
    return [
        fit_slope("batch", "processor time of a job", "ms", "items", core),
        fit_slope("batch", "writes to the stores for a job", "writes", "items", writes),
        fit_slope("batch", "reads of the stores during a job", "reads", "items", reads),
    ]


def _run_job(running: RunningSite, size: int) -> Spent:
    daemon = running.daemons[0]
    items = build_items(size, _TOKENS, f"job{size}")
    before = read_usage(running)
    job = submit_job(daemon, _ACCOUNT, items)
    end = time.monotonic() + _LIMIT_SECONDS
    while count_done(daemon, _ACCOUNT, job) < size:
        if time.monotonic() > end:
            raise TimeoutError(f"a job of {size} items did not end in {_LIMIT_SECONDS:g} s")
        time.sleep(_POLL_SECONDS)
    return spent_between(before, read_usage(running))
