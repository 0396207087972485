"""Which batch items leave a backend server when online requests need their slots.

Load pattern: the rise of a square wave. An online request goes to a worker whose slots are
all taken, and every daemon finds from the same reports which of them gives up an item, so
no message asks for it and no two daemons give up one for the same request.
"""

from collections.abc import Mapping


def count_to_yield(vm: str, batch_by_vm: Mapping[str, int], excess: int) -> int:
    """Return how many batch items a daemon gives up at one worker.

    :param batch_by_vm: batch items at the worker by daemon.
    :param excess: items that have to leave it.
    """
    left = dict(batch_by_vm)
    mine = 0
    for _ in range(min(excess, sum(left.values()))):
        # The daemon with most items there is next; names decide between equals.
        leaver = max(left, key=lambda name: (left[name], name))
        left[leaver] -= 1
        mine += leaver == vm
    return mine
