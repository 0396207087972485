"""What this daemon knows of open jobs and their chunks, and which chunk it should claim."""

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

# Daemons choose among this many claimable chunks, so that few collide on one row.
_CHOICE_CHUNKS = 16
# Part of the lease after which a job without a claimable chunk is read again.
_RESCAN_SHARE = 0.25
_CANCEL_RESCAN_SECONDS = 1.0


class LeaseWatch:
    """Tells which leases have lapsed from how long their rows stay unchanged.

    Clocks of VMs are never compared: a lease has lapsed when this daemon has seen the
    same revision for the whole time of a lease while the table could be read.
    """

    def __init__(self, clock: Clock, lease_seconds: float) -> None:
        self._clock = clock
        self._lease_seconds = lease_seconds
        self._seen: dict[str, tuple[int, float]] = {}

    def has_lapsed(self, chunk: Chunk) -> bool:
        """Return whether the owner of a running chunk has not renewed it in time."""
        now = self._clock.now()
        revision, since = self._seen.get(chunk.key, (0, now))
        if revision != chunk.revision:
            self._seen[chunk.key] = (chunk.revision, now)
            return False
        return now - since > self._lease_seconds

    def forget(self, chunk: Chunk) -> None:
        """Stop watching a chunk."""
        self._seen.pop(chunk.key, None)

    def restart(self) -> None:
        """Give every owner a whole lease again, as none could renew while the table was down."""
        self._seen.clear()


class _JobState:
    def __init__(self, job: OpenJob) -> None:
        self.job = job
        self.first_open = 0
        self.done = 0
        self.next_scan = 0.0


class JobBoard:
    """Open jobs as this daemon last read them."""

    def __init__(self, clock: Clock, store: ChunkStore, lease_seconds: float) -> None:
        self._clock = clock
        self._store = store
        self._watch = LeaseWatch(clock, lease_seconds)
        self._rescan_seconds = lease_seconds * _RESCAN_SHARE
        self._states: dict[str, _JobState] = {}

    @property
    def jobs(self) -> list[OpenJob]:
        """Open jobs, the earliest deadline first."""
        jobs = [state.job for state in self._states.values()]
        return sorted(jobs, key=lambda job: (job.deadline, job.id))

    def refresh(self) -> Result[None, StoreError]:
        """Read which jobs are open."""
        found = self._store.list_open()
        if isinstance(found, Err):
            return Err(found.err_value)
        states: dict[str, _JobState] = {}
        for job in found.ok_value:
            state = self._states.get(job.id) or _JobState(job)
            state.job = job
            states[job.id] = state
        self._states = states
        return Ok(None)

    def note_change(self, job_id: str) -> None:
        """Have a job's chunks read again at the next occasion."""
        if job_id in self._states:
            self._states[job_id].next_scan = 0.0

    def may_claim(self, job: OpenJob) -> bool:
        """Return whether a read of the job's chunks is due."""
        state = self._states.get(job.id)
        return state is not None and self._clock.now() >= state.next_scan

    def is_urgent(self, job: OpenJob) -> bool:
        """Return whether the job would miss its deadline at its pace so far."""
        state = self._states.get(job.id)
        elapsed = self._clock.wall_time() - job.created
        window = job.deadline - job.created
        done = state.done if state is not None else 0
        return elapsed * job.chunks > window * max(done, 0.5)

    def find_claimable(
        self, job: OpenJob, models: Iterable[str], held: Callable[[str], bool]
    ) -> Result[Chunk | None, StoreError]:
        """Return a chunk of these models that is free or whose lease has lapsed.

        :param held: whether this daemon itself runs the chunk with a key.
        """
        scanned = self._scan(job)
        if isinstance(scanned, Err):
            return Err(scanned.err_value)
        state, chunks = self._states[job.id], scanned.ok_value
        wanted = set(models)
        claimable: list[Chunk] = []
        for entry in job.ranges:
            if entry.model not in wanted:
                continue
            for index in range(max(entry.first, state.first_open), entry.first + entry.size):
                chunk = chunks.get(index) or free_chunk(job.id, index)
                if not held(chunk.key) and self._is_claimable(chunk):
                    claimable.append(chunk)
                if len(claimable) >= _CHOICE_CHUNKS:
                    return Ok(random.choice(claimable))
        if claimable:
            return Ok(random.choice(claimable))
        state.next_scan = self._clock.now() + self._rescan_seconds
        return Ok(None)

    def note_outage(self) -> None:
        """Have leases watched anew, as no owner could renew while the table was down."""
        self._watch.restart()

    def find_orphans(self, job: OpenJob) -> Result[list[Chunk], StoreError]:
        """Return the chunks of a cancelling job that have a row but that nobody runs."""
        scanned = self._scan(job)
        if isinstance(scanned, Err):
            return Err(scanned.err_value)
        self._states[job.id].next_scan = self._clock.now() + _CANCEL_RESCAN_SECONDS
        return Ok([chunk for chunk in scanned.ok_value.values() if self._is_claimable(chunk)])

    def check_done(self, job: OpenJob) -> Result[bool, StoreError]:
        """Read the job's chunks; return whether every one has ended."""
        return self._scan(job).map(lambda _: self.is_done(job))

    def _scan(self, job: OpenJob) -> Result[dict[int, Chunk], StoreError]:
        state = self._states.get(job.id)
        if state is None:
            return Ok({})
        found = scan_chunks(self._store.table, job.id, state.first_open)
        if isinstance(found, Err):
            return found
        chunks = found.ok_value
        while (chunk := chunks.get(state.first_open)) and chunk.record.state == DONE:
            state.first_open += 1
        later = sum(
            chunk.record.state == DONE
            for index, chunk in chunks.items()
            if index > state.first_open
        )
        state.done = state.first_open + later
        return found

    def is_done(self, job: OpenJob) -> bool:
        """Return whether the last read found every chunk ended."""
        state = self._states.get(job.id)
        return state is not None and state.done >= job.chunks

    def _is_claimable(self, chunk: Chunk) -> bool:
        if chunk.record.state == FREE:
            return True
        return chunk.record.state == RUNNING and self._watch.has_lapsed(chunk)
