"""Runs real daemons before workers that crash under a prompt part, through kills of all daemons."""

import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest
from deployment import Daemon, Deployment
from harness import SUBNET, wait_until
from trefoilreach._internal.platform import names
from trefoilreach_emulator._internal.server import Exchange, run_server
from trefoilreach_emulator._internal.stream_worker import StreamWorker

# The daemons have fixed addresses, so these tests run one after the other.
pytestmark = pytest.mark.xdist_group("deployment")

DEADLY = "dead0"
DEADLY_PROMPT = f"5e1f:200,5abc:100,{DEADLY}:50,0e1f:250"
SOUND_PROMPT = "5e1f:200,5abc:100,0e1f:250"
RESTART_SECONDS = 0.5


class CrashingWorker:
    """A worker whose process ends under a prompt part and starts again on the same port.

    :ivar crashes: ids of the requests that it crashed under.
    """

    def __init__(self, deployment: Deployment, stack: ExitStack, crashes: list[str]) -> None:
        self._deployment = deployment
        self._worker = StreamWorker(f"w{len(deployment.workers)}")
        deployment.workers.append(self._worker)
        self._server = stack.enter_context(ExitStack())
        self._crashes = crashes
        self._worker.starts = 0
        self._port = 0
        self._start()

    def _start(self) -> None:
        self._port = self._server.enter_context(run_server("127.0.0.1", self._port, self._handle))
        self._worker.starts += 1
        self._worker.register(self._deployment.platform, self._port)

    def _handle(self, exchange: Exchange) -> None:
        if DEADLY not in exchange.headers.get("X-Prompt-Prefix", ""):
            self._worker.handle(exchange)
            return
        self._crashes.append(exchange.headers[names.REQUEST_ID])
        self._server.close()
        exchange.drop()
        threading.Timer(RESTART_SECONDS, self._start).start()


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    with ExitStack() as stack:
        yield Deployment(tmp_path, stack, SUBNET)


def send(daemon: Daemon, request_id: str, prompt: str) -> int:
    body = request_id.encode()
    return daemon.call("POST", "/again/a", request_id, body, X_Prompt_Prefix=prompt).status


def test_deadly_part_stays_blocked_after_the_kill_of_all_daemons(deployment: Deployment) -> None:
    """Guards against requests of one kind that crash workers at each daemon and each start."""
    crashes: list[str] = []
    with ExitStack() as workers:
        for _ in range(5):
            CrashingWorker(deployment, workers, crashes)
        daemons = [deployment.add_daemon() for _ in range(2)]
        deployment.wait_settled()
        for number in range(6):
            send(daemons[number % 2], f"bad-{number}", DEADLY_PROMPT)
            assert send(daemons[number % 2], f"good-{number}", SOUND_PROMPT) == 200
            time.sleep(2 * RESTART_SECONDS)
        # Three workers by the first request and one by the second.
        assert len(crashes) <= 5
        wait_until(
            lambda: len(deployment.platform.rows.read("blocked-parts", "").unwrap().rows) == 1
        )
        for daemon in daemons:
            daemon.end()
        for daemon in daemons:
            daemon.start()
        known = len(crashes)
        for number, daemon in enumerate(daemons):
            wait_until(lambda d=daemon, n=number: send(d, f"sound-{n}", SOUND_PROMPT) == 200)
            assert send(daemon, f"late-{number}", DEADLY_PROMPT) == 503
        assert len(crashes) == known
