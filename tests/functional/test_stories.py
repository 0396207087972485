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
def context() -> dict[str, Any]:
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
    completed = site.ctl(OPERATOR_KEY, "account", "set", name, "--rate", rate, "--burst", burst)
    assert completed.returncode == 0, completed.stderr


@when(parsers.parse('the operator grants a key to "{name}"'))
def grant_key(site: Site, context: dict[str, Any], name: str) -> None:
    completed = site.ctl(OPERATOR_KEY, "key", "grant", name)
    assert completed.returncode == 0, completed.stderr
    words = completed.stdout.split()
    context["id"], context["key"] = words[1], words[3]


@then("the key completes a request on every daemon")
def check_key_works(site: Site, context: dict[str, Any]) -> None:
    for daemon in range(len(site.daemons)):
        wait_until(
            lambda at=daemon: complete(site, context["key"], at).status == 200, 10, "the new key"
        )


@given(parsers.parse('a key of the account "{name}" that works on every daemon'))
def make_working_key(site: Site, context: dict[str, Any], name: str) -> None:
    context["id"], context["key"] = site.grant(name)
    check_key_works(site, context)


@when("the operator withdraws the key")
def withdraw_key(site: Site, context: dict[str, Any]) -> None:
    completed = site.ctl(OPERATOR_KEY, "key", "withdraw", context["id"])
    assert completed.returncode == 0, completed.stderr


@then("within 5 seconds every daemon refuses the key")
def check_key_refused(site: Site, context: dict[str, Any]) -> None:
    for daemon in range(len(site.daemons)):
        wait_until(
            lambda at=daemon: complete(site, context["key"], at).status == 401,
            WITHDRAWAL_LIMIT_SECONDS,
            "the withdrawal",
        )


@when(parsers.parse('two operators change the account "{name}" against the same version'))
def change_concurrently(site: Site, context: dict[str, Any], name: str) -> None:
    version = site.ctl(OPERATOR_KEY, "config", "history", "--limit", "1").stdout.split()[2]
    context["first"], context["second"] = (
        site.ctl(OPERATOR_KEY, "account", "set", name, "--rate", rate, "--if-version", version)
        for rate in ("201", "202")
    )
    context["version"] = int(version) + 1


@then("one of them is told which version is in force")
def check_loser_message(context: dict[str, Any]) -> None:
    assert context["first"].returncode == 0
    assert context["second"].returncode != 0
    assert f"version {context['version']} is in force" in context["second"].stderr


@then(parsers.parse('the account "{name}" is as the winner set it'))
def check_winner_change(site: Site, name: str) -> None:
    shown = call(site.daemons[0], "GET", f"/v1/admin/accounts/{name}", key=OPERATOR_KEY)
    assert shown.json()["entry"]["rate"] == 201


@when(parsers.parse('the operator deletes the route "{name}"'))
def delete_route(site: Site, context: dict[str, Any], name: str) -> None:
    context["done"] = site.ctl(OPERATOR_KEY, "route", "delete", name)


@then("the command fails and names the backend servers that use it")
def check_servers_named(context: dict[str, Any]) -> None:
    assert context["done"].returncode != 0
    assert "'engine1'" in context["done"].stderr and "'engine2'" in context["done"].stderr


@given(parsers.parse('a request was served by "{server}"'))
def wait_until_served_by(site: Site, server: str) -> None:
    def reached() -> bool:
        complete_together(site, 4)
        return bool(list_seen_requests(site, server))

    wait_until(reached, 10, server)


@when(parsers.parse('the operator marks "{server}" as leaving'))
def mark_leaving(site: Site, server: str) -> None:
    completed = site.ctl(OPERATOR_KEY, "server", "leave", server)
    assert completed.returncode == 0, completed.stderr


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
def list_as_caller(site: Site, context: dict[str, Any]) -> None:
    context["done"] = site.ctl(site.keys["shop"], "account", "list")


@then("the command fails with one line that says which role is needed")
def check_one_error_line(context: dict[str, Any]) -> None:
    assert context["done"].returncode != 0
    assert context["done"].stderr.count("\n") == 1
    assert "role operator" in context["done"].stderr


@when(parsers.parse('the caller of "{account}" asks for {tokens:d} tokens of the model "{model}"'))
def request_tokens(
    site: Site, context: dict[str, Any], account: str, tokens: int, model: str
) -> None:
    context["answer"] = complete(site, site.keys[account], 0, model, tokens)


@then(parsers.parse("the answer has {tokens:d} tokens"))
def check_token_count(context: dict[str, Any], tokens: int) -> None:
    text = context["answer"].json()["choices"][0]["message"]["content"]
    assert len(text.split()) == tokens


@then(parsers.parse('no backend server saw the key of "{account}"'))
def check_key_unseen(site: Site, account: str) -> None:
    for server in ("engine1", "engine2"):
        assert site.keys[account] not in str(list_seen_requests(site, server))


@then(parsers.parse("the request is refused with {status:d} and was not run"))
def refused(context: dict[str, Any], status: int) -> None:
    assert context["answer"].status == status
    assert context["answer"].headers["trefoilreach-verdict"] == "not-run"


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
    site: Site, context: dict[str, Any], tmp_path: Path, account: str, count: int
) -> None:
    path = write_batch_input(tmp_path, count)
    context["done"] = site.ctl(site.keys[account], "batch", "submit", path, "--wait", "--json")


@then(parsers.parse("the command succeeds and reports {count:d} completed items"))
def check_completed_count(context: dict[str, Any], count: int) -> None:
    assert context["done"].returncode == 0, context["done"].stderr
    context["batch"] = orjson.loads(context["done"].stdout)
    assert context["batch"]["request_counts"] == {"total": count, "completed": count, "failed": 0}


@then(parsers.parse("the result has one line for each of the {count:d} items"))
def check_result_lines(site: Site, context: dict[str, Any], count: int) -> None:
    completed = site.ctl(site.keys["shop"], "batch", "result", context["batch"]["id"])
    names = [orjson.loads(line)["custom_id"] for line in completed.stdout.splitlines()]
    assert sorted(names) == sorted(f"i{number}" for number in range(count))


@when(parsers.parse('the caller of "{account}" submits a batch of {count:d} items'))
def submit_batch(
    site: Site, context: dict[str, Any], tmp_path: Path, account: str, count: int
) -> None:
    path = write_batch_input(tmp_path, count, 64)
    completed = site.ctl(site.keys[account], "batch", "submit", path, "--json")
    assert completed.returncode == 0, completed.stderr
    context["batch"] = orjson.loads(completed.stdout)


@when("the caller cancels the job")
def cancel_job(site: Site, context: dict[str, Any]) -> None:
    time.sleep(1)
    completed = site.ctl(site.keys["shop"], "batch", "cancel", context["batch"]["id"])
    assert completed.returncode == 0, completed.stderr


@then("the job ends as cancelled and no more items complete")
def check_stays_cancelled(site: Site, context: dict[str, Any]) -> None:
    path = f"/v1/batches/{context['batch']['id']}"

    def read() -> dict[str, Any]:
        found: dict[str, Any] = call(site.daemons[1], "GET", path, key=site.keys["shop"]).json()
        return found

    wait_until(lambda: read()["status"] == "cancelled", 30, "the cancellation")
    before = read()["request_counts"]
    time.sleep(1.5)
    assert read()["request_counts"] == before
    assert before["completed"] < before["total"]


@when(parsers.parse('the caller of "{account}" sends {count:d} requests at once over all daemons'))
def send_many(site: Site, context: dict[str, Any], account: str, count: int) -> None:
    with ThreadPoolExecutor(10) as pool:
        context["answers"] = list(
            pool.map(lambda n: complete(site, site.keys[account], n % 2, tokens=1), range(count))
        )


@then("at least one is refused with 429, was not run and names the time to come back")
def check_retry_delay(context: dict[str, Any]) -> None:
    assert {answer.status for answer in context["answers"]} == {200, 429}
    refused = [answer for answer in context["answers"] if answer.status == 429]
    assert all(answer.headers["trefoilreach-verdict"] == "not-run" for answer in refused)
    context["wait"] = max(float(answer.headers["retry-after"]) for answer in refused)


@then(parsers.parse('after that time a request of "{account}" is served'))
def check_served_after_delay(site: Site, context: dict[str, Any], account: str) -> None:
    time.sleep(context["wait"])
    wait_until(lambda: complete(site, site.keys[account]).status == 200, 5, "the retry")


@when(
    parsers.parse(
        'the caller of "{account}" submits {count:d} items twice under one idempotency key'
    )
)
def submit_twice(
    site: Site, context: dict[str, Any], tmp_path: Path, account: str, count: int
) -> None:
    path = write_batch_input(tmp_path, count)
    arguments = ("batch", "submit", path, "--idempotency-key", "resend-1", "--json")
    context["jobs"] = [site.ctl(site.keys[account], *arguments) for _ in range(2)]


@then("both answers name the same job")
def check_same_job(context: dict[str, Any]) -> None:
    assert [completed.returncode for completed in context["jobs"]] == [0, 0], context["jobs"]
    first, second = (orjson.loads(completed.stdout)["id"] for completed in context["jobs"])
    assert first == second
