"""Keeps identical requests on one worker until one of them has completed.

Otherwise a crashing request that reaches several daemons at the same moment would run on
as many workers before the first crash makes it a suspect. Rendezvous hashing chooses the
daemon that owns a fingerprint and registers where it runs. When the owner does not answer,
the request runs anyway, so that online service does not depend on one peer.
"""

import threading
import uuid
from collections import OrderedDict
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, suppress
from typing import NamedTuple

from result import Err, Ok

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch.worker_limit import find_responsible_vm
from trefoilreach._internal.coordination.membership.peers import UNREACHABLE, Peers
from trefoilreach._internal.protocol.gen.peer.ttypes import RunClaim, RunReply

# Longest delay of a request whose fingerprint is owned by a daemon that has just died.
_ASK_TIMEOUT_SECONDS = 0.1
# A daemon that did not answer is not asked again for this time.
_OWNER_RETRY_SECONDS = 1.0
# Longest duration of a request. A run that is older is forgotten: its daemon has died.
_MAX_RUN_SECONDS = 150.0
# Number of fingerprints, which take about 2 MB at most.
_MAX_COMPLETED = 10_000
_END_THREADS = 2
_END_TIMEOUT_SECONDS = 1.0
_MAX_END_ATTEMPTS = 3


class _IdenticalRuns(NamedTuple):
    """Runs of identical requests on one worker, with the time at which each began."""

    server: str
    since: dict[str, float]


class RunRegistry:
    """Where identical requests run now, for the fingerprints that this daemon owns.

    :param unreachable: returns the VMs that are unreachable; their runs are ignored.
    """

    def __init__(self, clock: Clock, unreachable: Callable[[], set[str]]) -> None:
        self._clock = clock
        self._find_unreachable_vms = unreachable
        self._lock = threading.Lock()
        self._runs: dict[str, _IdenticalRuns] = {}
        self._completed: OrderedDict[str, None] = OrderedDict()

    def claim(self, claim: RunClaim) -> RunReply:
        """Register a run, unless an identical request runs on another worker."""
        now = self._clock.now()
        with self._lock:
            if claim.fingerprint in self._completed:
                return RunReply("", True)
            runs = self._runs.get(claim.fingerprint)
            if runs is not None and runs.server != claim.server:
                self._remove_lost(runs, now)
                if runs.since:
                    return RunReply(runs.server, False)
                runs = None
            if runs is None:
                runs = self._runs[claim.fingerprint] = _IdenticalRuns(claim.server, {})
            runs.since[claim.run] = now
            return RunReply("", False)

    def end(self, claim: RunClaim, completed: bool) -> None:
        """Remove a run; after a completed one, identical requests may run anywhere."""
        with self._lock:
            runs = self._runs.get(claim.fingerprint)
            if runs is not None:
                runs.since.pop(claim.run, None)
                if completed or not runs.since:
                    del self._runs[claim.fingerprint]
            if completed:
                self._note_completed(claim.fingerprint)

    def is_completed(self, fingerprint: str) -> bool:
        """Return whether this daemon knows of a completed identical request."""
        with self._lock:
            return fingerprint in self._completed

    def note_completed(self, fingerprint: str) -> None:
        """Record that an identical request has completed, so that others may run anywhere."""
        with self._lock:
            self._note_completed(fingerprint)

    def note_suspect(self, fingerprint: str) -> None:
        """Forget a completed request, as identical ones may crash workers after all."""
        with self._lock:
            self._completed.pop(fingerprint, None)

    def _remove_lost(self, runs: _IdenticalRuns, now: float) -> None:
        unreachable = self._find_unreachable_vms()
        for run, since in list(runs.since.items()):
            if run.partition("/")[0] in unreachable or since < now - _MAX_RUN_SECONDS:
                del runs.since[run]

    def _note_completed(self, fingerprint: str) -> None:
        self._completed[fingerprint] = None
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > _MAX_COMPLETED:
            self._completed.popitem(last=False)


class IdenticalRequests:
    """Asks the owner of a fingerprint before each run unless an identical one has completed."""

    def __init__(self, clock: Clock, peers: Peers) -> None:
        self.registry = RunRegistry(clock, self._find_unreachable)
        self._clock = clock
        self._peers = peers
        self._no_call_until: dict[str, float] = {}
        self._end_notices = ThreadPoolExecutor(_END_THREADS, thread_name_prefix="end-run")

    def start(self, stack: ExitStack) -> None:
        """Send notices of ended runs until the exit stack closes."""
        stack.callback(self._end_notices.shutdown, wait=False, cancel_futures=True)

    def claim(self, fingerprint: str, server: str) -> tuple[str, str]:
        """Ask the owner of a fingerprint whether a request may run on a worker.

        :returns: the name of the run, empty when none may be registered; and the worker on
            which an identical request runs, empty when this one may start.
        """
        if self.registry.is_completed(fingerprint):
            return "", ""
        owner = self._find_owner(fingerprint)
        own = self._peers.own_member.vm
        claim = RunClaim(fingerprint, server, f"{own}/{uuid.uuid4().hex}")
        if owner == own:
            reply = self.registry.claim(claim)
        elif self._clock.now() < self._no_call_until.get(owner, 0.0):
            return "", ""
        else:
            reply_or_error = self._peers.call(
                owner, lambda client: client.claim_run(claim), _ASK_TIMEOUT_SECONDS
            )
            if isinstance(reply_or_error, Err):
                self._no_call_until[owner] = self._clock.now() + _OWNER_RETRY_SECONDS
                return f"{owner}/{claim.run}", ""
            reply = reply_or_error.ok_value
        if reply.completed:
            self.registry.note_completed(fingerprint)
            return "", ""
        return ("", reply.server) if reply.server else (f"{owner}/{claim.run}", "")

    def end(self, fingerprint: str, run: str, completed: bool) -> None:
        """Tell the owner of a fingerprint about the end of a run that :meth:`claim` named."""
        if completed:
            self.registry.note_completed(fingerprint)
        owner, _, name = run.partition("/")
        claim = RunClaim(fingerprint, "", name)
        if owner == self._peers.own_member.vm:
            self.registry.end(claim, completed)
            return
        with suppress(RuntimeError):  # the executor is shut down
            self._end_notices.submit(self._send_end, owner, claim, completed)

    def _send_end(self, owner: str, claim: RunClaim, completed: bool) -> None:
        for _ in range(_MAX_END_ATTEMPTS):
            reply = self._peers.call(
                owner, lambda client: client.end_run(claim, completed), _END_TIMEOUT_SECONDS
            )
            if isinstance(reply, Ok):
                return

    def _find_unreachable(self) -> set[str]:
        return {member.vm for member in self._peers.members() if member.state == UNREACHABLE}

    def _find_owner(self, fingerprint: str) -> str:
        """Return the VM that owns a fingerprint, chosen in this region for quick answers."""
        own = self._peers.own_member
        live = [member for member in self._peers.list_live() if member.region == own.region]
        return find_responsible_vm(fingerprint, live) or own.vm
