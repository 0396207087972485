"""A batch route is removed while a job of it is open; then the daemons are restarted in turn."""

import os
import signal
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
    read_job,
)

JOB = "7c41e09b52d6a3f8"
ITEMS = [f"e5b2907c14da6f{number:02x}" for number in range(12)]
# Either disruption alone, to see which of them is needed: "route" or "roll".
ONLY = os.environ.get("ONLY", "")
# The job is read only after ``keepS`` (60 s after its submission) as well as ``finishS``.
KEEP_SECONDS = JOB_ROUTE["keepS"]
FINISH_SECONDS = BOUNDS["finishS"]
CALM_SECONDS = 8.0


def run(site: Site) -> list[str]:
    """Return the items that were lost."""
    worker = site.add_worker(slots=2, seconds=2.0)
    site.configure(STREAM_ROUTE, JOB_ROUTE)
    daemons = site.start_daemons(3)
    submitted_at = time.monotonic()
    reply = daemons[0].call("POST", f"/pule252/{JOB}", JOB, make_job([make_item(i) for i in ITEMS]))
    if reply.status != 202:
        raise OSError(f"the job was answered {reply.status}")
    time.sleep(3.0)
    if TROUBLE and ONLY != "roll":
        site.configure(STREAM_ROUTE)
    time.sleep(3.0)
    if TROUBLE and ONLY != "route":
        for daemon in daemons:
            daemon.signal(signal.SIGTERM)
            daemon.process.wait(timeout=9.0)
            daemon.start()
            site.record("script", f"{daemon.name} has started again")
    site.record("script", "no disruption from now on")
    quiet_since = time.monotonic()
    read_at = max(quiet_since + FINISH_SECONDS, submitted_at + KEEP_SECONDS) + CALM_SECONDS
    time.sleep(max(0.0, read_at - time.monotonic()))
    last_run = max(at for at, _, _ in worker.runs)
    if worker.running or time.monotonic() - last_run < CALM_SECONDS:
        raise OSError("an item was at a worker in the last seconds")
    results = read_job(daemons, JOB)
    if results is None:
        raise OSError("no daemon read the job")
    listed = {result["id"]: result["state"] for result in results}
    site.record("caller", f"listed: {listed}")
    waited = time.monotonic() - quiet_since
    return [
        f"LOST: item {item} is neither completed nor errored, {waited:.0f} s after the last"
        " disruption, with no item at a worker"
        for item in ITEMS
        if listed.get(item) not in ("completed", "errored")
    ]


main(run)
