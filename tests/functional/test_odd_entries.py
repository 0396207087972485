"""Runs real daemons beside rows that another writer than the workers has left in the store."""

import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import orjson
import pytest
from deployment import Daemon, Deployment
from harness import SUBNET, wait_until
from trefoilreach._internal.platform import names
from trefoilreach._internal.state.rows import RowKey, RowWrite

# The daemons have fixed addresses, so these tests run one after the other.
pytestmark = pytest.mark.xdist_group("deployment")

ENTRY = {
    "service": "pool",
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "sequence": 4,
    "born": 1,
}
# One row has room for this with the other fields: 65,536 bytes after encoding in base64.
MAX_TEXT_BYTES = 45_000
# Feeds are read again 0.2 s after a change.
FEED_SECONDS = 0.4
# Events that say that a thread of a daemon could not do its work.
FAILURES = {
    "eliot:destination_failure",
    "exchange:handler-failed",
    "exchange:report-failed",
    "exchange:send-failed",
    "feed:error",
    "ingress:error",
    "leftovers:failed",
    "maintenance:failed",
    "request:attempt-failed",
    "store:lost",
    "worker:load-unknown",
}


def encode(**fields: Any) -> bytes:
    return orjson.dumps({**ENTRY, **fields})


def encode_raw(field: str, value: bytes) -> bytes:
    """Return an entry with one field that has exactly these bytes as its value."""
    return encode(**{field: "VALUE"}).replace(b'"VALUE"', value)


def nest(depth: int) -> bytes:
    return b"[" * depth + b"]" * depth


ODD_ENTRIES: dict[str, tuple[str, bytes]] = {
    "service that no route names": ("odd", encode(service="other", slots=10_000)),
    # The parser takes up to 1,023 levels, Python's stack fewer.
    "service nested 1000 deep": ("odd", encode_raw("service", nest(1000))),
    "zone nested 1020 deep": ("odd", encode_raw("zone", nest(1020))),
    "entry nested 20000 deep": ("odd", nest(20_000)),
    "slots of 309 digits": ("odd", encode_raw("slots", b"1e308")),
    "slots of 23 digits": ("odd", encode_raw("slots", b"9" * 23)),
    "slots of 10 digits": ("odd", encode(slots=2**32)),
    "born of 309 digits": ("odd", encode_raw("born", b"1e308")),
    "port out of range": ("odd", encode(address="127.0.0.1:65536")),
    "host with a NUL": ("odd", encode(address="127.0.0.1\0:9")),
    "host with a space": ("odd", encode(address="127.0.0.1 x:9")),
    "host with a line end": ("odd", encode(address="127.0.0.1\r\nX-A: b:9")),
    "host of 300 letters": ("odd", encode(address="x" * 300 + ":9")),
    "host of 45000 letters": ("odd", encode(address="x" * MAX_TEXT_BYTES + ":9")),
    "empty host": ("odd", encode(address=":9")),
    "id with a line end": ("odd\r\nX-A: b", encode()),
    "id that is not ASCII": ("\u00f6dd\u2028", encode()),
    "bytes that are no text": ("odd", b"\xff\xfe{"),
    "nothing": ("odd", b""),
}


ODD_MEMBERS: dict[str, Any] = {
    "port out of range": {"host": "127.0.0.1", "port": 70000, "data_centre": "a", "cores": 9.0},
    "host with a NUL": {"host": "a\0", "port": 7, "data_centre": "a", "cores": 9.0},
    "host to look up": {"host": "vm.example", "port": 7, "data_centre": "a", "cores": 9.0},
    "many cores": {"host": "127.0.0.1", "port": 7, "data_centre": "a", "cores": 1e308},
    "no object": 7,
}


# Rows of the daemons' own tables.
ODD_ROWS: list[tuple[RowKey, bytes]] = [
    (RowKey("blocked-parts", "", "p1"), b'{"trials":2147483647,"next_trial_ms":1e15}'),
    (RowKey("blocked-parts", "", "p2"), nest(1000)),
    (RowKey("jobs", "p0", "j1"), b'{"job":"j1","state":"open","total":"2"}'),
    (RowKey("jobs", "p1", "j2"), nest(1000)),
    (RowKey("results", "p0", "j1/000000"), b"7"),
    (RowKey(names.OPERATOR_TABLE, "", "other"), nest(1000)),
]
# The smallest VMs of the users have 170 MB.
MAX_MEMORY_KB = 170_000


class Site:
    """A deployment with one good worker."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.good = deployment.add_worker()
        self._sent = 0
        self._failures_known = 0

    def put(self, table: str, key: str, data: bytes | None) -> None:
        self.deployment.platform.rows.commit([], [RowWrite(RowKey(table, "", key), data)])

    def send(self, daemon: Daemon) -> int:
        self._sent += 1
        return daemon.call("POST", "/once/a", f"q{self._sent}", b"body").status

    def take_failures(self) -> list[str]:
        """Return the failures that the daemons have logged since the last call."""
        lines = [line for daemon in self.deployment.daemons for line in daemon.read_log()]
        failures = [line["message_type"] for line in lines if line["message_type"] in FAILURES]
        known, self._failures_known = self._failures_known, len(failures)
        return failures[known:]

    def list_slots(self) -> set[int]:
        """Return the numbers of slots by which the daemons have decided on their roles."""
        lines = [line for daemon in self.deployment.daemons for line in daemon.read_log()]
        return {line["slots"] for line in lines if line["message_type"] == "decision:role"}

    def assert_running(self) -> None:
        for daemon in self.deployment.daemons:
            assert daemon.process is not None and daemon.process.poll() is None
            status = Path(f"/proc/{daemon.process.pid}/status").read_text()
            peak = int(status.partition("VmHWM:")[2].split()[0])
            assert peak < MAX_MEMORY_KB
        assert self.take_failures() == []


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    with ExitStack() as stack:
        yield Site(Deployment(tmp_path, stack, SUBNET))


def test_each_odd_worker_entry_is_passed_over(site: Site) -> None:
    """Guards against one odd entry that ends a daemon or takes requests from the good workers."""
    daemon = site.deployment.add_daemon()
    disturbed: dict[str, Any] = {}
    for number, (label, (name, data)) in enumerate(ODD_ENTRIES.items()):
        key = f"{name}{number}"
        site.put(names.WORKER_TABLE, key, data)
        time.sleep(FEED_SECONDS)
        statuses = [site.send(daemon) for _ in range(6)]
        failures = site.take_failures()
        if statuses != [200] * 6 or failures:
            disturbed[label] = statuses, failures
        site.put(names.WORKER_TABLE, key, None)
    assert not disturbed, disturbed
    site.assert_running()


def test_daemons_follow_good_entries_beside_odd_ones(site: Site) -> None:
    """Guards against odd entries that stop a daemon at its start or hide later good entries."""
    first = site.deployment.add_daemon()
    for number, (name, data) in enumerate(ODD_ENTRIES.values()):
        site.put(names.WORKER_TABLE, f"{name}{number}", data)
    for name, member in ODD_MEMBERS.items():
        site.put("members", name, orjson.dumps(member))
    for row, data in ODD_ROWS:
        site.deployment.platform.rows.commit([], [RowWrite(row, data)])
    second = site.deployment.add_daemon()
    site.deployment.wait_settled()
    assert [site.send(daemon) for daemon in (first, second) for _ in range(10)] == [200] * 20
    assert site.list_slots() <= {0, site.good.slots}
    later = site.deployment.add_worker()
    wait_until(lambda: site.send(first) == site.send(second) == 200 and len(later.seen) > 2)
    # A good entry that becomes odd names no worker; its worker has taken requests until then.
    site.put(names.WORKER_TABLE, site.good.name, encode_raw("service", nest(1000)))
    time.sleep(FEED_SECONDS)
    known = len(site.good.seen)
    assert [site.send(daemon) for daemon in (first, second) for _ in range(5)] == [200] * 10
    assert len(site.good.seen) == known
    site.assert_running()
