"""Waits for a slot on a server where the crash guard lets a request run."""

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

# Interval at which a suspect without a worker for its trial tries again.
_TRIAL_RETRY_SECONDS = 0.1
# A suspect may be innocent, so it waits for its trial instead of failing at once.
_MAX_TRIAL_WAIT_SECONDS = 30.0


class GuardedPlace(NamedTuple):
    """A slot on a server, and the attempt as registered with the crash guard."""

    server: Server
    run: GuardedRun


class Entrance(NamedTuple):
    """How one request acquires and releases a slot.

    :param enter: waits for a slot, preferably on the named server; empty for no preference.
    :param release: releases a slot.
    :param instance: returns the last reported process of a server; empty when unknown.
    :param stopped: returns whether the request should stop waiting.
    """

    enter: Callable[[str], Server]
    release: Callable[[Server], None]
    instance: Callable[[str], str]
    stopped: Callable[[], bool]


def enter_guarded(
    clock: Clock, guard: CrashGuard, fingerprint: str, entrance: Entrance
) -> GuardedPlace:
    """Wait for a slot; a suspect waits until it can run as a trial.

    :raises Refusal: when the request must not run, or waited too long to be allowed to.
    """
    deadline = clock.now() + _MAX_TRIAL_WAIT_SECONDS
    preferred = ""
    while True:
        server = entrance.enter(preferred)
        outcome = guard.begin(fingerprint, server.name, entrance.instance(server.name))
        if isinstance(outcome, Ok):
            return GuardedPlace(server, outcome.ok_value)
        entrance.release(server)
        error = outcome.err_value
        if not isinstance(error, TrialBusy):
            raise error
        if clock.now() > deadline or entrance.stopped():
            raise refuse_busy(error)
        is_new_preference = isinstance(error, RunsElsewhere) and error.server != preferred
        preferred = error.server if isinstance(error, RunsElsewhere) else ""
        if not is_new_preference:
            clock.sleep(_TRIAL_RETRY_SECONDS)
