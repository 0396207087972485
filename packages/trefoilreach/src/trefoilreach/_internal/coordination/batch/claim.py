"""Chooses and claims the chunks that this daemon's workers need next."""

from collections.abc import Callable

from result import Err, Ok, Result

from trefoilreach._internal.coordination.batch.board import JobBoard
from trefoilreach._internal.coordination.batch.chunks import Chunk, ChunkStore, JobClosed
from trefoilreach._internal.coordination.batch.feed import BatchFeed
from trefoilreach._internal.coordination.batch.finish import JobFinisher
from trefoilreach._internal.coordination.batch.held import HeldChunk
from trefoilreach._internal.coordination.batch.input import decode_items
from trefoilreach._internal.state.jobs import OpenJob, input_object
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import RevisionConflict, StoreError

_AHEAD_FACTOR = 2
_HELD_LIMIT = 16
_SCANS_PER_TICK = 4


class ChunkClaimer:
    """Used by the store thread only.

    :param wake: has the store thread make its next pass at once.
    """

    def __init__(
        self,
        store: ChunkStore,
        objects: ObjectStore,
        feed: BatchFeed,
        board: JobBoard,
        finisher: JobFinisher,
        wake: Callable[[], None],
    ) -> None:
        self._store = store
        self._objects = objects
        self._feed = feed
        self._board = board
        self._finisher = finisher
        self._wake = wake

    def claim_needed(self) -> Result[None, StoreError]:
        """Claim chunks while this daemon's workers have too little to do."""
        capacity = self._feed.capacity()
        scans = 0
        for job in self._order_jobs():
            models = self._wanted_models(job, capacity)
            if not models or not self._board.may_claim(job):
                continue
            claimed = self._claim_from(job, models)
            if isinstance(claimed, Err):
                return claimed
            scans += 1
            if scans >= _SCANS_PER_TICK:
                self._wake()
                break
        return Ok(None)

    def _order_jobs(self) -> list[OpenJob]:
        jobs = [job for job in self._board.jobs if not job.cancelling]
        with self._feed.lock:
            turns = self._feed.turns.order(job.account for job in jobs)
        return sorted(jobs, key=lambda job: turns.index(job.account))

    def _wanted_models(self, job: OpenJob, capacity: dict[str, int]) -> list[str]:
        """Return the models of a job for which this daemon should claim a chunk now."""
        with self._feed.lock:
            held = list(self._feed.held.values())
            todo: dict[tuple[str, str], int] = {}
            for entry in held:
                key = (entry.model, entry.job.account)
                todo[key] = todo.get(key, 0) + len(entry.todo)
        if len(held) >= _HELD_LIMIT:
            return []
        wanted = []
        for model in {entry.model for entry in job.ranges} & capacity.keys():
            pending = sum(count for (name, _), count in todo.items() if name == model)
            own = todo.get((model, job.account), 0)
            if pending < capacity[model] * _AHEAD_FACTOR or own == 0:
                wanted.append(model)
        return wanted

    def _claim_from(self, job: OpenJob, models: list[str]) -> Result[None, StoreError]:
        with self._feed.lock:
            keys = set(self._feed.held)
        found = self._board.find_claimable(job, models, keys.__contains__)
        if isinstance(found, Err):
            return Err(found.err_value)
        if found.ok_value is None:
            if self._board.is_done(job):
                self._finisher.note_done(job)
            return Ok(None)
        return self._claim(job, found.ok_value)

    def _claim(self, job: OpenJob, chunk: Chunk) -> Result[None, StoreError]:
        claimed = self._store.claim(chunk)
        if isinstance(claimed, Err):
            if isinstance(claimed.err_value, RevisionConflict | JobClosed):
                return Ok(None)
            return Err(claimed.err_value)
        held = self._read_chunk(job, claimed.ok_value)
        if isinstance(held, Err):
            return Err(held.err_value)
        self._feed.add(held.ok_value)
        return Ok(None)

    def _read_chunk(self, job: OpenJob, claim: Chunk) -> Result[HeldChunk, StoreError]:
        names = [input_object(job.input_prefix, claim.number), claim.record.result]
        data: list[bytes] = []
        for name in names:
            found = self._objects.get(name) if name else Ok(b"")
            if isinstance(found, Err) or found.ok_value is None:
                self._store.release(claim)
                missing = StoreError(f"object {name!r} cannot be read")
                return Err(found.err_value if isinstance(found, Err) else missing)
            data.append(found.ok_value)
        model = next(
            entry.model
            for entry in job.ranges
            if entry.first <= claim.number < entry.first + entry.size
        )
        return Ok(HeldChunk(job, model, claim, decode_items(data[0]), data[1]))
