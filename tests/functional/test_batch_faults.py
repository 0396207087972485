"""Guards against accepted items that are lost, run twice or crash many workers on failures."""

import signal
import time
from collections import Counter
from pathlib import Path
from typing import Any

from harness import Fleet, call, wait_until
from openai import OpenAI
from test_batch import make_lines, open_client, read_lines, start_fleet, submit, wait_final

FAST = ("--token-interval", "0.01", "--first-token", "0.01")
SETTINGS = {
    "batch": {"chunk_items": "20", "scan_interval": "300ms", "chunk_lease": "2s"},
    "routing": {"load_interval": "300ms"},
    "platform": {"timeout": "1s"},
}


def check_each_item_once(client: OpenAI, job: Any, count: int, failed: Counter[str]) -> None:
    output, errors = read_lines(client, job.output_file_id), read_lines(client, job.error_file_id)
    found = Counter(line["custom_id"] for line in output + errors)
    assert found == Counter(f"i{number}" for number in range(count))
    assert Counter(line["custom_id"] for line in errors) == failed, errors[:3]
    assert (job.request_counts.completed, job.request_counts.failed) == (
        count - failed.total(),
        failed.total(),
    )


def test_daemon_killed_right_after_the_acknowledgement(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first, second = start_fleet(fleet, 2, 1, SETTINGS, *FAST)
        job = submit(open_client(first), make_lines(60), "resend")
        fleet.kill("vm1")
        client = open_client(second)
        assert submit_again(client, job).id == job.id
        done = wait_final(client, job.id)
        check_each_item_once(client, done, 60, Counter())


def submit_again(client: OpenAI, job: Any) -> Any:
    return client.batches.create(
        input_file_id=job.input_file_id,
        endpoint=job.endpoint,
        completion_window="24h",
        extra_headers={"Idempotency-Key": "resend"},
    )


def test_late_results_of_a_frozen_owner_are_discarded(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        daemons = dict(zip(("vm1", "vm2"), start_fleet(fleet, 2, 1, SETTINGS, *FAST), strict=True))
        job = submit(open_client(daemons["vm1"]), make_lines(200, tokens=20))
        first = open_client(daemons["vm1"])
        wait_until(lambda: first.batches.retrieve(job.id).request_counts.completed > 20)
        owner = wait_until(lambda: freeze_owner(fleet), what="an owner that holds a chunk")
        client = open_client(daemons["vm2" if owner == "vm1" else "vm1"])
        done = wait_final(client, job.id)
        check_each_item_once(client, done, 200, Counter())
        output = client.files.content(done.output_file_id).read()
        fleet.process(owner).signal(signal.SIGCONT)
        wait_until(lambda: "batch:claim-lost" in fleet.log(owner), what="refused late result")
        time.sleep(1.0)
        assert client.files.content(done.output_file_id).read() == output
        assert client.batches.retrieve(job.id) == done


def freeze_owner(fleet: Fleet) -> str:
    """Freeze a daemon that owns a running chunk; return its name.

    Before the daemons have discovered each other, both claim chunks, and one of them soon
    holds none. Freezing that one would not cost it a lease.
    """
    owner = find_owner(fleet)
    if owner:
        fleet.process(owner).signal(signal.SIGSTOP)
        time.sleep(0.2)  # lets a write in flight arrive
        if find_owner(fleet, owner):
            return owner
        fleet.process(owner).signal(signal.SIGCONT)
    return ""


def find_owner(fleet: Fleet, wanted: str = "") -> str:
    return next((name for name in find_owners(fleet) if wanted in ("", name)), "")


def find_owners(fleet: Fleet) -> set[str]:
    body = {"prefix": "chunk/", "after": "", "limit": 100}
    rows = call(fleet.addresses["platform"], "POST", "/table/scan", body).json()["rows"]
    owners = [row["value"]["owner"] for row in rows if row["value"]["state"] == "running"]
    return {owner.partition("/")[0] for owner in owners}


def test_results_stay_in_memory_while_the_store_is_down(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        (daemon,) = start_fleet(fleet, 1, 1, SETTINGS, *FAST)
        client = open_client(daemon)
        job = submit(client, make_lines(100))
        wait_until(lambda: client.batches.retrieve(job.id).request_counts.completed > 0)
        fleet.set_faults(down=True)
        refused = call(daemon, "POST", "/v1/batches", {"input_file_id": "f", "endpoint": "x"}, "s1")
        assert refused.status in (400, 503)
        time.sleep(5.0)
        run_in_outage = len(call(fleet.addresses["engine1"], "GET", "/seen").json()["requests"])
        fleet.set_faults(lose_answers=3)
        done = wait_final(client, job.id)
        check_each_item_once(client, done, 100, Counter())
        total = len(call(fleet.addresses["engine1"], "GET", "/seen").json()["requests"])
        assert run_in_outage < total == 100, "items that finished in the outage must not run again"


def test_worker_killed_with_items_in_flight(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        (daemon,) = start_fleet(fleet, 1, 2, SETTINGS, *FAST)
        client = open_client(daemon)
        job = submit(client, make_lines(150, tokens=20))
        wait_until(lambda: client.batches.retrieve(job.id).request_counts.completed > 20)
        fleet.kill("engine1")
        done = wait_final(client, job.id)
        check_each_item_once(client, done, 150, Counter())


def test_crashing_item_crashes_only_two_workers(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        (daemon,) = start_fleet(fleet, 1, 4, SETTINGS, *FAST)
        client = open_client(daemon)
        job = submit(client, make_lines(60, i30="crash-the-engine"))
        done = wait_final(client, job.id)
        check_each_item_once(client, done, 60, Counter(["i30"]))
        alive = [fleet.process(f"engine{number}").alive for number in range(1, 5)]
        assert alive.count(False) == 2


def test_chunks_are_released_at_a_planned_stop(tmp_path: Path) -> None:
    """The lease outlasts the test, so another daemon can only take over released chunks."""
    settings = {
        **SETTINGS,
        "batch": {**SETTINGS["batch"], "chunk_lease": "120s"},
        "fleet": {"entry_keep": "500ms"},
    }
    with Fleet(tmp_path) as fleet:
        engine = ("--token-interval", "0.05", "--first-token", "0.01")
        daemons = dict(
            zip(("vm1", "vm2"), start_fleet(fleet, 2, 1, settings, *engine), strict=True)
        )
        time.sleep(2.0)  # until the daemons agree on the sender of the worker
        job = submit(open_client(daemons["vm1"]), make_lines(120, tokens=20))
        first = open_client(daemons["vm1"])
        wait_until(lambda: first.batches.retrieve(job.id).request_counts.completed > 5)
        owner = find_owner(fleet)
        fleet.process(owner).signal(signal.SIGTERM)
        begin = time.monotonic()
        other = "vm2" if owner == "vm1" else "vm1"
        wait_until(lambda: find_owners(fleet) == {other}, 10.0, "the chunks at the other daemon")
        assert time.monotonic() - begin < 4.0
        assert fleet.process(owner).wait(30) == 0
        client = open_client(daemons[other])
        check_each_item_once(client, wait_final(client, job.id), 120, Counter())
