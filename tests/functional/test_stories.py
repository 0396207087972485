"""Guards against failures in the usual workflows of operators and callers."""

import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import orjson
import pytest
from harness import OPERATOR_KEY, Answer, call, wait_until
from pytest_bdd import given, parsers, scenarios, then, when
from site_fixture import Site

CHAT = "/v1/chat/completions"
WITHDRAWAL_LIMIT_SECONDS = 5.0

# One test process starts the shared site.
pytestmark = pytest.mark.xdist_group("site")
scenarios("features/operators.feature", "features/callers.feature")


@pytest.fixture
def story() -> dict[str, Any]:
    """Values that the steps of one scenario share."""
    return {}


def complete(site: Site, key: str, daemon: int = 0, model: str = "m", tokens: int = 2) -> Answer:
    body = {
        "model": model,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "hi"}],
    }
    return call(site.daemons[daemon], "POST", CHAT, body, key)


def complete_together(site: Site, count: int) -> list[Answer]:
    """Send requests concurrently, each with its own prompt.

    With the same prompt, cache affinity could route all of them to one backend server.
    """

    def send(number: int) -> Answer:
        messages = [{"role": "user", "content": f"part {number}"}]
        body = {"model": "m", "max_tokens": 2, "messages": messages}
        return call(site.daemons[number % 2], "POST", CHAT, body, site.keys["shop"])

    with ThreadPoolExecutor(count) as pool:
        return list(pool.map(send, range(count)))


def list_seen_requests(site: Site, server: str) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = call(site.fleet.addresses[server], "GET", "/seen").json()[
        "requests"
    ]
    return found


@when(parsers.parse('the operator adds the account "{name}" with rate {rate} and burst {burst}'))
def add_account(site: Site, name: str, rate: str, burst: str) -> None:
    process = site.ctl(OPERATOR_KEY, "account", "set", name, "--rate", rate, "--burst", burst)
    assert process.returncode == 0, process.stderr


@when(parsers.parse('the operator grants a key to "{name}"'))
def grant_key(site: Site, story: dict[str, Any], name: str) -> None:
    process = site.ctl(OPERATOR_KEY, "key", "grant", name)
    assert process.returncode == 0, process.stderr
    words = process.stdout.split()
    story["id"], story["key"] = words[1], words[3]


@then("the key completes a request on every daemon")
def check_key_works(site: Site, story: dict[str, Any]) -> None:
    for daemon in range(len(site.daemons)):
        wait_until(
            lambda at=daemon: complete(site, story["key"], at).status == 200, 10, "the new key"
        )


@given(parsers.parse('a key of the account "{name}" that works on every daemon'))
def make_working_key(site: Site, story: dict[str, Any], name: str) -> None:
    story["id"], story["key"] = site.grant(name)
    check_key_works(site, story)


@when("the operator withdraws the key")
def withdraw_key(site: Site, story: dict[str, Any]) -> None:
    process = site.ctl(OPERATOR_KEY, "key", "withdraw", story["id"])
    assert process.returncode == 0, process.stderr


@then("within 5 seconds every daemon refuses the key")
def check_key_refused(site: Site, story: dict[str, Any]) -> None:
    for daemon in range(len(site.daemons)):
        wait_until(
            lambda at=daemon: complete(site, story["key"], at).status == 401,
            WITHDRAWAL_LIMIT_SECONDS,
            "the withdrawal",
        )


@when(parsers.parse('two operators change the account "{name}" against the same version'))
def change_concurrently(site: Site, story: dict[str, Any], name: str) -> None:
    version = site.ctl(OPERATOR_KEY, "config", "history", "--limit", "1").stdout.split()[2]
    story["first"], story["second"] = (
        site.ctl(OPERATOR_KEY, "account", "set", name, "--rate", rate, "--if-version", version)
        for rate in ("201", "202")
    )
    story["version"] = int(version) + 1


@then("one of them is told which version is in force")
def check_loser_message(story: dict[str, Any]) -> None:
    assert story["first"].returncode == 0
    assert story["second"].returncode != 0
    assert f"version {story['version']} is in force" in story["second"].stderr


@then(parsers.parse('the account "{name}" is as the winner set it'))
def check_winner_change(site: Site, name: str) -> None:
    shown = call(site.daemons[0], "GET", f"/v1/admin/accounts/{name}", key=OPERATOR_KEY)
    assert shown.json()["entry"]["rate"] == 201


@when(parsers.parse('the operator deletes the route "{name}"'))
def delete_route(site: Site, story: dict[str, Any], name: str) -> None:
    story["done"] = site.ctl(OPERATOR_KEY, "route", "delete", name)


@then("the command fails and names the backend servers that use it")
def check_servers_named(story: dict[str, Any]) -> None:
    assert story["done"].returncode != 0
    assert "'engine1'" in story["done"].stderr and "'engine2'" in story["done"].stderr


@given(parsers.parse('a request was served by "{server}"'))
def wait_until_served_by(site: Site, server: str) -> None:
    def reached() -> bool:
        complete_together(site, 4)
        return bool(list_seen_requests(site, server))

    wait_until(reached, 10, server)


@when(parsers.parse('the operator marks "{server}" as leaving'))
def mark_leaving(site: Site, server: str) -> None:
    process = site.ctl(OPERATOR_KEY, "server", "leave", server)
    assert process.returncode == 0, process.stderr


@then(parsers.parse('after 3 seconds no request reaches "{server}"'))
def check_no_new_requests(site: Site, server: str) -> None:
    time.sleep(3)
    before = len(list_seen_requests(site, server))
    for _ in range(5):
        assert {answer.status for answer in complete_together(site, 4)} == {200}
    assert len(list_seen_requests(site, server)) == before
    site.change("PUT", f"/servers/{server}", _describe_as_live(site, server))


def _describe_as_live(site: Site, server: str) -> dict[str, Any]:
    shown = call(site.daemons[0], "GET", f"/v1/admin/servers/{server}", key=OPERATOR_KEY)
    return {**shown.json()["entry"], "state": "live"}


@when("a caller lists the accounts with its own key")
def list_as_caller(site: Site, story: dict[str, Any]) -> None:
    story["done"] = site.ctl(site.keys["shop"], "account", "list")


@then("the command fails with one line that says which role is needed")
def check_one_error_line(story: dict[str, Any]) -> None:
    assert story["done"].returncode != 0
    assert story["done"].stderr.count("\n") == 1
    assert "role operator" in story["done"].stderr


@when(parsers.parse('the caller of "{account}" asks for {tokens:d} tokens of the model "{model}"'))
def request_tokens(
    site: Site, story: dict[str, Any], account: str, tokens: int, model: str
) -> None:
    story["answer"] = complete(site, site.keys[account], 0, model, tokens)


@then(parsers.parse("the answer has {tokens:d} tokens"))
def check_token_count(story: dict[str, Any], tokens: int) -> None:
    text = story["answer"].json()["choices"][0]["message"]["content"]
    assert len(text.split()) == tokens


@then(parsers.parse('no backend server saw the key of "{account}"'))
def check_key_unseen(site: Site, account: str) -> None:
    for server in ("engine1", "engine2"):
        assert site.keys[account] not in str(list_seen_requests(site, server))


@then(parsers.parse("the request is refused with {status:d} and was not run"))
def refused(story: dict[str, Any], status: int) -> None:
    assert story["answer"].status == status
    assert story["answer"].headers["trefoilreach-verdict"] == "not-run"


def write_batch_input(folder: Path, count: int, tokens: int = 2) -> str:
    lines = [
        {
            "custom_id": f"i{number}",
            "method": "POST",
            "url": CHAT,
            "body": {
                "model": "m",
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": f"item {number}"}],
            },
        }
        for number in range(count)
    ]
    path = folder / "items.jsonl"
    path.write_bytes(b"".join(orjson.dumps(line) + b"\n" for line in lines))
    return str(path)


@when(parsers.parse('the caller of "{account}" submits a batch of {count:d} items and waits'))
def submit_and_wait(
    site: Site, story: dict[str, Any], tmp_path: Path, account: str, count: int
) -> None:
    path = write_batch_input(tmp_path, count)
    story["done"] = site.ctl(site.keys[account], "batch", "submit", path, "--wait", "--json")


@then(parsers.parse("the command succeeds and reports {count:d} completed items"))
def check_completed_count(story: dict[str, Any], count: int) -> None:
    assert story["done"].returncode == 0, story["done"].stderr
    story["batch"] = orjson.loads(story["done"].stdout)
    assert story["batch"]["request_counts"] == {"total": count, "completed": count, "failed": 0}


@then(parsers.parse("the result has one line for each of the {count:d} items"))
def check_result_lines(site: Site, story: dict[str, Any], count: int) -> None:
    process = site.ctl(site.keys["shop"], "batch", "result", story["batch"]["id"])
    names = [orjson.loads(line)["custom_id"] for line in process.stdout.splitlines()]
    assert sorted(names) == sorted(f"i{number}" for number in range(count))


@when(parsers.parse('the caller of "{account}" submits a batch of {count:d} items'))
def submit_batch(
    site: Site, story: dict[str, Any], tmp_path: Path, account: str, count: int
) -> None:
    path = write_batch_input(tmp_path, count, 64)
    process = site.ctl(site.keys[account], "batch", "submit", path, "--json")
    assert process.returncode == 0, process.stderr
    story["batch"] = orjson.loads(process.stdout)


@when("the caller cancels the job")
def cancel_job(site: Site, story: dict[str, Any]) -> None:
    time.sleep(1)
    process = site.ctl(site.keys["shop"], "batch", "cancel", story["batch"]["id"])
    assert process.returncode == 0, process.stderr


@then("the job ends as cancelled and no more items complete")
def check_stays_cancelled(site: Site, story: dict[str, Any]) -> None:
    path = f"/v1/batches/{story['batch']['id']}"

    def read() -> dict[str, Any]:
        found: dict[str, Any] = call(site.daemons[1], "GET", path, key=site.keys["shop"]).json()
        return found

    wait_until(lambda: read()["status"] == "cancelled", 30, "the cancellation")
    before = read()["request_counts"]
    time.sleep(1.5)
    assert read()["request_counts"] == before
    assert before["completed"] < before["total"]


@when(parsers.parse('the caller of "{account}" sends {count:d} requests at once over all daemons'))
def send_many(site: Site, story: dict[str, Any], account: str, count: int) -> None:
    with ThreadPoolExecutor(10) as pool:
        story["answers"] = list(
            pool.map(lambda n: complete(site, site.keys[account], n % 2, tokens=1), range(count))
        )


@then("at least one is refused with 429, was not run and names the time to come back")
def check_retry_delay(story: dict[str, Any]) -> None:
    assert {answer.status for answer in story["answers"]} == {200, 429}
    refused = [answer for answer in story["answers"] if answer.status == 429]
    assert all(answer.headers["trefoilreach-verdict"] == "not-run" for answer in refused)
    story["wait"] = max(float(answer.headers["retry-after"]) for answer in refused)


@then(parsers.parse('after that time a request of "{account}" is served'))
def check_served_after_delay(site: Site, story: dict[str, Any], account: str) -> None:
    time.sleep(story["wait"])
    wait_until(lambda: complete(site, site.keys[account]).status == 200, 5, "the retry")


@when(
    parsers.parse(
        'the caller of "{account}" submits {count:d} items twice under one idempotency key'
    )
)
def submit_twice(
    site: Site, story: dict[str, Any], tmp_path: Path, account: str, count: int
) -> None:
    path = write_batch_input(tmp_path, count)
    arguments = ("batch", "submit", path, "--idempotency-key", "resend-1", "--json")
    story["jobs"] = [site.ctl(site.keys[account], *arguments) for _ in range(2)]


@then("both answers name the same job")
def check_same_job(story: dict[str, Any]) -> None:
    assert [process.returncode for process in story["jobs"]] == [0, 0], story["jobs"]
    first, second = (orjson.loads(process.stdout)["id"] for process in story["jobs"])
    assert first == second
