"""Chooses the workers on which items that may have crashed a worker run isolated."""

from collections.abc import Callable, Collection

from trefoilreach._internal.coordination.batch.held_chunk import HeldChunk, ItemTask
from trefoilreach._internal.coordination.batch.worker_limit import WorkerBatchLimit

# Tells whether a worker can be given batch work for a model now.
CanRun = Callable[[WorkerBatchLimit, str], bool]


def choose_trial_workers(
    shares: Collection[WorkerBatchLimit], chunks: Collection[HeldChunk], can_run: CanRun, now: float
) -> None:
    """Drain one worker for each model that has suspects, as these run isolated."""
    models = {held.model for held in chunks if held.suspects and not held.stop_state}
    for share in shares:
        share.draining = share.draining and any(can_run(share, model) for model in models)
    for model in models:
        candidates = [share for share in shares if can_run(share, model)]
        if any(share.in_trial or share.draining for share in candidates):
            continue
        answering = [share for share in candidates if share.is_up(now)]
        if answering:
            min(answering, key=lambda share: len(share.streams)).draining = True


def take_suspect(
    share: WorkerBatchLimit, chunks: Collection[HeldChunk], can_run: CanRun, now: float
) -> ItemTask | None:
    """Take a suspect to run isolated on a drained worker, or return None."""
    if not share.draining or share.streams or not share.is_up(now):
        return None
    for held in chunks:
        if held.suspects and not held.stop_state and can_run(share, held.model):
            share.draining, share.in_trial = False, True
            return held.suspects.popleft()
    return None
