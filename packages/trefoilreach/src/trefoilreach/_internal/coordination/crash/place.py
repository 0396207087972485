"""Waits for a place on a server at which a request may run."""

from collections.abc import Callable
from typing import NamedTuple

from result import Ok

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.crash.guard import CrashGuard
from trefoilreach._internal.coordination.crash.runs import (
    GuardedRun,
    RunsElsewhere,
    TrialBusy,
    refuse_busy,
)
from trefoilreach._internal.state.config import Server

# How often a suspect that found no worker for its trial looks again.
_TRIAL_WAIT_SECONDS = 0.1
# Innocent requests wait for their turn instead of failing, but not for ever.
_TRIAL_LIMIT_SECONDS = 30.0


class GuardedPlace(NamedTuple):
    """A place on a server, and the guard's note of the attempt."""

    server: Server
    run: GuardedRun


class Entrance(NamedTuple):
    """How one request gets and returns a place.

    :param enter: waits for a place, on the named server if that has one.
    :param release: gives a place back.
    :param instance: process of a server as last reported; empty when unknown.
    :param stopped: whether the request should stop waiting.
    """

    enter: Callable[[str], Server]
    release: Callable[[Server], None]
    instance: Callable[[str], str]
    stopped: Callable[[], bool]


def enter_guarded(
    clock: Clock, guard: CrashGuard, fingerprint: str, entrance: Entrance
) -> GuardedPlace:
    """Wait for a place; a suspect waits until it can run as a trial.

    :raises Refusal: when the request must not run, or waited too long for its trial.
    """
    deadline = clock.now() + _TRIAL_LIMIT_SECONDS
    preferred = ""
    while True:
        server = entrance.enter(preferred)
        begun = guard.begin(fingerprint, server.name, entrance.instance(server.name))
        if isinstance(begun, Ok):
            return GuardedPlace(server, begun.ok_value)
        entrance.release(server)
        error = begun.err_value
        if not isinstance(error, TrialBusy):
            raise error
        if clock.now() > deadline or entrance.stopped():
            raise refuse_busy(error)
        first_hint = isinstance(error, RunsElsewhere) and error.server != preferred
        preferred = error.server if isinstance(error, RunsElsewhere) else ""
        if not first_hint:
            clock.sleep(_TRIAL_WAIT_SECONDS)
