"""Tokens a second that one daemon relays, and their cost."""

from pathlib import Path

from trefoilreach_emulator._internal.bench.report import Figure, Scale, at_least, scenarios
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

_TOKENS = 200
_OFFERED_TOKENS_PER_SECOND = 4000.0
# 1.5 million tokens a second over 420 daemons.
_TARGET_TOKENS_PER_SECOND = 3600.0
_NAME = "Relayed tokens"


@scenarios.register("relay")
def measure_relay(scale: Scale, folder: Path) -> list[Figure]:
    """Offer 4,000 tokens a second in streams of 200 tokens to one daemon."""
    accounts = build_accounts([1000.0] * 4)
    site = Site("relay", daemons=1, engines=4, accounts=accounts, slots=64)
    with start_site(site, folder / "relay") as running:
        rate = _OFFERED_TOKENS_PER_SECOND / _TOKENS / len(accounts)
        streams = tuple(
            LoadStream(account.name, running.entries, key_of(account.name), MODEL, rate, _TOKENS)
            for account in accounts
        )
        before = read_usage(running)
        result = run_in_processes(LoadPlan(scale.seed, scale.seconds, streams), 4).total
        spent = spent_between(before, read_usage(running))
    relayed = result.tokens / spent.seconds
    per_token = spent.processor_seconds / max(1, result.tokens)
    figures = [
        Figure(
            _NAME,
            "one daemon",
            "tokens relayed, with start and tail of the run",
            relayed,
            "tokens/s",
        ),
        Figure(_NAME, "one daemon", "processor time per token", per_token * 1e6, "µs"),
        at_least(
            Figure(_NAME, "one daemon", "tokens per core-second", 1 / per_token, "tokens/s"),
            _TARGET_TOKENS_PER_SECOND,
        ),
    ]
    interval = result.interval
    for percent in (50, 95, 99):
        value = interval.percentile(percent) * 1000
        figures.append(Figure(_NAME, "one daemon", f"token interval p{percent}", value, "ms"))
    complete = 100.0 * result.complete / max(1, result.sent)
    figures.append(Figure(_NAME, "one daemon", "requests completed", complete, "%"))
    return figures
