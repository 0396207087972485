"""Cache of the open jobs and their progress, and the choice of the chunk to claim."""

import random
from collections.abc import Callable, Iterable

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch.chunks import (
    Chunk,
    ChunkStore,
    free_chunk,
    scan_chunks,
)
from trefoilreach._internal.state.jobs import DONE, FREE, RUNNING, OpenJob
from trefoilreach._internal.state.table import StoreError

# Each daemon picks at random among this many claimable chunks, so that few claims conflict.
_CLAIM_CANDIDATE_LIMIT = 16
# Fraction of the lease after which a job without a claimable chunk is scanned again.
_RESCAN_LEASE_FRACTION = 0.25
_CANCEL_RESCAN_SECONDS = 1.0


class LeaseTracker:
    """Detects expired leases by how long their rows stay unchanged.

    Clocks of VMs are never compared: a lease has expired when this daemon has read the same
    revision for longer than the lease while the table could be read.
    """

    def __init__(self, clock: Clock, lease_seconds: float) -> None:
        self._clock = clock
        self._lease_seconds = lease_seconds
        self._last_changes: dict[str, tuple[int, float]] = {}

    def has_expired(self, chunk: Chunk) -> bool:
        """Return whether the owner of a running chunk has failed to renew its lease in time."""
        now = self._clock.now()
        revision, since = self._last_changes.get(chunk.key, (0, now))
        if revision != chunk.revision:
            self._last_changes[chunk.key] = (chunk.revision, now)
            return False
        return now - since > self._lease_seconds

    def forget(self, chunk: Chunk) -> None:
        """Stop tracking a chunk."""
        self._last_changes.pop(chunk.key, None)

    def reset(self) -> None:
        """Restart every lease, as no owner could renew while the table was down."""
        self._last_changes.clear()


class _JobProgress:
    """Progress of a job as of its last scan; times are readings of the daemon's clock."""

    def __init__(self, job: OpenJob) -> None:
        self.job = job
        self.first_open_index = 0
        self.done_chunks = 0
        self.next_scan_at = 0.0


class OpenJobCache:
    """Open jobs as this daemon last read them."""

    def __init__(self, clock: Clock, store: ChunkStore, lease_seconds: float) -> None:
        self._clock = clock
        self._store = store
        self._lease_tracker = LeaseTracker(clock, lease_seconds)
        self._rescan_seconds = lease_seconds * _RESCAN_LEASE_FRACTION
        self._progress: dict[str, _JobProgress] = {}

    @property
    def jobs(self) -> list[OpenJob]:
        """Open jobs, the earliest deadline first."""
        jobs = [progress.job for progress in self._progress.values()]
        return sorted(jobs, key=lambda job: (job.deadline, job.id))

    def refresh(self) -> Result[None, StoreError]:
        """Read the list of open jobs from the table."""
        found = self._store.list_open()
        if isinstance(found, Err):
            return Err(found.err_value)
        progress_by_job: dict[str, _JobProgress] = {}
        for job in found.ok_value:
            progress = self._progress.get(job.id) or _JobProgress(job)
            progress.job = job
            progress_by_job[job.id] = progress
        self._progress = progress_by_job
        return Ok(None)

    def schedule_scan(self, job_id: str) -> None:
        """Make a scan of a job's chunks due at once."""
        if job_id in self._progress:
            self._progress[job_id].next_scan_at = 0.0

    def is_scan_due(self, job: OpenJob) -> bool:
        """Return whether a scan of the job's chunks is due."""
        progress = self._progress.get(job.id)
        return progress is not None and self._clock.now() >= progress.next_scan_at

    def is_urgent(self, job: OpenJob) -> bool:
        """Return whether the job would miss its deadline at its average rate so far."""
        progress = self._progress.get(job.id)
        elapsed = self._clock.wall_time() - job.created
        window = job.deadline - job.created
        done = progress.done_chunks if progress is not None else 0
        return elapsed * job.chunk_count > window * max(done, 0.5)

    def find_claimable(
        self, job: OpenJob, models: Iterable[str], is_held: Callable[[str], bool]
    ) -> Result[Chunk | None, StoreError]:
        """Return a chunk of these models that is free or whose lease has expired; None for none.

        :param is_held: tells whether this daemon holds the chunk with the given row key.
        """
        scanned = self._scan(job)
        if isinstance(scanned, Err):
            return Err(scanned.err_value)
        progress, chunks = self._progress[job.id], scanned.ok_value
        wanted = set(models)
        claimable: list[Chunk] = []
        for entry in job.ranges:
            if entry.model not in wanted:
                continue
            for index in range(
                max(entry.first, progress.first_open_index), entry.first + entry.size
            ):
                chunk = chunks.get(index) or free_chunk(job.id, index)
                if not is_held(chunk.key) and self._is_claimable(chunk):
                    claimable.append(chunk)
                if len(claimable) >= _CLAIM_CANDIDATE_LIMIT:
                    return Ok(random.choice(claimable))
        if claimable:
            return Ok(random.choice(claimable))
        progress.next_scan_at = self._clock.now() + self._rescan_seconds
        return Ok(None)

    def restart_leases(self) -> None:
        """Restart the tracked leases, as no owner could renew while the table was down."""
        self._lease_tracker.reset()

    def find_unowned(self, job: OpenJob) -> Result[list[Chunk], StoreError]:
        """Return the chunks of a cancelling job that have a row but no owner with a valid lease."""
        scanned = self._scan(job)
        if isinstance(scanned, Err):
            return Err(scanned.err_value)
        self._progress[job.id].next_scan_at = self._clock.now() + _CANCEL_RESCAN_SECONDS
        return Ok([chunk for chunk in scanned.ok_value.values() if self._is_claimable(chunk)])

    def scan_and_check_done(self, job: OpenJob) -> Result[bool, StoreError]:
        """Scan the job's chunks; return whether all of them have ended."""
        return self._scan(job).map(lambda _: self.is_done(job))

    def _scan(self, job: OpenJob) -> Result[dict[int, Chunk], StoreError]:
        progress = self._progress.get(job.id)
        if progress is None:
            return Ok({})
        found = scan_chunks(self._store.table, job.id, progress.first_open_index)
        if isinstance(found, Err):
            return found
        chunks = found.ok_value
        while (chunk := chunks.get(progress.first_open_index)) and chunk.record.state == DONE:
            progress.first_open_index += 1
        done_later = sum(
            chunk.record.state == DONE
            for index, chunk in chunks.items()
            if index > progress.first_open_index
        )
        progress.done_chunks = progress.first_open_index + done_later
        return found

    def is_done(self, job: OpenJob) -> bool:
        """Return whether all chunks had ended at the last scan."""
        progress = self._progress.get(job.id)
        return progress is not None and progress.done_chunks >= job.chunk_count

    def _is_claimable(self, chunk: Chunk) -> bool:
        if chunk.record.state == FREE:
            return True
        return chunk.record.state == RUNNING and self._lease_tracker.has_expired(chunk)
