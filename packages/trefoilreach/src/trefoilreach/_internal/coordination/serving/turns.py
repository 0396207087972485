"""Order in which waiting requests get slots, over all daemons.

Load patterns: a burst beyond all slots, many batch jobs at once. Requests that can still meet
their target go before those that cannot, because first-come-first-served makes every request
of a burst late once its queue is as long as the target. Online goes before batch. A caller
that comes back after a refusal keeps its place by the time it has waited in all.
"""

from typing import NamedTuple

from trefoilreach._internal.coordination.serving.board import Waiting

_PRIORITIES = 4
_LATE_URGENCY = _PRIORITIES
BATCH_URGENCY = 2 * _PRIORITIES
_LATE_BATCH_URGENCY = BATCH_URGENCY + 1
# Every sixteenth slot stays free of batch work: online requests come and go at any moment,
# and an item that is put into each gap would be cancelled by the next arrival.
_BATCH_RESERVE_DIVISOR = 16


class OnlineNeed(NamedTuple):
    """Times of a waiting online request, by the daemon's clock.

    :param since: when its caller first asked.
    :param on_time_until: latest start that meets the target.
    """

    priority: int
    since: float
    on_time_until: float


class BatchNeed(NamedTuple):
    """Times of a waiting batch item.

    :param due: when its result is due.
    :param run_seconds: expected length of its run.
    """

    due: float
    run_seconds: float


def rank_online(need: OnlineNeed, now: float) -> Waiting:
    """Return the place of an online request."""
    priority = min(max(need.priority, 0), _PRIORITIES - 1)
    late = 0 if now <= need.on_time_until else _LATE_URGENCY
    return Waiting(late + priority, need.since)


def rank_batch(need: BatchNeed, now: float) -> Waiting:
    """Return the place of a batch item."""
    late = now + need.run_seconds > need.due
    return Waiting(_LATE_BATCH_URGENCY if late else BATCH_URGENCY, need.due)


def batch_reserve(slots: int, online: int) -> int:
    """Return the slots that batch work leaves free.

    :param slots: slots of all usable workers.
    :param online: online requests that run there.
    """
    return min(online, -(-slots // _BATCH_RESERVE_DIVISOR))
