"""Changes of chunk and job rows: claim, renew, finish, release, cancel, finalise.

Only the owner with the row's fencing number writes a claimed row, until another daemon takes
the chunk over with the next number.
"""

import uuid
from collections.abc import Sequence
from typing import NamedTuple

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.state.commits import commit_checked
from trefoilreach._internal.state.jobs import (
    CANCELLED,
    CANCELLING,
    COMPLETED,
    DONE,
    FINAL_STATUSES,
    FREE,
    OPEN_JOB_PREFIX,
    RUNNING,
    ChunkRecord,
    JobRecord,
    OpenJob,
    chunk_index,
    chunk_key,
    chunk_prefix,
    decode_chunk,
    decode_job,
    decode_open_job,
    encode_record,
    job_key,
    make_open_job,
    open_job_key,
)
from trefoilreach._internal.state.table import (
    RevisionConflict,
    StoreError,
    TableService,
    Write,
)

_PAGE_ROWS = 1000


class Chunk(NamedTuple):
    """A chunk with the revision of its row; revision 0 for a row that does not exist."""

    job_id: str
    number: int
    record: ChunkRecord
    revision: int

    @property
    def key(self) -> str:
        """Key of the row."""
        return chunk_key(self.job_id, self.number)


class ClaimLost(StoreError):
    """The chunk was taken over or ended; the results of its former owner are discarded."""


class JobClosed(StoreError):
    """The job is cancelling or final, so that its chunks must not be claimed."""


def scan_chunks(
    table: TableService, job_id: str, first: int = 0
) -> Result[dict[int, Chunk], StoreError]:
    """Return the existing chunk rows of a job from index ``first``."""
    found: dict[int, Chunk] = {}
    after = chunk_key(job_id, first - 1) if first else ""
    while True:
        rows = table.scan(chunk_prefix(job_id), after, _PAGE_ROWS)
        if isinstance(rows, Err):
            return Err(rows.err_value)
        for row in rows.ok_value:
            index = chunk_index(row.key)
            found[index] = Chunk(job_id, index, decode_chunk(row), row.revision)
        if len(rows.ok_value) < _PAGE_ROWS:
            return Ok(found)
        after = rows.ok_value[-1].key


def free_chunk(job_id: str, index: int) -> Chunk:
    """Return a chunk that has no row yet."""
    return Chunk(job_id, index, ChunkRecord(FREE), 0)


class ChunkStore:
    """Row changes made by one daemon.

    :param owner: unique among all daemons and their restarts.
    """

    def __init__(self, clock: Clock, table: TableService, owner: str) -> None:
        self._clock = clock
        self._table = table
        self._owner = owner

    @property
    def table(self) -> TableService:
        """The table service."""
        return self._table

    @property
    def owner(self) -> str:
        """Name under which this daemon claims chunks."""
        return self._owner

    def list_open(self) -> Result[list[OpenJob], StoreError]:
        """Return every job that is not final."""
        jobs: list[OpenJob] = []
        after = ""
        while True:
            rows = self._table.scan(OPEN_JOB_PREFIX, after, _PAGE_ROWS)
            if isinstance(rows, Err):
                return Err(rows.err_value)
            jobs += [decode_open_job(row) for row in rows.ok_value]
            if len(rows.ok_value) < _PAGE_ROWS:
                return Ok(jobs)
            after = rows.ok_value[-1].key

    def claim(self, chunk: Chunk) -> Result[Chunk, StoreError]:
        """Claim a chunk that is free, or whose owner's lease has expired.

        The job's open row is read after the claim: either this read sees a cancellation, or
        the daemon that ends the cancelled job sees the claim.

        :returns: the claimed chunk; :class:`RevisionConflict` when another daemon wrote first,
            :class:`JobClosed` when the job is cancelling or final.
        """
        record = chunk.record._replace(
            state=RUNNING, owner=self._owner, fencing=chunk.record.fencing + 1, progress=(0, 0)
        )
        claimed = self._write(chunk, record)
        if isinstance(claimed, Err):
            return claimed
        row = self._table.get(open_job_key(chunk.job_id))
        if isinstance(row, Ok) and row.ok_value is not None:
            if not decode_open_job(row.ok_value).cancelling:
                return claimed
            row = Ok(None)
        self.release(claimed.ok_value)
        return Err(
            row.err_value if isinstance(row, Err) else JobClosed("the job is cancelling or final")
        )

    def renew(self, chunks: Sequence[Chunk]) -> Result[dict[str, Chunk | None], StoreError]:
        """Renew the leases of claimed chunks with one commit.

        :returns: the renewed chunks by row key, with None for each that was lost.
        """
        outcome: dict[str, Chunk | None] = {}
        current = {chunk.key: chunk for chunk in chunks}
        while current:
            done = self._write_all(list(current.values()))
            if isinstance(done, Ok):
                outcome.update({chunk.key: chunk for chunk in done.ok_value})
                return Ok(outcome)
            error = done.err_value
            if not isinstance(error, RevisionConflict):
                return Err(error)
            reread = self._reread_claim(current.pop(error.key))
            if isinstance(reread, Ok):
                current[error.key] = reread.ok_value
            elif isinstance(reread.err_value, ClaimLost):
                outcome[error.key] = None
            else:
                return Err(reread.err_value)
        return Ok(outcome)

    def update(self, chunk: Chunk, record: ChunkRecord) -> Result[Chunk, StoreError]:
        """Change the row of a claimed chunk.

        :returns: the changed chunk; :class:`ClaimLost` when this daemon no longer owns it.
        """
        while True:
            done = self._write(chunk, record)
            if isinstance(done, Ok):
                return done
            if not isinstance(done.err_value, RevisionConflict):
                return done
            reread = self._reread_claim(chunk)
            if isinstance(reread, Err):
                return reread
            if reread.ok_value.record.state != RUNNING:
                return reread
            chunk = reread.ok_value

    def release(self, chunk: Chunk) -> Result[Chunk, StoreError]:
        """Release a claimed chunk, keeping the result object that its record names."""
        return self.update(chunk, chunk.record._replace(state=FREE, owner="", progress=(0, 0)))

    def begin_cancel(self, job: JobRecord, revision: int) -> Result[JobRecord, StoreError]:
        """Set a job to cancelling; other daemons see it in the open row."""
        changed = job._replace(status=CANCELLING, cancelling_at=self._clock.wall_time())
        writer = uuid.uuid4().hex
        writes = [
            Write(job_key(job.account, job.id), encode_record(changed, writer), revision),
            Write(open_job_key(job.id), encode_record(make_open_job(changed), writer), None),
        ]
        return commit_checked(self._table, writes).map(lambda _: changed)

    def end_chunk(self, chunk: Chunk) -> Result[Chunk, StoreError]:
        """End a chunk of a cancelled job that has no owner, keeping its result object."""
        fencing = chunk.record.fencing + 1
        record = chunk.record._replace(state=DONE, owner="", fencing=fencing, progress=(0, 0))
        return self._write(chunk, record)

    def finalise(self, account: str, job_id: str) -> Result[JobRecord | None, StoreError]:
        """Make a job final whose chunks have all ended.

        :returns: the final job; None when it was final already or still has unfinished chunks.
        """
        found = self._table.get(job_key(account, job_id))
        if isinstance(found, Err):
            return Err(found.err_value)
        if found.ok_value is None:
            return Ok(None)
        job = decode_job(found.ok_value)
        if job.status in FINAL_STATUSES:
            return Ok(None)
        chunks = scan_chunks(self._table, job_id)
        if isinstance(chunks, Err):
            return Err(chunks.err_value)
        records = [chunk.record for chunk in chunks.ok_value.values()]
        if any(record.state != DONE for record in records):
            return Ok(None)
        if job.status != CANCELLING and len(records) < job.chunk_count:
            return Ok(None)
        return self._write_final(
            _build_final_job(job, records, self._clock), found.ok_value.revision
        )

    def _write_final(self, job: JobRecord, revision: int) -> Result[JobRecord | None, StoreError]:
        value = encode_record(job, uuid.uuid4().hex)
        writes = [
            Write(job_key(job.account, job.id), value, revision),
            Write(open_job_key(job.id), None, None),
        ]
        done = commit_checked(self._table, writes)
        if isinstance(done, Err):
            conflict = isinstance(done.err_value, RevisionConflict)
            return Ok(None) if conflict else Err(done.err_value)
        return Ok(job)

    def _write(self, chunk: Chunk, record: ChunkRecord) -> Result[Chunk, StoreError]:
        value = encode_record(record, uuid.uuid4().hex)
        done = commit_checked(self._table, [Write(chunk.key, value, chunk.revision)])
        return done.map(lambda revision: chunk._replace(record=record, revision=revision))

    def _write_all(self, chunks: list[Chunk]) -> Result[list[Chunk], StoreError]:
        writer = uuid.uuid4().hex
        writes = [
            Write(chunk.key, encode_record(chunk.record, writer), chunk.revision)
            for chunk in chunks
        ]
        done = commit_checked(self._table, writes)
        return done.map(lambda _: [chunk._replace(revision=chunk.revision + 1) for chunk in chunks])

    def _reread_claim(self, chunk: Chunk) -> Result[Chunk, StoreError]:
        """Read the row again, as an earlier write of this daemon may have taken effect late."""
        found = self._table.get(chunk.key)
        if isinstance(found, Err):
            return Err(found.err_value)
        row = found.ok_value
        if row is None:
            return Err(ClaimLost(f"the row {chunk.key!r} is gone"))
        record = decode_chunk(row)
        if record.fencing != chunk.record.fencing or record.state == FREE:
            return Err(ClaimLost(f"{chunk.key!r} is at fencing number {record.fencing}"))
        return Ok(chunk._replace(record=record, revision=row.revision))


def _build_final_job(job: JobRecord, records: list[ChunkRecord], clock: Clock) -> JobRecord:
    return job._replace(
        status=CANCELLED if job.status == CANCELLING else COMPLETED,
        final_at=clock.wall_time(),
        completed=sum(record.completed for record in records),
        failed=sum(record.failed for record in records),
        output_bytes=sum(record.output_bytes for record in records),
        error_bytes=sum(record.error_bytes for record in records),
    )
