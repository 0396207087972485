"""Tests the order in which items get slots after their job was taken over from a killed daemon."""

from collections.abc import Mapping

from serving_fakes import (
    ACCOUNT,
    FakeLink,
    InlineExecutor,
    Script,
    make_route,
    make_tools,
    take_all_slots,
)
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.jobs.job_run import (
    JobDeadlines,
    JobRun,
    JobRunContext,
    MeanRunTime,
)
from trefoilreach._internal.coordination.jobs.records import (
    OPEN,
    Item,
    JobRecord,
    JobRow,
    Partial,
    job_write,
)
from trefoilreach._internal.coordination.serving.worker_client import Dispatch
from trefoilreach._internal.state.rows import MemoryBlobs, MemoryRows
from trefoilreach._internal.state.serving import RouteKind
from trefoilreach._internal.transport.buffer_budget import BufferBudget

ROUTE = make_route(kind=RouteKind.BATCH, max_runs=3)


def send_last_event(dispatch: Dispatch) -> Script:
    """Answer with the event after the one to resume after."""
    return Script(pieces=(b"id: %d\ndata: text\n\n" % ((dispatch.resume_after or 0) + 1),))


class Owner:
    """A daemon that has just started and takes over jobs while online requests fill all slots."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.link = FakeLink(decide=send_last_event)
        tools = make_tools(self.link, workers=1, clock=self.clock)
        self.admission = tools.admission
        self.rows = MemoryRows()
        self._context = JobRunContext(
            tools, self.rows, MemoryBlobs(), InlineExecutor(), MeanRunTime(), BufferBudget()
        )
        self._online = take_all_slots(tools)

    def take_over(self, item: str, due_in: float, partials: Mapping[str, Partial]) -> None:
        """Queue the item of a job that is due in ``due_in`` seconds."""
        record = JobRecord(f"j-{item}", ACCOUNT.name, ROUTE.name, "d0/1", OPEN, 1, 100, 0.0)
        version = self.rows.commit([], [job_write(record)]).ok_value.version
        deadlines = JobDeadlines(self.clock.now() + due_in, self.clock.now() + 60.0)
        items = [Item(item, f"/a/{item}", (), b"", 100)]
        row = JobRow(record, version)
        JobRun(self._context, row, ROUTE, deadlines, items, [], partials, 0).start()

    def free_slots(self) -> list[str]:
        """End the online requests; return the items in the order in which they were sent."""
        for ticket in self._online:
            self.admission.release(ticket)
        return [dispatch.call.request_id for dispatch in self.link.sent]


def test_item_that_is_nearly_done_at_takeover_is_not_taken_for_late() -> None:
    """Guards against items that wait behind whole runs until they are late.

    Load pattern: all daemons are killed. Items with most of their events in a checkpoint are due in
    less time than a whole run takes, and need only a part of it.
    """
    owner = Owner()
    owner.take_over("begun", 3.0, {"begun": Partial("begun", 200, "text", 0)})
    owner.take_over("new", 10.0, {})
    assert owner.free_slots() == ["begun", "new"]


def test_item_without_events_that_cannot_be_in_time_goes_last() -> None:
    """Guards against a whole run for an item that is late in any case, before one in time."""
    owner = Owner()
    owner.take_over("hopeless", 3.0, {})
    owner.take_over("new", 10.0, {})
    assert owner.free_slots() == ["new", "hopeless"]
