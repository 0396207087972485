"""Tracks which VMs are live, leaving, suspect or unreachable as seen by this daemon.

Each daemon probes one peer per interval; probes and their answers carry member updates.
The platform's list seeds the members, and only that list removes a VM.
"""

import random
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import Any, TypeVar

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.membership.member_table import MemberTable
from trefoilreach._internal.coordination.membership.peer_calls import PeerCalls
from trefoilreach._internal.coordination.membership.peers import (
    LEAVING,
    LIVE,
    Member,
    PeerError,
    PeerState,
)
from trefoilreach._internal.coordination.membership.probe_messages import ProbeMessages
from trefoilreach._internal.coordination.membership.probing import Prober
from trefoilreach._internal.protocol.gen.peer.ttypes import ModelDemand, ProbeReply, ProbeRequest
from trefoilreach._internal.settings import DaemonSettings, FleetSettings
from trefoilreach._internal.state.vms import Vm, VmList
from trefoilreach._internal.transport.peer_traffic import PeerTraffic

T = TypeVar("T")

_BROADCAST_THREADS = 64
# In larger fleets the poll interval is multiplied by the number of VMs divided by this, because
# the list grows: at 420 VMs it has about 55 KB.
_VMS_PER_LIST_POLL = 30


class Membership:
    """Implements :class:`trefoilreach._internal.coordination.membership.peers.Peers`."""

    def __init__(
        self,
        clock: Clock,
        daemon: DaemonSettings,
        fleet: FleetSettings,
        vm_list: VmList,
        traffic: PeerTraffic | None = None,
    ) -> None:
        self._clock = clock
        self._traffic = traffic or PeerTraffic()
        self._fleet = fleet
        self._vm_list = vm_list
        self._table = MemberTable(clock, daemon)
        self._calls = PeerCalls(clock, self._traffic)
        self._messages = ProbeMessages(self._table)
        self._prober = Prober(clock, fleet, self._table, self._calls, self._messages)
        self._stop = threading.Event()
        self._broadcasts = ThreadPoolExecutor(_BROADCAST_THREADS, "broadcast")

    @property
    def traffic(self) -> PeerTraffic:
        """Bytes exchanged with peers."""
        return self._traffic

    @property
    def own_member(self) -> Member:
        """Member entry of this daemon."""
        return self._table.own

    def members(self) -> list[Member]:
        """Return every known daemon but this one, whatever its state."""
        return self._table.members()

    def list_live(self) -> list[Member]:
        """Return the daemons that can be given work, this one included."""
        return self._table.list_live()

    def list_platform_vms(self) -> tuple[Vm, ...] | None:
        """Return the platform's last list of VMs, or None before the first answer."""
        return self._table.listed()

    def known_addresses(self) -> set[tuple[str, int]]:
        """Return the peer addresses of all other VMs that this daemon knows of."""
        seeds = () if self._prober.list_ok else self._fleet.seeds
        own = self._table.own
        known = self._table.addresses().union(seeds)
        known.discard((own.host, own.peer_port))
        return known

    def count_known_vms(self) -> int:
        """Return how many other VMs this daemon knows of."""
        return len(self.known_addresses())

    def set_state_handlers(
        self, own_state: Callable[[], PeerState], on_peer_state: Callable[[str, PeerState], None]
    ) -> None:
        """Set the source of the state sent with probes and the callback for peers' states."""
        self._messages.own_state = own_state
        self._messages.on_peer_state = on_peer_state

    def set_demand_handlers(
        self,
        own_demands: Callable[[], list[ModelDemand]],
        on_peer_demands: Callable[[str, list[ModelDemand]], None],
    ) -> None:
        """Set the source of the demands sent with probes and the callback for peers' demands."""
        self._messages.own_demands = own_demands
        self._messages.on_peer_demands = on_peer_demands

    def set_store_check(self, silent: Callable[[], bool]) -> None:
        """Set the function that returns whether the table service does not answer."""
        self._prober.is_store_unresponsive = silent

    def start(self, stack: ExitStack) -> None:
        """Poll the VM list and probe peers in threads until the exit stack closes."""
        stack.callback(self._close)
        self.poll_vm_list()
        threading.Thread(
            target=self._prober.run, args=(self._stop,), name="membership", daemon=True
        ).start()
        threading.Thread(target=self._run_list, name="vm-list", daemon=True).start()

    def announce_leave(self) -> None:
        """Announce to the peers that this daemon takes no new work."""
        self._table.leave()
        self.push_state()

    def push_state(self) -> dict[str, Result[PeerState, PeerError]]:
        """Send this daemon's state to every live or leaving peer in parallel, as a probe.

        :returns: the state of each peer, or its error, by VM name.
        """
        outcomes = self.broadcast(
            lambda client: client.probe(self._messages.make_request(None)),
            self._fleet.probe_timeout,
        )
        found: dict[str, Result[PeerState, PeerError]] = {}
        for vm, outcome in outcomes.items():
            found[vm] = outcome.map(self._messages.take_reply)
        return found

    def call(self, vm: str, action: Callable[[Any], T], timeout: float) -> Result[T, PeerError]:
        """Run ``action`` with a thrift client of ``vm``; ``timeout`` in seconds."""
        member = self._table.find(vm)
        if member is None:
            return Err(PeerError(f"there is no VM named {vm!r}"))
        return self.call_address((member.host, member.peer_port), action, timeout)

    def call_address(
        self, address: tuple[str, int], action: Callable[[Any], T], timeout: float
    ) -> Result[T, PeerError]:
        """Run ``action`` with a thrift client of an address; ``timeout`` in seconds."""
        return self._calls.call(address, action, timeout)

    def broadcast(
        self, action: Callable[[Any], T], timeout: float
    ) -> dict[str, Result[T, PeerError]]:
        """Run ``action`` with every other live or leaving daemon in parallel."""
        names = [member.vm for member in self.members() if member.state in (LIVE, LEAVING)]
        outcomes = self._broadcasts.map(lambda vm: self.call(vm, action, timeout), names)
        return dict(zip(names, outcomes, strict=True))

    def answer_probe(self, request: ProbeRequest) -> ProbeReply:
        """Answer the probe of a peer."""
        return self._messages.answer(request)

    def answer_probe_via(self, host: str, peer_port: int) -> bool:
        """Probe a peer on behalf of another one; return whether it answered."""
        return self._prober.probe_for(host, peer_port)

    def count_recent_peers(self, seconds: float) -> tuple[int, int]:
        """Return to how many peers a probe ended in the last ``seconds``, and how many answered."""
        return self._prober.count_recent_peers(seconds)

    def poll_vm_list(self) -> None:
        """Read the platform's list once."""
        outcome = self._vm_list.list()
        if isinstance(outcome, Ok):
            for member in self._table.apply_list(outcome.ok_value):
                self._calls.forget((member.host, member.peer_port))
        # Set after the list was applied, so that known_addresses always has the list or the seeds.
        self._prober.list_ok = isinstance(outcome, Ok) and bool(outcome.ok_value)

    def probe_next(self) -> None:
        """Probe the next peer of the round, or several while the table service does not answer."""
        self._prober.probe_next()

    def _close(self) -> None:
        self._stop.set()
        self._prober.close()
        self._broadcasts.shutdown(wait=False, cancel_futures=True)
        self._calls.close()

    def _run_list(self) -> None:
        while not self._stop.is_set():
            size = len(self._table.listed() or ()) / _VMS_PER_LIST_POLL
            interval = self._fleet.poll_interval * max(1.0, size if self._prober.list_ok else 1.0)
            self._clock.wait(self._stop, interval * random.uniform(0.75, 1.25))
            self.poll_vm_list()
