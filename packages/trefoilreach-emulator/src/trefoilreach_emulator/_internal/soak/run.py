"""One seeded run: programs, traffic, faults, the calm end, and the checks."""

import threading
import time
from contextlib import ExitStack
from pathlib import Path
from random import Random
from typing import NamedTuple

from trefoilreach_emulator._internal.soak.checks import find_violations
from trefoilreach_emulator._internal.soak.clients import JobClient, OnlineClient
from trefoilreach_emulator._internal.soak.faults import PlannedFault, faults, plan_faults
from trefoilreach_emulator._internal.soak.history import History
from trefoilreach_emulator._internal.soak.world import World

# Time after the last fault in which daemons start again, and with them the requests.
_RECOVER_SECONDS = 4.0
_CALM_SECONDS = 2.0
_READ_PAUSE_SECONDS = 0.3


class SoakPlan(NamedTuple):
    """Size of a run.

    :param seconds: length of the traffic with faults.
    :param rate: requests a second of the client account; less than the clients would send,
        so that the quota binds.
    :param kinds: kinds of faults to choose from; none stands for all.
    :param finish_seconds: time for batch jobs to end after the traffic.
    """

    seed: int
    seconds: float = 12.0
    daemons: int = 4
    workers: int = 3
    clients: int = 8
    owners: int = 2
    faults: int = 6
    rate: float = 25.0
    kinds: tuple[str, ...] = ()
    finish_seconds: float = 18.0


class SoakResult(NamedTuple):
    """Outcome of a run."""

    plan: SoakPlan
    faults: list[PlannedFault]
    violations: list[str]
    history: History


def run_soak(plan: SoakPlan, folder: Path) -> SoakResult:
    """Play one run.

    :param folder: takes settings and logs of the daemons.
    """
    planned = plan_faults(plan.seed, plan.seconds, plan.faults, plan.kinds)
    history = History(plan.rate)
    with ExitStack() as stack:
        world = World(folder, stack, history, plan.seed, plan.daemons, plan.workers)
        stop = threading.Event()
        stack.callback(stop.set)
        history.begun_at = time.monotonic()
        online = [OnlineClient(world, number, stop) for number in range(plan.clients)]
        owners = [JobClient(world, number, stop) for number in range(plan.owners)]
        works = [client.run for client in online] + [owner.run for owner in owners]
        threads = [threading.Thread(target=work, daemon=True) for work in works]
        for thread in threads:
            thread.start()
        _play_faults(world, planned, plan.seconds)
        time.sleep(_RECOVER_SECONDS)
        history.note("calm", "")
        time.sleep(_CALM_SECONDS)
        stop.set()
        for thread in threads:
            thread.join(10.0)
        _wait_for_jobs(world, owners, plan.finish_seconds)
        for place in world.find_ended():
            history.note("ended-by-itself", place.daemon.vm)
        events = world.workers[0].worker.events
    return SoakResult(plan, planned, find_violations(history, events), history)


def _play_faults(world: World, planned: list[PlannedFault], seconds: float) -> None:
    """Start each fault at its time; return when all have healed and the time is over."""
    begin = time.monotonic()
    threads = []
    for fault in planned:
        time.sleep(max(0.0, begin + fault.at - time.monotonic()))
        thread = threading.Thread(target=_play_fault, args=(world, fault), daemon=True)
        thread.start()
        threads.append(thread)
    time.sleep(max(0.0, begin + seconds - time.monotonic()))
    for thread in threads:
        thread.join()


def _play_fault(world: World, fault: PlannedFault) -> None:
    world.history.note(f"fault:{fault.kind}", f"{fault.seconds}")
    faults.get(fault.kind)(world, Random(fault.seed), fault.seconds)


def _wait_for_jobs(world: World, owners: list[JobClient], seconds: float) -> None:
    """Read all accepted jobs until they are whole or their time is over."""
    history = world.history
    ended = {notice.subject for notice in history.noticed("end-asked")}
    jobs = {e.job: len(e.items) for e in history.submissions if e.status == 202}
    end = time.monotonic() + seconds
    while jobs and time.monotonic() < end:
        for job, total in list(jobs.items()):
            listing = owners[0].read(job)
            if listing is not None and (len(listing.results) >= total or job in ended):
                del jobs[job]
        if jobs:
            time.sleep(_READ_PAUSE_SECONDS)
