"""Keeps identical requests on one worker until one of them has completed.

Without it, a crashing request that reaches several daemons at the same moment would run
on as many workers before the first crash makes it a suspect. The daemon that rendezvous
hashing chooses for a fingerprint remembers where it runs. When that daemon gives no
answer, the request runs anyway: online service does not depend on one peer.
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
from trefoilreach._internal.coordination.batch.share import find_sender
from trefoilreach._internal.coordination.membership.peers import UNREACHABLE, Peers
from trefoilreach._internal.protocol.gen.peer.ttypes import RunClaim, RunReply

# Delays a request at most this long when the asked daemon has just died.
_ASK_TIMEOUT_SECONDS = 0.1
_SILENT_SECONDS = 1.0
# A run whose daemon died is forgotten after the longest time of a request.
_RUN_LIFE_SECONDS = 150.0
# About 2 MB of fingerprints at most.
_COMPLETED_LIMIT = 10_000
_END_THREADS = 2
_END_TIMEOUT_SECONDS = 1.0
_END_ATTEMPTS = 3


class _Runs(NamedTuple):
    server: str
    since: dict[str, float]


class RunRegistry:
    """Where identical requests run now, for the fingerprints that this daemon keeps.

    :param gone: VMs that cannot be reached, whose runs do not count.
    """

    def __init__(self, clock: Clock, gone: Callable[[], set[str]]) -> None:
        self._clock = clock
        self._gone = gone
        self._lock = threading.Lock()
        self._runs: dict[str, _Runs] = {}
        self._completed: OrderedDict[str, None] = OrderedDict()

    def claim(self, claim: RunClaim) -> RunReply:
        """Note a run, unless an identical one is under way on another worker."""
        now = self._clock.now()
        with self._lock:
            if claim.fingerprint in self._completed:
                return RunReply("", True)
            runs = self._runs.get(claim.fingerprint)
            if runs is not None and runs.server != claim.server:
                self._drop_lost(runs, now)
                if runs.since:
                    return RunReply(runs.server, False)
                runs = None
            if runs is None:
                runs = self._runs[claim.fingerprint] = _Runs(claim.server, {})
            runs.since[claim.run] = now
            return RunReply("", False)

    def end(self, claim: RunClaim, completed: bool) -> None:
        """Forget a run; after a completed one, identical requests may run anywhere."""
        with self._lock:
            runs = self._runs.get(claim.fingerprint)
            if runs is not None:
                runs.since.pop(claim.run, None)
                if completed or not runs.since:
                    del self._runs[claim.fingerprint]
            if completed:
                self._note_completed(claim.fingerprint)

    def is_completed(self, fingerprint: str) -> bool:
        """Return whether an identical request has completed, as far as this daemon knows."""
        with self._lock:
            return fingerprint in self._completed

    def note_completed(self, fingerprint: str) -> None:
        """Remember that a request can be completed."""
        with self._lock:
            self._note_completed(fingerprint)

    def note_suspect(self, fingerprint: str) -> None:
        """Forget that a request could be completed, as it may crash workers after all."""
        with self._lock:
            self._completed.pop(fingerprint, None)

    def _drop_lost(self, runs: _Runs, now: float) -> None:
        gone = self._gone()
        for run, since in list(runs.since.items()):
            if run.partition("/")[0] in gone or since < now - _RUN_LIFE_SECONDS:
                del runs.since[run]

    def _note_completed(self, fingerprint: str) -> None:
        self._completed[fingerprint] = None
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > _COMPLETED_LIMIT:
            self._completed.popitem(last=False)


class RunsTogether:
    """Asks the daemon that keeps a fingerprint before each run that is not known to complete."""

    def __init__(self, clock: Clock, peers: Peers) -> None:
        self.registry = RunRegistry(clock, self._find_gone)
        self._clock = clock
        self._peers = peers
        self._silent_until: dict[str, float] = {}
        self._ends = ThreadPoolExecutor(_END_THREADS, thread_name_prefix="end-run")

    def start(self, stack: ExitStack) -> None:
        """Send notices of ended runs until the exit stack closes."""
        stack.callback(self._ends.shutdown, wait=False, cancel_futures=True)

    def claim(self, fingerprint: str, server: str) -> tuple[str, str]:
        """Ask whether a request may run on a worker.

        :returns: the name of the run, empty when none was noted; and the worker on which
            an identical request runs, empty when this one may go ahead.
        """
        if self.registry.is_completed(fingerprint):
            return "", ""
        keeper = self._find_keeper(fingerprint)
        own = self._peers.self_member.vm
        claim = RunClaim(fingerprint, server, f"{own}/{uuid.uuid4().hex}")
        if keeper == own:
            reply = self.registry.claim(claim)
        elif self._clock.now() < self._silent_until.get(keeper, 0.0):
            return "", ""
        else:
            asked = self._peers.call(
                keeper, lambda client: client.claim_run(claim), _ASK_TIMEOUT_SECONDS
            )
            if isinstance(asked, Err):
                self._silent_until[keeper] = self._clock.now() + _SILENT_SECONDS
                return f"{keeper}/{claim.run}", ""
            reply = asked.ok_value
        if reply.completed:
            self.registry.note_completed(fingerprint)
            return "", ""
        return ("", reply.server) if reply.server else (f"{keeper}/{claim.run}", "")

    def end(self, fingerprint: str, run: str, completed: bool) -> None:
        """Note the end of a run that :meth:`claim` named."""
        if completed:
            self.registry.note_completed(fingerprint)
        keeper, _, name = run.partition("/")
        claim = RunClaim(fingerprint, "", name)
        if keeper == self._peers.self_member.vm:
            self.registry.end(claim, completed)
            return
        with suppress(RuntimeError):  # the daemon stops
            self._ends.submit(self._send_end, keeper, claim, completed)

    def _send_end(self, keeper: str, claim: RunClaim, completed: bool) -> None:
        for _ in range(_END_ATTEMPTS):
            sent = self._peers.call(
                keeper, lambda client: client.end_run(claim, completed), _END_TIMEOUT_SECONDS
            )
            if isinstance(sent, Ok):
                return

    def _find_gone(self) -> set[str]:
        return {member.vm for member in self._peers.members() if member.state == UNREACHABLE}

    def _find_keeper(self, fingerprint: str) -> str:
        """Return the VM that keeps a fingerprint: one of this region, to be asked quickly."""
        own = self._peers.self_member
        live = [member for member in self._peers.live() if member.region == own.region]
        return find_sender(fingerprint, live) or own.vm
