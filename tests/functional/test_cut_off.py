"""Guards against a daemon that serves without receiving withdrawals, or refuses needlessly."""

import signal
import time
from pathlib import Path

from harness import Address, Fleet, call, wait_until
from test_withdrawal import BODY, Reader, start_fleet


def get_outcome(address: Address) -> tuple[int, str | None]:
    answer = call(address, "POST", "/v1/chat/completions", BODY, key="s1", timeout=10)
    return answer.status, answer.headers.get("trefoilreach-verdict")


def start_serving_fleet(fleet: Fleet) -> list[Address]:
    """Start three daemons and wait until each has quota to serve from."""
    daemons = start_fleet(fleet)
    for daemon in daemons:
        wait_until(lambda d=daemon: get_outcome(d)[0] == 200, 10)
    return daemons


def test_daemon_cut_off_from_store_and_peers_stops_serving(tmp_path: Path) -> None:
    """Guards against an isolated daemon that goes on serving.

    New requests get 503 not-run after 3 s, open streams end after 5 s, and service resumes.
    """
    with Fleet(tmp_path) as fleet:
        daemons = start_serving_fleet(fleet)
        reader = Reader(daemons[0], "s1")
        wait_until(lambda: reader.data, 5)
        begin = time.monotonic()
        for name in ("platform", "vm2", "vm3"):
            fleet.process(name).signal(signal.SIGSTOP)
        wait_until(lambda: get_outcome(daemons[0]) == (503, "not-run"), 6)
        assert 2.0 < time.monotonic() - begin < 5.5
        wait_until(lambda: reader.ended_at is not None, 4)
        assert b"[DONE]" not in reader.data and b"isolated" in reader.data
        fleet.process("vm2").signal(signal.SIGCONT)
        fleet.process("vm3").signal(signal.SIGCONT)
        wait_until(lambda: get_outcome(daemons[0])[0] == 200, 6)


def test_daemon_that_lacks_only_one_side_goes_on(tmp_path: Path) -> None:
    """Guards against online service that stops when only the store or only the peers are lost."""
    with Fleet(tmp_path) as fleet:
        daemons = start_serving_fleet(fleet)
        for names in (("platform",), ("vm2", "vm3")):
            for name in names:
                fleet.process(name).signal(signal.SIGSTOP)
            end = time.monotonic() + 6.0
            while time.monotonic() < end:
                assert get_outcome(daemons[0])[0] == 200
                time.sleep(0.2)
            for name in names:
                fleet.process(name).signal(signal.SIGCONT)
            wait_until(lambda: get_outcome(daemons[1])[0] == 200, 5)


def test_resumed_daemon_refuses_until_contact_is_restored(tmp_path: Path) -> None:
    """Guards against a daemon that serves from stale configuration after a long freeze."""
    with Fleet(tmp_path) as fleet:
        daemons = start_serving_fleet(fleet)
        fleet.process("vm1").signal(signal.SIGSTOP)
        wait_until(lambda: _entry_vms(daemons[1]) == {"vm2", "vm3"}, 8)
        time.sleep(2.0)
        fleet.process("vm1").signal(signal.SIGCONT)
        wait_until(lambda: get_outcome(daemons[0])[0] == 200, 5)
        wait_until(lambda: _entry_vms(daemons[1]) == {"vm1", "vm2", "vm3"}, 8)


def test_start_during_an_outage_needs_most_of_the_known_vms(tmp_path: Path) -> None:
    """Guards against a daemon that restarts during a store outage and serves withdrawn keys."""
    with Fleet(tmp_path) as fleet:
        daemons = start_serving_fleet(fleet)
        addresses = [f"{d.host}:{fleet._peer_ports[f'vm{n}']}" for n, d in enumerate(daemons, 1)]
        fleet.process("vm3").signal(signal.SIGSTOP)
        fleet.kill("vm1")
        fleet.set_faults(down=True, vm_list_down=True)
        fleet.start_daemon("vm1", 1, extra={"fleet": {"seeds": ", ".join(addresses)}})
        end = time.monotonic() + 4.0
        while time.monotonic() < end:
            assert get_outcome(daemons[0]) == (503, "not-run")
            time.sleep(0.2)
        fleet.process("vm3").signal(signal.SIGCONT)
        # Not a completion, because a daemon without quota slots may refuse one.
        wait_until(lambda: call(daemons[0], "GET", "/v1/models", key="s1").status == 200, 10)
        assert call(daemons[0], "GET", "/healthz").json()["config_version"] == 1


def _entry_vms(address: Address) -> set[str]:
    return {entry["vm"] for entry in call(address, "GET", "/v1/entrypoints").json()["entrypoints"]}
