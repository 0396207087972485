"""Waits for a slot on a server where the crash guard lets a request run."""

from collections.abc import Callable
from typing import NamedTuple

from result import Ok

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.crash.attempts import (
    GuardedAttempt,
    IdenticalRequestRunning,
    TrialPending,
    refuse_busy,
)
from trefoilreach._internal.coordination.crash.guard import CrashGuard
from trefoilreach._internal.state.config import Server

# Interval at which a suspect without a worker for its trial tries again.
_TRIAL_RETRY_SECONDS = 0.1
# A suspect may be innocent, so it waits for its trial instead of failing at once.
_MAX_TRIAL_WAIT_SECONDS = 30.0


class GuardedSlot(NamedTuple):
    """A slot on a server, and the attempt as registered with the crash guard."""

    server: Server
    attempt: GuardedAttempt


class SlotSource(NamedTuple):
    """How one request acquires and releases a slot.

    :param acquire: waits for a slot, preferably on the named server; empty for no preference.
    :param release: releases a slot.
    :param find_instance: returns the last reported process of a server; empty when unknown.
    :param is_stopped: returns whether the request should stop waiting.
    """

    acquire: Callable[[str], Server]
    release: Callable[[Server], None]
    find_instance: Callable[[str], str]
    is_stopped: Callable[[], bool]


def acquire_guarded_slot(
    clock: Clock, guard: CrashGuard, fingerprint: str, slot_source: SlotSource
) -> GuardedSlot:
    """Wait for a slot; a suspect waits until it can run as a trial.

    :raises Refusal: when the request must not run, or waited too long to be allowed to.
    """
    deadline = clock.now() + _MAX_TRIAL_WAIT_SECONDS
    preferred = ""
    while True:
        server = slot_source.acquire(preferred)
        outcome = guard.begin_attempt(
            fingerprint, server.name, slot_source.find_instance(server.name)
        )
        if isinstance(outcome, Ok):
            return GuardedSlot(server, outcome.ok_value)
        slot_source.release(server)
        error = outcome.err_value
        if not isinstance(error, TrialPending):
            raise error
        if clock.now() > deadline or slot_source.is_stopped():
            raise refuse_busy(error)
        is_new_preference = isinstance(error, IdenticalRequestRunning) and error.server != preferred
        preferred = error.server if isinstance(error, IdenticalRequestRunning) else ""
        if not is_new_preference:
            clock.sleep(_TRIAL_RETRY_SECONDS)
