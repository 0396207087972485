"""Simulated fleet: quota policies of several daemons with a faulty network and table.

The clocks of all daemons derive from one simulated time.
"""

import pickle
from collections.abc import Callable, Sequence
from concurrent.futures import Executor, Future
from typing import Any

from result import Err, Ok, Result
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.membership.peers import LIVE, Member, PeerError
from trefoilreach._internal.coordination.quota import borrower as quota_borrower
from trefoilreach._internal.coordination.quota.loan_policy import LoanQuota
from trefoilreach._internal.coordination.quota.policy import QuotaDependencies
from trefoilreach._internal.settings import QuotaSettings
from trefoilreach._internal.state.config import Account, ConfigDocument
from trefoilreach._internal.state.table import MemoryTable, OutcomeUnknown, StoreUnavailable, Write
from trefoilreach._internal.state.vms import Vm


def copy_message(message: Any) -> Any:
    return pickle.loads(pickle.dumps(message))


class InlineExecutor(Executor):
    """Runs each task immediately in the calling thread."""

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        future: Future[Any] = Future()
        future.set_result(fn(*args, **kwargs))
        return future


# The real wait would advance the simulated time, and refill the buckets, so far that a loop that
# spends all tokens never ends.
quota_borrower.BORROW_WAIT_SECONDS = 0.02


class DaemonClock(ManualClock):
    """Clock of one daemon; its sleep advances the simulated time of all daemons."""

    def __init__(self, world: "SimulatedFleet", speed: float, offset: float) -> None:
        super().__init__()
        self._world, self._speed, self._offset = world, speed, offset

    def now(self) -> float:
        return self._world.time * self._speed + self._offset

    def sleep(self, seconds: float) -> None:
        self._world.time += seconds


class FaultyTable(MemoryTable):
    """The table as one daemon sees it: the rows are shared, the faults are its own."""

    def __init__(self, world: "SimulatedFleet", vm: str) -> None:
        self.world, self.vm = world, vm

    def get(self, key: str) -> Any:
        if self.world.table_down or self.vm in self.world.cut_from_table:
            return Err(StoreUnavailable("down"))
        return self.world.rows.get(key)

    def commit(self, writes: Sequence[Write]) -> Any:
        if self.world.table_down or self.vm in self.world.cut_from_table:
            return Err(StoreUnavailable("down"))
        done = self.world.rows.commit(writes)
        if self.world.lose_writes > 0:
            self.world.lose_writes -= 1
            return Err(OutcomeUnknown("answer lost"))
        return done


class SimulatedClient:
    """Client that ``Peers.call`` passes to its action."""

    def __init__(self, node: "Node", requests: list[Any]) -> None:
        self.node, self.requests = node, requests

    def borrow(self, request: Any) -> Any:
        self.requests.append(copy_message(request))
        return copy_message(self.node.quota.borrow(copy_message(request)))


class SimulatedPeers:
    def __init__(self, world: "SimulatedFleet", vm: str) -> None:
        self.world, self.vm = world, vm

    @property
    def own_member(self) -> Member:
        return self.world.member(self.vm)

    def members(self) -> list[Member]:
        return [self.world.member(name) for name in self.world.nodes if name != self.vm]

    def list_live(self) -> list[Member]:
        names = set(self.world.nodes) - self.world.leaving
        return [self.world.member(name) for name in sorted(names)]

    def list_platform_vms(self) -> tuple[Vm, ...] | None:
        return tuple(Vm(name, "h", "dc", "r") for name in sorted(self.world.listed))

    def call(self, vm: str, action: Callable[[Any], Any], timeout: float) -> Result[Any, PeerError]:
        return self.world.call_peer(self.vm, vm, action)


class Node:
    """One daemon process."""

    def __init__(self, world: "SimulatedFleet", vm: str, speed: float, offset: float) -> None:
        self.clock = DaemonClock(world, speed, offset)
        self.config = ActiveConfig()
        self.config.adopt(world.document)
        self.vm = vm
        self.paused = False
        tools = QuotaDependencies(
            QuotaSettings(),
            self.clock,
            self.config,
            SimulatedPeers(world, vm),  # type: ignore[arg-type]
            FaultyTable(world, vm),
        )
        self.quota = LoanQuota(tools, InlineExecutor())

    def tick(self) -> None:
        self.quota.slot_manager.tick()
        self.quota.slot_manager.confirm_by_peers()
        self.quota.borrower.renew()

    def admit(self, account: str) -> bool:
        found = self.config.view.accounts.get(account)
        return found is not None and isinstance(self.quota.admit(found), Ok)


class SimulatedFleet:
    """Simulated time, network, table and list of VMs of one fleet."""

    def __init__(self, accounts: Sequence[Account]) -> None:
        self.time = 0.0
        self.document = ConfigDocument(version=1, accounts=tuple(accounts))
        self.rows = MemoryTable()
        self.nodes: dict[str, Node] = {}
        self.replaced_processes: list[Node] = []
        self.listed: set[str] = set()
        self.leaving: set[str] = set()
        self.table_down = False
        self.cut_from_table: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        self.lose_writes = 0
        self.lose_requests = 0
        self.lose_replies = 0
        self.delay_seconds = 0.001
        self.delayed_requests: list[tuple[str, Any]] = []
        self.calls = 0

    def start_daemon(self, vm: str, speed: float = 1.0) -> Node:
        node = Node(self, vm, speed, 50.0 * len(self.nodes))
        self.nodes[vm] = node
        self.listed.add(vm)
        self.leaving.discard(vm)
        return node

    def leave(self, vm: str) -> None:
        """Start a planned stop of a daemon."""
        self.leaving.add(vm)
        self.nodes[vm].quota.slot_manager.leave()

    def member(self, vm: str) -> Member:
        return Member(vm, "h", 1, 2, "dc", "r", 1, LIVE)

    def call_peer(self, source: str, target: str, action: Callable[[Any], Any]) -> Any:
        self.calls += 1
        self.time += self.delay_seconds
        node = self.nodes.get(target)
        if node is None or node.paused or (source, target) in self.cut_links:
            return Err(PeerError("no answer"))
        if self.lose_requests > 0:
            self.lose_requests -= 1
            # The request is delayed, not lost: it may still arrive after the caller's timeout.
            recorder = RequestRecorder()
            action(recorder)
            self.delayed_requests.append((target, recorder.request))
            return Err(PeerError("timeout"))
        answer = action(SimulatedClient(node, []))
        self.time += self.delay_seconds
        if self.lose_replies > 0:
            self.lose_replies -= 1
            return Err(PeerError("timeout"))
        return Ok(answer)

    def deliver_delayed_requests(self) -> None:
        for target, request in self.delayed_requests:
            node = self.nodes.get(target)
            if node is not None and not node.paused:
                node.quota.borrow(copy_message(request))
        self.delayed_requests = []

    def advance(self, seconds: float, step: float = 1.0) -> None:
        end = self.time + seconds
        while self.time < end:
            self.time += step
            for node in list(self.nodes.values()):
                if not node.paused:
                    node.tick()


class RequestRecorder:
    def borrow(self, request: Any) -> Any:
        self.request = copy_message(request)
        return request
