"""Guards against safety rules of placement that no check of its tests would miss.

Each scenario passes as it is, and fails by the named check once one rule is broken.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import placement_world
import pytest
from placement_world import MODELS, World
from trefoilreach._internal.coordination.placement import decision as placement_decision
from trefoilreach._internal.coordination.placement import orders as placement_orders
from trefoilreach._internal.coordination.placement.fleet import Fleet
from trefoilreach._internal.coordination.placement.orders import OrderRun


def open_world(lag: float = 2.5) -> World:
    """Return a world in which every daemon decides for every worker, which checks nothing."""
    world = World(checking=False, lag=lag)
    world.callers = {model: (n, 1) for n, model in enumerate(MODELS)}
    for node in world.nodes:
        node.link.hidden = {other.vm for other in world.nodes if other is not node}
    world.run(5)
    return world


def change_version(world: World) -> None:
    routes = [route._replace(version="2") for route in world.document.routes if route.name == "a"]
    others = [route for route in world.document.routes if route.name != "a"]
    world.configure(routes=(*routes, *others))


def freeze_a_holder() -> None:
    """The holder of a lease is frozen until its lease is about to end."""
    world = open_world()
    change_version(world)
    world.run(1)
    for _ in range(10):
        busy = [node for node in world.nodes if node.placement._active_orders]
        if busy:
            break
        world.run(1)
    busy[0].frozen_until = world.now + 11.0
    world.run(40)


def lose_an_answer() -> None:
    """The answer to an order is lost, and the worker obeys 6.9 s later."""
    world = open_world(lag=0.5)
    world.order_fault = ("lost", 6.9)
    change_version(world)
    world.run(60)


def ask_for_more_replicas() -> None:
    """One model needs two more replicas at once, and the others can spare few."""
    world = open_world()
    world.ask(world.nodes[0], "c", 200)
    world.callers = dict.fromkeys(MODELS, (0, 1)) | {"c": (0, 13)}
    world.run(60)


def send_in_quiet_time(patch: Any) -> None:
    patch.setattr(placement_orders, "MIN_LEASE_LEFT_SECONDS", 0.0)


def release_after_lost_answer(patch: Any) -> None:
    run = OrderRun._run

    def run_and_release(self: OrderRun) -> Any:
        outcome = yield from run(self)
        self._release()
        return outcome

    patch.setattr(OrderRun, "_run", run_and_release)


def unload_last_replicas(patch: Any) -> None:
    patch.setattr(placement_decision, "is_last_replica", lambda fleet, worker, model: False)
    patch.setattr(Fleet, "surplus", lambda self, model: 1)
    patch.setattr(OrderRun, "_check_traffic", lambda self, acquired: "")


def load_without_permit(patch: Any) -> None:
    patch.setattr(OrderRun, "_take_permit", lambda self: True)


class Case(NamedTuple):
    scenario: Callable[[], None]
    breakage: Callable[[Any], None]
    found: str


CASES = [
    Case(freeze_a_holder, send_in_quiet_time, "s left of"),
    Case(lose_an_answer, release_after_lost_answer, "overlaps"),
    Case(ask_for_more_replicas, unload_last_replicas, "stops the last replica"),
    Case(ask_for_more_replicas, load_without_permit, "has no permit"),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.breakage.__name__)
def test_broken_rule_is_found(case: Case, monkeypatch: pytest.MonkeyPatch) -> None:
    """A check that cannot fail proves nothing."""
    case.scenario()
    case.breakage(monkeypatch)
    with pytest.raises(AssertionError, match=case.found):
        case.scenario()


def test_two_workers_of_a_model_are_not_held_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a model whose requests are held back everywhere.

    A fast load ends before the hold of its worker does, and the next worker's turn came then.
    """
    monkeypatch.setattr(placement_world, "LOAD_SECONDS", 0.5)
    monkeypatch.setattr(placement_world, "PERMIT_SECONDS", 0.0)
    world = World(True, 0.0)
    del world.workers["w1"].versions["a"]
    world.callers["a"] = (0, 1)
    world.run(5)
    change_version(world)
    route = world.document.routes[0]
    held = []
    for step in range(400):
        world.advance(0.1)
        if step % 10 == 0:
            world.ask(world.nodes[0], "a", 1)
        for node in world.nodes:
            node.tick()
            if not node.backends.eligible(route):
                held.append((world.now, node.vm))
    assert [world.workers[name].versions["a"] for name in ("w0", "w2")] == ["2", "2"]
    assert held == []
