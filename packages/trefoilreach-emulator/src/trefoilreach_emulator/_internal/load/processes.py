"""Runs a plan in several processes, so that the sender is not what is measured."""

import subprocess
import sys
import tempfile
from pathlib import Path

from trefoilreach_emulator._internal.load.plan import LoadPlan, save_plan
from trefoilreach_emulator._internal.load.samples import LoadResult, read_result

_GRACE_SECONDS = 60.0


def run_in_processes(plan: LoadPlan, count: int = 2) -> LoadResult:
    """Split the streams of a plan over ``count`` processes and merge their results."""
    groups = [plan.streams[index::count] for index in range(count)]
    with tempfile.TemporaryDirectory() as folder:
        started = []
        for index, streams in enumerate(groups):
            if not streams:
                continue
            plan_path = Path(folder) / f"plan{index}.json"
            result_path = Path(folder) / f"result{index}.json"
            save_plan(plan._replace(streams=streams), plan_path)
            command = [sys.executable, "-m", "trefoilreach_emulator", "load"]
            command += ["--plan", str(plan_path), "--out", str(result_path)]
            started.append((subprocess.Popen(command), result_path))
        return _gather(started, plan.seconds + plan.timeout_seconds + _GRACE_SECONDS)


def _gather(started: list[tuple["subprocess.Popen[bytes]", Path]], timeout: float) -> LoadResult:
    result = LoadResult()
    for process, path in started:
        code = process.wait(timeout)
        if code != 0:
            raise RuntimeError(f"load process {process.pid} ended with exit code {code}")
        result.merge(read_result(path))
    return result
