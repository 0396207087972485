"""Choice of the backend server for one request.

Load patterns: many requests that share the first parts of their prompts, which are read once
if they go to the same worker; and a rise of online requests while batch work fills all slots.
"""

from collections.abc import Collection, Sequence

from trefoilreach._internal.coordination.serving.board import WorkerLoad
from trefoilreach._internal.state.serving import rank_by_hash


def choose_online(
    loads: Sequence[WorkerLoad], shared_part: str, avoid: Collection[str] = ()
) -> str | None:
    """Return the worker for an online request, or None while no slot can be had.

    A free slot goes before one that batch work would have to give up. Among workers with a
    free slot, the shared part of the prompt decides, so that the same part meets the same
    cache from every daemon. A doubtful worker is chosen only when the others are full.
    """
    usable = [load for load in loads if load.online_room > 0 and load.worker.id not in avoid]
    usable = [load for load in usable if not load.doubtful] or usable
    free = [load for load in usable if load.free > 0]
    if free:
        if shared_part:
            return rank_by_hash(shared_part, [load.worker.id for load in free])[0]
        return max(free, key=lambda load: (load.free, load.worker.id)).worker.id
    if usable:
        return max(usable, key=lambda load: (load.batch, -load.online, load.worker.id)).worker.id
    return None


def choose_batch(loads: Sequence[WorkerLoad], avoid: Collection[str] = ()) -> str | None:
    """Return the worker for a batch item: the one with most free slots."""
    free = [load for load in loads if load.free > 0 and load.worker.id not in avoid]
    if not free:
        return None
    best = max(free, key=lambda load: (not load.doubtful, load.free, load.worker.id))
    return best.worker.id
