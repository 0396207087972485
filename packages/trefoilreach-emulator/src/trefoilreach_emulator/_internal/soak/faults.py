"""Faults of a run: each begins at its time, lasts for its length and heals what it harmed."""

import signal
import time
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from trefoilreach._internal.registry import Registry

from trefoilreach_emulator._internal.deployment import STOP_SECONDS
from trefoilreach_emulator._internal.soak.world import World

Fault = Callable[[World, Random, float], None]

faults: Registry[Fault] = Registry("fault")

_MOST_FAULT_SECONDS = 4.0
_GREY_SHARE = 0.4
_BREAK_SHARE = 0.5
_DELAY_SECONDS = 0.3


class PlannedFault(NamedTuple):
    """A fault of a plan.

    :param at: seconds from the begin of the traffic.
    :param seed: of the choices that the fault makes.
    """

    kind: str
    at: float
    seconds: float
    seed: int


def plan_faults(
    seed: int, seconds: float, count: int, kinds: Sequence[str] = ()
) -> list[PlannedFault]:
    """Return faults in series and overlapping, the same for a seed.

    :param kinds: kinds to choose from; none stands for all.
    """
    rng = Random(seed)
    kinds = kinds or faults.names
    planned = [
        PlannedFault(
            rng.choice(kinds),
            round(rng.uniform(0.0, 0.8 * seconds), 2),
            round(rng.uniform(0.5, min(_MOST_FAULT_SECONDS, 0.4 * seconds)), 2),
            rng.randrange(2**31),
        )
        for _ in range(count)
    ]
    return sorted(planned, key=lambda fault: fault.at)


@faults.register("kill")
def _kill(world: World, rng: Random, seconds: float) -> None:
    place = rng.choice(world.daemons)
    world.kill(place)
    time.sleep(seconds)
    place.restart()


@faults.register("kill-all")
def _kill_all(world: World, rng: Random, seconds: float) -> None:
    for place in world.daemons:
        world.kill(place)
    time.sleep(min(seconds, 1.0))
    for place in world.daemons:
        place.restart()


@faults.register("stop")
def _stop(world: World, rng: Random, seconds: float) -> None:
    place = rng.choice(world.daemons)
    world.stop(place, STOP_SECONDS)
    place.restart()


@faults.register("freeze")
def _freeze(world: World, rng: Random, seconds: float) -> None:
    place = rng.choice(world.daemons)
    world.history.note("frozen", place.daemon.vm)
    place.daemon.signal(signal.SIGSTOP)
    time.sleep(seconds)
    place.daemon.signal(signal.SIGCONT)


@faults.register("reload")
def _reload(world: World, rng: Random, seconds: float) -> None:
    for _ in range(3):
        rng.choice(world.daemons).daemon.signal(signal.SIGHUP)
        time.sleep(seconds / 3)


@faults.register("store-down")
def _store_down(world: World, rng: Random, seconds: float) -> None:
    world.platform.down = True
    time.sleep(seconds)
    world.platform.down = False


@faults.register("store-silent")
def _store_silent(world: World, rng: Random, seconds: float) -> None:
    world.platform.silent = True
    time.sleep(seconds)
    world.platform.silent = False


@faults.register("store-loses-answers")
def _store_loses_answers(world: World, rng: Random, seconds: float) -> None:
    world.platform.lose_answers = rng.randrange(2, 12)
    time.sleep(seconds)
    world.platform.lose_answers = 0


@faults.register("store-cut")
def _store_cut(world: World, rng: Random, seconds: float) -> None:
    place = rng.choice(world.daemons)
    direction = rng.choice(["hold_requests", "hold_answers"])
    setattr(place.store, direction, True)
    time.sleep(seconds)
    setattr(place.store, direction, False)


@faults.register("store-slow")
def _store_slow(world: World, rng: Random, seconds: float) -> None:
    for place in world.daemons:
        place.store.delay = _DELAY_SECONDS
    time.sleep(seconds)
    for place in world.daemons:
        place.store.delay = 0.0


@faults.register("connections-silent")
def _connections_silent(world: World, rng: Random, seconds: float) -> None:
    for place in world.daemons:
        place.store.silence()
    for worker in world.workers:
        worker.link.silence()


@faults.register("connections-reset")
def _connections_reset(world: World, rng: Random, seconds: float) -> None:
    for place in rng.sample(world.workers, max(1, len(world.workers) // 2)):
        world.history.note("worker-cut", place.worker.name)
        place.link.reset()
    for daemon in world.daemons:
        daemon.store.reset()


@faults.register("worker-cut")
def _worker_cut(world: World, rng: Random, seconds: float) -> None:
    place = rng.choice(world.workers)
    direction = rng.choice(["hold_requests", "hold_answers"])
    world.history.note("worker-cut", place.worker.name)
    setattr(place.link, direction, True)
    time.sleep(seconds)
    setattr(place.link, direction, False)


@faults.register("worker-crash")
def _worker_crash(world: World, rng: Random, seconds: float) -> None:
    if len(world.workers) > 1:
        world.crash_worker(rng.choice(world.workers))
        time.sleep(seconds)
        world.add_worker()


@faults.register("worker-drain")
def _worker_drain(world: World, rng: Random, seconds: float) -> None:
    if len(world.workers) > 1:
        world.add_worker()
        world.drain_worker(rng.choice(world.workers))


@faults.register("worker-grey")
def _worker_grey(world: World, rng: Random, seconds: float) -> None:
    worker = rng.choice(world.workers).worker
    worker.fail_share = _GREY_SHARE
    time.sleep(seconds)
    worker.fail_share = 0.0


@faults.register("worker-breaks-streams")
def _worker_breaks_streams(world: World, rng: Random, seconds: float) -> None:
    worker = rng.choice(world.workers).worker
    worker.break_share = _BREAK_SHARE
    time.sleep(seconds)
    worker.break_share = 0.0


@faults.register("withdraw-key")
def _withdraw_key(world: World, rng: Random, seconds: float) -> None:
    if len(world.keys) > 1:
        world.withdraw(world.keys[-1])


@faults.register("desired-states")
def _desired_states(world: World, rng: Random, seconds: float) -> None:
    for _ in range(8):
        world.configure()
        time.sleep(seconds / 8)
