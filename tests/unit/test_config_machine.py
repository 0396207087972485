"""Guards against a configuration that reverts, forks or loses a change or a withdrawal.

The state machine runs daemons on an in-memory store and network: writers race, answers are
lost, daemons restart or lose contact, and changes between versions are missing or corrupt.
The versions seen in force are the oracle.
"""

import threading
import zlib
from collections.abc import Callable, Sequence
from typing import Any

import orjson
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from result import Err, Ok, Result
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.config.store import CHANGE_SUFFIX, HEAD_KEY
from trefoilreach._internal.coordination.config.sync import ConfigSync
from trefoilreach._internal.coordination.membership.peers import LIVE, Member, PeerError
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.state.config import Account, ConfigDocument, Key, decode_config
from trefoilreach._internal.state.objects import MemoryObjectStore
from trefoilreach._internal.state.table import (
    MemoryTable,
    OutcomeUnknown,
    StoreError,
    StoreUnavailable,
    Write,
)

NODES = ("n0", "n1", "n2", "n3")
KEYS = tuple(f"k{number}" for number in range(6))
NODE = st.sampled_from(NODES)


class SteppedClock(ManualClock):
    def sleep(self, seconds: float) -> None:
        self.advance(seconds)

    def wait(self, event: threading.Event, timeout: float) -> bool:
        self.advance(timeout)
        return event.is_set()


class InlineExecutor:
    """Runs pushes on the calling thread, so that examples repeat exactly."""

    def submit(self, task: Callable[[], Any]) -> None:
        task()

    def shutdown(self, **options: Any) -> None:
        """Nothing to stop."""


class FaultyTable(MemoryTable):
    """Loses the answers of commits that took effect, did not, or take effect later."""

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.faults: list[str] = []
        self.late: list[Sequence[Write]] = []

    def get(self, key: str) -> Any:
        return Err(StoreUnavailable("down")) if self.down else super().get(key)

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        self._apply_late()
        if self.down:
            return Err(StoreUnavailable("down"))
        fault = self.faults.pop() if self.faults else ""
        if fault == "late":
            self.late.append(writes)
        elif fault != "dropped":
            outcome = super().commit(writes)
            if fault != "lost" or isinstance(outcome, Err):
                return outcome
        return Err(OutcomeUnknown(fault))

    def _apply_late(self) -> None:
        late, self.late = self.late, []
        for writes in late:
            super().commit(writes)


def corrupt_change(data: bytes) -> bytes:
    """Return the change without its entries, but with the checksum of the correct result."""
    return zlib.compress(orjson.dumps({**orjson.loads(zlib.decompress(data)), "sections": {}}))


class FaultyObjects(MemoryObjectStore):
    """Refuses, drops or corrupts changes, or stores one and loses the answer."""

    def __init__(self) -> None:
        super().__init__()
        self.fault = ""

    def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        fault = self.fault if name.endswith(CHANGE_SUFFIX) else ""
        if fault == "refused":
            return Err(StoreUnavailable(fault))
        if fault != "missing":
            super().put(name, corrupt_change(data) if fault == "wrong" else data)
        return Err(OutcomeUnknown(fault)) if fault == "lost" else Ok(None)


class Node:
    """Configuration of one daemon, and a fake of its peers and their thrift clients."""

    def __init__(self, name: str, machine: "ConfigMachine") -> None:
        self.machine = machine
        self.own_member = Member(name, "127.0.0.1", 1, 2, "dc", "r", 1, LIVE)
        self.holder = ActiveConfig()
        self.sync = ConfigSync(
            machine.clock, machine.table, machine.objects, self.holder, 2.0, self
        )
        self.sync._pushes = InlineExecutor()

    # Method names of the thrift client.
    def fetch_config(self, min_version: int, base_version: int | None = None) -> Any:
        return self.sync.answer_fetch(min_version, base_version)

    def withdraw(self, withdrawals: Any) -> None:
        self.sync.answer_withdraw(withdrawals)

    def members(self) -> list[Member]:
        return [node.own_member for node in self.machine.nodes.values() if node is not self]

    def count_known_vms(self) -> int:
        return len(NODES) - 1

    def call(self, vm: str, action: Callable[[Any], Any], timeout: float) -> Any:
        if {vm, self.own_member.vm} & self.machine.disconnected:
            return Err(PeerError("cut"))
        return Ok(action(self.machine.nodes[vm]))

    def broadcast(self, action: Callable[[Any], Any], timeout: float) -> Any:
        return {member.vm: self.call(member.vm, action, timeout) for member in self.members()}

    def push_state(self) -> Any:
        return self.broadcast(self.probe, 1.0)

    def probe(self, other: "Node") -> Any:
        other.sync.apply_peer_state(self.own_member.vm, self.sync.build_state())
        self.sync.apply_peer_state(other.own_member.vm, other.sync.build_state())
        return other.sync.build_state()


class ConfigMachine(RuleBasedStateMachine):
    @initialize()
    def start(self) -> None:
        self.clock = SteppedClock()
        self.table = FaultyTable()
        self.objects = FaultyObjects()
        self.disconnected: set[str] = set()
        self.nodes: dict[str, Node] = {}
        self.refused: set[str] = set()
        self.accepted: set[str] = set()
        self.durable: set[str] = set()
        self.seen: dict[int, ConfigDocument] = {}
        self.versions: dict[str, int] = dict.fromkeys(NODES, 0)
        self.count = 0
        for name in NODES:
            self.nodes[name] = Node(name, self)
            self.nodes[name].sync.poll()
        keys = tuple(Key(key_id, f"hash-{key_id}", "caller", "a") for key_id in KEYS)
        self.nodes["n0"].sync.change(0, lambda document: document._replace(keys=keys))

    @rule(node=NODE, rival=NODE, races=st.booleans(), stale=st.booleans())
    def change(self, node: str, rival: str, races: bool, stale: bool) -> None:
        holder = self.nodes[node].holder
        base = holder.view.document.version - (1 if stale else 0)
        self._change(node, base, rival if races and rival != node else None)

    @rule(node=NODE, rival=NODE)
    def rebase(self, node: str, rival: str) -> None:
        self._change(node, None, rival if rival != node else None)

    @rule(node=NODE, key=st.sampled_from(KEYS))
    def withdraw(self, node: str, key: str) -> None:
        outcome = self.nodes[node].sync.withdraw(key)
        if isinstance(outcome, Err):
            assert outcome.err_value.status == 404
            return
        report = outcome.ok_value
        for vm in report.in_force:
            assert key in self.nodes[vm].sync.get_withdrawn_key_ids()
        assert {*report.in_force, *report.pending} == set(NODES)
        if report.durable:
            self.durable.add(key)

    @rule(node=NODE)
    def poll(self, node: str) -> None:
        self.nodes[node].sync.poll()

    @rule(first=NODE, second=NODE)
    def probe(self, first: str, second: str) -> None:
        if first == second or {first, second} & self.disconnected:
            return
        syncs = [self.nodes[first].sync, self.nodes[second].sync]
        known = syncs[0].get_withdrawn_key_ids() | syncs[1].get_withdrawn_key_ids()
        self.nodes[first].probe(self.nodes[second])
        for sync in syncs:
            sync.fetch_from_changed_peers()
        if all(sync.ready for sync in syncs):
            # One of them may also fetch what a third daemon has told it before; the next probe
            # tells the other one.
            for sync in syncs:
                assert known <= sync.get_withdrawn_key_ids(), "a probe did not level withdrawals"

    @rule(faults=st.lists(st.sampled_from(["lost", "dropped", "late"]), max_size=6))
    def lose_answers(self, faults: list[str]) -> None:
        self.table.faults = faults

    @rule(fault=st.sampled_from(["", "refused", "missing", "wrong", "lost"]))
    def set_change_fault(self, fault: str) -> None:
        self.objects.fault = fault

    @rule(node=NODE)
    def spoil_kept_changes(self, node: str) -> None:
        kept = self.nodes[node].sync._replica.changes._changes
        kept.update({version: corrupt_change(data) for version, data in kept.items()})

    @rule()
    def toggle_store(self) -> None:
        self.table.down = not self.table.down

    @rule(node=NODE)
    def toggle_contact(self, node: str) -> None:
        self.disconnected ^= {node}

    @rule(node=NODE)
    def restart(self, node: str) -> None:
        self.nodes[node] = Node(node, self)
        self.versions[node] = 0
        self.nodes[node].sync.poll()
        if not self.nodes[node].sync.ready:
            self.bootstrap_from_peers(node)

    @precondition(lambda self: self.table.down)
    @rule(node=NODE)
    def bootstrap_from_peers(self, node: str) -> None:
        sync = self.nodes[node].sync
        if sync.ready:
            return
        others = [
            peer for name, peer in self.nodes.items() if name not in self.disconnected | {node}
        ]
        ready = (
            [peer for peer in others if peer.sync.ready] if node not in self.disconnected else []
        )
        assert sync.bootstrap_from_peers() == (2 * len(ready) > len(NODES) - 1)
        if sync.ready:
            highest = max(peer.holder.view.document.version for peer in ready)
            assert self.nodes[node].holder.view.document.version >= highest

    @invariant()
    def check_versions(self) -> None:
        for name, node in getattr(self, "nodes", {}).items():
            document = node.holder.view.document
            assert document.version >= self.versions[name], "a version reverted"
            self.versions[name] = document.version
            assert self.seen.setdefault(document.version, document) == document, "a fork"
            names = {account.name for account in document.accounts}
            assert not names & self.refused, "a change that was refused as not run is in force"
            assert {
                entry.key_id for entry in document.withdrawn
            } <= node.sync.get_withdrawn_key_ids()

    def teardown(self) -> None:
        if not hasattr(self, "nodes"):
            return
        held = set().union(*(node.sync.get_withdrawn_key_ids() for node in self.nodes.values()))
        self.table.down, self.table.faults, self.disconnected = False, [], set()
        for _ in range(2):
            for node in self.nodes.values():
                node.sync.poll()
                node.push_state()
                node.sync.fetch_from_changed_peers()
                assert isinstance(node.sync.make_durable(), Ok)
        self.check_versions()
        head = self.table.get(HEAD_KEY).unwrap().value
        final = decode_config(self.objects.get(head["object"]).unwrap())
        assert {node.holder.view.document for node in self.nodes.values()} == {final}
        assert self.accepted <= {account.name for account in final.accounts}
        withdrawn = {entry.key_id for entry in final.withdrawn}
        assert withdrawn == held | self.durable
        for node in self.nodes.values():
            assert node.sync.get_withdrawn_key_ids() == withdrawn
            node.sync._close()

    def _change(self, node: str, base: int | None, rival: str | None) -> None:
        self.count += 1
        name = f"account{self.count}"
        raced: list[str] = []

        def edit(document: ConfigDocument) -> ConfigDocument:
            if rival is not None and not raced:
                raced.append(rival)
                self._change(rival, None, None)
            return document._replace(accounts=(*document.accounts, Account(name, 1.0, 1.0)))

        outcome = self.nodes[node].sync.change(base, edit)
        if isinstance(outcome, Ok):
            self.accepted.add(name)
            assert name in {account.name for account in outcome.ok_value.accounts}
        elif outcome.err_value.verdict is Verdict.NOT_RUN:
            self.refused.add(name)
            if outcome.err_value.status == 409 and not self.table.down:
                in_force = self.table.get(HEAD_KEY).unwrap().value["version"]
                assert str(in_force) in outcome.err_value.message


TestConfigFuzz = ConfigMachine.TestCase


def test_probe_levels_withdrawals_beside_news_of_a_third_daemon() -> None:
    """Guards against an oracle that fails although no withdrawal was lost.

    The first daemon fetches a withdrawal of which a third one has told it, during a probe of a
    second daemon that was out of contact until then. The next probe levels it.
    """
    machine = ConfigMachine()
    machine.start()
    for first, second in (("n1", "n2"), ("n2", "n3"), ("n1", "n3")):
        machine.probe(first, second)
    machine.toggle_contact("n1")
    machine.toggle_contact("n2")
    machine.withdraw("n0", "k1")
    machine.toggle_contact("n1")
    machine.change("n0", "n0", races=False, stale=False)
    machine.toggle_contact("n2")
    machine.probe("n1", "n2")
    held = [machine.nodes[name].sync.get_withdrawn_key_ids() for name in ("n1", "n2")]
    assert held == [{"k1"}, set()]
    machine.probe("n1", "n2")
    assert "k1" in machine.nodes["n2"].sync.get_withdrawn_key_ids()
    machine.teardown()
