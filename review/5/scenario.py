"""A machine is lost and the store is slow; its caller ends the batch jobs that the machine ran."""

import signal
import threading
import time

from standins import (
    BOUNDS,
    JOB_ROUTE,
    STREAM_ROUTE,
    TROUBLE,
    Site,
    main,
    make_item,
    make_job,
)

JOBS = {
    f"7c41e09b52d6a3{job:02x}": [f"e5b2907c14da{job:02x}{n:02x}" for n in range(4)]
    for job in range(16)
}
# Other work that goes first, as it is due first.
EARLIER_JOBS = {
    f"1d02b07c14da6f{job:02x}": [f"4b1d02e09b52{job:02x}{n:02x}" for n in range(8)]
    for job in range(2)
}
# As in the site file: 60 times as slow for 4.5 s.
SLOWNESS = 60.0
SLOW_SECONDS = 4.5
CONTACT_SECONDS = BOUNDS["contactMs"] / 1000.0
CANCEL_SECONDS = BOUNDS["cancelMs"] / 1000.0


def run(site: Site) -> list[str]:
    """Return the items that ran although their job had been ended for long."""
    worker = site.add_worker(slots=4, seconds=5.0)
    site.configure(STREAM_ROUTE, JOB_ROUTE)
    daemons = site.start_daemons(3)
    lost, others = daemons[0], daemons[1:]
    for number, (job, items) in enumerate(EARLIER_JOBS.items()):
        body = make_job([make_item(item) for item in items])
        accept(others[number % 2].call("POST", f"/pule252/{job}", job, body))
    time.sleep(0.5)
    for job, items in JOBS.items():
        body = make_job([make_item(item) for item in items])
        accept(lost.call("POST", f"/pule252/{job}", job, body))
    time.sleep(1.0)
    if TROUBLE:
        lost.signal(signal.SIGKILL)
        lost.process.wait()
    time.sleep(1.0)
    if TROUBLE:
        site.store.slowness = SLOWNESS
        site.record("script", f"the store is {SLOWNESS:.0f} times as slow")
        threading.Timer(SLOW_SECONDS, lambda: setattr(site.store, "slowness", 1.0)).start()
    slow_until = time.monotonic() + SLOW_SECONDS
    time.sleep(2.0)
    ended = end_jobs(site, others)
    time.sleep(max(0.0, slow_until - time.monotonic()))
    site.record("script", "the store is as fast as usual from now on")
    time.sleep(32.0)
    steady_from = slow_until + CONTACT_SECONDS
    breaches = []
    for at, request_id, _ in worker.runs:
        job = next((job for job, items in JOBS.items() if request_id in items), "")
        if job in ended and at > max(ended[job] + CANCEL_SECONDS, steady_from):
            breaches.append(
                f"UNASKED: item {request_id} ran {at - ended[job]:.1f} s after the end of its job"
                f" {job} was acknowledged, {at - slow_until:.1f} s after the last disruption"
            )
    return breaches


def accept(reply) -> None:
    """Check that a job was accepted."""
    if reply.status != 202:
        raise OSError(f"a job was answered {reply.status}")


def end_jobs(site: Site, daemons) -> dict[str, float]:
    """End all jobs at once; return when each end was acknowledged."""
    ended: dict[str, float] = {}

    def end(number: int, job: str) -> None:
        for attempt in range(10):
            daemon = daemons[(number + attempt) % len(daemons)]
            try:
                reply = daemon.call("DELETE", f"/trefoilreach/lots/{job}")
            except OSError:
                continue
            if reply.status == 200:
                ended[job] = time.monotonic()
                return
            time.sleep(0.2)

    threads = [threading.Thread(target=end, args=pair) for pair in enumerate(JOBS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    site.record("caller", f"{len(ended)} of {len(JOBS)} jobs are ended")
    return ended


main(run)
