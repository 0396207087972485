"""Guards against conflicting orders of two daemons, late orders and orders that stop a model.

Three daemons place models on three workers. The simulated world checks each order against
its own state, with workers that check fencing numbers and with workers that ignore them.
"""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)
from placement_world import MODELS, World

NODES = st.integers(0, 2)
WORKERS = st.sampled_from(["w0", "w1", "w2"])
SECONDS = st.integers(0, 8)
NAMES = st.sampled_from(MODELS)


class PlacementMachine(RuleBasedStateMachine):
    @initialize(checking=st.booleans(), lag=st.sampled_from([0.5, 2.5]), age=st.booleans())
    def start(self, checking: bool, lag: float, age: bool) -> None:
        self.world = World(checking, lag)
        self.world.request_rates = {model: (n, 1) for n, model in enumerate(MODELS)}
        self.world.run(70 if age else 5)

    @rule(seconds=st.integers(1, 12))
    def run(self, seconds: int) -> None:
        self.world.run(seconds)

    @rule(at=NODES, model=NAMES, count=st.sampled_from([0, 1, 3, 6, 9]), seconds=SECONDS)
    def change_callers(self, at: int, model: str, count: int, seconds: int) -> None:
        self.world.request_rates[model] = (at, count)
        self.world.run(seconds)

    @rule(model=NAMES)
    def stop_callers_for_long(self, model: str) -> None:
        self.world.request_rates[model] = (0, 0)
        self.world.run(65)

    @rule(at=NODES, seconds=st.sampled_from([3.0, 11.0, 25.0]), then=SECONDS)
    def freeze(self, at: int, seconds: float, then: int) -> None:
        self.world.nodes[at].frozen_until = self.world.now + seconds
        self.world.run(then)

    @rule(seconds=st.sampled_from([5.0, 9.0, 11.0, 14.0, 25.0]))
    def freeze_holder(self, seconds: float) -> None:
        """Freeze a daemon that holds the leases of an order under way."""
        for node in self.world.nodes:
            if node.placement._active_orders and self.world.now >= node.frozen_until:
                node.frozen_until = self.world.now + seconds
                break
        self.world.run(int(seconds) + 2)

    @rule(at=NODES, hidden=st.sets(NODES), seconds=SECONDS)
    def hide(self, at: int, hidden: set[int], seconds: int) -> None:
        """Let a daemon treat others as unreachable, so that two decide on one worker's orders."""
        self.world.nodes[at].link.unreachable = {f"vm{n}" for n in hidden if n != at}
        self.world.run(seconds)

    @rule(fault=st.sampled_from(["down", "lost", "late"]), seconds=SECONDS)
    def fail_table(self, fault: str, seconds: int) -> None:
        self.world.table_fault = fault
        self.world.run(seconds)
        writes_to_apply, self.world.delayed_writes = self.world.delayed_writes, []
        for writes in writes_to_apply:
            self.world.table.commit(writes)

    @rule(
        kind=st.sampled_from(["lost", "lost", "refused"]),
        delay=st.sampled_from([0.0, 2.0, 6.9]),
        seconds=SECONDS,
    )
    def fail_order(self, kind: str, delay: float, seconds: int) -> None:
        self.world.order_fault = (kind, delay)
        self.world.run(seconds)

    @rule()
    def lose_permit(self) -> None:
        self.world.lose_next_permit = True

    @rule(model=NAMES, version=st.sampled_from(["1", "2"]), seconds=SECONDS)
    def change_version(self, model: str, version: str, seconds: int) -> None:
        routes = [
            route._replace(version=version) if route.name == model else route
            for route in self.world.document.routes
        ]
        self.world.configure(routes=tuple(routes))
        self.world.run(seconds)

    @rule(name=WORKERS, gone=st.booleans(), seconds=SECONDS)
    def silence(self, name: str, gone: bool, seconds: int) -> None:
        self.world.workers[name].silent_since = self.world.now if gone else float("inf")
        self.world.run(seconds)

    def teardown(self) -> None:
        if hasattr(self, "world"):
            check_convergence(self.world)


def check_convergence(world: World) -> None:
    """Check that, without faults, every model ends up served at its version."""
    for node in world.nodes:
        node.link.unreachable, node.frozen_until = set(), float("-inf")
    for worker in world.workers.values():
        worker.silent_since = float("inf")
    world.table_fault, world.order_fault = "", ("", 0.0)
    world.request_rates = dict.fromkeys(MODELS, (0, 1))
    for _ in range(40):
        world.run(20)
        if is_converged(world):
            return
    states = {name: worker.versions for name, worker in world.workers.items()}
    raise AssertionError(f"not converged: {states}, {world.document.routes}")


def is_converged(world: World) -> bool:
    wanted = {route.name: route.version for route in world.document.routes}
    served = [item for worker in world.workers.values() for item in worker.versions.items()]
    versions_match = all(wanted[model] == version for model, version in served)
    return versions_match and set(wanted) == {model for model, _ in served}


PlacementMachine.TestCase.settings = settings(stateful_step_count=25)
TestPlacementMachineFuzz = PlacementMachine.TestCase
