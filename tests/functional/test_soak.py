"""Soak tests of the guarantees under injected faults, and of the detection of violations."""

import os
from pathlib import Path
from typing import NamedTuple

import pytest
from trefoilreach_emulator._internal.soak.run import SoakPlan, run_soak

# The daemons have fixed addresses, so these tests run one after the other.
pytestmark = pytest.mark.xdist_group("soak")

BROKEN_FOLDER = Path(__file__).parent / "broken"
# Pairs of a seed and the length of its traffic in seconds, on which the planned faults depend:
# 11: the usual mix of faults.
# 105: failed when a planned stop overlapped with the kill of all daemons. Both faults of the soak
#      restarted the daemon, and the second process found its ports in use.
# 300: failed when a job whose acceptance was written while the store hung was run by no daemon. Its
#      owner had answered that the outcome was unknown, and left the job to the daemon that ranked
#      first.
# 449: failed when a daemon was told to reload in the first moments of its start: SIGHUP ended it.
SEEDS = ((11, 10.0), (105, 10.0), (300, 8.0), (449, 8.0))


class BrokenBuild(NamedTuple):
    """A broken build, the kinds of faults that expose it and the check that detects it.

    :param name: value of the environment variable ``BROKEN``.
    :param check: name of the check that must report a violation.
    :param rate: rate of the client account in requests a second.
    :param seconds: length of the traffic.
    :param cancel_jobs: whether owners of jobs cancel some of them.
    """

    name: str
    kinds: tuple[str, ...]
    check: str
    rate: float = 25.0
    seconds: float = 6.0
    cancel_jobs: bool = True


BROKEN_BUILDS = (
    BrokenBuild("repeat", ("worker-breaks-streams", "connections-reset"), "twice"),
    BrokenBuild("refuse", ("worker-breaks-streams",), "refused", seconds=12.0),
    BrokenBuild("keys", ("withdraw-key",), "withdrawn"),
    BrokenBuild("cut", ("worker-breaks-streams", "connections-reset"), "order"),
    # A randomly chosen daemon may have no items when it is killed, and the items of a job that its
    # owner cancels afterwards do not count as lost.
    BrokenBuild("orphans", ("kill-job-owner",), "lost", cancel_jobs=False),
    BrokenBuild("quota", ("reload",), "quota", rate=4.0),
    BrokenBuild("leaving", ("worker-drain",), "leaving", seconds=8.0),
)


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_seeded_run_has_no_violations(seed: int, seconds: float, tmp_path: Path) -> None:
    result = run_soak(SoakPlan(seed, seconds=seconds), tmp_path)
    assert result.violations == [], result.faults
    assert len(result.history.attempts) > 50


@pytest.mark.parametrize("broken", BROKEN_BUILDS, ids=lambda broken: broken.name)
def test_broken_build_is_found(
    broken: BrokenBuild, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against checks that pass however the daemons behave."""
    paths = f"{BROKEN_FOLDER}:{os.environ.get('PYTHONPATH', '')}"
    monkeypatch.setenv("PYTHONPATH", paths)
    monkeypatch.setenv("BROKEN", broken.name)
    plan = SoakPlan(
        seed=3,
        seconds=broken.seconds,
        clients=16,
        faults=10,
        rate=broken.rate,
        kinds=broken.kinds,
        finish_seconds=6.0,
        cancel_jobs=broken.cancel_jobs,
    )
    result = run_soak(plan, tmp_path)
    assert broken.check in {line.split(":")[0] for line in result.violations}, result.violations
