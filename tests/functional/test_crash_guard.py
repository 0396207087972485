"""Guards against a request that crashes more than two workers, also when it is resent."""

import threading
import time
from pathlib import Path
from typing import Any

from harness import Fleet, call, wait_until
from test_online import Site


def crashed(site: Site) -> list[str]:
    return [name for name in ("e0", "e1", "e2", "e3") if not site.fleet.process(name).alive]


def test_crashing_request_costs_two_workers_and_innocents_complete(tmp_path: Path) -> None:
    """One caller resends a crashing prompt to three daemons while others run beside it."""
    with Fleet(tmp_path) as fleet:
        site = Site(fleet, daemons=3, engines=4, token_interval="0.05")
        answers: list[Any] = []

        def work(number: int) -> None:
            answers.append(site.ask(f"innocent {number}", number % 3, max_tokens=60))

        threads = [threading.Thread(target=work, args=(number,)) for number in range(9)]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        first = site.ask("crash-the-engine", 0, max_tokens=4)
        assert first.status == 422
        assert first.headers["trefoilreach-verdict"] == "may-have-run"
        for daemon in (1, 2, 0, 1):
            again = site.ask("crash-the-engine", daemon, max_tokens=4)
            assert again.status == 422
            assert again.headers["trefoilreach-verdict"] == "not-run"
        assert len(crashed(site)) == 2
        for thread in threads:
            thread.join(30.0)
        assert [answer.status for answer in answers] == [200] * 9
        texts = [answer.json()["choices"][0]["message"]["content"] for answer in answers]
        assert all(len(text.split()) == 60 for text in texts)
        for name in crashed(site):
            fleet.restart_emulator("engine", name, *site.options)
        assert site.ask("innocent 1", 2, max_tokens=3).status == 200


def test_suspects_are_refused_and_others_served_without_the_table(tmp_path: Path) -> None:
    """The table is down when the worker dies: the request must not take another one."""
    with Fleet(tmp_path) as fleet:
        site = Site(fleet, daemons=2, engines=4)
        fleet.set_faults(down=True)
        for daemon in (0, 1, 0):
            answer = site.ask("crash-the-engine", daemon)
            assert answer.status == 503
            assert "retry-after" in answer.headers
        assert len(crashed(site)) == 1
        assert site.ask("other", 1).status == 200
        fleet.set_faults()

        def rejected() -> bool:
            return bool(site.ask("crash-the-engine", 1).status == 422)

        wait_until(rejected, 15.0, "the request to be refused for good")
        assert len(crashed(site)) == 2
        assert call(site.daemons[0], "GET", "/healthz").status == 200
