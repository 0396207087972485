"""Cost of watching workers against their number."""

import tempfile
import time
from pathlib import Path

from trefoilreach_emulator._internal.bench.sites import Site, build_accounts, start_site
from trefoilreach_emulator._internal.bench.usage import Spent, read_usage, spent_between
from trefoilreach_emulator._internal.capacity.slopes import Point, Slope, fit_slope, probes

_WORKER_SIZES = (2, 6, 16, 32)
_SETTLE_SECONDS = 2.0


@probes.register("routing")
def measure_routing(seconds: float) -> list[Slope]:
    """Measure one idle daemon before idle engine emulators."""
    found = {size: _measure(size, 2 * seconds) for size in _WORKER_SIZES}
    core = [Point(n, 100 * s.processor_seconds / s.seconds) for n, s in found.items()]
    memory = [Point(n, s.largest_resident_bytes / 1e6) for n, s in found.items()]
    return [
        fit_slope("routing", "processor time of an idle daemon", "% of a core", "workers", core),
        fit_slope("routing", "resident memory of an idle daemon", "MB", "workers", memory),
    ]


def _measure(workers: int, seconds: float) -> Spent:
    site = Site("routing", daemons=1, engines=workers, accounts=build_accounts([10.0]))
    with tempfile.TemporaryDirectory() as folder, start_site(site, Path(folder)) as running:
        time.sleep(_SETTLE_SECONDS)
        before = read_usage(running)
        time.sleep(seconds)
        return spent_between(before, read_usage(running))
