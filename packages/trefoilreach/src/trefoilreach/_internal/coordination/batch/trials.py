"""Chooses on which worker a suspect of batch work runs alone."""

from collections.abc import Callable, Collection

from trefoilreach._internal.coordination.batch.held import HeldChunk, ItemTask
from trefoilreach._internal.coordination.batch.share import WorkerShare

# Whether a worker can be given batch work for a model now.
CanRun = Callable[[WorkerShare, str], bool]


def choose_trial_workers(
    shares: Collection[WorkerShare], chunks: Collection[HeldChunk], can_run: CanRun, now: float
) -> None:
    """Drain one worker for each model with suspects, which run alone."""
    models = {held.model for held in chunks if held.suspects and not held.ending}
    for share in shares:
        share.draining = share.draining and any(can_run(share, model) for model in models)
    for model in models:
        able = [share for share in shares if can_run(share, model)]
        if any(share.trial or share.draining for share in able):
            continue
        up = [share for share in able if share.is_up(now)]
        if up:
            min(up, key=lambda share: len(share.streams)).draining = True


def take_trial(
    share: WorkerShare, chunks: Collection[HeldChunk], can_run: CanRun, now: float
) -> ItemTask | None:
    """Return a suspect to run alone on a worker that is drained, or None."""
    if not share.draining or share.streams or not share.is_up(now):
        return None
    for held in chunks:
        if held.suspects and not held.ending and can_run(share, held.model):
            share.draining, share.trial = False, True
            return held.suspects.popleft()
    return None
