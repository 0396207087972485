"""Guards against safety rules of placement that its tests would not notice to be broken.

Each scenario passes with the code as it is, and fails by the named check of the simulated
world once one rule is broken.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import placement_world
import pytest
from placement_world import MODELS, World
from trefoilreach._internal.coordination.placement import orders as placement_orders
from trefoilreach._internal.coordination.placement import proposals as placement_proposals
from trefoilreach._internal.coordination.placement.fleet import FleetSnapshot
from trefoilreach._internal.coordination.placement.orders import OrderRun


def build_conflicting_world(lag: float = 2.5) -> World:
    """Return a world whose daemons all decide for every worker; workers ignore fencing numbers."""
    world = World(checking=False, lag=lag)
    world.request_rates = {model: (n, 1) for n, model in enumerate(MODELS)}
    for node in world.nodes:
        node.link.unreachable = {other.vm for other in world.nodes if other is not node}
    world.run(5)
    return world


def change_version(world: World) -> None:
    routes = [route._replace(version="2") for route in world.document.routes if route.name == "a"]
    others = [route for route in world.document.routes if route.name != "a"]
    world.configure(routes=(*routes, *others))


def freeze_lease_holder() -> None:
    """Freeze the holder of a lease until the lease is about to end."""
    world = build_conflicting_world()
    change_version(world)
    world.run(1)
    for _ in range(10):
        holders = [node for node in world.nodes if node.placement._active_orders]
        if holders:
            break
        world.run(1)
    holders[0].frozen_until = world.now + 11.0
    world.run(40)


def lose_order_answer() -> None:
    """Lose the answer to an order that the worker carries out 6.9 s later."""
    world = build_conflicting_world(lag=0.5)
    world.order_fault = ("lost", 6.9)
    change_version(world)
    world.run(60)


def request_more_replicas() -> None:
    """Let one model need two more replicas at once while the others can spare few."""
    world = build_conflicting_world()
    world.send_requests(world.nodes[0], "c", 200)
    world.request_rates = dict.fromkeys(MODELS, (0, 1)) | {"c": (0, 13)}
    world.run(60)


def send_shortly_before_lease_end(patch: Any) -> None:
    patch.setattr(placement_orders, "MIN_LEASE_LEFT_SECONDS", 0.0)


def release_after_lost_answer(patch: Any) -> None:
    run = OrderRun._run

    def run_and_release(self: OrderRun) -> Any:
        outcome = yield from run(self)
        self._release()
        return outcome

    patch.setattr(OrderRun, "_run", run_and_release)


def unload_last_replicas(patch: Any) -> None:
    patch.setattr(placement_proposals, "is_last_replica", lambda fleet, worker, model: False)
    patch.setattr(FleetSnapshot, "count_surplus", lambda self, model: 1)
    patch.setattr(OrderRun, "_check_traffic", lambda self, acquired: "")


def load_without_permit(patch: Any) -> None:
    patch.setattr(OrderRun, "_take_permit", lambda self: True)


class Case(NamedTuple):
    scenario: Callable[[], None]
    break_rule: Callable[[Any], None]
    expected_failure: str


CASES = [
    Case(freeze_lease_holder, send_shortly_before_lease_end, "s left of"),
    Case(lose_order_answer, release_after_lost_answer, "overlaps"),
    Case(request_more_replicas, unload_last_replicas, "stops the last replica"),
    Case(request_more_replicas, load_without_permit, "has no permit"),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.break_rule.__name__)
def test_broken_rule_is_detected(case: Case, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against checks of the test world that pass whatever placement does."""
    case.scenario()
    case.break_rule(monkeypatch)
    with pytest.raises(AssertionError, match=case.expected_failure):
        case.scenario()


def test_two_workers_of_a_model_are_not_held_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a model whose requests are held back from all of its workers at once.

    A fast load ends before the hold on its worker does. The order to the next worker then
    began a second hold while the first one still lasted.
    """
    monkeypatch.setattr(placement_world, "LOAD_SECONDS", 0.5)
    monkeypatch.setattr(placement_world, "PERMIT_SECONDS", 0.0)
    world = World(True, 0.0)
    del world.workers["w1"].versions["a"]
    world.request_rates["a"] = (0, 1)
    world.run(5)
    change_version(world)
    route = world.document.routes[0]
    outages = []
    for step in range(400):
        world.advance(0.1)
        if step % 10 == 0:
            world.send_requests(world.nodes[0], "a", 1)
        for node in world.nodes:
            node.tick()
            if not node.backends.list_eligible_servers(route):
                outages.append((world.now, node.vm))
    assert [world.workers[name].versions["a"] for name in ("w0", "w2")] == ["2", "2"]
    assert outages == []
