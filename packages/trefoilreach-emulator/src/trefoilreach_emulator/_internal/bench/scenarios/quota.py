"""Refusals inside the rate when all callers of an account use one VM of twelve."""

from pathlib import Path

from trefoilreach_emulator._internal.bench.report import Figure, Scale, at_most, scenarios
from trefoilreach_emulator._internal.bench.sites import (
    MODEL,
    Site,
    build_accounts,
    key_of,
    start_site,
)
from trefoilreach_emulator._internal.load.plan import LoadPlan, LoadStream
from trefoilreach_emulator._internal.load.processes import run_in_processes

_NAME = "Refusals inside the rate, one VM of twelve at 90% of the rate, quota settled"
_RATE = 40.0
_LOAD_SHARE = 0.9
_REFUSED_LIMIT_PERCENT = 0.5


@scenarios.register("quota")
def measure_quota(scale: Scale, folder: Path) -> list[Figure]:
    """Send at 90% of the rate through one daemon, with loans and with a static split."""
    figures = []
    for policy in ("loans", "static"):
        refused = _measure_policy(scale, folder / policy, policy)
        figure = Figure(_NAME, policy, "refused inside the rate", refused, "%")
        figures.append(at_most(figure, _REFUSED_LIMIT_PERCENT) if policy == "loans" else figure)
    return figures


def _measure_policy(scale: Scale, folder: Path, policy: str) -> float:
    site = Site(
        "quota",
        daemons=12,
        engines=2,
        accounts=build_accounts([_RATE] * 2),
        slots=64,
        settings={"quota": {"policy": policy}},
    )
    with start_site(site, folder, settled=policy == "loans") as running:
        account = site.accounts[0].name
        stream = LoadStream(
            account, running.entries[:1], key_of(account), MODEL, _RATE * _LOAD_SHARE, tokens=2
        )
        result = run_in_processes(LoadPlan(scale.seed, scale.seconds, (stream,)), 1).total
    return 100.0 * result.refused(429, 503) / max(1, result.sent)
