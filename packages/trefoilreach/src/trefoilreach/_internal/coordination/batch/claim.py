"""Chooses and claims the chunks that this daemon's workers need next."""

from collections.abc import Callable

from result import Err, Ok, Result

from trefoilreach._internal.coordination.batch.chunks import Chunk, ChunkStore, JobClosed
from trefoilreach._internal.coordination.batch.finish import JobFinisher
from trefoilreach._internal.coordination.batch.held_chunk import HeldChunk
from trefoilreach._internal.coordination.batch.input import decode_items
from trefoilreach._internal.coordination.batch.open_jobs import OpenJobCache
from trefoilreach._internal.coordination.batch.scheduler import BatchScheduler
from trefoilreach._internal.state.jobs import OpenJob, input_object
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import RevisionConflict, StoreError

# Pending items of a model, per slot of its workers, below which chunks are claimed.
_BACKLOG_ITEMS_PER_SLOT = 2
# Chunks that one daemon holds at most.
_HELD_CHUNK_LIMIT = 16
_JOB_SCANS_PER_TICK = 4


class ChunkClaimer:
    """Claims chunks for the feed; called by the store thread only.

    :param wake: makes the store thread start its next pass at once.
    """

    def __init__(
        self,
        store: ChunkStore,
        objects: ObjectStore,
        feed: BatchScheduler,
        open_jobs: OpenJobCache,
        finisher: JobFinisher,
        wake: Callable[[], None],
    ) -> None:
        self._store = store
        self._objects = objects
        self._feed = feed
        self._open_jobs = open_jobs
        self._finisher = finisher
        self._wake = wake

    def claim_needed(self) -> Result[None, StoreError]:
        """Claim chunks while the backlog of this daemon's workers is too short."""
        capacity = self._feed.capacity()
        scans = 0
        for job in self._order_jobs():
            models = self._find_models_to_claim(job, capacity)
            if not models or not self._open_jobs.is_scan_due(job):
                continue
            claimed = self._claim_from(job, models)
            if isinstance(claimed, Err):
                return claimed
            scans += 1
            if scans >= _JOB_SCANS_PER_TICK:
                self._wake()
                break
        return Ok(None)

    def _order_jobs(self) -> list[OpenJob]:
        jobs = [job for job in self._open_jobs.jobs if not job.cancelling]
        with self._feed.lock:
            accounts = self._feed.fair_queue.order(job.account for job in jobs)
        return sorted(jobs, key=lambda job: accounts.index(job.account))

    def _find_models_to_claim(self, job: OpenJob, capacity: dict[str, int]) -> list[str]:
        """Return the models of a job for which this daemon should claim a chunk now.

        These are the models with a short backlog, and those for which the job's account has
        no pending item here.
        """
        with self._feed.lock:
            held = list(self._feed.held.values())
            backlog: dict[tuple[str, str], int] = {}
            for entry in held:
                key = (entry.model, entry.job.account)
                backlog[key] = backlog.get(key, 0) + len(entry.pending)
        if len(held) >= _HELD_CHUNK_LIMIT:
            return []
        wanted = []
        for model in {entry.model for entry in job.ranges} & capacity.keys():
            model_backlog = sum(count for (name, _), count in backlog.items() if name == model)
            account_backlog = backlog.get((model, job.account), 0)
            if model_backlog < capacity[model] * _BACKLOG_ITEMS_PER_SLOT or account_backlog == 0:
                wanted.append(model)
        return wanted

    def _claim_from(self, job: OpenJob, models: list[str]) -> Result[None, StoreError]:
        with self._feed.lock:
            keys = set(self._feed.held)
        found = self._open_jobs.find_claimable(job, models, keys.__contains__)
        if isinstance(found, Err):
            return Err(found.err_value)
        if found.ok_value is None:
            if self._open_jobs.is_done(job):
                self._finisher.schedule_finalise(job)
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
        object_names = [input_object(job.input_prefix, claim.number), claim.record.result]
        data: list[bytes] = []
        for name in object_names:
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
