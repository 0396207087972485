"""Resident memory of a piece of state, measured in a process of its own."""

import multiprocessing
import os
from collections.abc import Callable
from typing import Any

import psutil


def measure_resident(build: Callable[[int], Any], size: int) -> float:
    """Return the bytes that ``build(size)`` adds to a new process."""
    context = multiprocessing.get_context("spawn")
    receiver, sender = context.Pipe(duplex=False)
    process = context.Process(target=_build_and_report, args=(build, size, sender))
    process.start()
    # Without the parent's copy, a child that ends early ends the wait below.
    sender.close()
    grown = receiver.recv()
    process.join()
    return float(grown)


def _build_and_report(build: Callable[[int], Any], size: int, sender: Any) -> None:
    own = psutil.Process(os.getpid())
    # A first small build loads the modules, which every size needs alike.
    build(1)
    before = own.memory_info().rss
    kept = build(size)
    sender.send(own.memory_info().rss - before)
    del kept
