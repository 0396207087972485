"""Cost of choosing the workers of a daemon and of deciding on their models."""

import time
from collections.abc import Callable

from trefoilreach._internal.coordination.batch.worker_owners import WorkerOwners
from trefoilreach._internal.coordination.membership.peers import LIVE, Member
from trefoilreach._internal.coordination.placement.fleet import FleetSnapshot, Worker
from trefoilreach._internal.coordination.placement.proposals import propose_orders
from trefoilreach._internal.state.config import Route, Server
from trefoilreach._internal.transport.engine import LoadReport

from trefoilreach_emulator._internal.capacity.slopes import Point, Slope, fit_slope, probes

_FLEET_WORKERS = (6, 120, 700, 3100)
_SEEN_WORKERS = (4, 16, 32, 64)
_DAEMONS = 420
_MODELS = tuple(f"model-{number}" for number in range(4))
_REPEATS = 5
_ROLE = "placement"


@probes.register("placement")
def measure_placement(seconds: float) -> list[Slope]:
    """Measure against the workers of the fleet and those that one daemon knows."""
    started = [Point(size, _time_start(size)) for size in _FLEET_WORKERS]
    changed = [Point(size, _time_change(size)) for size in _FLEET_WORKERS]
    decided = [Point(size, _time_decision(size)) for size in _SEEN_WORKERS]
    workers, seen = f"workers, {_DAEMONS} daemons", "workers that a daemon knows, 4 models"
    return [
        fit_slope(_ROLE, "choice of own workers at start", "ms", workers, started),
        fit_slope(
            _ROLE, "choice of own workers after a VM left and one joined", "ms", workers, changed
        ),
        fit_slope(_ROLE, "decision", "ms", seen, decided),
    ]


def _time_start(workers: int) -> float:
    servers, live = _build_servers(workers), _build_members(_DAEMONS)
    return _best_of(lambda: WorkerOwners().list_owned(servers, live, "vm1"))


def _time_change(workers: int) -> float:
    servers, live = _build_servers(workers), _build_members(_DAEMONS)
    owners = WorkerOwners()
    owners.list_owned(servers, live, "vm1")

    def change() -> None:
        owners.list_owned(servers, live[:-1], "vm1")
        owners.list_owned(servers, live, "vm1")

    return _best_of(change)


def _time_decision(workers: int) -> float:
    report = LoadReport("i", 1, 4, 0, 8, 0.5, _MODELS[:2], "mixed", dict.fromkeys(_MODELS[:2], ""))
    fleet = FleetSnapshot(
        workers=tuple(Worker(server, report) for server in _build_servers(workers)),
        routes={name: Route(name) for name in _MODELS},
        demand=dict.fromkeys(_MODELS, workers * 2.0),
        active_models=frozenset(_MODELS),
    )
    return _best_of(lambda: propose_orders(fleet))


def _best_of(work: Callable[[], object]) -> float:
    """Return the shortest processor time in milliseconds."""
    found = []
    for _ in range(_REPEATS):
        began = time.process_time()
        work()
        found.append(time.process_time() - began)
    return min(found) * 1000.0


def _build_servers(count: int) -> tuple[Server, ...]:
    return tuple(
        Server(f"worker-{number}", "engine", "10.0.0.1", 8000, _MODELS, model_limit=2)
        for number in range(count)
    )


def _build_members(count: int) -> list[Member]:
    return [
        Member(f"vm{number}", "10.0.0.1", 80, 81, "dc-1", "region", 1, LIVE)
        for number in range(count)
    ]
