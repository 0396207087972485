"""Which orders would bring the engines to what is wanted, and what stands against one."""

from collections.abc import Iterator
from typing import NamedTuple

import xxhash

from trefoilreach._internal.coordination.placement.fleet import Fleet, Worker

LOAD = "load"
UNLOAD = "unload"
ROLE = "role"


class Action(NamedTuple):
    """One order that would help.

    :param model: the model, or the role for ``role``.
    :param purpose: what the order is for, the same for all workers that could be chosen.
    :param rank: 0 for the best worker; the others are for when that one does not come to it.
    :param candidates: workers that could be chosen, the best one first.
    """

    kind: str
    server: str
    model: str
    version: str
    reason: str
    purpose: str
    rank: int = 0
    candidates: tuple[str, ...] = ()

    def is_same(self, other: "Action") -> bool:
        """Return whether two actions are the same order."""
        return self[:4] == other[:4]


class _Place(NamedTuple):
    """A worker that could take a model; ``victim`` is unloaded first, empty for none."""

    worker: Worker
    victim: str
    spare: int


def propose(fleet: Fleet) -> list[Action]:
    """Return the orders that would help, the most urgent first."""
    models = sorted(fleet.routes, key=lambda model: (len(fleet.serving(model)), model))
    found = [action for model in models for action in _add_replica(fleet, model)]
    found += [action for model in models for action in _change_version(fleet, model)]
    found += _change_roles(fleet)
    return found


def find_objection(fleet: Fleet, action: Action) -> str:
    """Return why an order must not go out now, empty when it may."""
    worker = fleet.worker(action.server)
    if worker is None or not worker.takes_orders:
        return "the worker is leaving, silent or suspected"
    if worker.loading:
        return "the worker is loading a model"
    for model in stopped_models(worker, action):
        if is_last(fleet, worker, model) and model in fleet.active:
            return f"it is the last replica of {model!r}, which has traffic"
    if action.kind == LOAD and action.model in worker.loaded:
        if fleet.loading(action.model, action.server):
            return "another worker is loading the model"
    elif action.kind == LOAD and not worker.has_room:
        return "the worker has no room"
    return ""


def stopped_models(worker: Worker, action: Action) -> tuple[str, ...]:
    """Return the models that a worker stops serving, at least for a while, by an order."""
    if action.kind == ROLE:
        return worker.loaded
    return (action.model,) if action.model in worker.loaded else ()


def is_last(fleet: Fleet, worker: Worker, model: str) -> bool:
    """Return whether a worker is the only one that requests for a model can go to."""
    return not fleet.reachable(model, worker.server.name)


def _add_replica(fleet: Fleet, model: str) -> Iterator[Action]:
    have = len(fleet.serving(model)) + len(fleet.loading(model))
    wanted = fleet.wanted(model)
    if have < wanted:
        reason = f"{have} replicas of {wanted}"
        yield from _load_somewhere(fleet, model, reason, f"replica:{model}", wanted - have - 1)


def _load_somewhere(
    fleet: Fleet, model: str, reason: str, purpose: str, at_once: int = 0
) -> Iterator[Action]:
    """Propose a load of one more replica.

    :param at_once: how many workers beside the best one may be chosen now.
    """
    places = _find_places(fleet, model)
    names = tuple(place.worker.server.name for place in places)
    for number, place in enumerate(places):
        rank, name = max(0, number - at_once), place.worker.server.name
        why = f"{model!r} has {reason}"
        if place.victim:
            why += f"; {place.victim!r} can spare one"
            yield Action(UNLOAD, name, place.victim, "", why, purpose, rank, names)
        else:
            version = fleet.routes[model].version
            yield Action(LOAD, name, model, version, why, purpose, rank, names)


def _find_places(fleet: Fleet, model: str) -> list[_Place]:
    """Return the workers that can take a model: free room first, then the largest surplus."""
    places = []
    # Computed once: for each worker anew, the cost grows with the square of the workers.
    loaded = {name for entry in fleet.workers for name in entry.loaded}
    surplus = {name: fleet.surplus(name) for name in loaded}
    for worker in fleet.workers:
        able = worker.takes_orders and not worker.loading and model in worker.server.routes
        if not able or model in worker.loaded:
            continue
        if worker.has_room:
            places.append(_Place(worker, "", -len(worker.loaded)))
        else:
            places += _find_victim(fleet, worker, model, surplus)
    return sorted(places, key=lambda place: (bool(place.victim), -place.spare, _mix(place, model)))


def _find_victim(fleet: Fleet, worker: Worker, model: str, surplus: dict[str, int]) -> list[_Place]:
    spares = [(surplus[name], name) for name in worker.loaded]
    urgent = not fleet.serving(model) and not fleet.loading(model) and model in fleet.active
    able = [
        (spare, name)
        for spare, name in spares
        if (spare > 0 and not is_last(fleet, worker, name)) or (urgent and name not in fleet.active)
    ]
    if not able:
        return []
    spare, victim = max(able)
    return [_Place(worker, victim, spare)]


def _mix(place: _Place, model: str) -> int:
    # All daemons order equal workers alike, and other models order them differently.
    return xxhash.xxh64_intdigest(f"{model}\n{place.worker.server.name}".encode())


def _change_version(fleet: Fleet, model: str) -> Iterator[Action]:
    version = fleet.routes[model].version
    if not version or fleet.loading(model):
        return
    old = [
        worker
        for worker in fleet.serving(model)
        if worker.takes_orders and worker.version(model) != version
    ]
    names = tuple(sorted(worker.server.name for worker in old))
    reason, purpose = f"{model!r} should have version {version!r}", f"version:{model}"
    for rank, name in enumerate(names):
        if fleet.serving(model, name) or model not in fleet.active:
            yield Action(LOAD, name, model, version, reason, purpose, rank, names)
        else:
            yield from _load_somewhere(fleet, model, "an old version and no other", purpose)


def _change_roles(fleet: Fleet) -> Iterator[Action]:
    for worker in fleet.workers:
        role = worker.server.role
        if worker.report is None or not role or worker.report.state == role:
            continue
        name = worker.server.name
        reason = f"the role is {worker.report.state!r}"
        action = Action(ROLE, name, role, "", reason, f"role:{name}", 0, (name,))
        if worker.takes_orders and not find_objection(fleet, action):
            yield action
