"""Reads files, jobs and results for the client account that owns them."""

from collections.abc import Iterator
from typing import NamedTuple

from result import Err

from trefoilreach._internal.coordination.batch.accept import build_store_refusal
from trefoilreach._internal.coordination.batch.chunks import scan_chunks
from trefoilreach._internal.protocol.verdict import Refusal, build_unavailable_refusal
from trefoilreach._internal.state.jobs import (
    DONE,
    FINAL_STATUSES,
    FileRecord,
    JobRecord,
    decode_file,
    decode_job,
    file_key,
    job_key,
)
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import Row, TableService

OUTPUT = "output"
ERROR = "error"
_STORE_RETRY_SECONDS = 2.0


class JobView(NamedTuple):
    """A job with its counts so far, and the ids of its result files (None when empty)."""

    job: JobRecord
    completed: int
    failed: int
    output_file: str | None
    error_file: str | None


class ResultFile(NamedTuple):
    """The output or error file of a final job; ``size`` in bytes."""

    id: str
    kind: str
    job: JobRecord

    @property
    def size(self) -> int:
        """Length in bytes."""
        return self.job.output_bytes if self.kind == OUTPUT else self.job.error_bytes


class BatchReader:
    """Reads for client accounts; data of other accounts is reported as not found."""

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    def find_file(self, account: str, file_id: str) -> FileRecord:
        """Return an uploaded file.

        :raises Refusal: 404 when the account has no such file.
        """
        row = self._get(file_key(account, file_id))
        if row is None:
            raise Refusal(404, "file_not_found", f"the file {file_id!r} does not exist")
        return decode_file(row)

    def find_job(self, account: str, job_id: str) -> JobRecord:
        """Return a job.

        :raises Refusal: 404 when the account has no such job.
        """
        row = self._get(job_key(account, job_id))
        if row is None:
            raise Refusal(404, "batch_not_found", f"the batch {job_id!r} does not exist")
        return decode_job(row)

    def list_jobs(self, account: str, after: str, limit: int) -> list[JobRecord]:
        """Return jobs in order of id."""
        prefix = job_key(account, "")
        rows = self._table.scan(prefix, prefix + after if after else "", limit)
        if isinstance(rows, Err):
            raise build_store_refusal(rows.err_value)
        return [decode_job(row) for row in rows.ok_value]

    def build_view(self, job: JobRecord) -> JobView:
        """Return a job with its counts: from its row when it is final, else from its chunks."""
        completed, failed = job.completed, job.failed
        if job.status not in FINAL_STATUSES:
            chunks = scan_chunks(self._table, job.id)
            if isinstance(chunks, Err):
                raise build_store_refusal(chunks.err_value)
            records = [chunk.record for chunk in chunks.ok_value.values()]
            completed = sum(record.displayed_completed for record in records)
            failed = sum(record.displayed_failed for record in records)
        output = result_file_id(job.id, OUTPUT) if job.output_bytes else None
        error = result_file_id(job.id, ERROR) if job.error_bytes else None
        return JobView(job, completed, failed, output, error)

    def find_result(self, account: str, file_id: str) -> ResultFile | None:
        """Return the result file with this id, or None when the id is not that of a result.

        :raises Refusal: 404 when the account has no such result file.
        """
        prefix, _, kind = file_id.rpartition("-")
        if kind not in (OUTPUT, ERROR) or not prefix.startswith("file-"):
            return None
        job_id = f"batch_{prefix.removeprefix('file-')}"
        row = self._get(job_key(account, job_id))
        result = None if row is None else ResultFile(file_id, kind, decode_job(row))
        if result is None or result.job.status not in FINAL_STATUSES or not result.size:
            raise Refusal(404, "file_not_found", f"the file {file_id!r} does not exist")
        return result

    def read_result(self, result: ResultFile) -> Iterator[bytes]:
        """Yield the lines of a result file, chunk by chunk."""
        chunks = scan_chunks(self._table, result.job.id)
        if isinstance(chunks, Err):
            raise build_store_refusal(chunks.err_value)
        for chunk in chunks.ok_value.values():
            record = chunk.record
            if record.state != DONE or not record.result:
                continue
            data = self._read(record.result)
            output_size = record.output_bytes
            yield data[:output_size] if result.kind == OUTPUT else data[output_size:]

    def read_upload(self, record: FileRecord) -> Iterator[bytes]:
        """Yield the content of an uploaded file."""
        yield self._read(record.object)

    def _get(self, key: str) -> Row | None:
        found = self._table.get(key)
        if isinstance(found, Err):
            raise build_store_refusal(found.err_value)
        return found.ok_value

    def _read(self, name: str) -> bytes:
        found = self._objects.get(name)
        if isinstance(found, Err):
            raise build_store_refusal(found.err_value)
        if found.ok_value is None:
            raise build_unavailable_refusal(
                f"the object {name!r} cannot be read", _STORE_RETRY_SECONDS
            )
        return found.ok_value


def result_file_id(job_id: str, kind: str) -> str:
    """Return the id of a job's output or error file."""
    return f"file-{job_id.removeprefix('batch_')}-{kind}"
