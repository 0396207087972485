"""A daemon freezes for four seconds; a batch job that reaches it as it wakes is given up early."""

import os
import signal
import sys
import threading
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins_2 import BATCH_ROUTE, TROUBLE, Site, run_case  # noqa: E402

ITEMS = 10
KEEP_SECONDS = 20.0
FREEZE_SECONDS = 4.0
SENT_BEFORE_WAKING_SECONDS = float(os.environ.get("BEFORE", "0.5"))


def main() -> int:
    with Site(CASE, subnet=63) as site:
        site.add_worker("i-1", "pool", slots=1, events=200, interval=0.02)
        site.configure([{**BATCH_ROUTE, "keepS": KEEP_SECONDS, "runAimMs": 18000}])
        site.start_daemons(3)
        frozen, others = site.daemons[0], site.daemons[1:]
        job = "7c41e09b52d6a3f8"
        if TROUBLE:
            frozen.send_signal(signal.SIGSTOP)
            waking = threading.Timer(FREEZE_SECONDS, frozen.send_signal, (signal.SIGCONT,))
            waking.start()
            time.sleep(FREEZE_SECONDS - SENT_BEFORE_WAKING_SECONDS)
        sent_at = time.monotonic()
        answer = site.submit(frozen, job, ITEMS)
        if answer.status != 202:
            print("the submission was answered", answer.status)
            return 2
        early = 0.0
        given_up: set[str] = set()
        while time.monotonic() < sent_at + KEEP_SECONDS + 2.0:
            for daemon in others:
                page = site.read_job(daemon, job)
                answered_at = time.monotonic()
                results = page.json()["results"] if page.status == 200 else []
                for result in results:
                    if result["state"] == "errored" and result["id"] not in given_up:
                        given_up.add(result["id"])
                        age = answered_at - sent_at
                        early = max(early, KEEP_SECONDS - age)
                        site.record.write(
                            "client",
                            "reads",
                            result["id"],
                            "errored",
                            f"{age:.3f} s after the send",
                        )
            time.sleep(0.25)
        site.record.write("given up", len(given_up), "the earliest", f"{early:.3f} s before keepS")
        print(f"{len(given_up)} items given up, the first {early:.3f} s before keepS")
        if not given_up:
            return 2
        return 1 if early > 0.0 else 0


if __name__ == "__main__":
    run_case(main)
