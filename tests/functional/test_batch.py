"""Guards against batch jobs that do not end, leak to other accounts or accept partial input."""

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from urllib.parse import quote

import orjson
import pytest
from harness import Address, Answer, Fleet, call, hash_secret, publish, wait_until
from openai import OpenAI
from trefoilreach._internal.state.config import (
    Account,
    ConfigDocument,
    Key,
    Route,
    Server,
    WorkClass,
)

CHAT = "/v1/chat/completions"


def make_document(engines: list[Address]) -> ConfigDocument:
    return ConfigDocument(
        version=1,
        classes=(WorkClass("chat", "online", 2.0, 0.2),),
        accounts=(Account("a", 1000.0, 1000.0), Account("b", 1000.0, 1000.0)),
        keys=(
            Key("k1", hash_secret("s1"), "caller", "a"),
            Key("k2", hash_secret("s2"), "caller", "b"),
            Key("k3", hash_secret("s3"), "monitor"),
        ),
        routes=(Route("m", work_class="chat"), Route("private", accounts=("b",))),
        servers=tuple(
            Server(f"engine{number}", "engine", engine.host, engine.port, ("m",))
            for number, engine in enumerate(engines, start=1)
        ),
    )


def make_lines(count: int, first: int = 0, tokens: int = 4, **changes: str) -> bytes:
    lines = []
    for number in range(first, first + count):
        text = changes.get(f"i{number}", f"say {number}")
        body = {"model": "m", "messages": [{"role": "user", "content": text}], "max_tokens": tokens}
        line = {"custom_id": f"i{number}", "method": "POST", "url": CHAT, "body": body}
        lines.append(orjson.dumps(line))
    return b"\n".join(lines)


def open_client(daemon: Address, key: str = "s1") -> OpenAI:
    return OpenAI(
        api_key=key, base_url=f"http://{daemon.host}:{daemon.port}/v1", max_retries=0, timeout=30
    )


def submit(client: OpenAI, data: bytes, key: str = "", window: str = "24h") -> Any:
    file = client.files.create(file=("in.jsonl", data), purpose="batch")
    headers = {"Idempotency-Key": key} if key else {}
    return client.batches.create(
        input_file_id=file.id,
        endpoint="/v1/chat/completions",
        completion_window=window,  # type: ignore[arg-type]
        extra_headers=headers,
    )


def wait_final(client: OpenAI, job_id: str, timeout: float = 40.0) -> Any:
    def check() -> Any:
        found = client.batches.retrieve(job_id)
        return found if found.status in ("completed", "cancelled") else None

    return wait_until(check, timeout, f"end of {job_id}")


def read_lines(client: OpenAI, file_id: str | None) -> list[dict[str, Any]]:
    if file_id is None:
        return []
    return [orjson.loads(line) for line in client.files.content(file_id).read().splitlines()]


def start_fleet(
    fleet: Fleet, daemons: int = 1, engines: int = 1, extra: Any = None, *engine_options: str
) -> list[Address]:
    fleet.start_emulator("platform", "platform")
    options = engine_options or ("--token-interval", "0.005", "--first-token", "0.01")
    addresses = [
        fleet.start_emulator("engine", f"engine{number}", "--models", "m", *options)
        for number in range(1, engines + 1)
    ]
    publish(fleet, make_document(addresses))
    started = [
        fleet.start_daemon(f"vm{number}", number, extra=extra) for number in range(1, daemons + 1)
    ]
    for daemon in started:
        wait_until(lambda address=daemon: is_ready(address), what="quota of a new daemon")
    return started


def is_ready(daemon: Address) -> bool:
    """Return whether the daemon has the configuration and its share of the rate."""
    body = {"input_file_id": "none", "endpoint": CHAT}
    return call(daemon, "POST", "/v1/batches", body, "s1").status == 404


@pytest.fixture(scope="module")
def daemon(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Address]:
    with Fleet(tmp_path_factory.mktemp("batch")) as fleet:
        extra = {"batch": {"chunk_items": "20", "scan_interval": "500ms"}}
        yield start_fleet(fleet, 1, 1, extra)[0]


def test_job_completes_with_one_line_per_item(daemon: Address) -> None:
    client = open_client(daemon)
    job = submit(client, make_lines(50, i7="impossible-item"))
    done = wait_final(client, job.id)
    assert done.status == "completed"
    assert (done.request_counts.completed, done.request_counts.failed) == (49, 1)
    output = read_lines(client, done.output_file_id)
    assert sorted(line["custom_id"] for line in output) == sorted(
        f"i{number}" for number in range(50) if number != 7
    )
    assert all(line["response"]["body"]["choices"][0]["message"]["content"] for line in output)
    (error,) = read_lines(client, done.error_file_id)
    assert (error["custom_id"], error["response"]["status_code"]) == ("i7", 400)


@pytest.mark.parametrize(
    ("line", "status", "names"),
    [
        (b"{not json", 400, "line 2"),
        (b'"text"', 400, "line 2"),
        (make_lines(1), 400, "line 2: 'custom_id' 'i0' was used in line 1"),
        (make_lines(1, 5).replace(b'"m"', b'"none"'), 404, "line 2: the model 'none'"),
        (make_lines(1, 5).replace(b'"m"', b'"private"'), 403, "line 2: account 'a'"),
        (make_lines(1, 5).replace(b"/v1/chat", b"/v2/chat"), 400, "line 2: 'url'"),
        (make_lines(1, 5).replace(b'"messages"', b'"notes"'), 400, "line 2: 'messages'"),
    ],
)
def test_invalid_line_is_reported_and_nothing_is_accepted(
    daemon: Address, line: bytes, status: int, names: str
) -> None:
    client = open_client(daemon)
    before = call(daemon, "GET", "/v1/batches?limit=100", key="s1").json()["data"]
    file = client.files.create(file=("in.jsonl", make_lines(1) + b"\n" + line), purpose="batch")
    body = {"input_file_id": file.id, "endpoint": CHAT, "completion_window": "24h"}
    answer = call(daemon, "POST", "/v1/batches", body, key="s1")
    assert (answer.status, answer.headers["trefoilreach-verdict"]) == (status, "not-run")
    assert names in answer.json()["error"]["message"]
    assert call(daemon, "GET", "/v1/batches?limit=100", key="s1").json()["data"] == before


def test_other_accounts_see_no_file_and_no_job(daemon: Address) -> None:
    owner, other = open_client(daemon, "s1"), open_client(daemon, "s2")
    job = wait_final(owner, submit(owner, make_lines(2)).id)
    paths = [
        ("GET", f"/v1/files/{job.input_file_id}"),
        ("GET", f"/v1/files/{job.input_file_id}/content"),
        ("GET", f"/v1/files/{job.output_file_id}"),
        ("GET", f"/v1/files/{job.output_file_id}/content"),
        ("GET", f"/v1/batches/{job.id}"),
        ("POST", f"/v1/batches/{job.id}/cancel"),
    ]
    for method, path in paths:
        assert call(daemon, method, path, key="s1").status == 200, path
        assert call(daemon, method, path, key="s2").status == 404, path
    assert job.id in [entry.id for entry in owner.batches.list(limit=100)]
    assert job.id not in [entry.id for entry in other.batches.list(limit=100)]
    body = {"input_file_id": job.input_file_id, "endpoint": CHAT}
    assert call(daemon, "POST", "/v1/batches", body, key="s2").status == 404


def test_resent_job_is_the_same_job(daemon: Address) -> None:
    client = open_client(daemon)
    file = client.files.create(file=("in.jsonl", make_lines(2)), purpose="batch")
    body = {"input_file_id": file.id, "endpoint": CHAT, "completion_window": "24h"}

    def create(changes: dict[str, Any], key: str = "") -> Answer:
        headers = {"Idempotency-Key": key} if key else {}
        return call(daemon, "POST", "/v1/batches", {**body, **changes}, "s1", headers)

    first = create({}).json()["id"]
    assert create({}).json()["id"] == first
    keyed = create({}, "key-1").json()["id"]
    assert keyed != first
    assert create({}, "key-1").json()["id"] == keyed
    assert create({"metadata": {"run": "2"}}, "key-1").status == 409


def test_upload_keeps_every_byte(daemon: Address) -> None:
    client = open_client(daemon)
    data = b"\r\n " + bytes(range(256)) + b"\r\n--x\r\n\n\r\xc3\xa9" + bytes(range(256)) + b"\n\r\n"
    file = client.files.create(file=("raw.bin", data), purpose="batch")
    assert (file.bytes, file.filename) == (len(data), "raw.bin")
    assert client.files.content(file.id).read() == data
    cut = call(
        daemon, "POST", "/v1/files", b"--b\r\n", "s1", {"Content-Type": "multipart/form-data"}
    )
    assert cut.status == 400


def test_cancelled_job_stops_and_keeps_finished_items(daemon: Address) -> None:
    client = open_client(daemon)
    # The seven slots of batch work need 4.5 s for a chunk, so only cancelled streams end
    # within the limit of 1.5 s.
    job = submit(client, make_lines(300, tokens=300))

    def has_progress() -> Any:
        return client.batches.retrieve(job.id).request_counts.completed > 0

    wait_until(has_progress)
    assert client.batches.cancel(job.id).status == "cancelling"
    done = wait_final(client, job.id, 1.5)
    counts = done.request_counts
    assert done.status == "cancelled"
    assert 0 < counts.completed < 300
    lines = read_lines(client, done.output_file_id)
    assert len({line["custom_id"] for line in lines}) == len(lines) == counts.completed


def read_audit(daemon: Address) -> list[dict[str, Any]]:
    records: list[dict[str, Any]] = []
    cursor: str | None = ""
    while cursor is not None:
        path = f"/v1/audit?limit=7&after={quote(cursor)}"
        page = call(daemon, "GET", path, key="s3").json()
        records += page["data"]
        cursor = page["next"]
    return records


def test_monitor_sees_each_item_once_and_refusals_with_their_verdict(daemon: Address) -> None:
    client = open_client(daemon)
    job = wait_final(client, submit(client, make_lines(45, i3="impossible-item")).id)
    assert call(daemon, "GET", "/v1/audit", key="s1").status == 403
    assert call(daemon, "GET", "/v1/audit?after=x", key="s3").status == 400
    assert call(daemon, "GET", "/v1/batches/unknown", key="s2").status == 404

    def find_refusal() -> Any:
        return [entry for entry in read_audit(daemon) if entry.get("path") == "/v1/batches/unknown"]

    (refused,) = wait_until(find_refusal, what="segment with the refusal")
    assert (refused["account"], refused["status"], refused["verdict"]) == ("b", 404, "not-run")
    items = [entry for entry in read_audit(daemon) if entry.get("batch") == job.id]
    outcomes = {entry["custom_id"]: entry["outcome"] for entry in items}
    assert len(outcomes) == len(items) == 45
    assert [name for name, outcome in outcomes.items() if outcome != "completed"] == ["i3"]
    assert all(len(entry["completions"]) == 1 for entry in items)


def test_monitor_sees_online_requests_and_streams_cut_midway(daemon: Address) -> None:
    """Online requests, and streams that fail after their status 200, must leave a record."""
    body = {"model": "m", "messages": [{"role": "user", "content": "online"}], "stream": True}
    assert call(daemon, "POST", CHAT, {**body, "max_tokens": 3}, "s2").status == 200
    cut = {**body, "messages": [{"role": "user", "content": "cut-the-answer"}], "max_tokens": 9}
    assert b"[DONE]" not in call(daemon, "POST", CHAT, cut, "s2").data

    def find(kind: str) -> Any:
        records = (entry for entry in read_audit(daemon) if entry["kind"] == kind)
        return [entry for entry in records if entry.get("account") == "b" and "route" in entry]

    (completed,) = wait_until(lambda: find("completed"), what="segment with the completion")
    (refused,) = wait_until(lambda: find("refused"), what="segment with the cut stream")
    assert completed["request_id"] != refused["request_id"]
    assert (refused["status"], refused["verdict"]) == (503, "may-have-run")


def test_job_near_its_deadline_uses_the_slots_kept_for_online(tmp_path: Path) -> None:
    """Without these slots, a late job would run no faster than one that is due in a day."""
    with Fleet(tmp_path) as fleet:
        extra = {"batch": {"chunk_items": "4", "scan_interval": "300ms"}}
        slow = ("--token-interval", "0.1", "--first-token", "0.01", "--load-lag", "0.1")
        (daemon,) = start_fleet(fleet, 1, 1, extra, *slow)
        client = open_client(daemon)
        relaxed = submit(client, make_lines(200, tokens=100))
        assert measure_peak_load(fleet, 4.0) == 7
        client.batches.cancel(relaxed.id)
        wait_final(client, relaxed.id)
        submit(client, make_lines(200, first=200, tokens=100), window="1m")
        wait_until(lambda: measure_peak_load(fleet, 0.1) == 8, 10.0, "the whole worker")


def measure_peak_load(fleet: Fleet, seconds: float) -> int:
    """Return the highest number of requests that the worker ran at a time."""
    end, found = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        found = max(found, call(fleet.addresses["engine1"], "GET", "/load").json()["running"])
        time.sleep(0.05)
    return found
