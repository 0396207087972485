"""Guards against orders that two daemons give at once, that come late or that stop a model.

Three daemons place models on three workers; the world checks each order against what is
true, on workers that check fencing numbers and on workers that ignore them.
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
        self.world.callers = {model: (n, 1) for n, model in enumerate(MODELS)}
        self.world.run(70 if age else 5)

    @rule(seconds=st.integers(1, 12))
    def run(self, seconds: int) -> None:
        self.world.run(seconds)

    @rule(at=NODES, model=NAMES, count=st.sampled_from([0, 1, 3, 6, 9]), seconds=SECONDS)
    def change_callers(self, at: int, model: str, count: int, seconds: int) -> None:
        self.world.callers[model] = (at, count)
        self.world.run(seconds)

    @rule(model=NAMES)
    def stop_callers_for_long(self, model: str) -> None:
        self.world.callers[model] = (0, 0)
        self.world.run(65)

    @rule(at=NODES, seconds=st.sampled_from([3.0, 11.0, 25.0]), then=SECONDS)
    def freeze(self, at: int, seconds: float, then: int) -> None:
        self.world.nodes[at].frozen_until = self.world.now + seconds
        self.world.run(then)

    @rule(seconds=st.sampled_from([5.0, 9.0, 11.0, 14.0, 25.0]))
    def freeze_holder(self, seconds: float) -> None:
        """Freeze a daemon in the middle of an order."""
        for node in self.world.nodes:
            if node.placement._active_orders and self.world.now >= node.frozen_until:
                node.frozen_until = self.world.now + seconds
                break
        self.world.run(int(seconds) + 2)

    @rule(at=NODES, hidden=st.sets(NODES), seconds=SECONDS)
    def hide(self, at: int, hidden: set[int], seconds: int) -> None:
        """A daemon takes others for unreachable, so that two decide for one worker."""
        self.world.nodes[at].link.hidden = {f"vm{n}" for n in hidden if n != at}
        self.world.run(seconds)

    @rule(fault=st.sampled_from(["down", "lost", "late"]), seconds=SECONDS)
    def fail_table(self, fault: str, seconds: int) -> None:
        self.world.table_fault = fault
        self.world.run(seconds)
        late, self.world.held_back = self.world.held_back, []
        for writes in late:
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
        self.world.permit_lost = True

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
        self.world.workers[name].gone_at = self.world.now if gone else float("inf")
        self.world.run(seconds)

    def teardown(self) -> None:
        if hasattr(self, "world"):
            settle(self.world)


def settle(world: World) -> None:
    """Without faults, every model is served and has its version in the end."""
    for node in world.nodes:
        node.link.hidden, node.frozen_until = set(), float("-inf")
    for worker in world.workers.values():
        worker.gone_at = float("inf")
    world.table_fault, world.order_fault = "", ("", 0.0)
    world.callers = dict.fromkeys(MODELS, (0, 1))
    for _ in range(40):
        world.run(20)
        if is_settled(world):
            return
    states = {name: worker.versions for name, worker in world.workers.items()}
    raise AssertionError(f"not settled: {states}, {world.document.routes}")


def is_settled(world: World) -> bool:
    wanted = {route.name: route.version for route in world.document.routes}
    found = [item for worker in world.workers.values() for item in worker.versions.items()]
    right = all(wanted[model] == version for model, version in found)
    return right and set(wanted) == {model for model, _ in found}


PlacementMachine.TestCase.settings = settings(stateful_step_count=25)
TestPlacementMachineFuzz = PlacementMachine.TestCase
