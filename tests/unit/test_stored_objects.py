"""Tests the objects of batch jobs: large documents and large outputs."""

import threading
import time
from contextlib import ExitStack

from result import Err, Result
from serving_fakes import EVENTS, Script
from test_jobs import (
    CHECKED,
    Fleet,
    make_document,
    read_until,
    stack,
)
from trefoilreach._internal.coordination.serving.worker_client import Dispatch
from trefoilreach._internal.state.rows import MemoryBlobs
from trefoilreach._internal.state.table import OutcomeUnknown, StoreError

__all__ = ["stack"]


class FullBlobs(MemoryBlobs):
    """An object store without room."""

    full = True

    def __init__(self) -> None:
        super().__init__()
        self.refused = threading.Event()

    def put(self, name: str, data: bytes) -> Result[bool, StoreError]:
        self.refused.set()
        return Err(OutcomeUnknown("507")) if self.full else super().put(name, data)


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
