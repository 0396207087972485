"""Guards against addresses that give secrets to anyone who asks."""

from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest
from deployment import Daemon, Deployment
from harness import SUBNET, wait_until
from trefoilreach._internal.platform import names
from trefoilreach_emulator._internal.deployment import send

# The daemons have fixed addresses, so these tests run one after the other.
pytestmark = pytest.mark.xdist_group("deployment")

KEYS = ["key-1", "key-2"]
ACCOUNT = "shop"
METRICS_PORT = 9464
PATHS = [
    "/",
    "/metrics",
    "/internal",
    "/internal/desired-state",
    "/internal/desired-state/",
    "/internal/desired-state/2",
    "/internal/desired-state/2?x=1",
    "//internal/desired-state/2",
    names.READY_PATH,
    names.RESOLVE_PATH,
    f"{names.RESOLVE_PATH}?name=x&zone=a",
    f"{names.JOB_PATH}j1?after=0",
    f"{names.ITEM_PATH}j1?id=i0",
    "/again/x",
    "/nowhere/x",
]


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    with ExitStack() as stack:
        yield Deployment(tmp_path, stack, SUBNET)


def ask_all(daemon: Daemon, ports: list[int]) -> dict[tuple[int, str, str], bytes]:
    """Ask for each path at each port without a key; return the answers."""
    answers = {}
    for port in ports:
        for path in PATHS:
            for method in ("GET", "POST", "DELETE"):
                try:
                    reply = send(daemon.host, port, method, path)
                except ConnectionRefusedError:
                    # Another process has the port of the metrics page.
                    assert port == METRICS_PORT
                    continue
                answers[port, method, path] = repr(reply.headers).encode() + reply.data
    return answers


def test_no_address_gives_a_stranger_a_key(deployment: Deployment) -> None:
    """Guards against tenants' keys that anyone can read, and names or quotas where callers ask."""
    deployment.add_worker()
    daemon = deployment.add_daemon()
    front, checks, control, _ = deployment.ports
    assert daemon.call("POST", "/again/a", "q1", b"x").status == 200
    for port, method, path in (answers := ask_all(daemon, [front, checks, control, METRICS_PORT])):
        answer = answers[port, method, path]
        assert not any(key.encode() in answer for key in KEYS), (port, method, path)
        if port != control:
            assert ACCOUNT.encode() not in answer, (port, method, path)
            assert b"ratePerS" not in answer, (port, method, path)
    log = daemon.log.read_bytes()
    assert not any(key.encode() in log for key in KEYS)


def test_daemon_without_the_store_gets_the_desired_state_from_a_peer(
    deployment: Deployment,
) -> None:
    """Guards against daemons that know no route in an outage as peers hide it from each other."""
    deployment.add_worker()
    deployment.add_daemon()
    cut_off = Daemon(deployment, 2, "127.0.0.1:9")
    deployment.daemons.append(cut_off)
    try:
        cut_off.start(ready=False)
        wait_until(
            lambda: any(
                line.get("message_type") == "desired-state:adopted"
                and str(line.get("source")).startswith("peer")
                for line in cut_off.read_log()
            )
        )
    finally:
        cut_off.end()
