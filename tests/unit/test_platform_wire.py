"""Tests the decoding of the platform's formats, including malformed entries in the store."""

from pathlib import Path

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from trefoilreach._internal.platform.desired_state import decode_desired_state, decode_worker
from trefoilreach._internal.platform.settings import load_deployment, parse_deployment
from trefoilreach._internal.platform.wire import (
    read_call,
    read_key,
    read_prompt_parts,
    read_time_left,
)
from trefoilreach._internal.protocol.event_stream import EventSplitter
from trefoilreach._internal.settings import SettingsError
from trefoilreach._internal.state.serving import RouteIndex, RouteKind, list_shared_parts

SETTINGS = """node=edge-a-1
ip=10.1.0.21
zone=a
region=r
listen.front=10.1.0.21:8689
listen.ready=10.1.0.21:8687
listen.control=10.1.0.21:8683
listen.directory=10.1.0.21:8682
portRange=7360,7375
seeds=10.1.0.21:8683,10.2.0.21:8683
bounds.strictRevoke=true
bounds.revokeMs=5000
bounds.graceS=8
provider.address=10.200.1.7:8688
something.new=1
"""
ROUTE = {
    "name": "r",
    "host": "h.example",
    "pathPrefix": "/a/",
    "kind": "stream",
    "service": "s",
    "attempts": 2,
    "resumable": True,
    "targetLatencyMs": 300,
    "timeoutMs": 5000,
    "gapAimMs": 250,
}
WORKER = {"service": "s", "address": "10.0.0.1:80", "zone": "a", "slots": 8, "state": "ready"}


def make_state(**changes: object) -> bytes:
    body = {"version": 3, "routes": [ROUTE], "services": [{"name": "s"}], "tenants": []}
    return orjson.dumps({**body, **changes})


def test_settings_are_parsed_and_unknown_fields_ignored() -> None:
    """Guards against settings that are misread, and a newer settings file that stops the start."""
    deployment = parse_deployment(SETTINGS)
    assert deployment.front == ("10.1.0.21", 8689)
    assert deployment.peer_port == 7360 and deployment.control_port == 8683
    assert deployment.seeds == ("10.1.0.21", "10.2.0.21")
    assert deployment.revocation_seconds == 5.0


@pytest.mark.parametrize("field", ["node", "listen.front", "provider.address", "portRange"])
def test_error_names_the_missing_or_invalid_setting(field: str) -> None:
    """Guards against a daemon that starts with a missing or invalid setting."""
    lines = [line for line in SETTINGS.splitlines() if not line.startswith(field + "=")]
    with pytest.raises(SettingsError, match=field):
        parse_deployment("\n".join(lines))
    if field != "node":
        with pytest.raises(SettingsError, match=field):
            parse_deployment("\n".join([*lines, f"{field}=nonsense"]))


def test_error_names_the_unreadable_settings_file(tmp_path: Path) -> None:
    """Guards against an error that does not say which settings file is missing."""
    with pytest.raises(SettingsError, match="boot"):
        load_deployment(tmp_path / "boot.conf")


def test_desired_state_is_decoded() -> None:
    """Guards against requests that get the wrong route, account or service."""
    tenant = {"name": "t", "apiKeys": ["k1"], "ratePerS": 5, "burst": 7, "priority": 1}
    split = {**ROUTE, "name": "r2", "pathPrefix": "/a/b/", "service": None}
    split["trafficSplit"] = [{"service": "s", "weight": 9}, {"service": "x", "weight": 1}]
    decoded = decode_desired_state(make_state(tenants=[tenant], routes=[ROUTE, split]))
    assert isinstance(decoded, Ok)
    index = RouteIndex(decoded.ok_value)
    long, short = index.find_route("h.example", "/a/b/c"), index.find_route("h.example", "/a/x")
    assert long is not None and long.name == "r2"
    assert short is not None and short.name == "r" and short.kind is RouteKind.STREAM
    assert index.find_route("other", "/a/x") is None and index.find_route("h.example", "/b") is None
    account = index.find_account_by_key("k1")
    assert account is not None and (account.rate, account.burst, account.priority) == (5, 7, 1)
    picked_services = [long.pick_service(str(n)) for n in range(2000)]
    assert 100 < picked_services.count("x") < 300


@given(st.binary(max_size=60) | st.sampled_from([make_state(routes=[{}]), make_state(version="")]))
def test_undecodable_desired_state_is_an_error_fuzz(data: bytes) -> None:
    """Guards against malformed data that raises an exception or is adopted."""
    assert isinstance(decode_desired_state(data), Err)


@given(
    st.sampled_from(["service", "address", "slots", "state", "born", "sequence"]),
    st.none() | st.booleans() | st.text(max_size=5) | st.lists(st.integers(-9, 9), max_size=2),
)
def test_malformed_worker_entries_are_rejected_fuzz(field: str, value: object) -> None:
    """Guards against a malformed entry that stops the daemon or receives requests."""
    decoded = decode_worker("w", orjson.dumps({**WORKER, field: value}))
    if isinstance(decoded, Ok):
        entry = decoded.ok_value
        assert isinstance(entry.service, str) and entry.slots >= 1 and entry.port > 0


def test_worker_entry_is_decoded() -> None:
    """Guards against a draining worker or a restart that is not recognised."""
    row = {**WORKER, "state": "draining", "born": 17, "sequence": 9}
    decoded = decode_worker("w", orjson.dumps(row))
    assert isinstance(decoded, Ok)
    assert decoded.ok_value.draining
    assert (decoded.ok_value.started_ms, decoded.ok_value.sequence) == (17, 9)
    assert isinstance(decode_worker("w", b"\xff{"), Err)
    assert isinstance(decode_worker("w", orjson.dumps({**WORKER, "state": "odd"})), Err)


def make_environ(**headers: str) -> dict[str, object]:
    import io

    return {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": "/a/x%20y?q=1",
        "HTTP_HOST": "h.example",
        "CONTENT_LENGTH": "4",
        "CONTENT_TYPE": "text/plain",
        "wsgi.input": io.BytesIO(b"body"),
        **{f"HTTP_{name}": value for name, value in headers.items()},
    }


def test_internal_headers_are_not_forwarded() -> None:
    """Guards against a worker that receives a key, a forged account or a connection header."""
    call = read_call(
        make_environ(
            AUTHORIZATION="Bearer secret",
            X_TENANT="forged",
            X_TARGET_INSTANCE="w9",
            CONNECTION="close",
            X_DEADLINE_MS="5000",
            X_MODEL="m",
            X_REQUEST_ID="r1",
        )
    )
    assert call.target == "/a/x%20y?q=1" and call.body == b"body" and call.request_id == "r1"
    assert dict(call.headers) == {"X-Model": "m", "Content-Type": "text/plain"}


def test_request_headers_are_parsed() -> None:
    """Guards against misread prompt parts, keys and deadlines."""
    parts = read_prompt_parts("5c1e:800,91bd:410,e440:250")
    assert list_shared_parts(parts) == ("5c1e", "91bd") and parts[0].tokens == 800
    assert read_prompt_parts("") == () and read_prompt_parts("x:y") == ()
    assert read_key(make_environ(AUTHORIZATION="bearer k")) == "k"
    assert read_key(make_environ(AUTHORIZATION="Basic k")) is None
    assert read_time_left(make_environ(X_DEADLINE_MS="1500")) == 1.5


@given(st.data())
def test_events_do_not_depend_on_chunk_sizes_fuzz(data: st.DataObject) -> None:
    """Guards against a relayed stream that loses, splits or duplicates an event."""
    raw = [f"id: {n}\ndata: text {n}\ndata: more\n\n".encode() for n in range(6)]
    stream = b"".join(raw)
    splitter = EventSplitter()
    events, rest = [], stream + b"id: 6\nda"
    while rest:
        size = data.draw(st.integers(1, 30))
        events += splitter.feed(rest[:size])
        rest = rest[size:]
    assert [event.raw for event in events] == raw
    assert [event.id for event in events] == list(range(6))
    assert events[2].data == b"text 2\nmore"
    assert splitter.incomplete == b"id: 6\nda"
