"""Processor time, memory and platform traffic over the time of a run."""

import time
from typing import NamedTuple

from trefoilreach_emulator._internal.bench.sites import RunningSite
from trefoilreach_emulator._internal.http_call import call


class Reading(NamedTuple):
    """Totals of all daemons at one moment."""

    moment: float
    processor_seconds: float
    largest_resident_bytes: int
    control_bytes: int
    table_reads: int
    table_writes: int


class Spent(NamedTuple):
    """What a run used."""

    seconds: float
    processor_seconds: float
    largest_resident_bytes: int
    control_bytes_per_second: float
    reads_per_second: float
    writes_per_second: float


def read_usage(site: RunningSite) -> Reading:
    """Read the totals of a running site."""
    names = [f"vm{number}" for number in range(len(site.daemons))]
    usages = [site.fleet.program(name).usage() for name in names]
    health = [call(address, "GET", "/healthz").json() for address in site.daemons]
    counts = call(site.fleet.addresses["platform"], "GET", "/counts").json()
    return Reading(
        time.monotonic(),
        sum(usage.processor_seconds for usage in usages),
        max(usage.resident_bytes for usage in usages),
        sum(entry["peer_bytes"] for entry in health),
        counts["reads"],
        counts["writes"],
    )


def spent_between(before: Reading, after: Reading) -> Spent:
    """Return what was used between two readings."""
    seconds = after.moment - before.moment
    return Spent(
        seconds,
        after.processor_seconds - before.processor_seconds,
        after.largest_resident_bytes,
        (after.control_bytes - before.control_bytes) / seconds,
        (after.table_reads - before.table_reads) / seconds,
        (after.table_writes - before.table_writes) / seconds,
    )
