"""Cost of membership and configuration polling on an idle daemon against its peers."""

import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

from trefoilreach_emulator._internal.bench.sites import Site, build_accounts, start_site
from trefoilreach_emulator._internal.bench.usage import Spent, read_usage, spent_between
from trefoilreach_emulator._internal.capacity.slopes import Point, Slope, fit_slope, probes
from trefoilreach_emulator._internal.peers import ProbeLoad, run_peers

_PEER_SIZES = (2, 11, 47, 119, 239)
_SETTLE_SECONDS = 3.0
_PROBE_INTERVAL_SECONDS = 1.0
_ROLE = "membership"
_AGAINST = "other daemons"


@probes.register("membership")
def measure_membership(seconds: float) -> list[Slope]:
    """Measure one real daemon among stand-ins that answer its messages and probe it."""
    found = {size: _measure(size, 2 * seconds) for size in _PEER_SIZES}
    core = [Point(n, 100 * s.processor_seconds / s.seconds) for n, s in found.items()]
    memory = [Point(n, s.largest_resident_bytes / 1e6) for n, s in found.items()]
    reads = [Point(n, s.reads_per_second) for n, s in found.items()]
    sent = [Point(n, s.control_bytes_per_second / 1000) for n, s in found.items()]
    return [
        fit_slope(_ROLE, "processor time of an idle daemon", "% of a core", _AGAINST, core),
        fit_slope(_ROLE, "resident memory of an idle daemon", "MB", _AGAINST, memory),
        fit_slope(_ROLE, "messages to and from peers", "KB/s", _AGAINST, sent),
        fit_slope(_ROLE, "reads of the stores", "1/s", _AGAINST, reads),
    ]


def _measure(peers: int, seconds: float) -> Spent:
    site = Site("membership", daemons=1, engines=1, accounts=build_accounts([10.0]))
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        running = stack.enter_context(start_site(site, folder))
        platform = running.fleet.addresses["platform"]
        stand_ins = stack.enter_context(run_peers(peers, platform))
        target = running.fleet.peer_address("vm0")
        stack.enter_context(ProbeLoad(stand_ins, target, _PROBE_INTERVAL_SECONDS))
        time.sleep(_SETTLE_SECONDS)
        before = read_usage(running)
        time.sleep(seconds)
        return spent_between(before, read_usage(running))
