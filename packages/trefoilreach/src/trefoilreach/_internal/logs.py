"""Structured logs: one JSON line per routing or placement decision, written with eliot."""

import sys
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import eliot

from trefoilreach._internal.settings import LogSettings


def open_log(settings: LogSettings, vm: str, stack: ExitStack) -> None:
    """Send log lines to the configured file until the exit stack closes."""
    output = sys.stderr
    if settings.path != "-":
        path = Path(settings.path)
        output = stack.enter_context(path.open("a", encoding="utf-8", buffering=1))
    destination = eliot.FileDestination(file=output)
    eliot.add_destinations(destination)
    stack.callback(eliot.remove_destination, destination)
    eliot.add_global_fields(vm=vm)


def log_decision(kind: str, choice: str, reason: str, **fields: Any) -> None:
    """Write the line of one routing or placement decision.

    :param kind: what was decided, for example ``route``.
    :param choice: what was chosen.
    :param reason: why, in a few words.
    :param fields: candidates, request id and the like; never keys or prompts.
    """
    eliot.log_message(f"decision:{kind}", choice=choice, reason=reason, **fields)


def log_event(name: str, **fields: Any) -> None:
    """Write a line about something that happened."""
    eliot.log_message(name, **fields)
