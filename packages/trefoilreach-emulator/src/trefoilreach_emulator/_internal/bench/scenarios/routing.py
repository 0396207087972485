"""Routing policies at high load on lagging load reports."""

from pathlib import Path

from trefoilreach_emulator._internal.bench.report import Figure, Scale, scenarios
from trefoilreach_emulator._internal.bench.sites import (
    MODEL,
    Site,
    build_accounts,
    key_of,
    start_site,
)
from trefoilreach_emulator._internal.load.plan import LoadPlan, LoadStream
from trefoilreach_emulator._internal.load.processes import run_in_processes

_NAME = "Routing policy"
_POLICIES = ("estimate", "least-own", "random")
_RATE = 90.0


@scenarios.register("routing")
def measure_routing(scale: Scale, folder: Path) -> list[Figure]:
    """Send the same load under each policy."""
    figures = []
    for policy in _POLICIES:
        figures += _measure_policy(scale, folder / policy, policy)
    return figures


def _measure_policy(scale: Scale, folder: Path, policy: str) -> list[Figure]:
    site = Site(
        "routing",
        daemons=4,
        engines=6,
        accounts=build_accounts([200.0] * 4),
        load_lag=1.0,
        settings={"routing": {"policy": policy}},
    )
    with start_site(site, folder) as running:
        streams = tuple(
            LoadStream(
                account.name,
                running.entries,
                key_of(account.name),
                MODEL,
                _RATE / len(site.accounts),
            )
            for account in site.accounts
        )
        result = run_in_processes(LoadPlan(scale.seed, scale.seconds, streams)).total
    figures = []
    for label, histogram in (
        ("first token", result.first_token),
        ("token interval", result.interval),
    ):
        for percent in (50, 95, 99):
            value = histogram.percentile(percent) * 1000
            figures.append(Figure(_NAME, policy, f"{label} p{percent}", value, "ms"))
    incomplete = 100.0 * (1 - result.complete / max(1, result.sent))
    figures.append(Figure(_NAME, policy, "requests not completed", incomplete, "%"))
    return figures
