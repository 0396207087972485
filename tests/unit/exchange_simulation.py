"""Simulated fleet: report exchanges of several daemons on one manual clock, without sockets.

Each daemon sends and relays its reports at the times at which its threads would, so that a run
depends on its seed only and not on the load of the machine.
"""

import heapq
import random
from collections.abc import Callable
from contextlib import ExitStack
from typing import NamedTuple

from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.exchange.report_exchange import (
    ExchangeCallbacks,
    ReportExchange,
)
from trefoilreach._internal.coordination.exchange.reports import DaemonState, Identity, decode

Address = tuple[str, int]

STEP_SECONDS = 0.005
_DATAGRAM_SECONDS = 0.0005
# The daemons do not start at the same time, so their reports are spread over this interval.
_START_SPREAD_SECONDS = 1.0
# Most by which a daemon's thread wakes too late.
_MAX_WAKE_DELAY_SECONDS = 0.002


class _Datagram(NamedTuple):
    arrives_at: float
    number: int
    address: Address
    data: bytes


class SimulatedExchange(ReportExchange):
    """An exchange whose threads are steps of the simulation.

    :param starts_at: time of its first report.
    """

    def __init__(
        self, fleet: "SimulatedExchanges", identity: Identity, seeds: list[Address], active: bool
    ) -> None:
        super().__init__(fleet.clock, identity, seeds)
        self.set_active(active)
        self._fleet = fleet
        self._hooks = ExchangeCallbacks(
            get_state=lambda: fleet.state._replace(active=self.active),
            on_report=lambda peer: None,
            on_datagram_applied=lambda: None,
            on_peer_lost=lambda peer: None,
            get_state_age=lambda: 0.2,
            on_version_confirmed=lambda version, at: None,
        )
        start = fleet.clock.now() + fleet.rng.uniform(0.0, _START_SPREAD_SECONDS)
        self._report_requested_from = start
        self._report_due_at = start
        self._relay_from = start

    def step(self, now: float) -> None:
        """Do what the threads for sending and relaying would do now."""
        requested = self._report_pending and now >= self._report_requested_from
        if requested or now >= self._report_due_at:
            self._report_pending = False
            self._report_requested_from = now + self._send_report()
            delay = self._fleet.rng.uniform(0.0, _MAX_WAKE_DELAY_SECONDS)
            self._report_due_at = now + self._report_interval + delay
        if now >= self._relay_from and (self._outbox._local or self._outbox._remote):
            self._relay_from = now + self._send_bundles()

    def receive(self, data: bytes) -> None:
        """Handle a datagram."""
        datagram = decode(data)
        assert datagram is not None
        self._handle(datagram)

    def _send_to(self, data: bytes, address: Address) -> None:
        self._fleet.send(data, address)


class SimulatedExchanges:
    """Simulated time, network and daemons.

    :ivar nodes: running daemons by VM.
    """

    def __init__(self, stack: ExitStack, state: DaemonState, seed: int) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.state = state
        self.nodes: dict[str, SimulatedExchange] = {}
        self._stack = stack
        self._datagrams: list[_Datagram] = []
        self._sent = 0

    def add(self, vm: str, data_centre: str, cores: float, active: bool) -> None:
        """Start a daemon that knows the first two."""
        host = f"10.0.0.{len(self.nodes) + 1}"
        identity = Identity(vm, 1, host, 1, 0, f"{host}:80", data_centre, cores)
        seeds = [(node.identity.host, node.identity.port) for node in self.nodes.values()][:2]
        node = self.nodes[vm] = SimulatedExchange(self, identity, seeds, active)
        self._stack.callback(node._socket.close)

    def close(self, vm: str) -> None:
        """End a daemon; what it has not sent is lost."""
        del self.nodes[vm]

    def send(self, data: bytes, address: Address) -> None:
        """Pass a datagram to the network."""
        self._sent += 1
        arrives_at = self.clock.now() + _DATAGRAM_SECONDS
        heapq.heappush(self._datagrams, _Datagram(arrives_at, self._sent, address, data))

    def run(self, seconds: float, check: Callable[[], None] = lambda: None) -> None:
        """Advance the time.

        :param check: called at each step.
        """
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.advance(STEP_SECONDS)
            now = self.clock.now()
            while self._datagrams and self._datagrams[0].arrives_at <= now:
                datagram = heapq.heappop(self._datagrams)
                for node in self.nodes.values():
                    if (node.identity.host, node.identity.port) == datagram.address:
                        node.receive(datagram.data)
            for node in self.nodes.values():
                node.step(now)
            check()
