"""Batch beside online: harm to online latency and use of idle capacity."""

import time
from pathlib import Path
from typing import NamedTuple

from trefoilreach_emulator._internal.bench.batch_load import build_items, count_done, submit_job
from trefoilreach_emulator._internal.bench.report import (
    Figure,
    Scale,
    at_least,
    at_most,
    scenarios,
)
from trefoilreach_emulator._internal.bench.sites import (
    MODEL,
    RunningSite,
    Site,
    build_accounts,
    key_of,
    start_site,
)
from trefoilreach_emulator._internal.bench.usage import Spent, read_usage, spent_between
from trefoilreach_emulator._internal.load.plan import LoadPlan, LoadStream
from trefoilreach_emulator._internal.load.processes import run_in_processes
from trefoilreach_emulator._internal.load.samples import StreamResult

_NAME = "Batch beside online"
_ONLINE_RATE = 40.0
_ONLINE_TOKENS = 16
_BATCH_TOKENS = 32
_BACKLOG_ITEMS = 4000
_BATCH_ACCOUNT = "a0"
# Time in which batch work reaches its full rate before the measurement begins.
_WARM_UP_SECONDS = 4.0
_RATIO_LIMIT = 1.25
_BATCH_SHARE_LIMIT = 85.0


class _Run(NamedTuple):
    online: StreamResult
    items_per_second: float
    spent: Spent


@scenarios.register("mixed")
def measure_mixed(scale: Scale, folder: Path) -> list[Figure]:
    """Run online alone, batch alone, both, and both without yielding."""
    alone = _run(scale, folder / "online", online=True, batch=False)
    batch = _run(scale, folder / "batch", online=False, batch=True)
    both = _run(scale, folder / "both", online=True, batch=True)
    rude = _run(scale, folder / "rude", online=True, batch=True, yielding="no")
    figures = _online_figures("online alone", alone)
    figures += _batch_figures("batch alone", batch)
    idle = _idle_share(alone)
    figures.append(Figure(_NAME, "online alone", "idle capacity", 100 * idle, "%"))
    for variant, run in (("both", both), ("both, no yielding", rude)):
        figures += _online_figures(variant, run) + _batch_figures(variant, run)
        ratio = _p99(run) / max(1e-9, _p99(alone))
        share = 100 * run.items_per_second / max(1e-9, batch.items_per_second * idle)
        ratio_figure = Figure(_NAME, variant, "first token p99 over online alone", ratio, "")
        share_figure = Figure(_NAME, variant, "batch rate over idle share", share, "%")
        if variant == "both":
            ratio_figure = at_most(ratio_figure, _RATIO_LIMIT)
            share_figure = at_least(share_figure, _BATCH_SHARE_LIMIT)
        figures += [ratio_figure, share_figure]
    return figures


def _run(scale: Scale, folder: Path, online: bool, batch: bool, yielding: str = "yes") -> _Run:
    site = Site(
        "mixed",
        daemons=4,
        engines=5,
        accounts=build_accounts([100.0] * 4),
        settings={"batch": {"yielding": yielding}},
    )
    with start_site(site, folder) as running:
        jobs = _submit_backlog(running) if batch else []
        time.sleep(_WARM_UP_SECONDS)
        before, done_before, started = read_usage(running), _done(running, jobs), time.monotonic()
        result = StreamResult()
        if online:
            result = run_in_processes(_plan(scale, running)).total
        else:
            time.sleep(scale.seconds)
        seconds = time.monotonic() - started
        done = _done(running, jobs) - done_before
        return _Run(result, done / seconds, spent_between(before, read_usage(running)))


def _submit_backlog(running: RunningSite) -> list[str]:
    items = build_items(_BACKLOG_ITEMS, _BATCH_TOKENS, "backlog")
    return [submit_job(running.daemons[0], _BATCH_ACCOUNT, items)]


def _done(running: RunningSite, jobs: list[str]) -> int:
    return sum(count_done(running.daemons[0], _BATCH_ACCOUNT, job) for job in jobs)


def _plan(scale: Scale, running: RunningSite) -> LoadPlan:
    accounts = running.site.accounts
    streams = tuple(
        LoadStream(
            account.name,
            running.entries,
            key_of(account.name),
            MODEL,
            _ONLINE_RATE / len(accounts),
            _ONLINE_TOKENS,
        )
        for account in accounts
    )
    return LoadPlan(scale.seed, scale.seconds, streams)


def _idle_share(alone: _Run) -> float:
    """Return the share of engine slots that online work leaves idle."""
    site = Site("mixed", daemons=4, engines=5, accounts=())
    per_request = site.first_token + _ONLINE_TOKENS * site.token_interval
    busy = alone.online.complete / alone.spent.seconds * per_request
    return max(0.0, 1.0 - busy / (site.engines * site.slots))


def _p99(run: _Run) -> float:
    return run.online.first_token.percentile(99)


def _online_figures(variant: str, run: _Run) -> list[Figure]:
    figures = []
    for label, histogram in (
        ("first token", run.online.first_token),
        ("token interval", run.online.interval),
    ):
        for percent in (50, 95, 99):
            value = histogram.percentile(percent) * 1000
            figures.append(Figure(_NAME, variant, f"{label} p{percent}", value, "ms"))
    incomplete = 100.0 * (1 - run.online.complete / max(1, run.online.sent))
    figures.append(Figure(_NAME, variant, "requests not completed", incomplete, "%"))
    return figures


def _batch_figures(variant: str, run: _Run) -> list[Figure]:
    return [
        Figure(_NAME, variant, "batch items", run.items_per_second, "items/s"),
        Figure(_NAME, variant, "table and object reads", run.spent.reads_per_second, "1/s"),
        Figure(_NAME, variant, "table and object writes", run.spent.writes_per_second, "1/s"),
        Figure(
            _NAME,
            variant,
            "resident memory, largest daemon",
            run.spent.largest_resident_bytes / 1e6,
            "MB",
        ),
    ]
