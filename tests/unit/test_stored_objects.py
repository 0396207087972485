"""Tests the objects of batch jobs: large documents and large outputs."""

import threading
import time
from contextlib import ExitStack
from typing import Any

from result import Err, Result
from serving_fakes import ACCOUNT, EVENTS, Script
from test_jobs import (
    CHECKED,
    Fleet,
    hold_last_event,
    make_document,
    read_until,
    send_all_events,
    stack,
    wait_until,
)
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
