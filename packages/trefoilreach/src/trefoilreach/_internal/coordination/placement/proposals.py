"""Proposes orders that bring the engines to the wanted state, and checks that one is safe."""

from collections.abc import Iterator
from typing import NamedTuple

import xxhash

from trefoilreach._internal.coordination.placement.fleet import FleetSnapshot, Worker

LOAD = "load"
UNLOAD = "unload"
ROLE = "role"


class Action(NamedTuple):
    """A proposed order to one worker.

    :param kind: ``load``, ``unload`` or ``role``.
    :param server: name of the worker.
    :param model: the model, or the new role for ``role``.
    :param version: version to load; empty unless ``kind`` is ``load``.
    :param purpose: key of the goal, the same for all workers that could serve it.
    :param rank: 0 for the preferred worker; a higher one is used when the goal is still not
        met after ``rank`` times the setting ``patience``.
    :param candidates: names of the workers that could be chosen, the preferred one first.
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
        """Return whether two actions give the same order to the same worker."""
        return self[:4] == other[:4]


class _Candidate(NamedTuple):
    """A worker that could load a model.

    :param victim: model that is unloaded first; empty when the worker has room.
    :param preference: higher is preferred: the surplus replicas of the victim, or, when the
        worker has room, the negative number of its loaded models.
    """

    worker: Worker
    victim: str
    preference: int


def propose_orders(fleet: FleetSnapshot) -> list[Action]:
    """Return the orders that would help, first replicas, then versions, then roles."""
    models = sorted(fleet.routes, key=lambda model: (len(fleet.list_serving(model)), model))
    actions = [action for model in models for action in _propose_replica(fleet, model)]
    actions += [action for model in models for action in _propose_version_change(fleet, model)]
    actions += _propose_role_changes(fleet)
    return actions


def find_blocking_reason(fleet: FleetSnapshot, action: Action) -> str:
    """Return the reason why an order must not be sent now; empty when it may be."""
    worker = fleet.find_worker(action.server)
    if worker is None or not worker.takes_orders:
        return "the worker is leaving, silent or suspected"
    if worker.loading:
        return "the worker is loading a model"
    for model in list_interrupted_models(worker, action):
        if is_last_replica(fleet, worker, model) and model in fleet.active_models:
            return f"it is the last replica of {model!r}, which has traffic"
    if action.kind == LOAD and action.model in worker.loaded:
        if fleet.list_loading(action.model, action.server):
            return "another worker is loading the model"
    elif action.kind == LOAD and not worker.has_room:
        return "the worker has no room"
    return ""


def list_interrupted_models(worker: Worker, action: Action) -> tuple[str, ...]:
    """Return the models that an order makes a worker stop serving, at least temporarily."""
    if action.kind == ROLE:
        return worker.loaded
    return (action.model,) if action.model in worker.loaded else ()


def is_last_replica(fleet: FleetSnapshot, worker: Worker, model: str) -> bool:
    """Return whether no other worker can get requests for a model from every daemon."""
    return not fleet.list_reachable(model, worker.server.name)


def _propose_replica(fleet: FleetSnapshot, model: str) -> Iterator[Action]:
    present = len(fleet.list_serving(model)) + len(fleet.list_loading(model))
    wanted = fleet.count_wanted(model)
    if present < wanted:
        reason = f"{present} replicas of {wanted}"
        yield from _propose_loads(fleet, model, reason, f"replica:{model}", wanted - present - 1)


def _propose_loads(
    fleet: FleetSnapshot, model: str, reason: str, purpose: str, extra_workers: int = 0
) -> Iterator[Action]:
    """Propose loads of one more replica, or the unloads that make room for one.

    :param reason: what is wrong with the model; completes "the model has ...".
    :param extra_workers: how many workers get rank 0 beside the preferred one.
    """
    candidates = _find_candidates(fleet, model)
    names = tuple(candidate.worker.server.name for candidate in candidates)
    for number, candidate in enumerate(candidates):
        rank, name = max(0, number - extra_workers), candidate.worker.server.name
        explanation = f"{model!r} has {reason}"
        if candidate.victim:
            explanation += f"; {candidate.victim!r} can spare one"
            yield Action(UNLOAD, name, candidate.victim, "", explanation, purpose, rank, names)
        else:
            version = fleet.routes[model].version
            yield Action(LOAD, name, model, version, explanation, purpose, rank, names)


def _find_candidates(fleet: FleetSnapshot, model: str) -> list[_Candidate]:
    """Return the workers that can load a model, the preferred one first.

    Workers with room come first, then those whose victim has the largest surplus.
    """
    candidates = []
    # Computed once here: within the loop, the cost would grow with the square of the workers.
    loaded = {name for entry in fleet.workers for name in entry.loaded}
    surplus = {name: fleet.count_surplus(name) for name in loaded}
    for worker in fleet.workers:
        eligible = worker.takes_orders and not worker.loading and model in worker.server.routes
        if not eligible or model in worker.loaded:
            continue
        if worker.has_room:
            candidates.append(_Candidate(worker, "", -len(worker.loaded)))
        else:
            candidates += _find_victim(fleet, worker, model, surplus)
    return sorted(
        candidates,
        key=lambda candidate: (
            bool(candidate.victim),
            -candidate.preference,
            _tie_break(candidate, model),
        ),
    )


def _find_victim(
    fleet: FleetSnapshot, worker: Worker, model: str, surplus: dict[str, int]
) -> list[_Candidate]:
    """Return the worker with the model that it can evict; empty when it can evict none."""
    surpluses = [(surplus[name], name) for name in worker.loaded]
    urgent = (
        not fleet.list_serving(model)
        and not fleet.list_loading(model)
        and model in fleet.active_models
    )
    eligible = [
        (count, name)
        for count, name in surpluses
        if (count > 0 and not is_last_replica(fleet, worker, name))
        or (urgent and name not in fleet.active_models)
    ]
    if not eligible:
        return []
    count, victim = max(eligible)
    return [_Candidate(worker, victim, count)]


def _tie_break(candidate: _Candidate, model: str) -> int:
    # Breaks ties in the same way on every daemon, but differently for each model.
    return xxhash.xxh64_intdigest(f"{model}\n{candidate.worker.server.name}".encode())


def _propose_version_change(fleet: FleetSnapshot, model: str) -> Iterator[Action]:
    """Propose loads of the new version; a model with traffic gets a second replica first."""
    version = fleet.routes[model].version
    if not version or fleet.list_loading(model):
        return
    outdated = [
        worker
        for worker in fleet.list_serving(model)
        if worker.takes_orders and worker.get_version(model) != version
    ]
    names = tuple(sorted(worker.server.name for worker in outdated))
    reason, purpose = f"{model!r} should have version {version!r}", f"version:{model}"
    for rank, name in enumerate(names):
        if fleet.list_serving(model, name) or model not in fleet.active_models:
            yield Action(LOAD, name, model, version, reason, purpose, rank, names)
        else:
            yield from _propose_loads(fleet, model, "an old version on its only replica", purpose)


def _propose_role_changes(fleet: FleetSnapshot) -> Iterator[Action]:
    for worker in fleet.workers:
        role = worker.server.role
        if worker.report is None or not role or worker.report.state == role:
            continue
        name = worker.server.name
        reason = f"the role is {worker.report.state!r}"
        action = Action(ROLE, name, role, "", reason, f"role:{name}", 0, (name,))
        if worker.takes_orders and not find_blocking_reason(fleet, action):
            yield action
