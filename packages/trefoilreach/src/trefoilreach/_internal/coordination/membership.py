"""Which VMs are live, leaving, suspected or unreachable from here.

Each daemon probes one peer per interval; news about members rides on probes and their
answers. The platform's list seeds the members and alone says that a VM is gone.
"""

import math
import random
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import Any, NamedTuple, TypeVar

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.peers import (
    LEAVING,
    LIVE,
    SUSPECT,
    UNREACHABLE,
    Member,
    PeerError,
    PeerState,
)
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.gen.peer.ttypes import (
    MemberState,
    MemberUpdate,
    ModelDemand,
    ProbeReply,
    ProbeRequest,
)
from trefoilreach._internal.settings import DaemonSettings, FleetSettings
from trefoilreach._internal.state.vms import Vm, VmList
from trefoilreach._internal.transport.peer_client import PeerClient
from trefoilreach._internal.transport.peer_traffic import PeerTraffic

T = TypeVar("T")

MAX_UPDATES = 10  # per message, so that its size does not grow with the fleet
_SPREAD_FACTOR = 3  # an update is sent at most this many times log2 of the members
_HELPERS = 2  # peers asked to probe a silent one
_PAUSE_SECONDS = 2.0  # a longer gap between two ticks means that this daemon was paused
_PROBE_THREADS = 12
_BROADCAST_THREADS = 64
# The list is read less often in large fleets: at 420 VMs it has about 55 KB.
_VMS_PER_LIST_POLL = 30
# Samples of peer contact taken per interval while the table service does not answer.
WITNESSES = 5
_MAX_GONE = 4096

_CODES = {
    LIVE: MemberState.LIVE,
    LEAVING: MemberState.LEAVING,
    SUSPECT: MemberState.SUSPECT,
    UNREACHABLE: MemberState.UNREACHABLE,
}
_STATES = {code: state for state, code in _CODES.items()}


class _Contact(NamedTuple):
    when: float
    answered: bool


def to_update(member: Member) -> MemberUpdate:
    """Encode a member for the wire."""
    return MemberUpdate(
        vm=member.vm,
        host=member.host,
        peer_port=member.peer_port,
        http_port=member.http_port,
        data_centre=member.data_centre,
        region=member.region,
        incarnation=member.incarnation,
        state=_CODES[member.state],
    )


def from_update(update: MemberUpdate) -> Member:
    """Decode a member from the wire."""
    return Member(
        vm=update.vm,
        host=update.host,
        http_port=update.http_port,
        peer_port=update.peer_port,
        data_centre=update.data_centre,
        region=update.region,
        incarnation=update.incarnation,
        state=_STATES[update.state],
    )


def overrides(new: Member, old: Member) -> bool:
    """Return whether ``new`` is later news than ``old`` about the same VM."""
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return _CODES[new.state] > _CODES[old.state]


class Membership:
    """Implements :class:`trefoilreach._internal.coordination.peers.Peers`."""

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
        self._default_ports = (daemon.http_port, daemon.peer_port)
        self._lock = threading.RLock()
        # The wall clock makes the number of a restarted daemon higher than before.
        # When that clock went back, the peers' memory of the old number corrects it.
        incarnation = int(clock.wall_time() * 1000)
        self._self = Member(
            daemon.name,
            daemon.host,
            daemon.http_port,
            daemon.peer_port,
            daemon.data_centre,
            daemon.region,
            incarnation,
            LIVE,
        )
        self._members: dict[str, Member] = {}
        self._suspected_at: dict[str, float] = {}
        self._sent: dict[str, int] = {}
        self._gone: dict[str, None] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._listed: tuple[Vm, ...] | None = None
        self._list_ok = False
        self._clients: dict[tuple[str, int], PeerClient] = {}
        self._round: deque[str] = deque()
        self._contacts: deque[_Contact] = deque(maxlen=256)
        self._own_state: Callable[[], PeerState] = lambda: PeerState(0, 0)
        self._heard: Callable[[str, PeerState], None] = lambda vm, state: None
        self._own_demands: Callable[[], list[ModelDemand]] = list
        self._heard_demands: Callable[[str, list[ModelDemand]], None] = lambda vm, demands: None
        self._store_silent: Callable[[], bool] = lambda: False
        self._stop = threading.Event()
        self._probes = ThreadPoolExecutor(_PROBE_THREADS, "probe")
        self._broadcasts = ThreadPoolExecutor(_BROADCAST_THREADS, "broadcast")

    @property
    def traffic(self) -> PeerTraffic:
        """Bytes exchanged with peers."""
        return self._traffic

    @property
    def self_member(self) -> Member:
        """Member that this daemon is."""
        with self._lock:
            return self._self

    def members(self) -> list[Member]:
        """Return every known daemon but this one, whatever its state."""
        with self._lock:
            return [self._mark_listed(member) for member in self._members.values()]

    def live(self) -> list[Member]:
        """Return the daemons that can be given work, this one included."""
        with self._lock:
            everyone = [self._self, *map(self._mark_listed, self._members.values())]
        return [member for member in everyone if member.state == LIVE]

    def listed_vms(self) -> tuple[Vm, ...] | None:
        """Return the platform's last list of VMs, or None before the first answer."""
        with self._lock:
            return self._listed

    def known_addresses(self) -> set[tuple[str, int]]:
        """Return the peer addresses of all other VMs that this daemon knows of."""
        with self._lock:
            known = {(member.host, member.peer_port) for member in self._members.values()}
            if not self._list_ok:
                known.update(self._fleet.seeds)
            known.discard((self._self.host, self._self.peer_port))
            return known

    def known_count(self) -> int:
        """Return how many other VMs this daemon knows of."""
        return len(self.known_addresses())

    def set_exchange(
        self, own_state: Callable[[], PeerState], heard: Callable[[str, PeerState], None]
    ) -> None:
        """Set what rides on probes, and who hears what rode on those of a peer."""
        self._own_state = own_state
        self._heard = heard

    def set_demand_exchange(
        self,
        own: Callable[[], list[ModelDemand]],
        heard: Callable[[str, list[ModelDemand]], None],
    ) -> None:
        """Set what probes say of this daemon's demand, and who takes that of peers."""
        self._own_demands = own
        self._heard_demands = heard

    def set_store_silent(self, silent: Callable[[], bool]) -> None:
        """Set how to tell that the table service does not answer."""
        self._store_silent = silent

    def start(self, stack: ExitStack) -> None:
        """Read the list and probe in threads until the exit stack closes."""
        stack.callback(self._close)
        self.poll_list()
        threading.Thread(target=self._run_probes, name="membership", daemon=True).start()
        threading.Thread(target=self._run_list, name="vm-list", daemon=True).start()

    def leave(self) -> None:
        """Tell the peers that this daemon takes no new work."""
        with self._lock:
            self._renew(self._self.incarnation + 1, LEAVING)
        self.push_state()

    def push_state(self) -> dict[str, Result[PeerState, PeerError]]:
        """Probe every live or leaving peer at once, which carries this daemon's state to it."""
        outcomes = self.broadcast(
            lambda client: client.probe(self._make_request(None)), self._fleet.probe_timeout
        )
        found: dict[str, Result[PeerState, PeerError]] = {}
        for vm, outcome in outcomes.items():
            found[vm] = outcome.map(self._take_reply)
        return found

    def call(self, vm: str, action: Callable[[Any], T], timeout: float) -> Result[T, PeerError]:
        """Run ``action`` with a thrift client of ``vm``; ``timeout`` in seconds."""
        with self._lock:
            member = self._members.get(vm)
        if member is None:
            return Err(PeerError(f"no VM is called {vm!r}"))
        return self.call_address((member.host, member.peer_port), action, timeout)

    def call_address(
        self, address: tuple[str, int], action: Callable[[Any], T], timeout: float
    ) -> Result[T, PeerError]:
        """Run ``action`` with a thrift client of an address."""
        outcome = self._client(address).call(action, timeout)
        return outcome.map_err(lambda error: PeerError(str(error)))

    def broadcast(
        self, action: Callable[[Any], T], timeout: float
    ) -> dict[str, Result[T, PeerError]]:
        """Run ``action`` with every other live or leaving daemon at the same time."""
        names = [member.vm for member in self.members() if member.state in (LIVE, LEAVING)]
        outcomes = self._broadcasts.map(lambda vm: self.call(vm, action, timeout), names)
        return dict(zip(names, outcomes, strict=True))

    def answer_probe(self, request: ProbeRequest) -> ProbeReply:
        """Answer the probe of a peer."""
        sender = from_update(request.sender)
        self._merge([sender, *map(from_update, request.updates)])
        state = PeerState(request.config_version, request.withdrawals_digest)
        self._heard(sender.vm, state)
        self._heard_demands(sender.vm, request.demands or [])
        own = self._own_state()
        return ProbeReply(
            sender=to_update(self.self_member),
            config_version=own.config_version,
            withdrawals_digest=own.withdrawals_digest,
            updates=self._take_updates(sender.vm),
            demands=self._own_demands(),
        )

    def answer_probe_via(self, host: str, peer_port: int) -> bool:
        """Probe a peer on behalf of another one; return whether it answered."""
        return isinstance(self._send_probe((host, peer_port), None), Ok)

    def contact_share(self, seconds: float) -> tuple[int, int]:
        """Return how many probes of the last ``seconds`` ended and how many were answered."""
        limit = self._clock.now() - seconds
        with self._lock:
            recent = [contact.answered for contact in self._contacts if contact.when >= limit]
        return len(recent), sum(recent)

    def poll_list(self) -> None:
        """Read the platform's list once."""
        outcome = self._vm_list.list()
        with self._lock:
            self._list_ok = isinstance(outcome, Ok) and bool(outcome.ok_value)
            if isinstance(outcome, Ok):
                self._apply_list(outcome.ok_value)

    def probe_next(self) -> None:
        """Probe the next peer of the round, and more of them while the store is silent."""
        self._expire_suspicions()
        count = WITNESSES if self._store_silent() else 1
        for vm in self._next_targets(count):
            self._probes.submit(self._probe_member, vm)
        if not self._list_ok:
            self._probe_seeds()

    def _close(self) -> None:
        self._stop.set()
        self._probes.shutdown(wait=False, cancel_futures=True)
        self._broadcasts.shutdown(wait=False, cancel_futures=True)
        with self._lock:
            clients, self._clients = list(self._clients.values()), {}
        for client in clients:
            client.close()

    def _run_probes(self) -> None:
        last = self._clock.now()
        while not self._stop.is_set():
            now = self._clock.now()
            if now - last > self._fleet.probe_interval + _PAUSE_SECONDS:
                self._forgive(now - last)
            last = now
            try:
                self.probe_next()
            except RuntimeError:
                # The executor refuses work while this daemon stops.
                return
            self._drop_idle()
            self._clock.wait(self._stop, self._fleet.probe_interval * random.uniform(0.9, 1.1))

    def _run_list(self) -> None:
        while not self._stop.is_set():
            size = 1.0 if self._listed is None else len(self._listed) / _VMS_PER_LIST_POLL
            interval = self._fleet.poll_interval * max(1.0, size if self._list_ok else 1.0)
            self._clock.wait(self._stop, interval * random.uniform(0.75, 1.25))
            self.poll_list()

    def _drop_idle(self) -> None:
        with self._lock:
            clients = list(self._clients.values())
        for client in clients:
            client.drop_idle()

    def _client(self, address: tuple[str, int]) -> PeerClient:
        with self._lock:
            client = self._clients.get(address)
            if client is None:
                client = PeerClient(address[0], address[1], self._clock, self._traffic)
                self._clients[address] = client
            return client

    def _forgive(self, gap: float) -> None:
        # Peers could not refute a suspicion while this daemon was paused.
        with self._lock:
            for vm in self._suspected_at:
                self._suspected_at[vm] += gap
        log_event("membership:paused", seconds=gap)

    def _apply_list(self, vms: list[Vm]) -> None:
        names = {vm.name for vm in vms}
        for vm in self._listed or ():
            if vm.name not in names:
                self._remove(vm.name)
        self._listed = tuple(vms)
        self._listed_leaving = frozenset(vm.name for vm in vms if vm.state == LEAVING)
        for vm in vms:
            self._gone.pop(vm.name, None)
            if vm.name != self._self.vm and vm.name not in self._members:
                self._members[vm.name] = self._from_listed(vm)

    def _from_listed(self, vm: Vm) -> Member:
        http_port, peer_port = self._default_ports
        return Member(
            vm.name,
            vm.host,
            vm.http_port or http_port,
            vm.peer_port or peer_port,
            vm.data_centre,
            vm.region,
            0,
            LIVE,
        )

    def _mark_listed(self, member: Member) -> Member:
        """Return the member as leaving when the platform's list says so."""
        if member.state == LIVE and member.vm in self._listed_leaving:
            return member._replace(state=LEAVING)
        return member

    def _remove(self, vm: str) -> None:
        member = self._members.pop(vm, None)
        self._suspected_at.pop(vm, None)
        self._sent.pop(vm, None)
        self._gone[vm] = None
        while len(self._gone) > _MAX_GONE:
            self._gone.pop(next(iter(self._gone)))
        if member is not None:
            client = self._clients.pop((member.host, member.peer_port), None)
            if client is not None:
                client.close()
            log_event("membership:gone", peer=vm)

    def _merge(self, members: list[Member]) -> None:
        with self._lock:
            for member in members:
                if member.vm == self._self.vm:
                    self._refute(member)
                elif member.vm not in self._gone:
                    self._adopt(member)

    def _refute(self, claim: Member) -> None:
        wrong_state = claim.state != self._self.state
        same = claim.incarnation == self._self.incarnation
        if claim.incarnation > self._self.incarnation or (same and wrong_state):
            self._renew(claim.incarnation + 1, self._self.state)

    def _renew(self, incarnation: int, state: str) -> None:
        self._self = self._self._replace(incarnation=incarnation, state=state)

    def _adopt(self, member: Member) -> None:
        known = self._members.get(member.vm)
        if known is not None and not overrides(member, known):
            return
        self._members[member.vm] = member
        self._sent[member.vm] = 0
        self._suspected_at.pop(member.vm, None)
        if member.state == SUSPECT:
            self._suspected_at[member.vm] = self._clock.now()
        if known is None or known.state != member.state:
            log_event("membership:state", peer=member.vm, state=member.state)

    def _expire_suspicions(self) -> None:
        limit = self._clock.now() - self._fleet.suspicion
        with self._lock:
            for vm in [vm for vm, since in self._suspected_at.items() if since <= limit]:
                self._adopt(self._members[vm]._replace(state=UNREACHABLE))

    def _take_updates(self, receiver: str | None) -> list[MemberUpdate]:
        """Return the least sent news; the receiver always hears what is held against it."""
        with self._lock:
            chosen: list[str] = []
            held = self._members.get(receiver or "")
            if held is not None and held.state in (SUSPECT, UNREACHABLE):
                chosen.append(held.vm)
            fresh = sorted(self._sent, key=self._sent.__getitem__)
            chosen += [vm for vm in fresh if vm != receiver]
            del chosen[MAX_UPDATES:]
            self._count_sent(chosen)
            return [to_update(self._members[vm]) for vm in chosen if vm in self._members]

    def _count_sent(self, names: list[str]) -> None:
        limit = _SPREAD_FACTOR * max(1, math.ceil(math.log2(len(self._members) + 2)))
        for vm in names:
            if vm not in self._sent:
                continue
            self._sent[vm] += 1
            if self._sent[vm] >= limit:
                del self._sent[vm]

    def _make_request(self, receiver: str | None) -> ProbeRequest:
        own = self._own_state()
        return ProbeRequest(
            sender=to_update(self.self_member),
            config_version=own.config_version,
            withdrawals_digest=own.withdrawals_digest,
            updates=self._take_updates(receiver),
            demands=self._own_demands(),
        )

    def _take_reply(self, reply: ProbeReply) -> PeerState:
        sender = from_update(reply.sender)
        self._merge([sender, *map(from_update, reply.updates)])
        state = PeerState(reply.config_version, reply.withdrawals_digest)
        self._heard(sender.vm, state)
        self._heard_demands(sender.vm, reply.demands or [])
        return state

    def _send_probe(
        self, address: tuple[str, int], receiver: str | None
    ) -> Result[ProbeReply, PeerError]:
        request = self._make_request(receiver)
        # The client takes the time twice when it had a kept connection to try first.
        timeout = 2 * self._fleet.probe_timeout
        outcome = self.call_address(address, lambda client: client.probe(request), timeout)
        if isinstance(outcome, Ok):
            self._take_reply(outcome.ok_value)
        return outcome

    def _next_targets(self, count: int) -> list[str]:
        targets: list[str] = []
        with self._lock:
            count = min(count, len(self._members))
            while len(targets) < count:
                if not self._round:
                    names = list(self._members)
                    random.shuffle(names)
                    self._round.extend(names)
                vm = self._round.popleft()
                if vm in self._members and vm not in targets:
                    targets.append(vm)
        return targets

    def _probe_member(self, vm: str) -> None:
        with self._lock:
            member = self._members.get(vm)
        if member is None:
            return
        address = (member.host, member.peer_port)
        answered = isinstance(self._send_probe(address, vm), Ok)
        with self._lock:
            self._contacts.append(_Contact(self._clock.now(), answered))
        if answered or self._probe_through_helpers(member):
            return
        with self._lock:
            current = self._members.get(vm)
            if current is not None and current.state in (LIVE, LEAVING):
                self._adopt(current._replace(state=SUSPECT))

    def _probe_through_helpers(self, target: Member) -> bool:
        others = [member for member in self.live() if member.vm not in (target.vm, self._self.vm)]
        helpers = random.sample(others, min(_HELPERS, len(others)))
        timeout = 3 * self._fleet.probe_timeout
        for helper in helpers:
            outcome = self.call(
                helper.vm,
                lambda client: client.probe_via(target.host, target.peer_port),
                timeout,
            )
            if isinstance(outcome, Ok) and outcome.ok_value:
                return True
        return False

    def _probe_seeds(self) -> None:
        with self._lock:
            known = {(member.host, member.peer_port) for member in self._members.values()}
            known.add((self._self.host, self._self.peer_port))
        unknown = [seed for seed in self._fleet.seeds if seed not in known]
        if unknown:
            self._probes.submit(self._send_probe, random.choice(unknown), None)
