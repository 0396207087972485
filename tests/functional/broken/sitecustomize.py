"""Breaks one guarantee of a daemon, selected by ``BROKEN``, to show that the soak detects it.

Python loads this module at the start of a process whose ``PYTHONPATH`` names its folder.
"""

import os
from collections.abc import Callable, Iterator
from typing import Any


def _repeat_everything() -> None:
    from trefoilreach._internal.platform import desired_state

    decode = desired_state._decode_route

    def decode_repeatable(route: Any) -> Any:
        return decode(route)._replace(max_runs=3, resumable=True)

    desired_state._decode_route = decode_repeatable


def _promise_not_run() -> None:
    from trefoilreach._internal.coordination.serving.online import _OnlineAttempts
    from trefoilreach._internal.protocol.verdict import Refusal

    def give_up(self: Any, reason: str, retry_after: float | None = None) -> Refusal:
        return Refusal(503, "unavailable", reason, retry_after=0.1)

    _OnlineAttempts._give_up = give_up  # type: ignore[method-assign]


def _keep_first_state() -> None:
    from trefoilreach._internal.coordination.serving.service import ServingState

    adopt = ServingState.adopt

    def adopt_first(self: Any, document: bytes, source: str) -> bool:
        return adopt(self, document, source) if self.route_index is None else True

    ServingState.adopt = adopt_first  # type: ignore[method-assign]


def _end_cut_streams() -> None:
    from trefoilreach._internal.coordination.serving.online import _OnlineAttempts
    from trefoilreach._internal.transport.http_server import AnswerAbortedError

    relay = _OnlineAttempts._relay

    def relay_whole(self: Any, *arguments: Any) -> Iterator[bytes]:
        try:
            yield from relay(self, *arguments)
        except AnswerAbortedError:
            return

    _OnlineAttempts._relay = relay_whole  # type: ignore[method-assign]


def _leave_orphans() -> None:
    from trefoilreach._internal.coordination.jobs.manager import JobManager

    JobManager._find_orphaned_jobs = lambda self, owners: iter(())  # type: ignore[method-assign]


def _admit_all() -> None:
    from trefoilreach._internal.coordination.quota.fleet_buckets import FleetBuckets

    FleetBuckets.admit = lambda self, account: None  # type: ignore[method-assign]


def _ignore_leaving() -> None:
    from trefoilreach._internal.coordination.serving.workers import WorkerDirectory

    def note_nothing(self: Any, worker: Any, source: Any) -> None:
        return

    WorkerDirectory.note_leaving = note_nothing  # type: ignore[method-assign]


_BREAKS: dict[str, Callable[[], None]] = {
    "repeat": _repeat_everything,
    "refuse": _promise_not_run,
    "keys": _keep_first_state,
    "cut": _end_cut_streams,
    "orphans": _leave_orphans,
    "quota": _admit_all,
    "leaving": _ignore_leaving,
}
if os.environ.get("BROKEN"):
    _BREAKS[os.environ["BROKEN"]]()
