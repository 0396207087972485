"""One run of the demo from start to end."""

import os
import signal
import threading
from contextlib import ExitStack
from pathlib import Path
from types import FrameType

from trefoilreach_emulator._internal.demo import (  # noqa: F401 - register their steps
    steps_batch,
    steps_online,
    steps_operator,
)
from trefoilreach_emulator._internal.demo.configure import configure, grant_keys, wait_for_version
from trefoilreach_emulator._internal.demo.ctl import Ctl
from trefoilreach_emulator._internal.demo.endpoints import FILE, write_endpoints
from trefoilreach_emulator._internal.demo.errors import DemoError, StepFailed
from trefoilreach_emulator._internal.demo.fleet import Fleet
from trefoilreach_emulator._internal.demo.processes import Processes
from trefoilreach_emulator._internal.demo.records import SELF_NAME, RunRecords
from trefoilreach_emulator._internal.demo.steps import Sample, run_steps

_INTERRUPTED_EXIT_CODE = 130


class Interrupted(BaseException):
    """SIGINT or SIGTERM arrived."""


def run_demo(folder: Path, once: bool) -> int:
    """Run the demo; return its exit code."""
    signal.signal(signal.SIGINT, _interrupt)
    signal.signal(signal.SIGTERM, _interrupt)
    try:
        with ExitStack() as stack:
            return _run(folder, once, stack)
    except Interrupted:
        print("\ninterrupted; all programs of the demo have ended", flush=True)
        return _INTERRUPTED_EXIT_CODE if once else 0
    except (DemoError, StepFailed, OSError) as error:
        print(f"demo: {error}", flush=True)
        return 1


def _interrupt(number: int, frame: FrameType | None) -> None:
    # A second signal must not stop the programs from being ended.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise Interrupted


def _run(folder: Path, once: bool, stack: ExitStack) -> int:
    folder.mkdir(parents=True, exist_ok=True)
    records = RunRecords(folder)
    for name in records.end_earlier_run():
        print(f"ended {name} of an earlier run", flush=True)
    (folder / FILE).unlink(missing_ok=True)
    for log in folder.glob("*.log"):
        log.unlink()
    records.add(SELF_NAME, os.getpid())
    stack.callback(records.clear)
    processes = Processes(folder, records)
    stack.callback(processes.close)
    sample = _prepare(folder, processes)
    failed = run_steps(sample)
    # A step may have restarted a daemon under another process id.
    write_endpoints(folder, sample.fleet, sample.keys, sample.monitor_key)
    _print_summary(folder, failed)
    if not once:
        print("the fleet stays up; press Ctrl-C to end it", flush=True)
        threading.Event().wait()
    return 1 if failed else 0


def _prepare(folder: Path, processes: Processes) -> Sample:
    print("Starting the programs ...", flush=True)
    fleet = Fleet(folder, processes)
    fleet.start()
    # One address, so that each change is made against the version that the last one made.
    operator = Ctl(fleet.urls[:1], fleet.operator_key)
    print("Configuring the fleet ...", flush=True)
    configure(fleet, operator)
    keys, monitor_key = grant_keys(operator)
    wait_for_version(fleet, int(operator.run("class", "list")["version"]))
    write_endpoints(folder, fleet, keys, monitor_key)
    return Sample(folder, fleet, operator, keys, monitor_key)


def _print_summary(folder: Path, failed: list[str]) -> None:
    if failed:
        print(f"{len(failed)} steps failed: {'; '.join(failed)}", flush=True)
    else:
        print("all steps were right", flush=True)
    print(f"addresses and keys: {folder / FILE}", flush=True)
