"""Tests the decoding of the platform's formats, including malformed entries in the store."""

import ipaddress
import re
from pathlib import Path

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from trefoilreach._internal.platform.desired_state import (
    decode_desired_state,
    decode_worker,
    encode_for_peers,
)
from trefoilreach._internal.platform.settings import load_deployment, parse_deployment
from trefoilreach._internal.platform.wire import (
    read_call,
    read_key,
    read_prompt_parts,
    read_time_left,
)
from trefoilreach._internal.protocol.event_stream import EventSplitter
from trefoilreach._internal.settings import SettingsError
from trefoilreach._internal.state.serving import (
    RouteIndex,
    RouteKind,
    WorkerEntry,
    list_shared_parts,
)

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
WORKER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "sequence": 4,
}


def make_state(**changes: object) -> bytes:
    body = {"version": 3, "routes": [ROUTE], "services": [{"name": "s"}], "tenants": []}
    return orjson.dumps({**body, **changes})


def nest(depth: int) -> bytes:
    return b"[" * depth + b"]" * depth


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


def test_desired_state_for_peers_has_digests_in_the_place_of_keys() -> None:
    """Guards against keys that anyone can read who reaches a daemon, or that peers do not know."""
    tenants = [{"name": "t", "apiKeys": ["k1", "k2"], "ratePerS": 5}, {"name": "u"}]
    state = {"version": 3, "routes": [], "tenants": tenants}
    passed_on = encode_for_peers(encode_for_peers(orjson.dumps(state)))
    assert b"k1" not in passed_on and b"k2" not in passed_on
    index = RouteIndex(decode_desired_state(passed_on).unwrap())
    account = index.find_account_by_key("k2")
    assert account is not None and account.name == "t" and account.rate == 5
    assert index.find_account_by_key("k3") is None
    digest = next(iter(account.key_digests))
    assert index.find_account_by_key(digest) is None


ACCOUNT = {"name": "t", "apiKeys": ["k1"], "ratePerS": 5, "burst": 7, "priority": 1}
ODD_ROUTE_FIELDS: list[dict[str, object]] = [
    *(
        {name: value}
        for name in ("name", "host", "pathPrefix", "service")
        for value in (None, 7, [])
    ),
    *({"kind": value} for value in ("odd", None, [], {})),
    *({"priority": value} for value in (2**31, -(2**31), 1e308, "0", True, [])),
    *({"attempts": value} for value in (2**31, -1, 1e308, 1.5, "2", True)),
    *({"timeoutMs": value} for value in (-1, 1e308, "5", True, [])),
    {"cap": 1e308},
    {"trafficSplit": [{"service": 7, "weight": 1}]},
    {"trafficSplit": [{"service": "s", "weight": "1"}]},
    {"trafficSplit": [{"service": "s", "weight": -1}]},
    {"trafficSplit": 7},
]
ODD_ACCOUNT_FIELDS: list[dict[str, object]] = [
    *({"name": value} for value in (None, 7, [])),
    *({"apiKeys": value} for value in ("abc", {"k1": 1}, [7], [None], [["k1"]])),
    *({"priority": value} for value in (2**31, 1e308, "1", True)),
    *({"ratePerS": value} for value in (-1, 1e308, "5", True)),
]


@pytest.mark.parametrize("version", [None, True, "3", 3.5, -1, 0, 2**63, 1e308, [], {}])
def test_state_with_an_odd_version_is_not_adopted(version: object) -> None:
    """Guards against a version that no report can carry, so that none is sent any more."""
    assert isinstance(decode_desired_state(make_state(version=version)), Err)


@pytest.mark.parametrize("fields", ODD_ROUTE_FIELDS)
def test_state_with_an_odd_route_is_not_adopted(fields: dict[str, object]) -> None:
    """Guards against a state whose adoption or use raises an error."""
    assert isinstance(decode_desired_state(make_state(routes=[{**ROUTE, **fields}])), Err)


@pytest.mark.parametrize("fields", ODD_ACCOUNT_FIELDS)
def test_state_with_an_odd_account_is_not_adopted(fields: dict[str, object]) -> None:
    """Guards against keys that are the letters of a text, and accounts that raise errors."""
    assert isinstance(decode_desired_state(make_state(tenants=[{**ACCOUNT, **fields}])), Err)


@pytest.mark.parametrize("data", [nest(1000), nest(20_000), b'{"version":%s}' % nest(1000)])
def test_deeply_nested_state_is_not_adopted(data: bytes) -> None:
    assert isinstance(decode_desired_state(data), Err)


def test_numbers_of_a_state_may_be_written_as_fractions() -> None:
    """Guards against a sound state that is refused for the form of its numbers."""
    route = {**ROUTE, "attempts": 2.0, "priority": 1.0, "cap": 5.0, "gapAimMs": None}
    decoded = decode_desired_state(make_state(version=4.0, routes=[route], tenants=[ACCOUNT]))
    assert isinstance(decoded, Ok)
    state = decoded.ok_value
    assert (state.version, state.routes[0].max_runs, state.routes[0].priority) == (4, 2, 1)


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=300),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=8,
)
# Texts that begin like an address or a number.
NEAR_VALUES = st.builds(
    lambda start, rest: start + rest,
    st.sampled_from(["10.0.0.1:80", "10.0.0.1:", "10.0.0.", "8", ":80", "s", "ready"]),
    st.text(st.characters(codec="utf-8", max_codepoint=0x2100), max_size=4),
)


@given(
    st.sampled_from([*ROUTE, "cap", "keepS", "priority", "trafficSplit"]),
    st.sampled_from(list(ACCOUNT)),
    JSON_VALUES,
    JSON_VALUES,
    JSON_VALUES,
)
def test_adopted_state_can_be_used_fuzz(
    route_field: str, account_field: str, first: object, second: object, version: object
) -> None:
    """Guards against a state that is decoded, and raises an error when it is adopted or used."""
    for changes in (
        {"routes": [{**ROUTE, route_field: first}]},
        {"tenants": [{**ACCOUNT, account_field: second}]},
        {"version": version},
    ):
        decoded = decode_desired_state(make_state(**changes))
        if isinstance(decoded, Err):
            continue
        index = RouteIndex(decoded.ok_value)
        assert 0 < index.state.version < 2**63
        for route in index.state.routes:
            assert index.find_route(route.host, route.path_prefix) is not None
            assert isinstance(route.pick_service("q"), str) and abs(route.priority) < 2**31
        for account in index.state.accounts:
            assert all(isinstance(key, str) for key in account.keys)
            assert account.rate >= 0.0 and account.burst >= 0.0


def check_worker(entry: WorkerEntry) -> None:
    """Check that headers, datagrams, log lines and connections can carry an entry's values."""
    assert re.fullmatch(r"[!-~]{1,200}", entry.id)
    for name in (entry.service, entry.data_centre):
        assert name.isprintable() and 0 < len(name.encode()) <= 200
    assert re.fullmatch(r"[0-9]{1,3}(\.[0-9]{1,3}){3}", entry.host) and 0 < entry.port < 65536
    assert ipaddress.IPv4Address(entry.host) != ipaddress.IPv4Address("0.0.0.0")
    assert type(entry.slots) is int and 1 <= entry.slots <= 10_000
    assert type(entry.started_ms) is int and 0 <= entry.started_ms < 2**63
    assert type(entry.draining) is bool


@given(
    st.text(max_size=300),
    st.dictionaries(
        st.sampled_from([*WORKER, "born", "stage"]), JSON_VALUES | NEAR_VALUES, max_size=3
    ),
)
def test_only_entries_that_can_be_used_are_decoded_fuzz(name: str, fields: object) -> None:
    """Guards against an odd entry that stops the daemon or receives requests."""
    assert isinstance(fields, dict)
    for key in ("w", name):
        decoded = decode_worker(key, orjson.dumps({**WORKER, **fields}))
        if isinstance(decoded, Ok):
            check_worker(decoded.ok_value)
        else:
            assert len(str(decoded.err_value)) < 3000


@given(st.binary(max_size=200) | JSON_VALUES.map(orjson.dumps))
def test_entries_of_any_bytes_are_no_workers_fuzz(data: bytes) -> None:
    """Guards against bytes that raise an exception instead of naming no worker."""
    assert isinstance(decode_worker("w", data), Err)


@given(
    st.integers(1, 10_000),
    st.integers(1, 65535),
    st.ip_addresses(v=4),
    st.text("aZ-.9", min_size=1),
)
def test_every_sound_entry_is_decoded_fuzz(
    slots: int, port: int, host: ipaddress.IPv4Address, name: str
) -> None:
    """Guards against a check that refuses a worker which may be used."""
    fields = {"slots": slots, "address": f"{host}:{port}", "service": name, "born": slots}
    decoded = decode_worker(name, orjson.dumps({**WORKER, **fields}))
    usable = not (host.is_unspecified or host.is_multicast or host.is_reserved)
    assert isinstance(decoded, Ok) is usable


ODD_FIELDS: list[tuple[str, bytes]] = [
    *((name, b"null") for name in WORKER),
    *((name, nest(depth)) for name in WORKER for depth in (1, 990, 1000, 1023, 1024, 20_000)),
    *(
        ("slots", text)
        for text in (b"true", b'"8"', b'"8_0"', b'" 8"', b"8.0", b"8.5", b"0", b"-1")
    ),
    *(("slots", text) for text in (b"10001", b"1e18", b"1e308", b"1e400", b"9" * 23, b"9" * 5000)),
    *(("born", text) for text in (b"null", b"true", b"-1", b"1.5", b'"1"', b"1e308", b"9" * 23)),
    *(("sequence", text) for text in (b"true", b"-1", b"1.5", b'"4"', b"1e308")),
    *(("coldLeftMs", text) for text in (b"true", b"-1", b'"4"', b"1e308")),
    *(("service", text) for text in (b'""', b'"\\u0000"', b'"a\\nb"', b'"' + b"s" * 201 + b'"')),
    *(("zone", text) for text in (b'""', b'"\\u0000"', b"7", b'"' + b"z" * 45_000 + b'"')),
    *(("state", text) for text in (b'"odd"', b'"READY"', b"{}", b"true")),
]
ODD_ADDRESSES = [
    *(
        f"10.0.0.1:{port}"
        for port in ("0", "65536", "99999999999", "-1", "+80", " 80", "8_0", "", "8e1")
    ),
    *(f"10.0.0.1:{port}" for port in ("\u0664\u0660", "80\n", "80\0", "80/x", "80.0")),
    *(
        f"{host}:80"
        for host in ("", "a\0", "10.0.0.1\0", "10.0.0.1 ", "10.0.0.1\r\nX-A: b", "x" * 300)
    ),
    *(
        f"{host}:80"
        for host in ("localhost", "worker.example", "10.1", "010.0.0.1", "1.2.3.4.5", "0x7f.1")
    ),
    *(
        f"{host}:80"
        for host in ("::1", "[::1]", "0.0.0.0", "224.0.0.1", "255.255.255.255", "1.2.3.256")
    ),
    "10.0.0.1",
    "80",
    "",
]


@pytest.mark.parametrize(("field", "value"), ODD_FIELDS)
def test_entry_with_an_odd_field_names_no_worker(field: str, value: bytes) -> None:
    """Guards against values of another type or size that are taken for those of a worker."""
    data = orjson.dumps({**WORKER, field: "VALUE"}).replace(b'"VALUE"', value)
    decoded = decode_worker("w", data)
    assert isinstance(decoded, Err) and len(str(decoded.err_value)) < 400


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_entry_with_an_odd_address_names_no_worker(address: str) -> None:
    """Guards against connections to hosts that need a look-up or are none."""
    assert isinstance(decode_worker("w", orjson.dumps({**WORKER, "address": address})), Err)


@pytest.mark.parametrize("field", WORKER)
def test_entry_without_a_field_names_no_worker(field: str) -> None:
    """Guards against the use of an entry that no worker has written."""
    fields = {name: value for name, value in WORKER.items() if name != field}
    assert isinstance(decode_worker("w", orjson.dumps(fields)), Err)


@pytest.mark.parametrize(
    "name", ["", " ", "a b", "a\r\nX-A: b", "w\0", "\u00f6", "\u2028", "x" * 201]
)
def test_worker_whose_id_no_header_can_carry_is_not_used(name: str) -> None:
    """Guards against requests that cannot be written because of the worker's id."""
    assert isinstance(decode_worker(name, orjson.dumps(WORKER)), Err)


def test_large_entry_with_more_fields_is_decoded() -> None:
    """Guards against a newer worker whose further fields make its entry unusable."""
    further = {"stage": "hybrid", "models": [{"name": "m" * 1000, "version": n} for n in range(40)]}
    assert isinstance(decode_worker("w", orjson.dumps({**WORKER, **further})), Ok)


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
