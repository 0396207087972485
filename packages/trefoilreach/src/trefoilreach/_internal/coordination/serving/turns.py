"""Order in which waiting requests get slots, over all daemons.

Load patterns: a burst beyond all slots, many batch jobs at once. Requests that can still meet
their target go before those that cannot, because first-come-first-served makes every request
of a burst late once its queue is as long as the target. Online goes before batch. A caller
that comes back after a refusal keeps its place by the time it has waited in all.
"""

from typing import NamedTuple

from trefoilreach._internal.coordination.serving.board import Waiting

# Time that reading the prompt and the way to the worker take of the target.
_START_SECONDS = 0.06
# A late request goes first again after this part of its time, so that newer ones cannot
# keep it waiting until its end.
_LAST_CHANCE_SHARE = 0.6
# A caller whose time left is this much below the route's limit has asked before.
_RETURNED_SECONDS = 0.05
_PRIORITIES = 4
_LATE_URGENCY = _PRIORITIES
_BATCH_URGENCY = 2 * _PRIORITIES
_LATE_BATCH_URGENCY = _BATCH_URGENCY + 1
# Every sixteenth slot stays free of batch work: online requests come and go at any moment,
# and an item that is put into each gap would be cancelled by the next arrival.
_BATCH_RESERVE_DIVISOR = 16


class OnlineNeed(NamedTuple):
    """Times of a waiting online request, by the daemon's clock.

    :param since: when its caller first asked.
    :param on_time_until: latest start that meets the target.
    :param last_chance_at: when it goes first again although it is late.
    """

    priority: int
    since: float
    on_time_until: float
    last_chance_at: float


class BatchNeed(NamedTuple):
    """Times of a waiting batch item.

    :param due: when its result is due.
    :param run_seconds: expected length of its run.
    """

    due: float
    run_seconds: float


def has_returned(time_left: float, time_limit: float) -> bool:
    """Return whether a request is a later attempt of its caller.

    :param time_limit: time that callers of the route begin with, in seconds.
    """
    return time_limit - time_left > _RETURNED_SECONDS


def find_online_need(
    priority: int, now: float, target: float, time_left: float, time_limit: float
) -> OnlineNeed:
    """Return the times of a request that has just arrived.

    A caller that has come back keeps its place by the time that it has waited in all, and
    its target counts from the new attempt.

    :param target: time to the answer or to the first event of a stream.
    """
    since = now - max(0.0, time_limit - time_left)
    last_chance = now + _LAST_CHANCE_SHARE * min(time_left, time_limit)
    return OnlineNeed(priority, since, now + target - _START_SECONDS, last_chance)


def rank_online(need: OnlineNeed, now: float) -> Waiting:
    """Return the place of an online request."""
    priority = min(max(need.priority, 0), _PRIORITIES - 1)
    waits_behind = need.on_time_until < now < need.last_chance_at
    return Waiting(priority + (_LATE_URGENCY if waits_behind else 0), need.since)


def rank_batch(need: BatchNeed, now: float) -> Waiting:
    """Return the place of a batch item."""
    late = now + need.run_seconds > need.due
    return Waiting(_LATE_BATCH_URGENCY if late else _BATCH_URGENCY, need.due)


def batch_reserve(slots: int, online: int) -> int:
    """Return the slots that batch work leaves free.

    :param slots: slots of all usable workers.
    :param online: online requests that run there.
    """
    return min(online, -(-slots // _BATCH_RESERVE_DIVISOR))
