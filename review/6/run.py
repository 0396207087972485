"""A batch route moves to another service while a job is open; the worker of the former leaves."""

import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins_2 import BATCH_ROUTE, TROUBLE, Site, run_case  # noqa: E402

ITEMS = 10
# One of seven workers leaves.
NEW_WORKERS = 6
FINISH_SECONDS = 18.0
DRAIN_SECONDS = 2.0


def main() -> int:
    with Site(CASE, subnet=61) as site:
        old = site.add_worker("i-old", "pool-a", slots=2, events=100, interval=0.02)
        new = [
            site.add_worker(f"i-new-{number}", "pool-b", slots=8, events=100, interval=0.02)
            for number in range(NEW_WORKERS)
        ]
        site.configure([{**BATCH_ROUTE, "service": "pool-a"}])
        site.start_daemons(3)
        job = "7c41e09b52d6a3f8"
        answer = site.submit(site.daemons[0], job, ITEMS)
        if answer.status != 202:
            return 2
        time.sleep(1.0)
        if TROUBLE:
            site.configure([{**BATCH_ROUTE, "service": "pool-b"}])
            time.sleep(3.0)
            old.drain()
            # It serves on for drainMs, and until its runs have ended.
            time.sleep(DRAIN_SECONDS)
            while old.running:
                time.sleep(0.1)
            old.leave()
        ended_at = time.monotonic()
        while time.monotonic() < ended_at + FINISH_SECONDS + 1.0:
            time.sleep(0.2)
        listed = {}
        for daemon in site.daemons:
            page = site.read_job(daemon, job)
            if page.status != 200:
                return 2
            results = page.json()["results"]
            site.record.write("client", "reads", job, "at", daemon.name, "listed", len(results))
            listed.update({result["id"]: result["state"] for result in results})
        now = time.monotonic()
        events = [event for worker in (old, *new) for event in worker.begun + worker.finished]
        calm = all(at <= now - 5.0 for at, _ in events)
        calm = calm and not any(worker.running for worker in new)
        missing = [f"{job}-{n}" for n in range(ITEMS) if f"{job}-{n}" not in listed]
        site.record.write("listed", listed)
        site.record.write("not listed", missing, "workers idle for 5 s:", calm)
        print(f"{len(missing)} of {ITEMS} items are not listed {FINISH_SECONDS} s after the end")
        return 1 if missing and calm else 0 if not missing else 2


if __name__ == "__main__":
    run_case(main)
