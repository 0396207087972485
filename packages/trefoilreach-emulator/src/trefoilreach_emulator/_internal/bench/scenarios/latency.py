"""Latency that the daemon adds to the bare engine emulator."""

from pathlib import Path

from trefoilreach_emulator._internal.bench.report import Figure, Scale, at_most, scenarios
from trefoilreach_emulator._internal.bench.sites import (
    MODEL,
    Site,
    build_accounts,
    key_of,
    start_site,
)
from trefoilreach_emulator._internal.bench.usage import read_usage, spent_between
from trefoilreach_emulator._internal.load.plan import LoadPlan, LoadStream
from trefoilreach_emulator._internal.load.processes import run_in_processes
from trefoilreach_emulator._internal.load.samples import StreamResult

_RATE = 50.0
_ADDED_LIMIT_MS = 5.0
_WARM_UP_SECONDS = 3.0
_NAME = "Added latency at 50 requests a second"


@scenarios.register("latency")
def measure_latency(scale: Scale, folder: Path) -> list[Figure]:
    """Send the same requests to the engines directly and through one daemon."""
    accounts = build_accounts([1000.0] * 2)
    site = Site("latency", daemons=1, engines=4, accounts=accounts, slots=64)
    with start_site(site, folder / "latency") as running:
        engines = tuple(address.entry for address in running.engines)
        _run(scale._replace(seconds=_WARM_UP_SECONDS), engines + running.entries, site)
        direct = _run(scale, engines, site)
        before = read_usage(running)
        through = _run(scale, running.entries, site)
        spent = spent_between(before, read_usage(running))
    figures = []
    for percent in (50, 95, 99):
        bare = direct.first_token.percentile(percent) * 1000
        whole = through.first_token.percentile(percent) * 1000
        figures.append(Figure(_NAME, "bare emulator", f"first token p{percent}", bare, "ms"))
        figures.append(Figure(_NAME, "daemon", f"first token p{percent}", whole, "ms"))
        added = Figure(_NAME, "daemon", f"added at p{percent}", whole - bare, "ms")
        figures.append(at_most(added, _ADDED_LIMIT_MS) if percent == 99 else added)
    per_request = spent.processor_seconds / max(1, through.sent) * 1000
    figures.append(Figure(_NAME, "daemon", "processor time per request", per_request, "ms"))
    return figures


def _run(scale: Scale, entries: tuple[str, ...], site: Site) -> StreamResult:
    # One prompt prefix: cache hits would otherwise differ between both runs.
    streams = tuple(
        LoadStream(
            account.name,
            entries,
            key_of(account.name),
            MODEL,
            _RATE / len(site.accounts),
            prefixes=1,
        )
        for account in site.accounts
    )
    return run_in_processes(LoadPlan(scale.seed, scale.seconds, streams)).total
