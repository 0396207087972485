"""Failure detector: probes peers in random order, then indirectly if one does not answer."""

import random
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from result import Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.membership.member_table import MemberTable
from trefoilreach._internal.coordination.membership.peer_calls import PeerCalls
from trefoilreach._internal.coordination.membership.peers import Member, PeerError
from trefoilreach._internal.coordination.membership.probe_messages import ProbeMessages
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.gen.peer.ttypes import ProbeReply
from trefoilreach._internal.settings import FleetSettings

_INDIRECT_PROBERS = 2  # peers asked to probe a peer that did not answer
_MIN_PAUSE_SECONDS = 2.0  # delay beyond the probe interval that means this daemon was paused
_PROBE_THREADS = 12
# Peers probed per interval while the table service does not answer, because the isolation
# check needs samples of peer contact then.
PROBES_WITHOUT_STORE = 5


class _Contact(NamedTuple):
    vm: str
    when: float
    answered: bool


class Prober:
    """Probes one peer per interval.

    ``list_ok`` is whether the platform's list was read; otherwise seeds are probed too.
    ``is_store_unresponsive`` returns whether the table service does not answer.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: FleetSettings,
        table: MemberTable,
        calls: PeerCalls,
        messages: ProbeMessages,
    ) -> None:
        self.list_ok = False
        self.is_store_unresponsive: Callable[[], bool] = lambda: False
        self._clock = clock
        self._fleet = fleet
        self._table = table
        self._calls = calls
        self._messages = messages
        self._lock = threading.Lock()
        self._round: deque[str] = deque()
        self._contacts: deque[_Contact] = deque(maxlen=256)
        self._probes = ThreadPoolExecutor(_PROBE_THREADS, "probe")

    def run(self, stop: threading.Event) -> None:
        """Probe at each interval until ``stop`` is set."""
        last = self._clock.now()
        while not stop.is_set():
            now = self._clock.now()
            if now - last > self._fleet.probe_interval + _MIN_PAUSE_SECONDS:
                self._table.extend_suspicions(now - last)
                log_event("membership:paused", seconds=now - last)
            last = now
            try:
                self.probe_next()
            except RuntimeError:
                # The executor accepts no tasks once this daemon is shutting down.
                return
            self._calls.drop_idle()
            self._clock.wait(stop, self._fleet.probe_interval * random.uniform(0.9, 1.1))

    def probe_next(self) -> None:
        """Probe the next peer of the round, or several while the table service does not answer."""
        self._expire_suspicions()
        count = PROBES_WITHOUT_STORE if self.is_store_unresponsive() else 1
        for vm in self._next_targets(count):
            self._probes.submit(self._probe_member, vm)
        if not self.list_ok:
            self._probe_seeds()

    def probe_for(self, host: str, peer_port: int) -> bool:
        """Probe a peer on behalf of another one; return whether it answered."""
        return isinstance(self._send_probe((host, peer_port), None), Ok)

    def count_recent_peers(self, seconds: float) -> tuple[int, int]:
        """Return to how many peers a probe ended in the last ``seconds``, and how many answered it.

        The last probe of each peer counts. Probes that are sent together end one by one, so that
        for a moment a peer that does not answer may have more of them than one that does.
        """
        limit = self._clock.now() - seconds
        with self._lock:
            latest = {c.vm: c.answered for c in self._contacts if c.when >= limit}
        return len(latest), sum(latest.values())

    def close(self) -> None:
        """Cancel queued probes and start no new ones."""
        self._probes.shutdown(wait=False, cancel_futures=True)

    def _expire_suspicions(self) -> None:
        self._table.expire_suspicions(self._fleet.suspicion)

    def _send_probe(
        self, address: tuple[str, int], receiver: str | None
    ) -> Result[ProbeReply, PeerError]:
        request = self._messages.make_request(receiver)
        # The client may use the timeout twice: on a kept connection, then on a new one.
        timeout = 2 * self._fleet.probe_timeout
        outcome = self._calls.call(address, lambda client: client.probe(request), timeout)
        if isinstance(outcome, Ok):
            self._messages.take_reply(outcome.ok_value)
        return outcome

    def _next_targets(self, count: int) -> list[str]:
        targets: list[str] = []
        names = self._table.names()
        count = min(count, len(names))
        with self._lock:
            while len(targets) < count:
                if not self._round:
                    shuffled = random.sample(names, len(names))
                    self._round.extend(shuffled)
                vm = self._round.popleft()
                if vm in names and vm not in targets:
                    targets.append(vm)
        return targets

    def _probe_member(self, vm: str) -> None:
        member = self._table.find(vm)
        if member is None:
            return
        address = (member.host, member.peer_port)
        answered = isinstance(self._send_probe(address, vm), Ok)
        with self._lock:
            self._contacts.append(_Contact(vm, self._clock.now(), answered))
        if answered or self._probe_through_helpers(member):
            return
        self._table.suspect(vm)

    def _probe_through_helpers(self, target: Member) -> bool:
        others = [
            member
            for member in self._table.list_live()
            if member.vm not in (target.vm, self._table.own.vm)
        ]
        helpers = random.sample(others, min(_INDIRECT_PROBERS, len(others)))
        timeout = 3 * self._fleet.probe_timeout
        for helper in helpers:
            outcome = self._calls.call(
                (helper.host, helper.peer_port),
                lambda client: client.probe_via(target.host, target.peer_port),
                timeout,
            )
            if isinstance(outcome, Ok) and outcome.ok_value:
                return True
        return False

    def _probe_seeds(self) -> None:
        own = self._table.own
        known = {*self._table.addresses(), (own.host, own.peer_port)}
        unknown = [seed for seed in self._fleet.seeds if seed not in known]
        if unknown:
            self._probes.submit(self._send_probe, random.choice(unknown), None)
