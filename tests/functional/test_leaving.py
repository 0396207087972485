"""Runs real daemons before workers that say in their answers that they leave."""

import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import orjson
import pytest
from deployment import Daemon, Deployment
from harness import SUBNET, wait_until
from trefoilreach._internal.platform import names
from trefoilreach_emulator._internal.stream_worker import StreamWorker

# The daemons have fixed addresses, so these tests run one after the other.
pytestmark = pytest.mark.xdist_group("deployment")
# More would take longer than the time for which keys are accepted without the store.
REQUESTS = 5
# Time for a change of the store to reach all daemons, with the grace after an outage.
SETTLE_SECONDS = 3.0


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    with ExitStack() as stack:
        yield Deployment(tmp_path, stack, SUBNET)


def send(daemon: Daemon, label: str, count: int = REQUESTS) -> list[int]:
    return [daemon.call("POST", "/once/a", f"{label}-{n}").status for n in range(count)]


def find_port(deployment: Deployment, worker: StreamWorker) -> int:
    rows = deployment.platform.rows.read(names.WORKER_TABLE, "").unwrap().rows
    entry = next(orjson.loads(row.value) for row in rows if row.name.key == worker.name)
    return int(entry["address"].rsplit(":", 1)[1])


def test_leaving_worker_gets_one_request_of_each_daemon(deployment: Deployment) -> None:
    """Guards against requests to a leaving worker: in an outage, after it, and with a new entry."""
    leaving = deployment.add_worker(interval=0.005)
    deployment.add_worker(interval=0.005)
    daemons = [deployment.add_daemon() for _ in range(2)]
    deployment.wait_settled()
    port = find_port(deployment, leaving)
    deployment.platform.down = True
    leaving.leaving = True
    for number, daemon in enumerate(daemons):
        assert send(daemon, f"outage{number}") == [200] * REQUESTS
    assert 1 <= len(leaving.seen) <= len(daemons)
    deployment.platform.put(names.WORKER_TABLE, leaving.name, None)
    deployment.platform.down = False
    time.sleep(SETTLE_SECONDS)
    leaving.register(deployment.platform, port)
    time.sleep(SETTLE_SECONDS)
    for number, daemon in enumerate(daemons):
        assert send(daemon, f"later{number}") == [200] * REQUESTS
    assert len(leaving.seen) <= len(daemons)


def test_new_process_of_a_leaving_worker_is_used(deployment: Deployment) -> None:
    """Guards against a worker that is lost for good, and callers that wait for one in vain."""
    worker = deployment.add_worker()
    daemon = deployment.add_daemon()
    port = find_port(deployment, worker)
    worker.leaving = True
    assert send(daemon, "first", 1) == [200]
    begun = time.monotonic()
    refusals = [daemon.call("POST", "/once/a", f"refused-{n}") for n in range(5)]
    assert time.monotonic() - begun < 2.0
    assert [refusal.status for refusal in refusals] == [503] * 5
    assert all(0.1 <= float(refusal.headers["retry-after"]) <= 2.0 for refusal in refusals)
    lines = [line for line in daemon.read_log() if line["message_type"] == "worker:leaving"]
    assert [(line["worker"], line["source"]) for line in lines] == [(worker.name, "answer")]
    worker.leaving = False
    worker.starts += 1
    worker.register(deployment.platform, port)
    wait_until(lambda: send(daemon, f"again{time.monotonic()}", 1) == [200])
    assert len(worker.seen) == 2
