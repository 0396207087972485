"""Faults of a run: each starts at its planned time, lasts for its duration and is then undone."""

import signal
import socket
import time
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from trefoilreach._internal.registry import Registry

from trefoilreach_emulator._internal.deployment import STOP_SECONDS
from trefoilreach_emulator._internal.soak.environment import SoakEnvironment

Fault = Callable[[SoakEnvironment, Random, float], None]

faults: Registry[Fault] = Registry("fault")

_MAX_FAULT_SECONDS = 4.0
_GREY_FAILURE_SHARE = 0.4
_STREAM_BREAK_SHARE = 0.5
# The other leaving workers say so in their answers only, as if they didn't reach the store.
_REPORTED_DRAIN_SHARE = 0.5
_STORE_DELAY_SECONDS = 0.3
_HOLD_ATTRIBUTES = ("hold_requests", "hold_answers")
_JOB_OWNER_POLL_SECONDS = 0.01
# Kinds that a plan contains only if it names them. The plans of seeds that reproduced a failure
# depend on the list of the other kinds.
NAMED_ONLY_KINDS = frozenset({"kill-job-owner"})
# Longer than any retention time of reports and rows.
_CLOCK_STEP_SECONDS = 3600.0
_STRAY_DATAGRAM_COUNT = 200
# The number of bytes of a datagram is lower than this.
_STRAY_DATAGRAM_BYTES_LIMIT = 1200


class PlannedFault(NamedTuple):
    """A fault of a plan.

    :param at: seconds after the start of the traffic.
    :param seconds: duration; some kinds ignore it.
    :param seed: seed of the random choices that the fault makes.
    """

    kind: str
    at: float
    seconds: float
    seed: int


def plan_faults(
    seed: int, seconds: float, count: int, kinds: Sequence[str] = ()
) -> list[PlannedFault]:
    """Return planned faults by start time; they may overlap. The same arguments give the same plan.

    :param seconds: length of the traffic.
    :param kinds: kinds to choose from; empty for all but :data:`NAMED_ONLY_KINDS`.
    """
    rng = Random(seed)
    kinds = kinds or [name for name in faults.names if name not in NAMED_ONLY_KINDS]
    planned = [
        PlannedFault(
            rng.choice(kinds),
            round(rng.uniform(0.0, 0.8 * seconds), 2),
            round(rng.uniform(0.5, min(_MAX_FAULT_SECONDS, 0.4 * seconds)), 2),
            rng.randrange(2**31),
        )
        for _ in range(count)
    ]
    return sorted(planned, key=lambda fault: fault.at)


def _set_temporarily(
    seconds: float, targets: Sequence[object], name: str, value: bool | int | float
) -> None:
    """Set an attribute of all targets, and reset it to false or zero after a time.

    The previous value is not restored: with overlapping faults of one kind, it may be the value
    that the other fault has set.
    """
    for target in targets:
        setattr(target, name, value)
    time.sleep(seconds)
    for target in targets:
        setattr(target, name, type(value)())


@faults.register("kill")
def _kill(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    proxied = rng.choice(environment.daemons)
    environment.kill_daemon(proxied)
    time.sleep(seconds)
    proxied.restart()


@faults.register("kill-job-owner")
def _kill_job_owner(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    """Kill the daemon with the most items left to run, as soon as there is one.

    Jobs are short and most daemons own none, so a randomly chosen daemon may have no items.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        proxied = environment.kill_job_owner()
        if proxied is not None:
            time.sleep(seconds)
            proxied.restart()
            return
        time.sleep(_JOB_OWNER_POLL_SECONDS)


@faults.register("kill-all")
def _kill_all(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    for proxied in environment.daemons:
        environment.kill_daemon(proxied)
    time.sleep(min(seconds, 1.0))
    for proxied in environment.daemons:
        proxied.restart()


@faults.register("stop")
def _stop(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    proxied = rng.choice(environment.daemons)
    environment.stop_daemon(proxied, STOP_SECONDS)
    proxied.restart()


@faults.register("freeze")
def _freeze(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    proxied = rng.choice(environment.daemons)
    environment.history.add_notice("frozen", proxied.daemon.vm)
    proxied.daemon.signal(signal.SIGSTOP)
    time.sleep(seconds)
    proxied.daemon.signal(signal.SIGCONT)


@faults.register("clock-step")
def _clock_step(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    """Restart a daemon with a wrong time of day, and then with the correct one."""
    proxied = rng.choice(environment.daemons)
    for step in (rng.choice([-1.0, 1.0]) * _CLOCK_STEP_SECONDS, 0.0):
        environment.kill_daemon(proxied)
        proxied.daemon.clock_step = step
        proxied.restart()
        time.sleep(seconds / 2)


@faults.register("stray-datagrams")
def _stray_datagrams(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    """Send datagrams of random bytes to randomly chosen daemons."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(_STRAY_DATAGRAM_COUNT):
            proxied = rng.choice(environment.daemons)
            sender.sendto(
                rng.randbytes(rng.randrange(_STRAY_DATAGRAM_BYTES_LIMIT)),
                proxied.daemon.datagram_address,
            )
            time.sleep(seconds / _STRAY_DATAGRAM_COUNT)


@faults.register("reload")
def _reload(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    for _ in range(3):
        rng.choice(environment.daemons).daemon.signal(signal.SIGHUP)
        time.sleep(seconds / 3)


@faults.register("store-down")
def _store_down(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    _set_temporarily(seconds, [environment.platform], "down", True)


@faults.register("store-silent")
def _store_silent(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    _set_temporarily(seconds, [environment.platform], "silent", True)


@faults.register("store-hangs")
def _store_hangs(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    _set_temporarily(seconds, [environment.platform], "hanging", True)


@faults.register("store-loses-answers")
def _store_loses_answers(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    _set_temporarily(seconds, [environment.platform], "lose_answers", rng.randrange(2, 12))


@faults.register("store-cut")
def _store_cut(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    proxied = rng.choice(environment.daemons)
    _set_temporarily(seconds, [proxied.store_proxy], rng.choice(_HOLD_ATTRIBUTES), True)


@faults.register("store-slow")
def _store_slow(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    _set_temporarily(
        seconds,
        [proxied.store_proxy for proxied in environment.daemons],
        "delay",
        _STORE_DELAY_SECONDS,
    )


@faults.register("connections-silent")
def _connections_silent(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    for proxied in environment.daemons:
        proxied.store_proxy.silence()
    for worker in environment.workers:
        worker.proxy.silence()


@faults.register("connections-reset")
def _connections_reset(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    for proxied in rng.sample(environment.workers, max(1, len(environment.workers) // 2)):
        environment.history.add_notice("worker-cut", proxied.worker.name)
        proxied.proxy.reset()
    for daemon in environment.daemons:
        daemon.store_proxy.reset()


@faults.register("worker-cut")
def _worker_cut(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    proxied = rng.choice(environment.workers)
    environment.history.add_notice("worker-cut", proxied.worker.name)
    _set_temporarily(seconds, [proxied.proxy], rng.choice(_HOLD_ATTRIBUTES), True)


@faults.register("worker-crash")
def _worker_crash(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    if len(environment.workers) > 1:
        environment.crash_worker(rng.choice(environment.workers))
        time.sleep(seconds)
        environment.add_worker()


@faults.register("worker-drain")
def _worker_drain(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    if len(environment.workers) > 1:
        environment.add_worker()
        proxied = rng.choice(environment.workers)
        environment.drain_worker(proxied, reported=rng.random() < _REPORTED_DRAIN_SHARE)


@faults.register("worker-grey")
def _worker_grey(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    _set_temporarily(
        seconds, [rng.choice(environment.workers).worker], "fail_share", _GREY_FAILURE_SHARE
    )


@faults.register("worker-breaks-streams")
def _worker_breaks_streams(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    _set_temporarily(
        seconds, [rng.choice(environment.workers).worker], "break_share", _STREAM_BREAK_SHARE
    )


@faults.register("withdraw-key")
def _withdraw_key(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    if len(environment.keys) > 1:
        environment.withdraw_key(environment.keys[-1])


@faults.register("desired-states")
def _desired_states(environment: SoakEnvironment, rng: Random, seconds: float) -> None:
    for _ in range(8):
        environment.configure()
        time.sleep(seconds / 8)
