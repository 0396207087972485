"""Choice of the backend server for one request.

Designed for two load patterns: many requests with a common prompt prefix, which a worker
reads only once if all of them go to it, and a rise of online requests while batch items use
all slots.
"""

from collections.abc import Collection, Sequence

from trefoilreach._internal.coordination.serving.slot_table import WorkerLoad
from trefoilreach._internal.state.serving import rank_by_rendezvous_hash


def choose_online(
    loads: Sequence[WorkerLoad],
    shared_prefix_id: str,
    avoid: Collection[str] = (),
    request_id: str = "",
) -> str | None:
    """Return the id of the worker for an online request, or None if no slot is available.

    A free slot is preferred to one of a batch item that would have to be preempted. Among
    workers with a free slot, rendezvous hashing by the shared part of the prompt decides, so
    that requests from every daemon reach the cache that holds it. Without a shared part, the
    request's id decides among the workers with the most free slots: daemons that choose at the same
    moment must not choose the same worker. A doubtful worker is chosen only when the others are
    full.
    """
    usable = [
        load for load in loads if load.available_to_online > 0 and load.worker.id not in avoid
    ]
    usable = [load for load in usable if not load.doubtful] or usable
    free = [load for load in usable if load.free > 0]
    if free:
        if shared_prefix_id:
            return rank_by_rendezvous_hash(shared_prefix_id, [load.worker.id for load in free])[0]
        most = max(load.free for load in free)
        emptiest = [load.worker.id for load in free if load.free == most]
        return rank_by_rendezvous_hash(request_id, emptiest)[0]
    if usable:
        return max(usable, key=lambda load: (load.batch, -load.online, load.worker.id)).worker.id
    return None


def choose_batch(loads: Sequence[WorkerLoad], avoid: Collection[str] = ()) -> str | None:
    """Return the id of the worker with the most free slots, or None if no slot is free.

    A doubtful worker is chosen only when no other has a free slot.
    """
    free = [load for load in loads if load.free > 0 and load.worker.id not in avoid]
    if not free:
        return None
    best = max(free, key=lambda load: (not load.doubtful, load.free, load.worker.id))
    return best.worker.id
