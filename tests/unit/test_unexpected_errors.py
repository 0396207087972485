"""Guards against a process that one malformed message or unexpected error puts out of service."""

import socket
import threading
import time
from contextlib import ExitStack, suppress
from typing import Any

import harness
import orjson
import pytest
from test_exchange import Node
from test_feeds import Daemon
from test_jobs import MemoryBlobs, MemoryRows
from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.coordination.jobs.job_table import JobTable
from trefoilreach._internal.coordination.jobs.records import OPEN, JobRecord, job_write
from trefoilreach._internal.coordination.serving.table_feed import (
    FeedHooks,
    FeedWatch,
    WatchedTable,
)
from trefoilreach._internal.state.rows import RowKey, RowWrite, StoredRow
from trefoilreach._internal.transport.http_client import HttpPool


@pytest.fixture
def stack() -> Any:
    with ExitStack() as opened:
        yield opened


@pytest.mark.parametrize(
    "value", [b"", b"\xff", b"7", b"{}", b'{"host": "10.0.0.9"}', b'{"host": 7, "port": "x"}']
)
def test_malformed_address_of_a_daemon_does_not_affect_others(value: bytes) -> None:
    daemon = Daemon()
    good = orjson.dumps({"host": "10.0.0.2", "port": 7, "data_centre": "x", "cores": 1.0})
    rows = [StoredRow(RowKey("members", "", name), v, 1) for name, v in (("b", value), ("c", good))]
    daemon.feeds._change_members(rows)
    assert set(daemon.feeds._members) == {"c"}


def test_malformed_job_row_does_not_affect_others(stack: ExitStack) -> None:
    rows = MemoryRows()
    table = JobTable(SystemClock(), rows, MemoryBlobs())
    record = JobRecord("j", "shop", "r", "a/1", OPEN, 1, 1, 0.0)
    key = job_write(record).name
    rows.commit([], [RowWrite(RowKey(key.table, key.part, "bad"), b"{"), job_write(record)])
    table.start(stack)
    assert table.wait_until_complete()
    assert table.get("j") is not None


def test_error_while_a_change_is_applied_does_not_end_a_feed(stack: ExitStack) -> None:
    """Guards against a thread that ends silently, and a desired state that is never new again."""
    rows = MemoryRows()
    seen: list[int] = []

    def apply(changed: list[StoredRow]) -> None:
        seen.append(len(changed))
        if len(seen) == 1:
            raise KeyError("unexpected")

    hooks = FeedHooks(lambda found, regained: apply(found), apply)
    FeedWatch(SystemClock(), rows, WatchedTable("t", [""], 0.1), hooks).start(stack)
    rows.commit([], [RowWrite(RowKey("t", "", "k"), b"1")])
    harness.wait_until(lambda: len(seen) >= 2, 3.0)


def test_error_in_a_state_does_not_end_the_reports(stack: ExitStack) -> None:
    """Guards against a daemon that its peers consider lost although it runs."""
    first = Node(stack, "a", [])
    second = Node(stack, "b", [first.address])
    harness.wait_until(lambda: first.exchange.live_peers, 5.0)
    hooks = second.exchange._hooks
    failures: list[int] = []

    def fail() -> Any:
        failures.append(1)
        raise RuntimeError("dictionary changed size during iteration")

    second.exchange._hooks = hooks._replace(get_state=fail)
    harness.wait_until(lambda: failures, 5.0)
    second.exchange._hooks = hooks
    first.received.clear()
    harness.wait_until(lambda: first.received, 5.0)


def test_second_copy_of_an_answer_is_not_taken_for_the_next_one(stack: ExitStack) -> None:
    """Guards against a caller that gets an answer which is not its own.

    The server sends each answer twice, the copy a little later, on a connection that is kept.
    """
    listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))

    def serve(connection: socket.socket) -> None:
        with suppress(OSError), connection:
            while data := connection.recv(65536):
                body = data.split()[1]
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                connection.sendall(answer)
                time.sleep(0.05)
                connection.sendall(answer)

    def accept() -> None:
        with suppress(OSError):
            while True:
                threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    pool = HttpPool("127.0.0.1", listener.getsockname()[1], SystemClock())
    for path in ("/one", "/two", "/three"):
        exchange = pool.request("GET", path, timeout=2.0)
        assert exchange.read() == path.encode()
        exchange.close()
        time.sleep(0.15)
