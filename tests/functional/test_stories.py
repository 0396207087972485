"""Guards against stories of operators and callers that stop half-way."""

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
WITHDRAW_SECONDS = 5.0

# One test process starts the shared site.
pytestmark = pytest.mark.xdist_group("site")
scenarios("features/operators.feature", "features/callers.feature")


@pytest.fixture
def story() -> dict[str, Any]:
    """What the steps of one scenario tell each other."""
    return {}


def complete(site: Site, key: str, daemon: int = 0, model: str = "m", tokens: int = 2) -> Answer:
    body = {
        "model": model,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "hi"}],
    }
    return call(site.daemons[daemon], "POST", CHAT, body, key)


def complete_together(site: Site, count: int) -> list[Answer]:
    """Send requests at once, each with a prompt of its own, so that no cache binds them."""

    def send(number: int) -> Answer:
        messages = [{"role": "user", "content": f"part {number}"}]
        body = {"model": "m", "max_tokens": 2, "messages": messages}
        return call(site.daemons[number % 2], "POST", CHAT, body, site.keys["shop"])

    with ThreadPoolExecutor(count) as pool:
        return list(pool.map(send, range(count)))


def requests_seen(site: Site, server: str) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = call(site.fleet.addresses[server], "GET", "/seen").json()[
        "requests"
    ]
    return found


@when(parsers.parse('the operator adds the account "{name}" with rate {rate} and burst {burst}'))
def add_account(site: Site, name: str, rate: str, burst: str) -> None:
    done = site.ctl(OPERATOR_KEY, "account", "set", name, "--rate", rate, "--burst", burst)
    assert done.returncode == 0, done.stderr


@when(parsers.parse('the operator grants a key to "{name}"'))
def grant(site: Site, story: dict[str, Any], name: str) -> None:
    done = site.ctl(OPERATOR_KEY, "key", "grant", name)
    assert done.returncode == 0, done.stderr
    words = done.stdout.split()
    story["id"], story["key"] = words[1], words[3]


@then("the key completes a request on every daemon")
def key_works(site: Site, story: dict[str, Any]) -> None:
    for daemon in range(len(site.daemons)):
        wait_until(
            lambda at=daemon: complete(site, story["key"], at).status == 200, 10, "the new key"
        )


@given(parsers.parse('a key of the account "{name}" that works on every daemon'))
def working_key(site: Site, story: dict[str, Any], name: str) -> None:
    story["id"], story["key"] = site.grant(name)
    key_works(site, story)


@when("the operator withdraws the key")
def withdraw(site: Site, story: dict[str, Any]) -> None:
    done = site.ctl(OPERATOR_KEY, "key", "withdraw", story["id"])
    assert done.returncode == 0, done.stderr


@then("within 5 seconds every daemon refuses the key")
def key_refused(site: Site, story: dict[str, Any]) -> None:
    for daemon in range(len(site.daemons)):
        wait_until(
            lambda at=daemon: complete(site, story["key"], at).status == 401,
            WITHDRAW_SECONDS,
            "the withdrawal",
        )


@when(parsers.parse('two operators change the account "{name}" against the same version'))
def race(site: Site, story: dict[str, Any], name: str) -> None:
    version = site.ctl(OPERATOR_KEY, "config", "history", "--limit", "1").stdout.split()[2]
    story["first"], story["second"] = (
        site.ctl(OPERATOR_KEY, "account", "set", name, "--rate", rate, "--if-version", version)
        for rate in ("201", "202")
    )
    story["version"] = int(version) + 1


@then("one of them is told which version is in force")
def loser_told(story: dict[str, Any]) -> None:
    assert story["first"].returncode == 0
    assert story["second"].returncode != 0
    assert f"version {story['version']} is in force" in story["second"].stderr


@then(parsers.parse('the account "{name}" is as the winner set it'))
def winner_kept(site: Site, name: str) -> None:
    shown = call(site.daemons[0], "GET", f"/v1/admin/accounts/{name}", key=OPERATOR_KEY)
    assert shown.json()["entry"]["rate"] == 201


@when(parsers.parse('the operator deletes the route "{name}"'))
def delete_route(site: Site, story: dict[str, Any], name: str) -> None:
    story["done"] = site.ctl(OPERATOR_KEY, "route", "delete", name)


@then("the command fails and names the backend servers that use it")
def names_servers(story: dict[str, Any]) -> None:
    assert story["done"].returncode != 0
    assert "'engine1'" in story["done"].stderr and "'engine2'" in story["done"].stderr


@given(parsers.parse('a request was served by "{server}"'))
def served_by(site: Site, server: str) -> None:
    def reached() -> bool:
        complete_together(site, 4)
        return bool(requests_seen(site, server))

    wait_until(reached, 10, server)


@when(parsers.parse('the operator marks "{server}" as leaving'))
def leave(site: Site, server: str) -> None:
    done = site.ctl(OPERATOR_KEY, "server", "leave", server)
    assert done.returncode == 0, done.stderr


@then(parsers.parse('after 3 seconds no request reaches "{server}"'))
def no_new_work(site: Site, server: str) -> None:
    time.sleep(3)
    before = len(requests_seen(site, server))
    for _ in range(5):
        assert {answer.status for answer in complete_together(site, 4)} == {200}
    assert len(requests_seen(site, server)) == before
    site.change("PUT", f"/servers/{server}", _as_live(site, server))


def _as_live(site: Site, server: str) -> dict[str, Any]:
    shown = call(site.daemons[0], "GET", f"/v1/admin/servers/{server}", key=OPERATOR_KEY)
    return {**shown.json()["entry"], "state": "live"}


@when("a caller lists the accounts with its own key")
def list_as_caller(site: Site, story: dict[str, Any]) -> None:
    story["done"] = site.ctl(site.keys["shop"], "account", "list")


@then("the command fails with one line that says which role is needed")
def one_line(story: dict[str, Any]) -> None:
    assert story["done"].returncode != 0
    assert story["done"].stderr.count("\n") == 1
    assert "role operator" in story["done"].stderr


@when(parsers.parse('the caller of "{account}" asks for {tokens:d} tokens of the model "{model}"'))
def ask(site: Site, story: dict[str, Any], account: str, tokens: int, model: str) -> None:
    story["answer"] = complete(site, site.keys[account], 0, model, tokens)


@then(parsers.parse("the answer has {tokens:d} tokens"))
def has_tokens(story: dict[str, Any], tokens: int) -> None:
    text = story["answer"].json()["choices"][0]["message"]["content"]
    assert len(text.split()) == tokens


@then(parsers.parse('no backend server saw the key of "{account}"'))
def key_unseen(site: Site, account: str) -> None:
    for server in ("engine1", "engine2"):
        assert site.keys[account] not in str(requests_seen(site, server))


@then(parsers.parse("the request is refused with {status:d} and was not run"))
def refused(story: dict[str, Any], status: int) -> None:
    assert story["answer"].status == status
    assert story["answer"].headers["trefoilreach-verdict"] == "not-run"


def write_items(folder: Path, count: int, tokens: int = 2) -> str:
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
    path = write_items(tmp_path, count)
    story["done"] = site.ctl(site.keys[account], "batch", "submit", path, "--wait", "--json")


@then(parsers.parse("the command succeeds and reports {count:d} completed items"))
def reports_completed(story: dict[str, Any], count: int) -> None:
    assert story["done"].returncode == 0, story["done"].stderr
    story["batch"] = orjson.loads(story["done"].stdout)
    assert story["batch"]["request_counts"] == {"total": count, "completed": count, "failed": 0}


@then(parsers.parse("the result has one line for each of the {count:d} items"))
def one_line_each(site: Site, story: dict[str, Any], count: int) -> None:
    done = site.ctl(site.keys["shop"], "batch", "result", story["batch"]["id"])
    names = [orjson.loads(line)["custom_id"] for line in done.stdout.splitlines()]
    assert sorted(names) == sorted(f"i{number}" for number in range(count))


@when(parsers.parse('the caller of "{account}" submits a batch of {count:d} items'))
def submit(site: Site, story: dict[str, Any], tmp_path: Path, account: str, count: int) -> None:
    path = write_items(tmp_path, count, 64)
    done = site.ctl(site.keys[account], "batch", "submit", path, "--json")
    assert done.returncode == 0, done.stderr
    story["batch"] = orjson.loads(done.stdout)


@when("the caller cancels the job")
def cancel(site: Site, story: dict[str, Any]) -> None:
    time.sleep(1)
    done = site.ctl(site.keys["shop"], "batch", "cancel", story["batch"]["id"])
    assert done.returncode == 0, done.stderr


@then("the job ends as cancelled and no more items complete")
def stays_cancelled(site: Site, story: dict[str, Any]) -> None:
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
def names_time(story: dict[str, Any]) -> None:
    assert {answer.status for answer in story["answers"]} == {200, 429}
    refused = [answer for answer in story["answers"] if answer.status == 429]
    assert all(answer.headers["trefoilreach-verdict"] == "not-run" for answer in refused)
    story["wait"] = max(float(answer.headers["retry-after"]) for answer in refused)


@then(parsers.parse('after that time a request of "{account}" is served'))
def served_later(site: Site, story: dict[str, Any], account: str) -> None:
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
    path = write_items(tmp_path, count)
    arguments = ("batch", "submit", path, "--idempotency-key", "resend-1", "--json")
    story["jobs"] = [site.ctl(site.keys[account], *arguments) for _ in range(2)]


@then("both answers name the same job")
def same_job(story: dict[str, Any]) -> None:
    assert [done.returncode for done in story["jobs"]] == [0, 0], story["jobs"]
    first, second = (orjson.loads(done.stdout)["id"] for done in story["jobs"])
    assert first == second
