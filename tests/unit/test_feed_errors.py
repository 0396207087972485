"""Guards against one row that stops a daemon from following the other rows of its table."""

import sys
from collections.abc import Callable

import pytest
from result import Ok
from trefoilreach._internal.clock import ManualClock, SystemClock
from trefoilreach._internal.coordination.serving.table_feed import (
    FeedHooks,
    FeedWatch,
    WatchedTable,
)
from trefoilreach._internal.logs import describe_error
from trefoilreach._internal.platform.store import PlatformRows, StoreClient
from trefoilreach._internal.state.rows import MemoryRows, RowKey, RowWrite, StoredRow
from trefoilreach_emulator._internal.server import Exchange, run_server

TABLE = "t"


def recurse() -> None:
    recurse()


def raise_error(error: BaseException) -> None:
    raise error


ERRORS: list[Callable[[], None]] = [
    recurse,
    lambda: raise_error(MemoryError()),
    lambda: raise_error(OverflowError("int too large to convert to float")),
    lambda: raise_error(KeyError("x" * 100_000)),
]


class Follower:
    """Rows that a feed has applied; ``fail`` is called for the row ``odd``."""

    def __init__(self, fail: Callable[[], None]) -> None:
        self.clock = ManualClock(100.0)
        self.rows = MemoryRows()
        self.fail = fail
        self.applied: dict[str, bytes] = {}
        self.reads = 0
        self.answers = 0
        hooks = FeedHooks(self._replace, self._change, lambda answer: self._count_answer())
        self.feed = FeedWatch(self.clock, self.rows, WatchedTable(TABLE, [""], 0.01), hooks)

    def put(self, **values: bytes | None) -> None:
        writes = [RowWrite(RowKey(TABLE, "", key), value) for key, value in values.items()]
        self.rows.commit([], writes)

    def follow(self) -> None:
        assert self.feed._call_store() is None
        assert not self.feed.failing

    def _replace(self, rows: list[StoredRow], regained: bool) -> None:
        self.reads += 1
        self.applied = {}
        self._change(rows)

    def _change(self, rows: list[StoredRow]) -> None:
        for row in rows:
            if row.name.key == "odd":
                self.fail()
            if row.deleted:
                self.applied.pop(row.name.key, None)
            else:
                self.applied[row.name.key] = row.value

    def _count_answer(self) -> None:
        self.answers += 1


@pytest.mark.parametrize("fail", ERRORS)
def test_other_rows_of_a_full_read_are_applied(fail: Callable[[], None]) -> None:
    follower = Follower(fail)
    follower.put(a=b"1", odd=b"?", z=b"2")
    follower.follow()
    assert follower.applied == {"a": b"1", "z": b"2"} and follower.answers == 1


@pytest.mark.parametrize("fail", ERRORS)
def test_other_changed_rows_are_applied(fail: Callable[[], None]) -> None:
    follower = Follower(fail)
    follower.put(a=b"1", z=b"2")
    follower.follow()
    follower.put(b=b"3", odd=b"?", z=None)
    follower.follow()
    assert follower.applied == {"a": b"1", "b": b"3"}
    follower.put(c=b"4")
    follower.follow()
    assert follower.applied == {"a": b"1", "b": b"3", "c": b"4"} and follower.reads == 1


def test_row_whose_error_has_passed_is_applied_later() -> None:
    """Guards against a desired state that is never adopted after a passing lack of memory."""
    follower = Follower(lambda: raise_error(MemoryError()))
    follower.follow()
    follower.put(odd=b"?", a=b"1")
    follower.follow()
    follower.fail = lambda: None
    follower.clock.advance(4.9)
    follower.follow()
    assert follower.applied == {"a": b"1"}
    follower.clock.advance(0.2)
    follower.follow()
    assert follower.applied == {"a": b"1", "odd": b"?"}
    follower.clock.advance(100.0)
    follower.follow()
    # One read at the start and one after the error.
    assert follower.reads == 2


def test_row_that_can_never_be_applied_costs_few_reads() -> None:
    follower = Follower(recurse)
    follower.put(odd=b"?", a=b"1")
    for _ in range(60):
        follower.follow()
        follower.clock.advance(0.5)
    # A read applies the rows twice: all of them, then those that can be applied.
    assert follower.applied == {"a": b"1"} and follower.reads <= 2 * 7


def test_error_that_quotes_a_deep_value_can_be_described() -> None:
    deep: list[object] = []
    for _ in range(10 * sys.getrecursionlimit()):
        deep = [deep]
    assert describe_error(KeyError(deep)) == "KeyError"
    assert len(describe_error(ValueError("x" * 100_000))) == 200


@pytest.mark.parametrize("value", ["A", "=", 7, [], {"a": 1}, "\u0416", True])
def test_value_that_cannot_be_decoded_does_not_hide_other_rows(value: object) -> None:
    """Guards against a table that cannot be read because of one row."""
    row = {"table": TABLE, "part": "", "key": "odd", "value": value, "ver": 1}
    good = {"table": TABLE, "part": "", "key": "z", "value": "AQ==", "ver": 2}

    def handle(exchange: Exchange) -> None:
        exchange.reply({"rows": [row, good], "hasMore": False, "ver": 2, "nowMs": 1.0})

    with run_server("127.0.0.1", 0, handle) as port:
        client = StoreClient("127.0.0.1", port, SystemClock())
        for found in (
            PlatformRows(client).read(TABLE, ""),
            PlatformRows(client).poll_changes(TABLE, 0, 0.0),
        ):
            assert isinstance(found, Ok)
            assert [stored.value for stored in found.ok_value.rows] == [b"", b"\1"]
        client.close()
