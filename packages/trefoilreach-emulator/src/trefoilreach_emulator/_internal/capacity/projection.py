"""Cost of each role at the sizes of today and of the target, worked out from slopes."""

import math
from collections.abc import Sequence
from typing import NamedTuple

from trefoilreach_emulator._internal.capacity.slopes import Slope

_SECONDS_PER_DAY = 86_400.0
# Accounts whose requests reach one daemon at the same time.
_ACTIVE_ACCOUNTS = 20
_SUBSET_WORKERS = 16
_KEYED_REQUESTS_PER_SECOND = 50.0
_WRITES_PER_KEYED_REQUEST = 2
_SEGMENT_SECONDS = 5.0
# Rows written while the slots of one lost or replaced VM move.
_WRITES_PER_MOVED_VM = 4
# A VM that is lost or replaced leaves, is dropped, and another one is added.
_LIST_CHANGES_PER_MOVED_VM = 3
_LIST_SECONDS = 2.0
_LIST_SECONDS_PER_VM = _LIST_SECONDS / 30


class Size(NamedTuple):
    """One size of the fleet; rates are a second unless the name says otherwise."""

    name: str
    daemons: int
    workers: int
    accounts: int
    requests: float
    tokens: float
    batch_items: float
    changes_per_day: float
    moved_vms_per_day: float


TODAY = Size("today", 12, 6, 8, 20.0, 400.0, 40.0, 20.0, 2.0)
TARGET = Size("target", 420, 3100, 460, 4000.0, 1_500_000.0, 650.0, 3900.0, 459.0)


class Estimate(NamedTuple):
    """One figure at both sizes.

    :param budget: what it must stay under at the target, or None.
    """

    role: str
    figure: str
    unit: str
    today: float
    target: float
    source: str
    budget: float | None = None


class Slopes:
    """Finds fitted lines by role and the beginning of their cost and size names."""

    def __init__(self, slopes: Sequence[Slope]) -> None:
        self._slopes = slopes

    def find(self, role: str, cost: str, against: str = "") -> Slope:
        """Return the one line.

        :raises LookupError: when nothing of that name was measured.
        """
        for slope in self._slopes:
            if slope.role != role or not slope.cost.startswith(cost):
                continue
            if slope.against.startswith(against):
                return slope
        raise LookupError(f"no slope of {role}: {cost}")


def project(measured: Sequence[Slope]) -> list[Estimate]:
    """Return the figures of all roles."""
    slopes = Slopes(measured)
    return [*_entry(slopes), *_control(slopes), *_audit(slopes), *_stores(slopes)]


def _entry(slopes: Slopes) -> list[Estimate]:
    line = slopes.find("entry", "processor time")
    values = [
        (size.requests * line.intercept + size.tokens * line.slope) / size.daemons / 10.0
        for size in (TODAY, TARGET)
    ]
    source = "measured per request and token; rates of today assumed"
    return [
        Estimate(
            "entry",
            "processor time of requests",
            "% of a core",
            values[0],
            values[1],
            source,
            100.0,
        )
    ]


def _control(slopes: Slopes) -> list[Estimate]:
    core = [_control_core(slopes, size) for size in (TODAY, TARGET)]
    memory = [_control_memory(slopes, size) for size in (TODAY, TARGET)]
    traffic = [_traffic(slopes, size) for size in (TODAY, TARGET)]
    whole = [sum(parts) for parts in traffic]
    names = ("membership", "quota", "configuration", "VM list")
    sources = (
        "extrapolated from 239 peers",
        f"measured; {_ACTIVE_ACCOUNTS} accounts in use on a daemon assumed",
        "measured size of a change; a whole document for each replaced VM",
        "measured answers, whole when the list changed; poll stretched by n/30",
    )
    rows = [
        Estimate(name, "control traffic", "KB/s", traffic[0][i], traffic[1][i], sources[i])
        for i, name in enumerate(names)
    ]
    rows.append(
        Estimate("control", "processor time", "% of a core", core[0], core[1], "sum of slopes", 3.5)
    )
    rows.append(
        Estimate("control", "resident memory", "MB", memory[0], memory[1], "sum of slopes", 64.0)
    )
    rows.append(
        Estimate("control", "traffic", "KB/s", whole[0], whole[1], "sum of the rows above", 6.0)
    )
    return rows


def _control_core(slopes: Slopes, size: Size) -> float:
    idle = slopes.find("membership", "processor time").at(size.daemons - 1)
    # Its routing subset, and the workers that it sends batch work to.
    watched = min(size.workers, _SUBSET_WORKERS) + size.workers / size.daemons
    workers = slopes.find("routing", "processor time").slope * watched
    adoption = _adoption_ms(slopes, size) * size.changes_per_day / _SECONDS_PER_DAY / 10.0
    return idle + workers + adoption


def _adoption_ms(slopes: Slopes, size: Size) -> float:
    accounts = slopes.find("configuration", "adoption of a change", "accounts")
    workers = slopes.find("configuration", "adoption of a change", "workers")
    return accounts.at(size.accounts) + workers.slope * size.workers


def _control_memory(slopes: Slopes, size: Size) -> float:
    idle = slopes.find("membership", "resident").at(size.daemons - 1)
    accounts = slopes.find("configuration", "memory", "accounts").slope * size.accounts
    workers = slopes.find("configuration", "memory", "workers").slope * size.workers
    return idle + (accounts + workers) / 1000.0


def _traffic(slopes: Slopes, size: Size) -> tuple[float, float, float, float]:
    probes = slopes.find("membership", "messages").at(size.daemons - 1)
    loans = slopes.find("quota", "messages").slope * min(_ACTIVE_ACCOUNTS, size.accounts)
    change = _configuration_kb(slopes, "change", size) * size.changes_per_day
    whole = _configuration_kb(slopes, "compressed", size) * size.moved_vms_per_day / size.daemons
    changes = (change + whole) / _SECONDS_PER_DAY
    return probes, loans, changes, _listing(slopes, size)


def _listing(slopes: Slopes, size: Size) -> float:
    interval = max(_LIST_SECONDS, _LIST_SECONDS_PER_VM * size.daemons)
    changes = size.moved_vms_per_day * _LIST_CHANGES_PER_MOVED_VM * interval / _SECONDS_PER_DAY
    # Changes at random moments leave this share of the intervals without any.
    unchanged = math.exp(-changes)
    whole = slopes.find("VM list", "whole").at(size.daemons)
    short = slopes.find("VM list", "unchanged").at(size.daemons)
    return (unchanged * short + (1.0 - unchanged) * whole) / interval


def _audit(slopes: Slopes) -> list[Estimate]:
    rates = [size.requests / size.daemons for size in (TODAY, TARGET)]
    core = [slopes.find("audit", "processor").slope * rate / 10.0 for rate in rates]
    written = [slopes.find("audit", "segment").slope * rate for rate in rates]
    memory = slopes.find("audit", "memory").slope * _SEGMENT_SECONDS / 1000.0
    kept = [memory * rate for rate in rates]
    source = "measured a request; one record each"
    return [
        Estimate("audit", "processor time of records", "% of a core", core[0], core[1], source),
        Estimate("audit", "written to the object store", "KB/s", written[0], written[1], source),
        Estimate("audit", "memory of one interval", "MB", kept[0], kept[1], source),
    ]


def _configuration_kb(slopes: Slopes, cost: str, size: Size) -> float:
    accounts = slopes.find("configuration", cost, "accounts")
    workers = slopes.find("configuration", cost, "workers")
    return accounts.at(size.accounts) + workers.slope * size.workers


def _stores(slopes: Slopes) -> list[Estimate]:
    writes = [_writes(slopes, size) for size in (TODAY, TARGET)]
    reads = [_reads(slopes, size) for size in (TODAY, TARGET)]
    items = [
        slopes.find("batch", "processor time").slope * size.batch_items / size.daemons / 10.0
        for size in (TODAY, TARGET)
    ]
    source = "measured a job and an item; keyed requests assumed at 50/s, 10 % of it today"
    return [
        Estimate(
            "batch",
            "processor time of items",
            "% of a core",
            items[0],
            items[1],
            "measured an item",
        ),
        Estimate("stores", "writes, all daemons", "1/s", writes[0], writes[1], source, 400.0),
        Estimate(
            "stores",
            "reads, all daemons",
            "1/s",
            reads[0],
            reads[1],
            "measured idle and batch",
            2000.0,
        ),
    ]


def _writes(slopes: Slopes, size: Size) -> float:
    batch = slopes.find("batch", "writes").slope * size.batch_items
    share = 1.0 if size is TARGET else 0.1
    keyed = _KEYED_REQUESTS_PER_SECOND * _WRITES_PER_KEYED_REQUEST * share
    segments = size.daemons / _SEGMENT_SECONDS
    # Document, change and head of a configuration.
    rare = (size.changes_per_day * 3 + size.moved_vms_per_day * _WRITES_PER_MOVED_VM) / (
        _SECONDS_PER_DAY
    )
    return batch + keyed + segments + rare


def _reads(slopes: Slopes, size: Size) -> float:
    idle = slopes.find("membership", "reads").at(size.daemons - 1) * size.daemons
    batch = slopes.find("batch", "reads").slope * size.batch_items
    # A head and a change, or a document, for each daemon that hears of a change.
    changes = 2 * size.daemons * size.changes_per_day / _SECONDS_PER_DAY
    return idle + batch + changes


def format_estimates(estimates: Sequence[Estimate]) -> str:
    """Return a Markdown table."""
    lines = [
        "| role | figure | today | target | budget | margin | source |",
        "|---|---|---|---|---|---|---|",
    ]
    lines += [_format_estimate(entry) for entry in estimates]
    return "\n".join(lines)


def _format_estimate(entry: Estimate) -> str:
    budget = margin = ""
    if entry.budget is not None:
        budget = f"{entry.budget:g}"
        left = 100.0 * (1.0 - entry.target / entry.budget)
        margin = f"{left:.0f} % left" if left >= 0 else f"short by {-left:.0f} %"
    figure = f"{entry.figure}, {entry.unit}"
    values = f"{entry.today:.3g} | {entry.target:.3g}"
    return f"| {entry.role} | {figure} | {values} | {budget} | {margin} | {entry.source} |"
