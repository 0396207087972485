"""Guards against late or exchanged answers of an engine that reach another request's caller."""

import threading
import time
from pathlib import Path
from typing import Any

from harness import Fleet
from test_online import OnlineSite
from trefoilreach_emulator._internal.engine import make_words

_ANSWER_TOKENS = 6


def ask_concurrently(site: OnlineSite, texts: list[str]) -> dict[str, Any]:
    answers: dict[str, Any] = {}

    def ask(text: str) -> None:
        answers[text] = site.send_chat(text, max_tokens=_ANSWER_TOKENS)

    threads = [threading.Thread(target=ask, args=(text,)) for text in texts]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30.0)
    return answers


def is_answer_to(text: str, answer: Any) -> bool:
    content = answer.json()["choices"][0]["message"]["content"]
    words = [word.strip() for word in make_words(f"user:{text}", _ANSWER_TOKENS)]
    return bool(content.split() == words)


def test_crossed_answers_reach_no_caller(tmp_path: Path) -> None:
    """Guards against delivery of exchanged answers.

    One engine gives each of two requests the other's answer, complete and well formed.
    """
    with Fleet(tmp_path) as fleet:
        site = OnlineSite(fleet, engines=2)
        fleet.kill("e0")
        fleet.restart_emulator("engine", "e0", "--crossed")
        time.sleep(2.0)  # until the daemon reads a load report of the new process
        for number in range(5):
            answers = ask_concurrently(site, [f"question {number} of {who}" for who in "abcd"])
            served = {text: answer for text, answer in answers.items() if answer.status == 200}
            assert len(answers) == 4 and all(is_answer_to(*pair) for pair in served.items())
            assert {answer.status for answer in answers.values()} <= {200, 503}
        assert "answer belongs to another request" in fleet.log("vm1")


def test_late_answers_reach_no_caller(tmp_path: Path) -> None:
    """Guards against an abandoned answer that reaches another caller.

    Engines continue answers that the daemon has given up, while other requests are served.
    """
    with Fleet(tmp_path) as fleet:
        site = OnlineSite(fleet, engines=2, silence="3", token_interval="0.01")
        silent = threading.Thread(target=lambda: site.send_chat("go-silent", max_tokens=40))
        silent.start()
        end = time.monotonic() + 9.0
        while time.monotonic() < end:
            now = time.monotonic()
            answers = ask_concurrently(site, [f"question at {now} of {who}" for who in "ab"])
            assert {answer.status for answer in answers.values()} == {200}
            assert all(is_answer_to(*pair) for pair in answers.items())
        silent.join(30.0)
        assert fleet.log("vm1").count("request:attempt-failed") == 2
