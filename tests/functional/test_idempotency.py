"""Tests that a request with an idempotency key runs once and keeps its first outcome."""

import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from harness import Answer, Fleet, call, wait_until
from test_online import KEY, OnlineSite, _send_and_disconnect


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[OnlineSite]:
    with Fleet(tmp_path_factory.mktemp("keyed")) as opened:
        yield OnlineSite(opened, daemons=2, token_interval="0.03")


def pay(site: OnlineSite, daemon: int, key: str, body: bytes = b"", query: str = "") -> Answer:
    path = f"/v1/services/echo/pay{query}"
    headers = {"Idempotency-Key": key}
    return call(site.daemons[daemon], "POST", path, body or key.encode(), KEY, headers)


def count_runs(site: OnlineSite, name: str) -> int:
    return int(call(site.fleet.addresses["s0"], "GET", "/_calls").json().get(name, 0))


def test_resend_to_another_vm_gets_the_first_outcome(site: OnlineSite) -> None:
    """Guards against a second run of a resend, and against a key used for two requests."""
    first = pay(site, 0, "order-1")
    again = pay(site, 1, "order-1")
    assert (first.status, again.status) == (200, 200)
    assert again.data == first.data
    assert count_runs(site, "order-1") == 1
    other = pay(site, 1, "order-1", b"another body")
    assert other.status == 422
    assert count_runs(site, "another body") == 0


def test_dropped_answer_is_never_run_again(site: OnlineSite) -> None:
    """Guards against a resend that repeats a call whose answer was lost, or hides that it ran."""
    answers = [pay(site, number % 2, "order-2", query="?drop=1") for number in range(4)]
    assert {answer.status for answer in answers} == {502}
    assert {answer.headers["trefoilreach-verdict"] for answer in answers} == {"may-have-run"}
    assert count_runs(site, "order-2") == 1


def test_resend_while_the_first_call_runs(site: OnlineSite) -> None:
    """Guards against concurrent runs of one key, and against a resend without its outcome."""
    answers: list[Answer] = []

    def send(daemon: int) -> None:
        answers.append(pay(site, daemon, "order-3", query="?delay=1.5"))

    threads = [threading.Thread(target=send, args=(number % 2,)) for number in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(answer.status for answer in answers) == [200] + [409] * 5
    assert count_runs(site, "order-3") == 1
    assert pay(site, 1, "order-3", query="?delay=1.5").json()["run"] == 1


@pytest.mark.parametrize("stream", [False, True])
def test_completion_goes_on_for_a_caller_who_resends(site: OnlineSite, stream: bool) -> None:
    """Guards against a second run when a caller disconnects and resends to another VM."""
    body = {"model": "m", "prompt": f"keyed {stream}", "max_tokens": 50, "stream": stream}
    headers = {"Idempotency-Key": f"text-{stream}"}
    before = len(site.list_seen_requests("e0")) + len(site.list_seen_requests("e1"))
    _send_and_disconnect(site.daemons[0], body, headers)

    def resend() -> Answer:
        return call(site.daemons[1], "POST", "/v1/completions", body, KEY, headers)

    assert resend().status == 409
    done = wait_until(lambda: (a := resend()).status == 200 and a, 10.0)
    if stream:
        assert done.data.count(b"data: ") == 51 and done.data.endswith(b"[DONE]\n\n")
    else:
        assert len(done.json()["choices"][0]["text"].split()) == 50
    assert len(site.list_seen_requests("e0")) + len(site.list_seen_requests("e1")) == before + 1


def test_request_while_the_table_is_down_is_refused_as_not_run_and_frees_its_key(
    site: OnlineSite,
) -> None:
    """Guards against a key that stays claimed although its request was refused."""
    site.fleet.set_faults(down=True)
    refused = pay(site, 0, "order-4")
    site.fleet.set_faults()
    assert (refused.status, refused.headers["trefoilreach-verdict"]) == (503, "not-run")
    assert count_runs(site, "order-4") == 0
    assert wait_until(lambda: pay(site, 1, "order-4").status == 200, 5.0)
    site.fleet.set_faults(lose_answers=1)
    assert pay(site, 1, "order-5").status == 200
    # If the lost answer was that of the outcome's write, the outcome is written 1 s later.
    again = wait_until(lambda: (a := pay(site, 0, "order-5")).status != 409 and a, 5.0)
    assert (again.status, again.json()["run"]) == (200, 1)


def test_outcome_after_the_first_vm_is_gone_is_unknown(tmp_path: Path) -> None:
    """Guards against a second run, or the verdict "not-run", after the VM died during the call."""
    with Fleet(tmp_path) as fleet:
        site = OnlineSite(fleet, daemons=2)
        results: list[Any] = []

        def send() -> None:
            try:
                results.append(pay(site, 0, "order-6", query="?delay=3"))
            except OSError:
                results.append(None)

        thread = threading.Thread(target=send)
        thread.start()
        wait_until(lambda: count_runs(site, "order-6") == 1)
        fleet.process("vm1").signal(signal.SIGKILL)
        thread.join()
        time.sleep(0.5)

        def settled() -> Answer | None:
            answer = pay(site, 1, "order-6", query="?delay=3")
            # Polling may exceed the rate of the one remaining daemon.
            return None if answer.status in (409, 429) else answer

        answer = wait_until(settled, 20.0)
        assert answer.status == 502
        assert answer.headers["trefoilreach-verdict"] == "may-have-run"
        assert count_runs(site, "order-6") == 1
