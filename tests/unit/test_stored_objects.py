"""Tests the objects of batch jobs: large documents and large outputs."""

import threading
import time
from contextlib import ExitStack
from typing import Any

import pytest
from result import Err, Result
from serving_fakes import ACCOUNT, EVENTS, Script
from test_jobs import (
    CHECKED,
    OUTPUT,
    Fleet,
    hold_last_event,
    make_document,
    read_until,
    send_all_events,
    stack,
    wait_until,
)
from trefoilreach._internal.coordination.jobs import manager as manager_module
from trefoilreach._internal.coordination.jobs.manager import JobManager
from trefoilreach._internal.coordination.jobs.records import MAX_INPUT_BYTES_IN_ROWS
from trefoilreach._internal.coordination.serving.worker_client import Dispatch
from trefoilreach._internal.state.rows import MemoryBlobs
from trefoilreach._internal.state.table import OutcomeUnknown, StoreError, StoreUnavailable

__all__ = ["stack"]

# A document that does not fit in rows.
LARGE = make_document(3)[:-1] + b',"more":"' + b"x" * MAX_INPUT_BYTES_IN_ROWS + b'"}'


class FullBlobs(MemoryBlobs):
    """An object store without room."""

    full = True

    def __init__(self) -> None:
        super().__init__()
        self.refused = threading.Event()

    def put(self, name: str, data: bytes) -> Result[bool, StoreError]:
        self.refused.set()
        return Err(OutcomeUnknown("507")) if self.full else super().put(name, data)


class LossyDropBlobs(MemoryBlobs):
    """An object store that refuses the first deletions."""

    refusals = 2

    def drop(self, name: str) -> Result[None, StoreError]:
        if self.refusals:
            self.refusals -= 1
            return Err(StoreUnavailable("busy"))
        return super().drop(name)


def list_objects(fleet: Fleet) -> Any:
    return dict(fleet.blobs._objects)


def test_object_of_a_job_is_kept_until_its_last_result_and_then_dropped(stack: ExitStack) -> None:
    """Guards against objects of finished jobs that fill the store."""
    gate = threading.Event()
    stack.callback(gate.set)
    fleet = Fleet(stack, hold_last_event(gate))
    fleet.blobs = LossyDropBlobs()
    keeper = fleet.start("d0")
    keeper.submit("j1", CHECKED, LARGE)
    assert keeper.read_item_body("j1", ACCOUNT.name, "i1") == b"prompt 1"
    assert len(list_objects(fleet)) == 1
    gate.set()
    read_until(keeper, "j1", 3)
    wait_until(lambda: not list_objects(fleet))


def test_object_of_an_ended_job_is_dropped(stack: ExitStack) -> None:
    """Guards against objects of cancelled jobs that fill the store."""
    fleet = Fleet(stack, send_all_events)
    keeper = fleet.start("d0", workers=0)
    keeper.submit("j1", CHECKED, LARGE)
    assert len(list_objects(fleet)) == 1
    keeper.end("j1", ACCOUNT.name)
    wait_until(lambda: not list_objects(fleet))


def test_output_that_cannot_be_stored_does_not_hold_up_other_items(stack: ExitStack) -> None:
    """Guards against a job none of whose items is listed because the store has no room for one."""
    large = tuple(f"id: {n}\ndata: {'x' * 9000}\n\n".encode() for n in range(1, 9))

    def answer(dispatch: Dispatch) -> Script:
        if dispatch.call.request_id == "i0":
            return Script(pieces=large)
        # The other items end after the first one.
        return Script(pieces=(b"".join(EVENTS[:4]), EVENTS[4]), gate=blobs.refused)

    fleet, blobs = Fleet(stack, answer), FullBlobs()
    fleet.blobs = blobs
    keeper = fleet.start("d0")
    keeper.submit("j1", CHECKED, make_document(6))
    assert {result.id for result in read_until(keeper, "j1", 5)} == {f"i{n}" for n in range(1, 6)}
    time.sleep(0.3)
    blobs.full = False
    results = read_until(keeper, "j1", 6)
    assert results[5].id == "i0" and len(results[5].output or "") == 8 * 9000 + 7


LARGE_EVENTS = tuple(f"id: {n}\ndata: {'x' * 9000}\n\n".encode() for n in range(1, 9))
LARGE_OUTPUT_BYTES = 8 * 9000 + 7


def answer_by_job(dispatch: Dispatch) -> Script:
    """Answer items of a large document with outputs that need objects, and others with short ones.

    The header of the item says which.
    """
    is_large = ("X-Model", "large") in dispatch.call.headers
    return Script(pieces=LARGE_EVENTS) if is_large else send_all_events(dispatch)


def make_large_document(count: int) -> bytes:
    return make_document(count).replace(b'"X-Model":"m"', b'"X-Model":"large"')


def start_full_fleet(stack: ExitStack) -> tuple[Fleet, FullBlobs, JobManager]:
    """Return a fleet of one daemon whose object store has no room, the store, and the daemon."""
    fleet, blobs = Fleet(stack, answer_by_job), FullBlobs()
    fleet.blobs = blobs
    return fleet, blobs, fleet.start("d0")


def test_outputs_that_cannot_be_stored_hold_no_thread(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against jobs that are never run as items of other jobs wait for a full store."""
    monkeypatch.setattr(manager_module, "_ITEM_THREADS", 4)
    fleet, blobs, keeper = start_full_fleet(stack)
    keeper.submit("large", CHECKED, make_large_document(12))
    wait_until(lambda: len(fleet.link.sent) == 12)
    keeper.submit("small", CHECKED, make_document(6))
    assert [result.output for result in read_until(keeper, "small", 6)] == [OUTPUT] * 6
    assert keeper.read_results("large", ACCOUNT.name, 0, 0.0).results == []
    blobs.full = False
    results = read_until(keeper, "large", 12)
    assert [len(result.output or "") for result in results] == [LARGE_OUTPUT_BYTES] * 12
    # No item has run again.
    assert len(fleet.link.sent) == 18


def test_memory_for_outputs_that_cannot_be_stored_is_bounded(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a daemon that runs out of memory, or runs items without end, for a full store.

    Items whose outputs are not kept run again once the store takes objects.
    """
    monkeypatch.setattr(manager_module, "_DEFERRED_OUTPUT_BYTES", 3 * LARGE_OUTPUT_BYTES)
    fleet, blobs, keeper = start_full_fleet(stack)
    keeper.submit("large", CHECKED, make_large_document(8))
    wait_until(lambda: len(fleet.link.sent) == 8)
    time.sleep(1.0)
    assert len(fleet.link.sent) == 8
    blobs.full = False
    results = read_until(keeper, "large", 8)
    assert [len(result.output or "") for result in results] == [LARGE_OUTPUT_BYTES] * 8
    assert len(fleet.link.sent) == 8 + 5
    assert keeper._context.output_budget.reserve(3 * LARGE_OUTPUT_BYTES)


def test_items_whose_outputs_are_not_kept_do_not_run_without_end(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against workers that are kept busy with outputs that cannot be stored."""
    monkeypatch.setattr(manager_module, "_DEFERRED_OUTPUT_BYTES", 0)
    fleet, blobs, keeper = start_full_fleet(stack)
    keeper.submit("large", CHECKED, make_large_document(8))
    wait_until(lambda: len(fleet.link.sent) >= 8)
    time.sleep(2.0)
    # One run in a growing delay, which begins with 0.4 s.
    assert len(fleet.link.sent) <= 8 + 5
    blobs.full = False
    assert len(read_until(keeper, "large", 8, timeout=20.0)) == 8
