"""Guards against rows of other writers in the tables of batch jobs, and odd documents of jobs."""

from contextlib import ExitStack
from typing import Any

import orjson
import pytest
import test_jobs
from hypothesis import given
from hypothesis import strategies as st
from result import Err
from test_jobs import Fleet, make_document, read_until, send_all_events
from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.coordination.jobs.acceptance import _check_items
from trefoilreach._internal.coordination.jobs.job_table import JobTable
from trefoilreach._internal.coordination.jobs.records import (
    DONE,
    OPEN,
    Item,
    ItemResult,
    JobRecord,
    Partial,
    input_writes,
    job_key,
    job_write,
    parse_job,
    partial_key,
    partial_write,
    result_key,
    result_write,
)
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.rows import MemoryBlobs, MemoryRows, RowWrite, StoredRow

stack = test_jobs.stack

RECORD = JobRecord("j", "shop", "r", "a/1", OPEN, 2, 20, 5.0)
DEEP = b"[" * 1000 + b"]" * 1000
ODD_JOB_FIELDS: list[dict[str, Any]] = [
    *({name: value} for name in ("job", "account", "route", "owner") for value in (None, 7, [])),
    *({"state": value} for value in ("odd", None, [], 7)),
    *({"total": value} for value in (-1, 1e308, 2**31, "2", True, None)),
    *({"tokens": value} for value in (-1, 1e308, 1.5, "2", True, None)),
    *({"accepted_ms": value} for value in (1e308, "2", True, None)),
    {"input_blob": None},
    {"job": "other"},
    {"further": 1},
]
ODD_RESULTS = [
    b"",
    b"7",
    b"{}",
    DEEP,
    b'{"id":7,"output":"x"}',
    b'{"id":"i","output":7}',
    b'{"id":"i","output":"x","output_blob":null}',
    b'{"id":"i","output":%s}' % DEEP,
]
ODD_PARTIALS = [
    b"",
    DEEP,
    b'{"id":7,"last_event":1,"output":"x","failures":0}',
    b'{"id":"i","last_event":-1,"output":"x","failures":0}',
    b'{"id":"i","last_event":1e308,"output":"x","failures":0}',
    b'{"id":"i","last_event":"1","output":"x","failures":0}',
    b'{"id":"i","last_event":1,"output":null,"failures":0}',
    b'{"id":"i","last_event":1,"output":"x","failures":-1}',
    b'{"id":"i","last_event":1,"output":"x","failures":true}',
]
ODD_ITEMS: list[dict[str, Any]] = [
    *({"tokenCount": value} for value in (-1, 1e308, 1.5, "8_0", True, [1])),
    *({name: value} for name in ("id", "path") for value in (None, [], {})),
    *({"headers": value} for value in (7, [1], {"a": []}, {"a": None})),
    *({"body": value} for value in (7, "A", [1])),
]


def make_odd_row(**fields: Any) -> RowWrite:
    return RowWrite(job_key("j"), orjson.dumps({**RECORD._asdict(), **fields}))


def open_table(stack: ExitStack, *writes: RowWrite) -> JobTable:
    rows = MemoryRows()
    rows.commit([], writes)
    table = JobTable(SystemClock(), rows, MemoryBlobs())
    table.start(stack)
    assert table.wait_until_complete()
    return table


@pytest.mark.parametrize("fields", ODD_JOB_FIELDS)
def test_odd_row_names_no_job_and_hides_no_other(stack: ExitStack, fields: dict[str, Any]) -> None:
    good = job_write(RECORD._replace(job="good"))
    table = open_table(stack, make_odd_row(**fields), good)
    assert [row.record.job for row in table.known_rows()] == ["good"]
    # The daemon cannot be sure that there is no such job.
    with pytest.raises(Refusal) as caught:
        table.find_row("j", "shop")
    assert caught.value.status == 503


def test_row_under_another_key_does_not_replace_a_job(stack: ExitStack) -> None:
    """Guards against a job that is ended by a row that is not its own."""
    other = RowWrite(job_key("zz"), job_write(RECORD._replace(state=DONE)).value)
    table = open_table(stack, job_write(RECORD), other)
    row = table.get("j")
    assert row is not None and row.record.state == OPEN and len(table.known_rows()) == 1


@given(
    st.dictionaries(
        st.sampled_from(JobRecord._fields),
        st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.lists(st.text()),
        max_size=3,
    )
)
def test_parsed_jobs_can_be_used_fuzz(fields: dict[str, Any]) -> None:
    try:
        data = orjson.dumps({**RECORD._asdict(), **fields})
    except TypeError:
        return
    try:
        record = parse_job(StoredRow(job_key("j"), data, 1)).record
    except ValueError:
        return
    assert record.job == "j" and record.state in ("open", "ended", "done")
    assert 0 <= record.total < 2**31 and 0 <= record.tokens < 2**63
    assert all(isinstance(text, str) for text in (record.account, record.owner, record.route))
    assert job_write(record).value


@pytest.mark.parametrize("data", ODD_RESULTS)
def test_reader_of_an_odd_result_hears_that_the_daemon_is_not_sure(
    stack: ExitStack, data: bytes
) -> None:
    table = open_table(
        stack,
        job_write(RECORD),
        result_write("j", 0, ItemResult("i0", "text")),
        RowWrite(result_key("j", 1), data),
    )
    row = table.get("j")
    assert row is not None
    with pytest.raises(Refusal) as caught:
        table.read_page(row, 0)
    assert caught.value.status == 503
    assert isinstance(table.load_progress("j"), Err)


@pytest.mark.parametrize("data", ODD_PARTIALS)
def test_odd_progress_of_an_item_does_not_hide_that_of_others(
    stack: ExitStack, data: bytes
) -> None:
    good = Partial("i0", 3, "text", 0)
    table = open_table(
        stack, job_write(RECORD), partial_write("j", good), RowWrite(partial_key("j", "i"), data)
    )
    assert table.load_progress("j").unwrap().partials == {"i0": good}


@pytest.mark.parametrize("data", [b"{", b"7", DEEP, b'{"items":[7]}'])
def test_odd_document_of_a_stored_job_is_an_error(stack: ExitStack, data: bytes) -> None:
    table = open_table(stack, job_write(RECORD), *input_writes("j", data))
    assert isinstance(table.load_items(RECORD), Err)


@pytest.mark.parametrize("fields", ODD_ITEMS)
def test_document_with_an_odd_item_is_refused(fields: dict[str, Any]) -> None:
    """Guards against an acceptance that fails with an internal error, or counts odd tokens."""
    body = orjson.loads(make_document(2))
    body["items"][1].update(fields)
    with pytest.raises(Refusal) as caught:
        _check_items(orjson.dumps(body))
    assert caught.value.status == 400 and len(str(caught.value)) < 400


def test_numbers_may_stand_for_texts_in_a_document() -> None:
    body = {"items": [{"id": 7, "path": "/a", "headers": {"X-Deadline-Ms": 5}}]}
    items = _check_items(orjson.dumps(body))
    assert items == [Item("7", "/a", (("X-Deadline-Ms", "5"),), b"", 0)]


def test_jobs_are_taken_over_beside_odd_rows(stack: ExitStack) -> None:
    """Guards against one odd row that leaves the jobs of a lost daemon undone."""
    fleet = Fleet(stack, send_all_events)
    writes = [make_odd_row(total="2"), make_odd_row(job="k")]
    data = make_document(2)
    good = RECORD._replace(job="good", owner="lost/1")
    fleet.rows.commit([], [*writes, job_write(good), *input_writes("good", data)])
    keeper = fleet.start("d1")
    assert len(read_until(keeper, "good", 2)) == 2
