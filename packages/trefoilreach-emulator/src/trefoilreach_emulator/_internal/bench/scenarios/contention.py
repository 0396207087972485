"""How the worst-served account fares when another sends too much, and under overload."""

from pathlib import Path

from trefoilreach_emulator._internal.bench.report import Figure, Scale, at_least, scenarios
from trefoilreach_emulator._internal.bench.sites import (
    MODEL,
    Site,
    build_accounts,
    key_of,
    start_site,
)
from trefoilreach_emulator._internal.load.plan import LoadPlan, LoadStream
from trefoilreach_emulator._internal.load.processes import run_in_processes
from trefoilreach_emulator._internal.load.samples import LoadResult

_NAME = "Worst-served account, quota settled"
_RATES = (18.0, 14.0, 10.0, 8.0, 6.0, 5.0, 4.0, 3.0)
_LOUD_FACTOR = 5.0
_OVERLOAD_FACTOR = 2.0
_SHARE_LIMIT = 95.0


@scenarios.register("contention")
def measure_contention(scale: Scale, folder: Path) -> list[Figure]:
    """Let one account send five times its rate, then offer all twice the capacity."""
    calm = _run(scale, folder / "calm", _RATES, dict.fromkeys(range(len(_RATES)), 0.9))
    loud_factors = {**dict.fromkeys(range(len(_RATES)), 0.9), 2: _LOUD_FACTOR}
    loud = _run(scale, folder / "loud", _RATES, loud_factors)
    big = tuple(rate * _OVERLOAD_FACTOR for rate in _RATES)
    overload = _run(scale, folder / "overload", big, dict.fromkeys(range(len(_RATES)), 1.0))
    figures = _quiet_figures("all at 90%", calm, skip=())
    figures += _quiet_figures("one at five times its rate", loud, skip=(2,))
    figures.append(at_least(_worst_share("overload", overload, big), _SHARE_LIMIT))
    local = _run(scale, folder / "local", big, dict.fromkeys(range(len(_RATES)), 1.0), "local")
    figures.append(_worst_share("overload, equal parts", local, big))
    return figures


def _run(
    scale: Scale,
    folder: Path,
    rates: tuple[float, ...],
    factors: dict[int, float],
    fairness: str = "fleet",
) -> LoadResult:
    site = Site(
        "contention",
        daemons=4,
        engines=5,
        accounts=build_accounts(rates),
        settings={"routing": {"fairness": fairness}},
    )
    with start_site(site, folder, settled=True) as running:
        streams = tuple(
            LoadStream(
                account.name,
                running.entries,
                key_of(account.name),
                MODEL,
                account.rate * factors[index],
            )
            for index, account in enumerate(site.accounts)
        )
        return run_in_processes(LoadPlan(scale.seed, scale.seconds, streams))


def _quiet_figures(variant: str, result: LoadResult, skip: tuple[int, ...]) -> list[Figure]:
    quiet = {
        name: found
        for name, found in result.streams.items()
        if name not in {f"a{index}" for index in skip}
    }
    shares = {name: 100.0 * found.complete / found.sent for name, found in quiet.items()}
    slowest = max(found.first_token.percentile(95) * 1000 for found in quiet.values())
    refused = sum(found.refused(429) for found in quiet.values())
    sent = sum(found.sent for found in quiet.values())
    worst = Figure(_NAME, variant, "share of its offered load served", min(shares.values()), "%")
    return [
        at_least(worst, _SHARE_LIMIT),
        Figure(_NAME, variant, "slowest first token p95", slowest, "ms"),
        Figure(_NAME, variant, "refused inside the rate", 100.0 * refused / sent, "%"),
    ]


def _worst_share(variant: str, result: LoadResult, rates: tuple[float, ...]) -> Figure:
    served = [result.stream(f"a{index}").complete / rate for index, rate in enumerate(rates)]
    fair = sum(found.complete for found in result.streams.values()) / sum(rates)
    share = 100.0 * min(served) / max(1e-9, fair)
    return Figure(_NAME, variant, "share of its fair part", share, "%")
