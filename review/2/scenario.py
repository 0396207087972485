"""Large batch jobs come and end until the store is full; then comes a job with long texts."""

import threading
import time

from standins import (
    BOUNDS,
    JOB_ROUTE,
    STREAM_ROUTE,
    TROUBLE,
    Site,
    Worker,
    main,
    make_item,
    make_job,
    read_job,
)

# The largest bodies of the sheet's site file; about ten in a job, whose document has 3.9 MB.
BODY_BYTES = 240_000
ITEMS_OF_LARGE_JOB = 12
LARGE_JOBS = 112 if TROUBLE else 3
CALLERS = 4
# Inside the most events and the largest events of the site file.
LONG_EVENTS, LONG_EVENT_BYTES = 400, 160
LAST_JOB = "7c41e09b52d6a3f8"
LAST_ITEMS = [f"e5b2907c14da6f{number:02x}" for number in range(6)]
FINISH_SECONDS = BOUNDS["finishS"]
CALM_SECONDS = 8.0


class TextWorker(Worker):
    """Writes long texts for the items of the last job."""

    def plan(self, request_id: str) -> tuple[int, str, float]:
        """Return a run's number of events, the end of their data, and its length in seconds."""
        if request_id in LAST_ITEMS:
            return LONG_EVENTS, "." * (LONG_EVENT_BYTES - 21), 3.0
        return self.EVENTS, "", self.seconds


def run(site: Site) -> list[str]:
    """Return the items that were lost."""
    workers = [site.add_worker(slots=8, seconds=0.2, kind=TextWorker) for _ in range(2)]
    site.configure(STREAM_ROUTE, JOB_ROUTE)
    daemons = site.start_daemons(3)
    numbers = iter(range(LARGE_JOBS))
    lock = threading.Lock()
    done: list[int] = []

    def submit_large_jobs(caller: int) -> None:
        while True:
            with lock:
                number = next(numbers, None)
            if number is None:
                return
            job = f"4b1d02e09b52{number:04x}"
            items = [f"9f3a{number:04x}14da{n:04x}" for n in range(ITEMS_OF_LARGE_JOB)]
            body = make_job([make_item(item, size=BODY_BYTES) for item in items])
            for attempt in range(6):
                daemon = daemons[(caller + number + attempt) % len(daemons)]
                reply = daemon.call("POST", f"/pule252/{job}", job, body)
                if reply.status == 202:
                    break
                time.sleep(0.5)
            else:
                # Refused jobs are not owed.
                continue
            end = time.monotonic() + 30.0
            while time.monotonic() < end:
                if len(read_job(daemons, job) or ()) == len(items):
                    done.append(number)
                    break
                time.sleep(0.3)

    threads = [threading.Thread(target=submit_large_jobs, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    site.record(
        "script",
        f"{len(done)} large jobs are done and were read; objects: {site.store.objects_bytes} bytes",
    )
    body = make_job([make_item(item) for item in LAST_ITEMS])
    reply = daemons[0].call("POST", f"/pule252/{LAST_JOB}", LAST_JOB, body)
    if reply.status != 202:
        raise OSError(f"the last job was answered {reply.status}")
    time.sleep(FINISH_SECONDS + CALM_SECONDS)
    busy = [at for worker in workers for at, _, _ in worker.runs if time.monotonic() - at < 8.0]
    site.record("script", f"items sent to workers in the last 8 s: {len(busy)}")
    if any(worker.running for worker in workers):
        raise OSError("an item is still at a worker")
    results = read_job(daemons, LAST_JOB)
    if results is None:
        raise OSError("no daemon read the job")
    listed = {result["id"]: result["state"] for result in results}
    site.record("caller", f"listed: {listed}; refused objects: {site.store.refused_objects}")
    return [
        f"LOST: item {item} is neither completed nor errored"
        f" {FINISH_SECONDS + CALM_SECONDS:.0f} s after the 202, with no item at a worker"
        for item in LAST_ITEMS
        if listed.get(item) not in ("completed", "errored")
    ]


main(run)
