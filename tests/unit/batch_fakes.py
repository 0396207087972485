"""Stores that inject faults, and batch parts without threads, for the tests of batch work."""

import random
from collections.abc import Sequence
from typing import Any, NamedTuple

from result import Err, Ok, Result
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.batch.assembly import BatchParts, build_batch_parts
from trefoilreach._internal.coordination.batch.held_chunk import HeldChunk, output_line
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.membership.peers import LIVE, Member, PeerError
from trefoilreach._internal.settings import BatchSettings, DaemonSettings, Settings
from trefoilreach._internal.state.config import Account, ConfigDocument, Route, Server
from trefoilreach._internal.state.objects import MemoryObjectStore
from trefoilreach._internal.state.table import (
    MemoryTable,
    OutcomeUnknown,
    Row,
    StoreError,
    StoreUnavailable,
    Write,
)
from trefoilreach._internal.state.vms import Vm
from trefoilreach._internal.transport.engine import EngineError, LoadReport

DOCUMENT = ConfigDocument(
    version=1,
    accounts=(Account("a", 10.0, 10.0), Account("b", 10.0, 10.0)),
    routes=(Route("m"),),
    servers=(Server("w1", "engine", "127.0.0.1", 1, ("m",)),),
)
ENDPOINT = "/v1/completions"


class Fault(NamedTuple):
    """A fault of the stores that starts after ``after`` further calls.

    :param kind: ``down``, ``lost`` (a write takes effect, but its answer is lost), ``late`` (the
        answer is lost, and the write takes effect when the test applies it) or empty.
    :param then_down: whether the stores are down after a lost or late write.
    """

    kind: str = ""
    after: int = 0
    then_down: bool = False


class Faults:
    """The current fault, and the late writes that are not applied yet."""

    def __init__(self) -> None:
        self.late: list[Sequence[Write]] = []
        self._fault = Fault()

    def set(self, fault: Fault) -> None:
        self._fault = fault

    def next_fault(self, write: bool) -> str:
        """Count one call; return the kind of the fault that applies to it."""
        fault = self._fault
        if fault.after > 0:
            self._fault = fault._replace(after=fault.after - 1)
            return ""
        if fault.kind in ("", "down"):
            return fault.kind
        if not write:
            return ""
        self._fault = Fault("down" if fault.then_down else "")
        return fault.kind


DOWN: Err[StoreError] = Err(StoreUnavailable("down"))


class FaultyTable(MemoryTable):
    """Table that is down, loses answers, or applies writes long after their answers were lost."""

    def __init__(self, faults: Faults) -> None:
        super().__init__()
        self.faults = faults

    def get(self, key: str) -> Result[Row | None, StoreError]:
        return DOWN if self.faults.next_fault(write=False) else super().get(key)

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], StoreError]:
        return DOWN if self.faults.next_fault(write=False) else super().scan(prefix, after, limit)

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        fault = self.faults.next_fault(write=True)
        if fault == "down":
            return DOWN
        if fault == "late":
            self.faults.late.append(writes)
            return Err(OutcomeUnknown("late"))
        done = super().commit(writes)
        return Err(OutcomeUnknown("lost")) if fault == "lost" else done

    def apply_late(self) -> None:
        late, self.faults.late = self.faults.late, []
        for writes in late:
            super().commit(writes)


class FaultyObjects(MemoryObjectStore):
    """Object store that is down together with the table."""

    def __init__(self, faults: Faults) -> None:
        super().__init__()
        self.faults = faults

    def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        return DOWN if self.faults.next_fault(write=False) else super().put(name, data)

    def get(self, name: str) -> Result[bytes | None, StoreError]:
        return DOWN if self.faults.next_fault(write=False) else super().get(name)


class SinglePeer:
    """Membership of a daemon that is alone in its fleet."""

    def __init__(self, settings: DaemonSettings) -> None:
        self._member = Member(
            settings.name,
            settings.host,
            settings.http_port,
            settings.peer_port,
            settings.data_centre,
            settings.region,
            1,
            LIVE,
        )

    @property
    def own_member(self) -> Member:
        return self._member

    def members(self) -> list[Member]:
        return []

    def list_live(self) -> list[Member]:
        return [self._member]

    def list_platform_vms(self) -> tuple[Vm, ...] | None:
        return None

    def call(self, vm: str, action: Any, timeout: float) -> Result[Any, PeerError]:
        return Err(PeerError(f"{vm!r} is unknown"))

    def broadcast(self, action: Any, timeout: float) -> dict[str, Result[Any, PeerError]]:
        return {}


class FakeEngine:
    """Engine that only reports its load."""

    def __init__(self) -> None:
        self.report = LoadReport("i1", 1, 0, 0, 8, 0.0, ("m",), "mixed")

    def load(self, server: Server) -> Result[LoadReport, EngineError]:
        return Ok(self.report)

    def cancel(self, server: Server, request_id: str) -> None:
        return None


class FakeDaemon:
    """The batch parts of one daemon, driven by the test instead of by threads."""

    def __init__(
        self, name: str, clock: ManualClock, table: Any, objects: Any, chunk_items: int = 2
    ) -> None:
        config = ActiveConfig()
        config.adopt(DOCUMENT)
        settings = Settings(batch=BatchSettings(chunk_items=chunk_items))
        settings = settings._replace(daemon=settings.daemon._replace(name=name))
        peers = SinglePeer(settings.daemon)
        engine: Any = FakeEngine()
        self.engine = engine
        self.parts: BatchParts = build_batch_parts(
            settings, clock, table, objects, config, engine, peers
        )
        self.clock = clock
        self.paused = False

    @property
    def held(self) -> list[HeldChunk]:
        return list(self.parts.scheduler.held.values())

    def tick(self) -> None:
        self.parts.scheduler.set_workers(DOCUMENT.servers)
        for server in self.parts.scheduler.polled_servers():
            self.parts.scheduler.record_load_report(server, self.engine.load(server))
        self.parts.coordinator.tick()

    def run_items(self, limit: int, rng: random.Random) -> list[tuple[str, str]]:
        """Complete up to ``limit`` items; return pairs of job id and custom id."""
        ran = []
        for held in self.held:
            while held.pending and not held.stop_state and len(ran) < limit:
                task = held.pending.popleft()
                body = {"text": f"{task.item.custom_id} {rng.random()}"}
                held.finish(task, output_line(task.item, "r", body))
                ran.append((held.job.id, task.item.custom_id))
        return ran

    def give_back(self) -> None:
        self.parts.scheduler.stop_chunks(lambda held: True, "free")


def make_input(count: int) -> bytes:
    line = '{"custom_id":"i%d","url":"/v1/completions","body":{"model":"m","prompt":"p"}}'
    return "\n".join(line % number for number in range(count)).encode()
