"""Guards against stores that grow without bound, and against data that is deleted too early."""

import random
from typing import Any

from batch_fakes import (
    DOCUMENT,
    ENDPOINT,
    FakeDaemon,
    Faults,
    FaultyObjects,
    FaultyTable,
    make_input,
)
from trefoilreach._internal.clock import ManualClock, SystemClock
from trefoilreach._internal.coordination.audit.audit import SEGMENT_PREFIX
from trefoilreach._internal.coordination.batch.accept import JobRequest, Upload
from trefoilreach._internal.coordination.config.store import ConfigStore
from trefoilreach._internal.coordination.retention import Retention
from trefoilreach._internal.settings import RetentionSettings
from trefoilreach._internal.state.jobs import FINAL_STATUSES
from trefoilreach._internal.state.objects import MemoryObjectStore
from trefoilreach._internal.state.table import MemoryTable

AGE_SECONDS = 1000.0


class SettableClock(SystemClock):
    """Clock whose time of day the test sets."""

    def __init__(self, wall_time: float) -> None:
        self.current_time = wall_time

    def wall_time(self) -> float:
        return self.current_time


def prune(wall_time: float, table: Any, objects: Any, peers: Any) -> None:
    settings = RetentionSettings(history=AGE_SECONDS, batches=AGE_SECONDS, audit=AGE_SECONDS)
    Retention(SettableClock(wall_time), table, objects, peers, settings).prune()


def names(objects: Any, prefix: str = "") -> list[str]:
    return list(objects.list(prefix).unwrap())


def versions_of(table: Any) -> list[int]:
    return [row.value["version"] for row in table.scan("config/history/").unwrap()]


def test_final_jobs_and_old_files_leave_nothing_behind() -> None:
    clock, faults = ManualClock(), Faults()
    table, objects = FaultyTable(faults), FaultyObjects(faults)
    daemon = FakeDaemon("vm1", clock, table, objects)
    accept, account, peers = (
        daemon.parts.acceptor,
        DOCUMENT.accounts[0],
        daemon.parts.coordinator._peers,
    )
    file = accept.accept_file(account, Upload("f", "batch", make_input(4)))
    done = accept.accept_job(account, JobRequest(file.id, ENDPOINT, "24h", {}), "done")
    for _ in range(8):
        clock.advance(3.0)
        daemon.tick()
        daemon.run_items(10, random.Random(1))
    assert daemon.parts.reader.find_job("a", done.id).status in FINAL_STATUSES
    clock.advance(AGE_SECONDS - 100.0)
    prune(clock.wall_time(), table, objects, peers)
    assert names(objects, f"results/{done.id}/") and names(objects, f"jobs/{done.id}/")
    running = accept.accept_job(account, JobRequest(file.id, ENDPOINT, "24h", {}), "open")
    clock.advance(AGE_SECONDS)
    prune(clock.wall_time(), table, objects, peers)
    keys = [
        row.key
        for prefix in ("job/", "chunk/", "file/", "pruned/")
        for row in table.scan(prefix).unwrap()
    ]
    assert keys == [f"job/a/{running.id}"]
    assert {name.split("/")[1] for name in names(objects)} == {running.id}


def test_old_versions_and_segments_are_deleted_and_the_head_stays() -> None:
    clock, table, objects = SettableClock(10_000.0), MemoryTable(), MemoryObjectStore()
    peers: Any = FakeDaemon("vm1", ManualClock(), MemoryTable(), objects).parts.coordinator._peers
    store = ConfigStore(clock, table, objects)
    for version in range(1, 51):
        clock.current_time += 10.0
        store.write(DOCUMENT._replace(version=version), store.read_head().unwrap()).unwrap()
        objects.put(f"{SEGMENT_PREFIX}{int(clock.current_time * 1000):015d}-vm1-x", b"{}")
    # Version 10 was superseded, and its segment was written, at most AGE_SECONDS ago.
    prune(10_105.0 + AGE_SECONDS, table, objects, peers)
    assert versions_of(table) == list(range(10, 51))
    assert len(names(objects, "config/")) == 41
    assert len(names(objects, SEGMENT_PREFIX)) == 40
    prune(10_500.0 + 9 * AGE_SECONDS, table, objects, peers)
    assert versions_of(table)[0] == 18
    assert store.read_document(store.read_head().unwrap()).unwrap().version == 50
    assert names(objects, SEGMENT_PREFIX) == []
