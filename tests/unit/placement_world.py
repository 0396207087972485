"""Simulated workers, weight store, table and daemons that place models, on a manual clock."""

from typing import Any, NamedTuple

from result import Err, Ok, Result
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.membership.peers import (
    LIVE,
    UNREACHABLE,
    Member,
    PeerError,
)
from trefoilreach._internal.coordination.online.backends import Backends
from trefoilreach._internal.coordination.placement.controller import (
    PlacementController,
    PlacementDependencies,
)
from trefoilreach._internal.metrics import NoMetrics
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.settings import Settings
from trefoilreach._internal.state.config import ConfigDocument, Route, Server
from trefoilreach._internal.state.table import (
    MemoryTable,
    OutcomeUnknown,
    StoreUnavailable,
    Write,
)
from trefoilreach._internal.transport.engine import EngineError, LoadReport, Order, OrderOutcome

MODELS = ("a", "b", "c")
LEASE_SECONDS, MIN_LEASE_LEFT_SECONDS, ACTIVE_TRAFFIC_SECONDS = 20.0, 8.0, 60.0
LOAD_SECONDS, PERMIT_SECONDS = 3.0, 4.0
MAX_CLOCK_DRIFT = 1.01
# A daemon may treat a worker that went silent as serving until its last report is too old.
SILENCE_GRACE_SECONDS = 14.0


class SentOrder(NamedTuple):
    """An order: when it was sent, when it is carried out, and which models had traffic then."""

    node: str
    server: str
    order: Order
    sent: float
    ends: float
    active: frozenset[str]


class FakeWorker:
    """Worker that loads models; ``states`` holds its past states, of which reports lag."""

    def __init__(self, models: dict[str, str], check_fencing: bool) -> None:
        self.versions, self.check_fencing = dict(models), check_fencing
        self.loading: dict[str, tuple[str, float]] = {}
        self.fencing = 0
        self.silent_since = float("inf")
        self.states: list[tuple[float, dict[str, str], dict[str, str]]] = []

    def record_state(self, now: float) -> None:
        for model, (version, end) in list(self.loading.items()):
            if end <= now:
                del self.loading[model]
                self.versions[model] = version
        loading = {model: version for model, (version, _) in self.loading.items()}
        self.states.append((now, dict(self.versions), loading))
        del self.states[:-100]

    def report(self, now: float, lag: float) -> LoadReport:
        visible = [state for state in self.states if state[0] <= now - lag]
        _, versions, loading = visible[-1] if visible else self.states[0]
        return LoadReport(
            "i", int(now * 1e3), 0, 0, 4, lag, tuple(versions), "mixed", versions, loading
        )


class World:
    """Checks each order when it is sent and when it is carried out.

    :param checking: whether the workers check fencing numbers.
    :param lag: seconds by which load reports lag.
    """

    def __init__(self, checking: bool, lag: float) -> None:
        self.now, self.lag = 0.0, lag
        self.failures: list[AssertionError] = []
        self.table = MemoryTable()
        self.table_fault = ""
        self.delayed_writes: list[list[Write]] = []
        self.lease_granted_at: dict[tuple[str, str], float] = {}
        self.order_fault: tuple[str, float] = ("", 0.0)
        self.orders: list[SentOrder] = []
        self.lost_orders: list[SentOrder] = []
        self.applied: dict[str, int] = {}
        self.last_request_at: dict[str, float] = {}
        # By model: the index of the daemon that gets requests, and requests a second of 1 s each.
        self.request_rates: dict[str, tuple[int, int]] = {}
        self.open_permits: list[tuple[str, str, str]] = []
        self.next_permit_at, self.lose_next_permit = 0.0, False
        self.permit_wait_until: dict[str, float] = {}
        loaded = ("ab", "ac", "ab")
        self.workers = {
            f"w{n}": FakeWorker(dict.fromkeys(models, "1"), checking)
            for n, models in enumerate(loaded)
        }
        self.document = ConfigDocument(
            version=1,
            routes=tuple(Route(model, version="1") for model in MODELS),
            servers=tuple(
                Server(name, "engine", "127.0.0.1", n + 1, MODELS, slots=4, model_limit=2)
                for n, name in enumerate(self.workers)
            ),
        )
        self.nodes = [Node(self, f"vm{n}", 1.0 + 0.003 * (n - 1)) for n in range(3)]
        self.advance(1.0)

    def configure(self, **changed: Any) -> None:
        self.document = self.document._replace(version=self.document.version + 1, **changed)
        for node in self.nodes:
            node.config.adopt(self.document)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for node in self.nodes:
            node.clock.advance(seconds * node.clock_rate)
        for sent in [entry for entry in self.lost_orders if entry.ends <= self.now]:
            self.lost_orders.remove(sent)
            self.carry_out(sent)
        for worker in self.workers.values():
            worker.record_state(self.now)

    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            self.advance(1.0)
            for model, (at, count) in self.request_rates.items():
                self.send_requests(self.nodes[at], model, count)
            for node in self.nodes:
                if self.now >= node.frozen_until:
                    node.tick()
            # Placement catches and logs each error, so failed checks are raised again here.
            if self.failures:
                raise self.failures[0]

    def send_requests(self, node: "Node", model: str, count: int) -> None:
        if count and self.now >= node.frozen_until:
            self.last_request_at[model] = self.now
            for _ in range(count):
                node.backends.demand.record_arrival(model)

    def commit(self, node: str, writes: list[Write]) -> Any:
        fault, self.table_fault = self.table_fault, ""
        if fault == "down":
            return Err(StoreUnavailable("down"))
        if fault == "late":
            self.delayed_writes.append(writes)
            return Err(OutcomeUnknown("late"))
        done = self.table.commit(writes)
        if isinstance(done, Ok) and writes[0].value and writes[0].value["holder"]:
            self.lease_granted_at[node, writes[0].key] = self.now
        return Err(OutcomeUnknown("lost")) if fault == "lost" else done

    def send(self, node: str, server: str, order: Order) -> Result[OrderOutcome, EngineError]:
        kind, delay = self.order_fault
        self.order_fault = ("", 0.0)
        if kind == "refused":
            return Err(EngineError("refused", Verdict.NOT_RUN, is_refused=True))
        active = frozenset(
            model
            for model, at in self.last_request_at.items()
            if self.now - at < ACTIVE_TRAFFIC_SECONDS
        )
        sent = SentOrder(node, server, order, self.now, self.now + delay, active)
        self.check_leases(sent)
        self.check_no_overlap(sent)
        self.check_permit(sent)
        self.orders.append(sent)
        if kind == "lost":
            self.lost_orders.append(sent)
            return Err(EngineError("no answer", Verdict.MAY_HAVE_RUN, timed_out=True))
        return Ok(OrderOutcome(self.carry_out(sent), order.fencing))

    def check_leases(self, sent: SentOrder) -> None:
        for key in (f"order/{sent.server}", f"order/model/{sent.order.model}"):
            granted = self.lease_granted_at.get((sent.node, key), float("-inf"))
            left = granted + LEASE_SECONDS * MAX_CLOCK_DRIFT - self.now
            assert left > MIN_LEASE_LEFT_SECONDS, f"{sent} with {left} s left of {key}"

    def check_no_overlap(self, sent: SentOrder) -> None:
        for other in self.orders:
            same = sent.server == other.server or sent.order.model == other.order.model
            if same and other.node != sent.node:
                assert other.ends <= sent.sent, f"{other} overlaps {sent}"

    def check_permit(self, sent: SentOrder) -> None:
        if sent.order.action == "load":
            permit = (sent.node, sent.order.model, sent.server)
            assert permit in self.open_permits, f"{sent} has no permit"
            self.open_permits.remove(permit)

    def request_permit(self, node: str, model: str, server: str) -> Result[float, Any]:
        assert self.now * MAX_CLOCK_DRIFT >= self.permit_wait_until.get(node, 0.0), (
            "the permit wait was ignored"
        )
        lost, self.lose_next_permit = self.lose_next_permit, False
        wait = max(0.0, self.next_permit_at - self.now)
        if wait == 0.0:
            self.next_permit_at = self.now + PERMIT_SECONDS
        if lost:
            return Err(OutcomeUnknown("lost"))
        if wait == 0.0:
            self.open_permits.append((node, model, server))
        self.permit_wait_until[node] = self.now + wait
        return Ok(wait)

    def carry_out(self, sent: SentOrder) -> str:
        worker, order = self.workers[sent.server], sent.order
        if worker.check_fencing and order.fencing < worker.fencing:
            return "stale"
        assert order.fencing >= worker.fencing, f"{sent} after {worker.fencing}"
        worker.fencing = order.fencing
        if order.model in worker.versions:
            self.check_last_replica(sent)
            del worker.versions[order.model]
        if order.action == "unload":
            return "done"
        models = {*worker.versions, *worker.loading, order.model}
        if worker.loading or len(models) > 2:
            return "refused"
        worker.loading[order.model] = (order.version, self.now + LOAD_SECONDS)
        return "accepted"

    def check_last_replica(self, sent: SentOrder) -> None:
        """Check that a model with traffic is not stopped on the only worker that serves it."""
        others = [
            name
            for name, worker in self.workers.items()
            if name != sent.server
            and sent.order.model in worker.versions
            and self.now - worker.silent_since < SILENCE_GRACE_SECONDS
        ]
        assert others or sent.order.model not in sent.active, f"{sent} stops the last replica"


class _DaemonLink:
    """Table, engines, weight store and peers of one daemon."""

    def __init__(self, world: World, vm: str) -> None:
        self.world, self.vm = world, vm
        self.unreachable: set[str] = set()

    def get(self, key: str) -> Any:
        return self.world.table.get(key)

    def commit(self, writes: list[Write]) -> Any:
        return self.world.commit(self.vm, writes)

    def order(self, server: Server, order: Order) -> Any:
        return self.record_failure(lambda: self.world.send(self.vm, server.name, order))

    def request_permit(self, model: str, worker: str) -> Any:
        return self.record_failure(lambda: self.world.request_permit(self.vm, model, worker))

    def record_failure(self, action: Any) -> Any:
        try:
            return action()
        except AssertionError as failure:
            self.world.failures.append(failure)
            raise

    def member(self, vm: str) -> Member:
        state = UNREACHABLE if vm in self.unreachable else LIVE
        return Member(vm, "127.0.0.1", 1, 2, "d", "r", 1, state)

    @property
    def own_member(self) -> Member:
        return self.member(self.vm)

    def members(self) -> list[Member]:
        return [self.member(node.vm) for node in self.world.nodes if node.vm != self.vm]

    def list_live(self) -> list[Member]:
        others = [member for member in self.members() if member.state == LIVE]
        return [self.own_member, *others]

    def broadcast(self, action: Any, timeout: float) -> dict[str, Result[Any, PeerError]]:
        answers: dict[str, Result[Any, PeerError]] = {}
        for node in self.world.nodes:
            if node.vm != self.vm and node.vm not in self.unreachable:
                frozen = self.world.now < node.frozen_until
                answers[node.vm] = Err(PeerError("frozen")) if frozen else Ok(action(node))
        return answers


class Node:
    """One daemon with its placement, whose clock and ticks the world drives."""

    def __init__(self, world: World, vm: str, clock_rate: float) -> None:
        self.world, self.vm, self.clock_rate = world, vm, clock_rate
        self.clock, self.config = ManualClock(), ActiveConfig()
        self.config.adopt(world.document)
        self.frozen_until = float("-inf")
        self.link = _DaemonLink(world, vm)
        settings = Settings()
        settings = settings._replace(daemon=settings.daemon._replace(name=vm))
        self.backends = Backends(
            self.clock, settings, self.config, lambda: len(self.link.list_live())
        )
        link: Any = self.link
        tools = PlacementDependencies(self.clock, link, link, link, NoMetrics())
        self.placement = PlacementController(tools, settings, self.config, self.backends, link)

    def hold_back(self, server: str, models: list[str], seconds: float) -> float:
        return self.placement.fleet_holds.hold_locally(server, models, seconds)

    def tick(self) -> None:
        for name, worker in self.world.workers.items():
            if self.world.now < worker.silent_since:
                self.backends.health.mark_alive(name)
                self.backends.load_view.update_report(
                    name, worker.report(self.world.now, self.world.lag)
                )
            else:
                self.backends.health.mark_silent(name)
        for node in self.world.nodes:
            if node is not self and node.vm not in self.link.unreachable:
                self.backends.demand.apply_peer_demands(
                    node.vm, node.backends.demand.list_local_demand()
                )
        self.placement.tick()
