"""Guards against daemons that do not discover each other or use stale member states."""

from pathlib import Path

from harness import Fleet, call, wait_until


def entry_vms(address) -> set[str]:
    return {entry["vm"] for entry in call(address, "GET", "/v1/entrypoints").json()["entrypoints"]}


def test_killed_daemon_leaves_the_entry_points_and_comes_back(tmp_path: Path) -> None:
    """Guards against callers routed to a dead VM, or never again to one that came back."""
    with Fleet(tmp_path) as fleet:
        fleet.start_emulator("platform", "platform")
        daemons = {f"vm{n}": fleet.start_daemon(f"vm{n}", n) for n in (1, 2, 3)}
        for address in daemons.values():
            wait_until(lambda a=address: entry_vms(a) == {"vm1", "vm2", "vm3"}, 10)
        fleet.kill("vm3")
        wait_until(lambda: entry_vms(daemons["vm1"]) == {"vm1", "vm2"}, 8)
        fleet.start_daemon("vm3", 3)
        wait_until(lambda: entry_vms(daemons["vm1"]) == {"vm1", "vm2", "vm3"}, 8)
