"""Tests that nothing of a job runs once it has ended or has another owner."""

import threading
import time
from contextlib import ExitStack

import pytest
from result import Ok, Result
from serving_fakes import ACCOUNT, make_workers
from test_jobs import (
    CHECKED,
    CutRows,
    Fleet,
    hold_last_event,
    make_document,
    send_all_events,
    stack,
    wait_until,
)
from trefoilreach._internal.coordination.jobs import job_run as job_run_module
from trefoilreach._internal.coordination.jobs import manager as manager_module
from trefoilreach._internal.coordination.jobs.manager import JobManager
from trefoilreach._internal.coordination.jobs.records import ENDED, INPUT_TABLE, OPEN
from trefoilreach._internal.state.rows import MemoryRows, Snapshot
from trefoilreach._internal.state.table import StoreError

__all__ = ["stack"]

# Long enough for items to be granted slots and sent.
_SETTLE_SECONDS = 0.4


class SlowInputRows(CutRows):
    """A store that answers reads of inputs only while its gate is open."""

    def __init__(self, rows: MemoryRows) -> None:
        super().__init__(rows)
        self.gate = threading.Event()
        self.waiting = threading.Event()

    def read(
        self, table: str, part: str, start: str = "", end: str = ""
    ) -> Result[Snapshot, StoreError]:
        answer = self._rows.read(table, part, start, end)
        if table == INPUT_TABLE:
            self.waiting.set()
            self.gate.wait(5.0)
        return answer


class LateFeedRows(CutRows):
    """A store whose feed brings no changes."""

    def poll_changes(self, table: str, after: int, wait: float) -> Result[Snapshot, StoreError]:
        time.sleep(0.05)
        return Ok(Snapshot([], after, 0.0))


def orphan_job(fleet: Fleet) -> JobManager:
    """Submit a job to a daemon without workers and let this daemon stop running it."""
    former = fleet.start("d0", workers=0)
    former.submit("j1", CHECKED, make_document(3))
    former._stop.set()
    return former


def test_job_that_ends_while_it_is_taken_over_is_not_run(stack: ExitStack) -> None:
    """Guards against items of an ended job that run long after its end was acknowledged."""
    fleet = Fleet(stack, send_all_events)
    former = orphan_job(fleet)
    rows = SlowInputRows(fleet.rows)
    keeper = fleet.start("d1", rows=rows)
    assert rows.waiting.wait(3.0)
    former.end("j1", ACCOUNT.name)

    def knows_end() -> bool:
        row = keeper.table.get("j1")
        return row is not None and row.record.state == ENDED

    wait_until(knows_end)
    rows.gate.set()
    time.sleep(_SETTLE_SECONDS)
    assert fleet.link.sent == [] and not keeper.has_runs


def test_job_that_is_taken_while_it_is_taken_over_is_not_run(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two daemons that run the items of one job."""
    monkeypatch.setattr(manager_module, "_OWNER_CHANGE_GRACE_SECONDS", 30.0)
    fleet = Fleet(stack, send_all_events)
    former = orphan_job(fleet)
    rows = SlowInputRows(fleet.rows)
    keeper = fleet.start("d1", rows=rows)
    assert rows.waiting.wait(3.0)
    wait_until(lambda: former.table.get("j1").record.owner == "d1/1")
    row = former.table.get("j1")
    assert row is not None
    former.table.write_row(row, row.record._replace(owner="d2/1"))
    wait_until(lambda: keeper.table.get("j1").record.owner == "d2/1")
    rows.gate.set()
    time.sleep(_SETTLE_SECONDS)
    assert fleet.link.sent == [] and not keeper.has_runs


@pytest.mark.parametrize("end", ["stop", "suspend"])
def test_item_that_is_queued_after_its_job_was_stopped_is_not_run(
    stack: ExitStack, end: str
) -> None:
    """Guards against an item whose ticket is made before its job stops, and queued after it."""
    fleet = Fleet(stack, send_all_events)
    keeper = fleet.start("d0", workers=0)
    keeper.submit("j1", CHECKED, make_document(1))
    admission, run = keeper._tools.serving.admission, keeper._runs["j1"]
    ticket = run._open_items["i0"].ticket
    assert ticket is not None
    admission.withdraw(ticket)
    # The owner of an open job would otherwise start another run of it.
    keeper._stop.set()
    run.stop("ended") if end == "stop" else run.suspend()
    admission.submit(ticket)
    admission.workers.put(make_workers(1)[0])
    time.sleep(_SETTLE_SECONDS)
    assert fleet.link.sent == [] and not admission.has_requests


def test_failed_checkpoint_of_an_ended_job_stops_its_run(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an ended job that runs on where the feed of jobs is late."""
    monkeypatch.setattr(job_run_module, "_CHECKPOINT_INTERVAL_SECONDS", 0.1)
    gate = threading.Event()
    stack.callback(gate.set)
    fleet = Fleet(stack, hold_last_event(gate))
    rows = LateFeedRows(fleet.rows)
    owner, other = fleet.start("d0", rows=rows), fleet.start("d1", workers=0)
    owner.submit("j1", CHECKED, make_document(1))
    run = owner._runs["j1"]
    wait_until(lambda: fleet.link.sent)
    other.end("j1", ACCOUNT.name)
    wait_until(lambda: run.finished and not owner.has_runs)
    assert owner.table.get("j1").record.state == ENDED
    assert len(fleet.link.sent) == 1


def test_checkpoint_after_the_own_row_was_written_again_is_repeated(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a job that its owner stops, or whose hand-over loses its events."""
    gate = threading.Event()
    stack.callback(gate.set)
    fleet = Fleet(stack, hold_last_event(gate))
    owner = fleet.start("d0")
    owner.submit("j1", CHECKED, make_document(1))
    run, row = owner._runs["j1"], owner.table.get("j1")
    assert row is not None
    wait_until(lambda: run._open_items["i0"].last_event == 2)
    owner.table.write_row(row, row.record)
    run.suspend()
    wait_until(run.hand_over)
    stored = owner.table.read_row("j1", ACCOUNT.name)
    assert stored.record.owner == "" and stored.record.state == OPEN
