"""Tests that the store keeps nothing of finished jobs for good."""

import time
from collections.abc import Iterator
from contextlib import ExitStack
from functools import partial
from typing import Any

import harness
import pytest
from result import Err, Result
from serving_fakes import ACCOUNT
from test_jobs import CHECKED, Fleet, make_document, read_until, stack
from test_stored_objects import LARGE, LossyDropBlobs, answer_by_job, make_large_document
from trefoilreach._internal.coordination.jobs import expiry as expiry_module
from trefoilreach._internal.coordination.jobs import manager as manager_module
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.rows import MemoryRows
from trefoilreach._internal.state.table import StoreError, StoreUnavailable

__all__ = ["stack"]

KEEP_SECONDS = 1.0
# Longer than the fakes need to run and remove some jobs.
wait_until = partial(harness.wait_until, timeout=6.0)


@pytest.fixture
def fleet(stack: ExitStack, monkeypatch: pytest.MonkeyPatch) -> Iterator[Fleet]:
    monkeypatch.setattr(expiry_module, "_EXPIRY_MARGIN_SECONDS", 0.0)
    monkeypatch.setattr(manager_module, "_REMOVAL_INTERVAL_SECONDS", 0.05)
    fleet = Fleet(stack, answer_by_job)
    fleet.keep_results_seconds = KEEP_SECONDS
    yield fleet


def count_stored(fleet: Fleet) -> int:
    """Return the number of rows and objects in the store."""
    return len(fleet.rows._rows) + len(fleet.blobs._objects)


def test_store_is_empty_once_results_need_not_be_kept(fleet: Fleet) -> None:
    """Guards against a store that fills with all jobs ever accepted."""
    keeper = fleet.start("d0")
    begun = time.monotonic()
    keeper.submit("large", CHECKED, make_large_document(3))
    keeper.submit("small", CHECKED, LARGE)
    for job in ("large", "small"):
        read_until(keeper, job, 3)
    assert count_stored(fleet) > 0
    wait_until(lambda: count_stored(fleet) == 0)
    # Results are kept for as long as they were promised.
    assert time.monotonic() - begun >= KEEP_SECONDS
    with pytest.raises(Refusal) as caught:
        keeper.read_results("large", ACCOUNT.name, 0, 0.0)
    assert caught.value.status == 404
    wait_until(lambda: not keeper._result_counts and not keeper.table.known_rows())


def test_results_of_an_open_job_are_kept(fleet: Fleet) -> None:
    """Guards against results that vanish while their job is open."""
    keeper = fleet.start("d0", workers=0)
    keeper.submit("j1", CHECKED, make_document(2))
    time.sleep(KEEP_SECONDS + 0.5)
    assert keeper.read_results("j1", ACCOUNT.name, 0, 0.0).total == 2
    assert keeper.read_item_body("j1", ACCOUNT.name, "i1") == b"prompt 1"
    keeper.end("j1", ACCOUNT.name)
    wait_until(lambda: count_stored(fleet) == 0)


def test_job_of_a_lost_owner_is_removed(fleet: Fleet) -> None:
    """Guards against rows and objects that remain because the daemon that ran the job is gone."""
    former = fleet.start("d0")
    former.submit("j1", CHECKED, make_large_document(3))
    read_until(former, "j1", 3)
    former._stop.set()
    fleet.start("d1")
    wait_until(lambda: count_stored(fleet) == 0)


class RefusingRows(MemoryRows):
    """A store that refuses the first deletions."""

    refusals = 3

    def commit(self, expected: Any, writes: Any) -> Result[Any, StoreError]:
        if self.refusals and all(write.value is None for write in writes):
            self.refusals -= 1
            return Err(StoreUnavailable("busy"))
        return super().commit(expected, writes)


def test_refused_removal_is_repeated(fleet: Fleet) -> None:
    """Guards against objects that no row names, and rows of a job that no daemon finds."""
    fleet.rows, fleet.blobs = RefusingRows(), LossyDropBlobs()
    keeper = fleet.start("d0")
    keeper.submit("j1", CHECKED, make_large_document(3))
    read_until(keeper, "j1", 3)
    wait_until(lambda: count_stored(fleet) == 0)
    assert fleet.rows.refusals == 0 and fleet.blobs.refusals == 0
