"""The sample that the demo runs: steps in order, each with its real outcome checked."""

import time
from collections.abc import Callable
from http.client import HTTPException
from pathlib import Path
from typing import NamedTuple

from trefoilreach_emulator._internal.demo.ctl import Ctl
from trefoilreach_emulator._internal.demo.errors import DemoError, StepFailed
from trefoilreach_emulator._internal.demo.fleet import Fleet


class Sample(NamedTuple):
    """What a step works with.

    :param keys: caller key by client account.
    """

    folder: Path
    fleet: Fleet
    operator: Ctl
    keys: dict[str, str]
    monitor_key: str


Step = Callable[[Sample], str]


class NamedStep(NamedTuple):
    """A step with its place in the order."""

    order: int
    title: str
    run: Step


_steps: list[NamedStep] = []


def step(order: int, title: str) -> Callable[[Step], Step]:
    """Register a step; it returns what it saw, or raises :class:`StepFailed`."""

    def add(run: Step) -> Step:
        _steps.append(NamedStep(order, title, run))
        return run

    return add


def run_steps(sample: Sample) -> list[str]:
    """Run every step; return the titles of those that failed."""
    failed = []
    for entry in sorted(_steps, key=lambda each: each.order):
        print(f"{entry.title} ...", flush=True)
        begin = time.monotonic()
        try:
            seen = entry.run(sample)
        except (StepFailed, DemoError, OSError, HTTPException, ValueError, LookupError) as error:
            failed.append(entry.title)
            print(f"  FAILED: {error!r}" if not str(error) else f"  FAILED: {error}", flush=True)
            continue
        print(f"  ok ({time.monotonic() - begin:.1f} s): {seen}", flush=True)
    return failed
