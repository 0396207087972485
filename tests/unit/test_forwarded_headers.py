"""Tests which headers of online requests and batch items reach a worker."""

import base64
from collections.abc import Iterator
from contextlib import ExitStack

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from raw_workers import RawWorkers, Reply, name_request
from serving_fakes import ACCOUNT, EVENTS, make_call
from test_jobs import CHECKED, read_until
from test_partial_results import start_keeper
from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.coordination.serving.worker_client import Dispatch
from trefoilreach._internal.platform.workers import PlatformWorkers
from trefoilreach._internal.transport.http_client import Interrupt

SET_HERE = {
    "x-tenant": ACCOUNT.name,
    "x-request-id": "q1",
    "x-target-instance": "w0",
    "x-deadline-ms": "1000",
    "host": "h.example",
    "connection": "close",
    "content-length": "4",
}
# The HTTP client adds it to requests without one.
ADDED = ("accept-encoding", "identity")
NEVER_SENT = [
    "Authorization",
    "Proxy-Authorization",
    "Transfer-Encoding",
    "Last-Event-Id",
    "TE",
    "Trailer",
    "Upgrade",
    "Expect",
    "Keep-Alive",
    "Proxy-Connection",
]
ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n"
    + b"".join(EVENTS)
)


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as opened:
        yield opened


def read_head(request: bytes) -> list[tuple[str, str]]:
    """Return the fields of a request as a lenient server reads them, names in lower case."""
    lines = request.split(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")[1:]
    fields = (line.partition(":") for line in lines)
    return [(n.strip().lower().replace("_", "-"), value.strip()) for n, _, value in fields]


def spell(name: str) -> st.SearchStrategy[str]:
    """Return spellings of a name that some server reads as that name."""
    cases = st.lists(st.booleans(), min_size=len(name), max_size=len(name)).map(
        lambda upper: "".join(
            c.upper() if up else c.lower() for c, up in zip(name, upper, strict=True)
        )
    )
    changes = st.sampled_from(
        [lambda n: n, lambda n: n.replace("-", "_"), lambda n: n + " ", lambda n: n + "\t"]
    )
    return st.builds(lambda text, change: change(text), cases, changes)


@given(st.sampled_from([*SET_HERE, *NEVER_SENT]).flatmap(spell))
@settings(max_examples=150, deadline=None)
def test_no_spelling_of_a_reserved_header_reaches_a_worker_fuzz(name: str) -> None:
    """Guards against a worker that is given another tenant's name or the key."""
    with ExitStack() as stack:
        workers = RawWorkers(stack, repeated=Reply(name_request(ANSWER)))
        client = PlatformWorkers(SystemClock())
        stack.callback(client.close)
        call = make_call()._replace(headers=((name, "forged"), ("X-Model", "m")))
        dispatch = Dispatch(call, workers.entry("w0"), ACCOUNT.name, 1.0, None)
        client.open(dispatch, 2.0, Interrupt()).close()
        assert sorted(read_head(workers.requests[0])) == sorted(
            [*SET_HERE.items(), ADDED, ("x-model", "m")]
        )


def test_item_is_run_for_the_account_of_its_job_without_the_key(stack: ExitStack) -> None:
    """Guards against an item that a worker runs for the tenant that its headers name."""
    workers = RawWorkers(stack, repeated=Reply(name_request(ANSWER)))
    keeper, _ = start_keeper(stack, workers)
    item = {
        "id": "i0",
        "path": "/a/0",
        "headers": {"x-tenant": "other", "Authorization": "Bearer key", "X-Model": "m"},
        "body": base64.b64encode(b"prompt").decode(),
        "tokenCount": 1,
    }
    keeper.submit("j1", CHECKED, orjson.dumps({"items": [item]}))
    assert read_until(keeper, "j1", 1)[0].output is not None
    head = read_head(workers.requests[0])
    assert [value for name, value in head if name == "x-tenant"] == [ACCOUNT.name]
    assert "authorization" not in dict(head) and ("x-model", "m") in head
