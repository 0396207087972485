"""A machine restarts while jobs come and the store is slow; then the one that runs them is lost."""

import os
import random
import signal
import sys
import threading
import time

from standins import (
    BOUNDS,
    JOB_ROUTE,
    REPOSITORY,
    STREAM_ROUTE,
    TROUBLE,
    Site,
    Worker,
    main,
    make_item,
    make_job,
    read_job,
)

sys.path.append(str(REPOSITORY / "target" / "deps"))
import xxhash

# Jobs that were done before. Their ids fall into one of the eight parts of the table of jobs, which
# has as many rows after 48,000 jobs with any ids: two days at the rate of the sheet.
JOBS_BEFORE = int(os.environ.get("BEFORE", "6000"))
PARTS = 8
SUBMITTERS = 12
# The sheet's 0.257 jobs a second, six times (``burst``), half of them of a tenant that sends three
# times its usual (``hot_tenant``). About ten items each.
JOBS_PER_SECOND = 3.0
ITEMS_PER_JOB = 10
# As in the site file: 60 times as slow for 4.5 s.
SLOWNESS = 60.0
SLOW_SECONDS = 4.5
FINISH_SECONDS = BOUNDS["finishS"]
CALM_SECONDS = 8.0


class TwoSpeedWorker(Worker):
    """Runs the items of earlier jobs at once, and those of the new jobs for 5 s."""

    def plan(self, request_id: str) -> tuple[int, str, float]:
        """Return a run's number of events, the end of their data, and its length in seconds."""
        return (1, "", 0.001) if request_id.startswith("1d") else (50, "", 5.0)


class Callers:
    """Callers that submit jobs.

    :param prefix: of the ids of all items.
    """

    def __init__(self, prefix: str, items: int) -> None:
        self.accepted: dict[str, list[str]] = {}
        self._prefix = prefix
        self._items = items
        self._random = random.Random(prefix)
        self._lock = threading.Lock()

    def _make_id(self) -> str:
        """Return an id of the first part."""
        with self._lock:
            while True:
                job = f"{self._random.getrandbits(64):016x}"
                if xxhash.xxh32_intdigest(job.encode()) % PARTS == 0:
                    return job

    def submit(self, daemons) -> None:
        """Submit a job at the first of some daemons that accepts it."""
        job = self._make_id()
        items = [f"{self._prefix}{job[2:12]}{number:04x}" for number in range(self._items)]
        body = make_job([make_item(item) for item in items])
        for attempt in range(6):
            daemon = daemons[attempt % len(daemons)]
            try:
                reply = daemon.call("POST", f"/pule252/{job}", job, body)
            except OSError:
                continue
            if reply.status == 202:
                self.accepted[job] = items
                return
            time.sleep(0.2)

    def submit_many(self, callers: int, jobs: int, daemons) -> None:
        """Submit jobs from several callers at once, each at its own daemon first."""

        def submit_some(number: int) -> None:
            first = number % len(daemons)
            while len(self.accepted) < jobs:
                self.submit(daemons[first:] + daemons[:first])

        _run_all([threading.Thread(target=submit_some, args=(n,)) for n in range(callers)])

    def submit_paced(self, seconds: float, daemons) -> None:
        """Submit jobs at the usual rate."""
        threads = []
        for _ in range(int(seconds * JOBS_PER_SECOND)):
            threads.append(threading.Thread(target=self.submit, args=(daemons,)))
            threads[-1].start()
            time.sleep(1.0 / JOBS_PER_SECOND)
        for thread in threads:
            thread.join()


def _run_all(threads: list[threading.Thread]) -> None:
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def run(site: Site) -> list[str]:
    """Return the items that were lost."""
    workers = [site.add_worker(slots=64, seconds=5.0, kind=TwoSpeedWorker) for _ in range(2)]
    site.configure(STREAM_ROUTE, JOB_ROUTE)
    daemons = site.start_daemons(3)
    lost, again, other = daemons
    earlier = Callers("1d", 1)
    earlier.submit_many(SUBMITTERS, JOBS_BEFORE, daemons)
    site.record("script", f"{len(earlier.accepted)} jobs were accepted before")
    time.sleep(2.0)
    if TROUBLE:
        site.store.slowness = SLOWNESS
        site.record("script", f"the store is {SLOWNESS:.0f} times as slow")
        again.signal(signal.SIGKILL)
        again.process.wait()
    slow_until = time.monotonic() + SLOW_SECONDS
    if TROUBLE:
        threading.Timer(0.5, again.start).start()
    new = Callers("e5", ITEMS_PER_JOB)
    new.submit_paced(SLOW_SECONDS, [lost])
    time.sleep(max(0.0, slow_until - time.monotonic()))
    site.store.slowness = 1.0
    site.record(
        "script", f"the store is as usual; {len(new.accepted)} jobs were accepted meanwhile"
    )
    time.sleep(1.0)
    if TROUBLE:
        lost.signal(signal.SIGKILL)
        lost.process.wait()
        time.sleep(2.0)
        lost.start()
        site.record("script", "no disruption from now on")
    time.sleep(FINISH_SECONDS)
    quiet_at = time.monotonic()
    while time.monotonic() - quiet_at < CALM_SECONDS:
        if any(worker.running for worker in workers):
            quiet_at = time.monotonic()
        time.sleep(0.1)
    site.record("script", f"no item was at a worker for {CALM_SECONDS:.0f} s")
    breaches = []
    for job, items in new.accepted.items():
        results = read_job([other, again], job)
        if results is None:
            raise OSError("no daemon read a job")
        listed = {r["id"] for r in results if r["state"] in ("completed", "errored")}
        missing = [item for item in items if item not in listed]
        if missing:
            breaches.append(
                f"LOST: {len(missing)} of {len(items)} items of job {job} are neither completed"
                " nor errored"
            )
    return breaches


main(run)
