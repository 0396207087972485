"""A frozen daemon wakes up: a job that it accepts then is given up seconds before its time."""

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_3 as standins

KEEP_SECONDS = 60.0
FREEZE_SECONDS = 4.0
JOBS, ITEMS = 3, 4
CALLERS = 3


def keep_online(site, number, until):
    """Send one stream after the other, so that batch items get no slot."""
    count = 0
    while time.monotonic() < until():
        count += 1
        headers = standins.stream_headers(f"online{number}x{count}", 5000)
        status, _ = site.call(site.hosts[1 + number % 2], "POST", f"/s/{count}", b"p", headers)
        if status != 200:
            time.sleep(0.1)


def submit(site, job, sent):
    items = [standins.make_item(f"{job}{number:02d}", f"/b/{number}") for number in range(ITEMS)]
    document = standins.json.dumps({"items": items})
    host = site.hosts[0]
    sent[job] = time.monotonic()
    status, _ = site.call(host, "POST", f"/b/{job}", document, standins.job_headers(job))
    site.record.write(f"job {job} at {host}: {status}")
    if status != 202:
        del sent[job]


def check(stack, folder, trouble):
    site = standins.Site(stack, folder)
    routes = [
        standins.make_route("r-stream", "/s/", "pool", "stream"),
        standins.make_route("r-batch", "/b/", "pool", "batch", keepS=KEEP_SECONDS),
    ]
    site.store.put("op", "config", standins.make_config(7, routes, ["pool"]))
    site.start_worker("w-1", slots=2, events=50)
    site.start_daemons()
    site.wait_ready()
    time.sleep(1.5)
    end = [float("inf")]
    stack.callback(end.__setitem__, 0, 0.0)
    for number in range(CALLERS):
        caller = threading.Thread(
            target=keep_online, args=(site, number, lambda: end[0]), daemon=True
        )
        caller.start()
    time.sleep(0.5)
    # One call in ten seconds of the feed is not held by the store. Had its time come when the daemon
    # wakes up, the answer would correct the daemon's idea of the store's clock at once.
    if trouble:
        frozen = site.daemons[site.hosts[0]]
        site.record.write("one daemon is frozen")
        frozen.send_signal(signal.SIGSTOP)
        time.sleep(FREEZE_SECONDS)
        frozen.send_signal(signal.SIGCONT)
        site.record.write("it has woken up")
        time.sleep(0.3)
    sent = {}
    jobs = [f"{number:04d}10b5" for number in range(JOBS)]
    submissions = [threading.Thread(target=submit, args=(site, job, sent)) for job in jobs]
    for submission in submissions:
        submission.start()
    for submission in submissions:
        submission.join()
    if not sent:
        return None
    given_up = {}
    last = max(sent.values()) + KEEP_SECONDS + 5.0
    while len(given_up) < len(sent) and time.monotonic() < last:
        for job in sent:
            if job in given_up:
                continue
            status, body = site.call(
                site.hosts[1],
                "GET",
                f"/trefoilreach/lots/{job}?after=0",
                headers=standins.job_headers(job),
            )
            results = standins.json.loads(body)["results"] if status == 200 else []
            if any(result["state"] == "completed" for result in results):
                site.record.write(f"job {job}: an item has run")
                return None
            if results:
                given_up[job] = time.monotonic() - sent[job]
                site.record.write(f"job {job}: errored {given_up[job]:.3f} s after its first send")
        time.sleep(0.2)
    end[0] = 0.0
    if len(given_up) < len(sent):
        site.record.write("not all jobs were given up")
    return all(seconds >= KEEP_SECONDS for seconds in given_up.values()) if given_up else None


standins.main(check)
