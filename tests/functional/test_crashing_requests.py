"""Guards against a request that crashes more than two workers, even when it is sent again."""

import threading
import time
from pathlib import Path
from typing import Any

from harness import Answer, Fleet, call, publish, wait_until
from test_online import KEY, OnlineSite
from trefoilreach._internal.state.config import Route


def list_crashed(site: OnlineSite) -> list[str]:
    return [name for name in ("e0", "e1", "e2", "e3") if not site.fleet.process(name).alive]


def test_crashing_request_costs_two_workers_and_innocents_complete(tmp_path: Path) -> None:
    """Guards against a third crash by a request sent to three daemons, and against cut answers.

    Innocent requests are in flight on the same workers and must complete.
    """
    with Fleet(tmp_path) as fleet:
        site = OnlineSite(fleet, daemons=3, engines=4, token_interval="0.05")
        answers: list[Any] = []

        def send_innocent(number: int) -> None:
            answers.append(site.send_chat(f"innocent {number}", number % 3, max_tokens=60))

        threads = [threading.Thread(target=send_innocent, args=(number,)) for number in range(9)]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        first = site.send_chat("crash-the-engine", 0, max_tokens=4)
        assert first.status == 422
        assert first.headers["trefoilreach-verdict"] == "may-have-run"
        for daemon in (1, 2, 0, 1):
            again = site.send_chat("crash-the-engine", daemon, max_tokens=4)
            assert again.status == 422
            assert again.headers["trefoilreach-verdict"] == "not-run"
        assert len(list_crashed(site)) == 2
        for thread in threads:
            thread.join(30.0)
        assert [answer.status for answer in answers] == [200] * 9
        texts = [answer.json()["choices"][0]["message"]["content"] for answer in answers]
        assert all(len(text.split()) == 60 for text in texts)
        for name in list_crashed(site):
            fleet.restart_emulator("engine", name, *site.options)
        assert site.send_chat("innocent 1", 2, max_tokens=3).status == 200


def test_identical_crashing_requests_at_one_moment_cost_two_workers(tmp_path: Path) -> None:
    """Guards against each daemon losing a worker to identical requests sent at the same time."""
    with Fleet(tmp_path) as fleet:
        site = OnlineSite(fleet, daemons=4, engines=6, first_token="0.3")
        answers: list[Any] = []

        def send(daemon: int) -> None:
            answers.append(site.send_chat("crash-the-engine", daemon, max_tokens=4))

        threads = [threading.Thread(target=send, args=(number % 4,)) for number in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60.0)
        dead = [f"e{number}" for number in range(6) if not fleet.process(f"e{number}").alive]
        assert len(dead) == 2, dead
        assert {answer.status for answer in answers} == {422}
        assert site.send_chat("innocent", 1).status == 200


def test_innocent_in_flight_at_two_crashes_completes(tmp_path: Path) -> None:
    """Guards against refusing an innocent request whose trial runs beside a crashing one."""
    with Fleet(tmp_path) as fleet:
        site = OnlineSite(fleet, daemons=2, engines=3, token_interval="0.05", models="m,n0,n1,n2")
        pin_models(site)
        answers: list[Any] = []
        thread = threading.Thread(
            target=lambda: answers.append(site.send_chat("innocent", 0, max_tokens=120))
        )
        thread.start()
        for text in ("crash-the-engine x", "crash-the-engine y"):
            time.sleep(1.0)
            busy = wait_until(lambda: [n for n in range(3) if is_busy(site, n)], 10.0, "a worker")
            site.send_chat(text, 1, model=f"n{busy[0]}")
            assert not fleet.process(f"e{busy[0]}").alive
            fleet.restart_emulator("engine", f"e{busy[0]}", *site.options)

        def is_refused() -> bool:
            if not fleet.process(f"e{busy[0]}").alive:
                fleet.restart_emulator("engine", f"e{busy[0]}", *site.options)
            return bool(site.send_chat(text, 1, model=f"n{busy[0]}").status == 422)

        wait_until(is_refused, 20.0, "the request at fault to be refused")
        thread.join(40.0)
        assert [answer.status for answer in answers] == [200]
        text = answers[0].json()["choices"][0]["message"]["content"]
        assert len(text.split()) == 120


def pin_models(site: OnlineSite) -> None:
    """Give each worker a model that only this worker serves."""
    servers = [
        server._replace(routes=("m", f"n{number}"))
        for number, server in enumerate(site.document.servers[:3])
    ]
    routes = [Route(f"n{number}", work_class="counter") for number in range(3)]
    document = site.document._replace(
        version=2, routes=(*site.document.routes, *routes), servers=tuple(servers)
    )
    publish(site.fleet, document, expected=1)
    for daemon in site.daemons:
        wait_until(lambda d=daemon: call(d, "GET", "/healthz").json()["config_version"] == 2)


def is_busy(site: OnlineSite, number: int) -> bool:
    try:
        return site.fleet.process(f"e{number}").alive and site.load(f"e{number}") > 0
    except OSError:
        # An engine that was just started again does not listen yet, and runs nothing.
        return False


def test_suspects_are_refused_and_others_served_without_the_table(tmp_path: Path) -> None:
    """Guards against a second crash while the table is down, and against refusing others."""
    with Fleet(tmp_path) as fleet:
        site = OnlineSite(fleet, daemons=2, engines=4)
        fleet.set_faults(down=True)
        for daemon in (0, 1, 0):
            answer = site.send_chat("crash-the-engine", daemon)
            assert answer.status == 503
            assert "retry-after" in answer.headers
        assert len(list_crashed(site)) == 1
        assert site.send_chat("other", 1).status == 200
        fleet.set_faults()

        def is_refused() -> bool:
            return bool(site.send_chat("crash-the-engine", 1).status == 422)

        wait_until(is_refused, 15.0, "the request to be refused for good")
        assert len(list_crashed(site)) == 2
        assert call(site.daemons[0], "GET", "/healthz").status == 200


def test_crashing_service_call_costs_two_processes(tmp_path: Path) -> None:
    """Guards against a third crash by a non-repeatable service call sent to both VMs."""
    with Fleet(tmp_path) as fleet:
        site = OnlineSite(fleet, daemons=2, engines=1)

        def send(daemon: int) -> Answer:
            path = "/v1/services/echo/pay?crash=1"
            return call(site.daemons[daemon], "POST", path, b"bad", KEY)

        crashes = 0
        for daemon in (0, 1, 0, 1):
            answer = send(daemon)
            if not fleet.process("s0").alive:
                crashes += 1
                assert answer.headers["trefoilreach-verdict"] == "may-have-run"
                fleet.restart_emulator("service", "s0")
                time.sleep(1.5)
        assert crashes == 2
        assert (answer.status, answer.headers["trefoilreach-verdict"]) == (422, "not-run")
        good = call(site.daemons[0], "POST", "/v1/services/echo/pay", b"good", KEY)
        assert good.status == 200
