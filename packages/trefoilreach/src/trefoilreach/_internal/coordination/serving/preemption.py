"""Preemption: which daemon gives up batch items when online requests need their slots.

Designed for the rising edge of a square wave of online requests. An online request goes to a
worker whose slots are all taken, and every daemon computes from the same reports which of them
preempts a batch item. No message has to ask for it, and no two daemons preempt an item for the
same request.
"""

from collections.abc import Mapping


def count_to_preempt(vm: str, batch_by_vm: Mapping[str, int], excess: int) -> int:
    """Return how many batch items a daemon must preempt at one worker.

    :param vm: VM of the daemon.
    :param batch_by_vm: number of batch items at the worker by daemon.
    :param excess: number of items that all daemons together must preempt there.
    """
    remaining = dict(batch_by_vm)
    own_count = 0
    for _ in range(min(excess, sum(remaining.values()))):
        # The daemon with the most items there is next; names break ties.
        next_vm = max(remaining, key=lambda name: (remaining[name], name))
        remaining[next_vm] -= 1
        own_count += next_vm == vm
    return own_count
