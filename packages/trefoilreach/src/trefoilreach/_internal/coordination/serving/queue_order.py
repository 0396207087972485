"""Order in which queued requests get slots, over all daemons.

Designed for a burst that exceeds all slots and for many batch jobs at the same time. Requests
that can still meet their target go before those that cannot, because with first-come,
first-served every request of a burst is late once the queueing delay reaches the target.
Online requests go before batch items. A caller that retries after a refusal is ordered by the
time of its first attempt.
"""

from typing import NamedTuple

from trefoilreach._internal.coordination.serving.slot_table import QueueRank

# Part of the target that the network and reading the prompt take.
_START_OVERHEAD_SECONDS = 0.06
# A late request gets its former place back after this share of its time, so that newer
# requests cannot keep it queued until its deadline.
_LAST_CHANCE_SHARE = 0.6
# A request whose remaining time is below the route's limit by more than this is a retry.
_RETRY_MARGIN_SECONDS = 0.05
_PRIORITY_COUNT = 4
_LATE_URGENCY = _PRIORITY_COUNT
_BATCH_URGENCY = 2 * _PRIORITY_COUNT
_LATE_BATCH_URGENCY = _BATCH_URGENCY + 1
# Every eighth slot is kept free of batch items. Online requests come and go all the time, and a
# batch item in each gap between them would be preempted by the next arrival. In a replay of a
# square wave over 39 workers, half as many items are preempted as with every sixteenth.
_BATCH_RESERVE_DIVISOR = 8


class OnlineTimes(NamedTuple):
    """Priority and times of a queued online request, by the daemon's clock.

    :param since: when its caller sent the first attempt.
    :param on_time_until: latest start that meets the target.
    :param last_chance_at: when it gets its former place back although it is late.
    """

    priority: int
    since: float
    on_time_until: float
    last_chance_at: float


class BatchTimes(NamedTuple):
    """Times of a queued batch item.

    :param due: when its result is due, by the daemon's clock.
    :param run_seconds: expected length of its run.
    """

    due: float
    run_seconds: float


def is_retry(time_left: float, time_limit: float) -> bool:
    """Return whether a request is a retry.

    :param time_left: seconds that its caller will still wait.
    :param time_limit: seconds that a first attempt on the route has.
    """
    return time_limit - time_left > _RETRY_MARGIN_SECONDS


def compute_online_times(
    priority: int, now: float, target: float, time_left: float, time_limit: float
) -> OnlineTimes:
    """Return the times of a request that has just arrived.

    A retry is ordered by the time of the first attempt, but its target counts from now.

    :param target: seconds to the answer or to the first event of a stream.
    :param time_left: seconds that the caller will still wait.
    :param time_limit: seconds that a first attempt on the route has.
    """
    since = now - max(0.0, time_limit - time_left)
    last_chance = now + _LAST_CHANCE_SHARE * min(time_left, time_limit)
    return OnlineTimes(priority, since, now + target - _START_OVERHEAD_SECONDS, last_chance)


def rank_online(times: OnlineTimes, now: float) -> QueueRank:
    """Return the place of an online request in the queue."""
    priority = min(max(times.priority, 0), _PRIORITY_COUNT - 1)
    late = times.on_time_until < now < times.last_chance_at
    return QueueRank(priority + (_LATE_URGENCY if late else 0), times.since)


def rank_batch(times: BatchTimes, now: float) -> QueueRank:
    """Return the place of a batch item in the queue; late items go last."""
    late = now + times.run_seconds > times.due
    return QueueRank(_LATE_BATCH_URGENCY if late else _BATCH_URGENCY, times.due)


def count_reserved_slots(slots: int, online: int) -> int:
    """Return the number of slots that batch items leave free for online requests.

    :param slots: number of slots of all usable workers.
    :param online: number of online requests that run there.
    """
    return min(online, -(-slots // _BATCH_RESERVE_DIVISOR))
