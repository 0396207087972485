"""Tests of the builds that are broken on purpose, which show that the soak detects violations."""

import inspect
import runpy
from pathlib import Path
from typing import Any

import pytest
from trefoilreach._internal.coordination.jobs.manager import JobManager
from trefoilreach._internal.coordination.quota.fleet_buckets import FleetBuckets
from trefoilreach._internal.coordination.serving.online import _OnlineAttempts
from trefoilreach._internal.coordination.serving.service import ServingState
from trefoilreach._internal.coordination.serving.workers import WorkerDirectory
from trefoilreach._internal.platform import desired_state

MODULE = Path(__file__).parents[1] / "functional" / "broken" / "sitecustomize.py"
# Owner and name of the function that each build replaces.
REPLACED: dict[str, tuple[Any, str]] = {
    "repeat": (desired_state, "_decode_route"),
    "refuse": (_OnlineAttempts, "_give_up"),
    "keys": (ServingState, "adopt"),
    "cut": (_OnlineAttempts, "_relay"),
    "orphans": (JobManager, "_find_orphaned_jobs"),
    "quota": (FleetBuckets, "admit"),
    "leaving": (WorkerDirectory, "note_leaving"),
}


@pytest.mark.parametrize("name", REPLACED)
def test_replacement_takes_the_arguments_of_the_original(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a build that fails at a call instead of breaking its guarantee."""
    owner, attribute = REPLACED[name]
    original = getattr(owner, attribute)
    # Undone at the end of the test.
    monkeypatch.setattr(owner, attribute, original)
    monkeypatch.setenv("BROKEN", name)
    runpy.run_path(str(MODULE))
    replacement = getattr(owner, attribute)
    assert replacement is not original
    inspect.signature(replacement).bind(*inspect.signature(original).parameters)


def test_every_broken_build_is_checked(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("BROKEN", raising=False)
    assert set(runpy.run_path(str(MODULE))["_BREAKS"]) == set(REPLACED)
