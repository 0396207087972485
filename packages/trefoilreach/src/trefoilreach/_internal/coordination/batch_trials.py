"""Chooses on which worker a suspect of batch work runs alone."""

from collections.abc import Collection

from trefoilreach._internal.coordination.batch_held import HeldChunk, ItemTask
from trefoilreach._internal.coordination.batch_share import WorkerShare


def choose_trial_workers(
    shares: Collection[WorkerShare], chunks: Collection[HeldChunk], now: float
) -> None:
    """Drain one worker for each model with suspects, which run alone."""
    models = {held.model for held in chunks if held.suspects and not held.ending}
    for share in shares:
        share.draining = share.draining and not models.isdisjoint(share.server.routes)
    for model in models:
        able = [share for share in shares if model in share.server.routes]
        if any(share.trial or share.draining for share in able):
            continue
        up = [share for share in able if share.is_up(now)]
        if up:
            min(up, key=lambda share: len(share.streams)).draining = True


def take_trial(share: WorkerShare, chunks: Collection[HeldChunk], now: float) -> ItemTask | None:
    """Return a suspect to run alone on a worker that is drained, or None."""
    if not share.draining or share.streams or not share.is_up(now):
        return None
    for held in chunks:
        if held.suspects and not held.ending and held.model in share.server.routes:
            share.draining, share.trial = False, True
            return held.suspects.popleft()
    return None
