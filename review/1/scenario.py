"""Workers spoil some of their answers at times; accepted work then finds no slot for good."""

import random
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

# As in the site file: three in a hundred answers, at most 0.6 of the workers (one of two), 5 s.
SPOILT_SHARE = 0.03
SPOIL_SECONDS = 5.0
PAUSE_SECONDS = 2.0
SPELLS = 8
REQUESTS_PER_SECOND = 40.0
JOB = "7c41e09b52d6a3f8"
ITEMS = [f"e5b2907c14da6f{number:02x}" for number in range(6)]
FINISH_SECONDS = BOUNDS["finishS"]
CALM_SECONDS = 8.0


class SpoilingWorker(Worker):
    """Folds a header line of some answers: a line break and a space in its middle."""

    spoils = False
    spoilt = 0

    def run(self, exchange, request_id: str, echo: dict[str, str]) -> None:
        """Run a request."""
        if self.spoils and _random.random() < SPOILT_SHARE:
            self.spoilt += 1
            self._record(self.name, f"spoils the head of the answer to {request_id}")
            echo = {**echo, "X-Weight-Versions": "1\r\n 1"}
        super().run(exchange, request_id, echo)


_random = random.Random(34)


def run(site: Site) -> list[str]:
    """Return the items that were lost."""
    workers = [site.add_worker(slots=4, seconds=0.1, kind=SpoilingWorker) for _ in range(2)]
    site.configure(STREAM_ROUTE, JOB_ROUTE)
    daemons = site.start_daemons(3)
    stop = threading.Event()
    statuses: list[int] = []

    def request(number: int) -> None:
        sent = {
            "X-Deadline-Ms": "5000",
            "X-Prompt-Prefix": f"5c1e{number % 40:04x}:100,91{number:06x}:350",
        }
        try:
            reply = daemons[number % 3].call(
                "POST", "/lohu930/2f", f"9c41d07b{number:08x}", b"phrase", sent
            )
        except OSError:
            statuses.append(0)
        else:
            statuses.append(reply.status)

    def send_requests() -> None:
        number = 0
        while not stop.is_set():
            threading.Thread(target=request, args=(number,), daemon=True).start()
            number += 1
            time.sleep(1.0 / REQUESTS_PER_SECOND)

    sender = threading.Thread(target=send_requests)
    sender.start()
    for spell in range(SPELLS):
        worker = workers[spell % 2]
        worker.spoils = TROUBLE
        time.sleep(SPOIL_SECONDS)
        worker.spoils = False
        time.sleep(PAUSE_SECONDS)
    spoilt = sum(worker.spoilt for worker in workers)
    site.record(
        "script", f"no disruption from now on; {spoilt} of {len(statuses)} answers were spoilt"
    )
    time.sleep(5.0)
    stop.set()
    sender.join()
    time.sleep(6.0)
    last = statuses[-100:]
    site.record(
        "script", f"the last 100 requests: {last.count(200)} served, {last.count(503)} refused"
    )
    reply = daemons[0].call("POST", f"/pule252/{JOB}", JOB, make_job([make_item(i) for i in ITEMS]))
    if reply.status != 202:
        raise OSError(f"the job was answered {reply.status}")
    time.sleep(FINISH_SECONDS + CALM_SECONDS)
    if any(worker.running for worker in workers):
        raise OSError("an item is still at a worker")
    results = read_job(daemons, JOB)
    if results is None:
        raise OSError("no daemon read the job")
    listed = {result["id"]: result["state"] for result in results}
    return [
        f"LOST: item {item} is neither completed nor errored"
        f" {FINISH_SECONDS + CALM_SECONDS:.0f} s after the 202, with both workers idle"
        for item in ITEMS
        if listed.get(item) not in ("completed", "errored")
    ]


main(run)
