"""Faults of a run: each begins at its time, lasts for its length and heals what it harmed."""

import signal
import socket
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
_DIRECTIONS = ("hold_requests", "hold_answers")
# Farther than any time that reports or rows are kept.
_CLOCK_STEP_SECONDS = 3600.0
_STRAY_DATAGRAMS = 200
_STRAY_BYTES = 1200


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


def _change_for(
    seconds: float, targets: Sequence[object], name: str, value: bool | int | float
) -> None:
    """Change an attribute of all targets for a time; without faults, it is false or zero.

    The former value is not put back, since faults of one kind may overlap.
    """
    for target in targets:
        setattr(target, name, value)
    time.sleep(seconds)
    for target in targets:
        setattr(target, name, type(value)())


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


@faults.register("clock-step")
def _clock_step(world: World, rng: Random, seconds: float) -> None:
    """Let a daemon start again with another time of day, and once more with the true one."""
    place = rng.choice(world.daemons)
    for step in (rng.choice([-1.0, 1.0]) * _CLOCK_STEP_SECONDS, 0.0):
        world.kill(place)
        place.daemon.clock_step = step
        place.restart()
        time.sleep(seconds / 2)


@faults.register("stray-datagrams")
def _stray_datagrams(world: World, rng: Random, seconds: float) -> None:
    """Send to all daemons what no daemon has written."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(_STRAY_DATAGRAMS):
            place = rng.choice(world.daemons)
            sender.sendto(rng.randbytes(rng.randrange(_STRAY_BYTES)), place.daemon.datagram_address)
            time.sleep(seconds / _STRAY_DATAGRAMS)


@faults.register("reload")
def _reload(world: World, rng: Random, seconds: float) -> None:
    for _ in range(3):
        rng.choice(world.daemons).daemon.signal(signal.SIGHUP)
        time.sleep(seconds / 3)


@faults.register("store-down")
def _store_down(world: World, rng: Random, seconds: float) -> None:
    _change_for(seconds, [world.platform], "down", True)


@faults.register("store-silent")
def _store_silent(world: World, rng: Random, seconds: float) -> None:
    _change_for(seconds, [world.platform], "silent", True)


@faults.register("store-hangs")
def _store_hangs(world: World, rng: Random, seconds: float) -> None:
    _change_for(seconds, [world.platform], "hanging", True)


@faults.register("store-loses-answers")
def _store_loses_answers(world: World, rng: Random, seconds: float) -> None:
    _change_for(seconds, [world.platform], "lose_answers", rng.randrange(2, 12))


@faults.register("store-cut")
def _store_cut(world: World, rng: Random, seconds: float) -> None:
    place = rng.choice(world.daemons)
    _change_for(seconds, [place.store], rng.choice(_DIRECTIONS), True)


@faults.register("store-slow")
def _store_slow(world: World, rng: Random, seconds: float) -> None:
    _change_for(seconds, [place.store for place in world.daemons], "delay", _DELAY_SECONDS)


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
    world.history.note("worker-cut", place.worker.name)
    _change_for(seconds, [place.link], rng.choice(_DIRECTIONS), True)


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
    _change_for(seconds, [rng.choice(world.workers).worker], "fail_share", _GREY_SHARE)


@faults.register("worker-breaks-streams")
def _worker_breaks_streams(world: World, rng: Random, seconds: float) -> None:
    _change_for(seconds, [rng.choice(world.workers).worker], "break_share", _BREAK_SHARE)


@faults.register("withdraw-key")
def _withdraw_key(world: World, rng: Random, seconds: float) -> None:
    if len(world.keys) > 1:
        world.withdraw(world.keys[-1])


@faults.register("desired-states")
def _desired_states(world: World, rng: Random, seconds: float) -> None:
    for _ in range(8):
        world.configure()
        time.sleep(seconds / 8)
