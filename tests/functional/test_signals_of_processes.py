"""Guards against a daemon that hangs or ends at once when signals meet."""

import random
import signal
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest
from deployment import Deployment
from harness import SUBNET

# The daemons have fixed addresses, so these tests run one after the other.
pytestmark = pytest.mark.xdist_group("deployment")

# A pair of signals that met hung 3 of 150 processes.
_SIGNAL_COUNT = 1500
_LONGEST_GAP_SECONDS = 0.0002


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    with ExitStack() as stack:
        yield Deployment(tmp_path, stack, SUBNET)


def test_planned_stop_amid_signals_ends_in_time(deployment: Deployment) -> None:
    """Guards against a signal that waits for a lock which the main thread holds."""
    deployment.add_worker()
    daemon = deployment.add_daemon()
    gaps = random.Random(1)
    for _ in range(_SIGNAL_COUNT):
        daemon.signal(signal.SIGHUP)
        end = time.perf_counter() + gaps.uniform(0.0, _LONGEST_GAP_SECONDS)
        while time.perf_counter() < end:
            pass
    begin = time.monotonic()
    daemon.signal(signal.SIGTERM)
    daemon.signal(signal.SIGHUP)
    daemon.signal(signal.SIGTERM)
    assert daemon.process is not None and daemon.process.wait(20) == 0
    assert time.monotonic() - begin < deployment.stop_seconds
