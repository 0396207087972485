"""Row formats of files, jobs and chunks, with the keys of rows and the names of objects."""

from typing import Any, NamedTuple

from trefoilreach._internal.state.table import Row

IN_PROGRESS = "in_progress"
CANCELLING = "cancelling"
COMPLETED = "completed"
CANCELLED = "cancelled"
FINAL_STATUSES = frozenset({COMPLETED, CANCELLED})

FREE = "free"
RUNNING = "running"
DONE = "done"

# Rows of jobs that are not final, one each, so that scans for work skip finished jobs.
OPEN_JOB_PREFIX = "open/"
JOB_PREFIX = "job/"
FILE_PREFIX = "file/"


class FileRecord(NamedTuple):
    """An uploaded file; ``created`` is wall-clock time in seconds, ``size`` is in bytes."""

    id: str
    account: str
    filename: str
    purpose: str
    size: int
    created: float
    object: str


class ModelRange(NamedTuple):
    """Chunks ``first`` to ``first + size - 1`` of a job, whose items all name ``model``."""

    model: str
    first: int
    size: int


class JobRecord(NamedTuple):
    """A batch job.

    Times are wall-clock times in seconds. Counts are numbers of items and are set when the
    job becomes final.

    :param fingerprint: hash of the request that created the job.
    :param input_prefix: common prefix of the names of the chunks' input objects.
    """

    id: str
    account: str
    fingerprint: str
    input_file: str
    endpoint: str
    window: str
    metadata: dict[str, str]
    created: float
    deadline: float
    total: int
    ranges: tuple[ModelRange, ...]
    input_prefix: str
    status: str = IN_PROGRESS
    cancelling_at: float | None = None
    final_at: float | None = None
    completed: int = 0
    failed: int = 0
    output_bytes: int = 0
    error_bytes: int = 0

    @property
    def chunk_count(self) -> int:
        """Number of chunks."""
        return sum(entry.size for entry in self.ranges)


class ChunkRecord(NamedTuple):
    """One chunk of a job; a chunk without a row is free and was never claimed.

    :param fencing: fencing number, which increases with each claim.
    :param result: name of the object with the output lines, then the error lines; final in
        state ``done``, otherwise the progress that an earlier owner stored.
    :param output_bytes: length of the output lines in the result object.
    :param suspects: number of worker crashes by item number, for items in flight at a crash.
    :param progress: items completed and failed as counted in the owner's memory, for
        display only.
    """

    state: str
    owner: str = ""
    fencing: int = 0
    result: str = ""
    completed: int = 0
    failed: int = 0
    output_bytes: int = 0
    error_bytes: int = 0
    suspects: dict[str, int] = {}  # noqa: RUF012 - never mutated
    progress: tuple[int, int] = (0, 0)

    @property
    def displayed_completed(self) -> int:
        """Items completed so far, also in the owner's memory."""
        return max(self.completed, self.progress[0]) if self.state == RUNNING else self.completed

    @property
    def displayed_failed(self) -> int:
        """Items failed so far, also in the owner's memory."""
        return max(self.failed, self.progress[1]) if self.state == RUNNING else self.failed


class OpenJob(NamedTuple):
    """The part of a job's record that its runners need, stored until the job is final.

    ``created`` and ``deadline`` are wall-clock times in seconds.
    """

    id: str
    account: str
    created: float
    deadline: float
    ranges: tuple[ModelRange, ...]
    input_prefix: str
    endpoint: str
    total: int
    cancelling: bool = False

    @property
    def chunk_count(self) -> int:
        """Number of chunks."""
        return sum(entry.size for entry in self.ranges)


def file_key(account: str, file_id: str) -> str:
    """Return the key of a file's row."""
    return f"{FILE_PREFIX}{account}/{file_id}"


def job_key(account: str, job_id: str) -> str:
    """Return the key of a job's row."""
    return f"{JOB_PREFIX}{account}/{job_id}"


def open_job_key(job_id: str) -> str:
    """Return the key of the row that a job has until it is final."""
    return f"{OPEN_JOB_PREFIX}{job_id}"


def chunk_prefix(job_id: str) -> str:
    """Return the prefix of the rows of a job's chunks."""
    return f"chunk/{job_id}/"


def chunk_key(job_id: str, index: int) -> str:
    """Return the key of a chunk's row; keys sort by index."""
    return f"{chunk_prefix(job_id)}{index:06d}"


def chunk_index(key: str) -> int:
    """Return the index of a chunk from the key of its row."""
    return int(key.rpartition("/")[2])


def file_object(account: str, file_id: str) -> str:
    """Return the name of an uploaded file's object."""
    return f"files/{account}/{file_id}"


def inputs_prefix(job_id: str) -> str:
    """Return the common prefix of the names of a job's input objects."""
    return f"jobs/{job_id}/"


def results_prefix(job_id: str) -> str:
    """Return the common prefix of the names of a job's result objects."""
    return f"results/{job_id}/"


def input_object(prefix: str, index: int) -> str:
    """Return the name of a chunk's input object."""
    return f"{prefix}{index:06d}"


def result_object(job_id: str, index: int, fencing: int, writer: str) -> str:
    """Return the name of the result object that one claim of a chunk writes."""
    return f"{results_prefix(job_id)}{index:06d}-{fencing}-{writer}"


def encode_record(record: Any, writer: str = "") -> dict[str, Any]:
    """Return the row value of a record.

    :param writer: unique value that identifies the write when it is read back.
    """
    fields = record._asdict()
    if "ranges" in fields:
        fields["ranges"] = [[*entry] for entry in fields["ranges"]]
    return {**fields, "writer": writer}


def decode_file(row: Row) -> FileRecord:
    """Decode a file's row."""
    return FileRecord(**_select_fields(FileRecord, row))


def decode_job(row: Row) -> JobRecord:
    """Decode a job's row."""
    return JobRecord(**_decode_ranges(_select_fields(JobRecord, row)))


def decode_open_job(row: Row) -> OpenJob:
    """Decode the row of a job that is not final."""
    return OpenJob(**_decode_ranges(_select_fields(OpenJob, row)))


def decode_chunk(row: Row) -> ChunkRecord:
    """Decode a chunk's row."""
    return ChunkRecord(**_select_fields(ChunkRecord, row))


def make_open_job(job: JobRecord) -> OpenJob:
    """Return the part of a job's record that its runners need."""
    return OpenJob(
        id=job.id,
        account=job.account,
        created=job.created,
        deadline=job.deadline,
        ranges=job.ranges,
        input_prefix=job.input_prefix,
        endpoint=job.endpoint,
        total=job.total,
        cancelling=job.status == CANCELLING,
    )


def _select_fields(kind: Any, row: Row) -> dict[str, Any]:
    return {name: row.value[name] for name in kind._fields if name in row.value}


def _decode_ranges(fields: dict[str, Any]) -> dict[str, Any]:
    return {**fields, "ranges": tuple(ModelRange(*entry) for entry in fields["ranges"])}
