"""One seeded run: start of the processes, traffic, faults, a phase without faults, and checks."""

import threading
import time
from contextlib import ExitStack
from pathlib import Path
from random import Random
from typing import NamedTuple

from trefoilreach_emulator._internal.soak.checks import find_violations
from trefoilreach_emulator._internal.soak.clients import JobClient, OnlineClient
from trefoilreach_emulator._internal.soak.environment import SoakEnvironment
from trefoilreach_emulator._internal.soak.faults import PlannedFault, faults, plan_faults
from trefoilreach_emulator._internal.soak.history import History

# Time after the last fault for daemons to restart and requests to succeed again.
_RECOVERY_SECONDS = 4.0
# Length of the traffic after recovery; the check "recover" counts the requests sent in it.
_CALM_TRAFFIC_SECONDS = 2.0
_JOB_POLL_SECONDS = 0.3


class SoakPlan(NamedTuple):
    """Parameters of a run.

    :param seconds: length of the traffic with faults.
    :param owners: number of clients that submit batch jobs.
    :param faults: number of faults.
    :param rate: rate of the client account in requests a second; lower than the rate at which the
        clients send, so that the quota takes effect.
    :param kinds: kinds of faults to choose from; empty for all.
    :param finish_seconds: time for batch jobs to finish after the traffic.
    :param cancel_jobs: whether owners cancel some of their jobs, whose items may then be missing.
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
    cancel_jobs: bool = True


class SoakResult(NamedTuple):
    """Planned faults, violations and history of a run."""

    plan: SoakPlan
    faults: list[PlannedFault]
    violations: list[str]
    history: History


def run_soak(plan: SoakPlan, folder: Path) -> SoakResult:
    """Execute one run and check its history.

    :param folder: folder to which settings and logs of the daemons are written.
    """
    planned = plan_faults(plan.seed, plan.seconds, plan.faults, plan.kinds)
    history = History(plan.rate)
    with ExitStack() as stack:
        environment = SoakEnvironment(folder, stack, history, plan.seed, plan.daemons, plan.workers)
        stop = threading.Event()
        stack.callback(stop.set)
        history.started_at = time.monotonic()
        online = [OnlineClient(environment, number, stop) for number in range(plan.clients)]
        owners = [
            JobClient(environment, number, stop, plan.cancel_jobs) for number in range(plan.owners)
        ]
        thread_targets = [client.run for client in online] + [owner.run for owner in owners]
        threads = [
            threading.Thread(target=thread_target, daemon=True) for thread_target in thread_targets
        ]
        for thread in threads:
            thread.start()
        _run_faults(environment, planned, plan.seconds)
        time.sleep(_RECOVERY_SECONDS)
        history.add_notice("calm", "")
        time.sleep(_CALM_TRAFFIC_SECONDS)
        stop.set()
        for thread in threads:
            thread.join(10.0)
        _wait_for_jobs(environment, owners, plan.finish_seconds)
        for proxied in environment.find_exited():
            history.add_notice("ended-by-itself", proxied.daemon.vm)
        events = environment.workers[0].worker.events
    return SoakResult(plan, planned, find_violations(history, events), history)


def _run_faults(environment: SoakEnvironment, planned: list[PlannedFault], seconds: float) -> None:
    """Start each fault at its time; return when all are undone and the time is over."""
    begin = time.monotonic()
    threads = []
    for fault in planned:
        time.sleep(max(0.0, begin + fault.at - time.monotonic()))
        thread = threading.Thread(target=_run_fault, args=(environment, fault), daemon=True)
        thread.start()
        threads.append(thread)
    time.sleep(max(0.0, begin + seconds - time.monotonic()))
    for thread in threads:
        thread.join()


def _run_fault(environment: SoakEnvironment, fault: PlannedFault) -> None:
    environment.history.add_notice(f"fault:{fault.kind}", f"{fault.seconds}")
    faults.get(fault.kind)(environment, Random(fault.seed), fault.seconds)


def _wait_for_jobs(environment: SoakEnvironment, owners: list[JobClient], seconds: float) -> None:
    """Read all accepted jobs until they list all items, unless cancelled, or the time is over."""
    history = environment.history
    cancelled_jobs = {notice.subject for notice in history.find_notices("end-asked")}
    unfinished_jobs = {e.job: len(e.items) for e in history.submissions if e.status == 202}
    end = time.monotonic() + seconds
    while unfinished_jobs and time.monotonic() < end:
        for job, total in list(unfinished_jobs.items()):
            listing = owners[0].read(job)
            if listing is not None and (len(listing.results) >= total or job in cancelled_jobs):
                del unfinished_jobs[job]
        if unfinished_jobs:
            time.sleep(_JOB_POLL_SECONDS)
