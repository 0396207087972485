"""Accepts files and batch jobs: writes objects, inserts rows in one conditional commit, answers."""

import hashlib
import uuid
from typing import NamedTuple

import orjson
from result import Err

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch.input import ChunkInput, split_input
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.protocol.verdict import (
    Refusal,
    Verdict,
    build_bad_request_refusal,
    build_unavailable_refusal,
)
from trefoilreach._internal.state.commits import commit_checked
from trefoilreach._internal.state.config import Account
from trefoilreach._internal.state.jobs import (
    FileRecord,
    JobRecord,
    ModelRange,
    decode_file,
    decode_job,
    encode_record,
    file_key,
    file_object,
    input_object,
    inputs_prefix,
    job_key,
    make_open_job,
    open_job_key,
)
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import (
    OutcomeUnknown,
    RevisionConflict,
    StoreError,
    TableService,
    Write,
)

_STORE_RETRY_SECONDS = 2.0
_UNIT_SECONDS = {"m": 60.0, "h": 3600.0, "d": 86400.0}


class Upload(NamedTuple):
    """A file as the caller sent it."""

    filename: str
    purpose: str
    data: bytes


class JobRequest(NamedTuple):
    """A checked request for a batch job."""

    input_file: str
    endpoint: str
    window: str
    metadata: dict[str, str]

    @property
    def fingerprint(self) -> str:
        """Hash that identifies a resent request."""
        fields = [self.input_file, self.endpoint, self.window, sorted(self.metadata.items())]
        return hashlib.sha256(orjson.dumps(fields)).hexdigest()


def parse_window(window: str) -> float:
    """Return the seconds of a completion window such as ``24h``.

    :raises Refusal: 400 when the text is not a valid window.
    """
    number, unit = window[:-1], window[-1:]
    if unit in _UNIT_SECONDS and number.isdigit() and 0 < int(number) <= 10_000:
        return int(number) * _UNIT_SECONDS[unit]
    message = "'completion_window' must be a whole number and one of m, h, d, for example '24h'"
    raise build_bad_request_refusal(message, "completion_window")


def build_store_refusal(error: StoreError) -> Refusal:
    """Return the refusal for a store that did not answer."""
    if isinstance(error, OutcomeUnknown):
        message = f"the store's answer was lost: {error}"
        return Refusal(503, "unavailable", message, Verdict.MAY_HAVE_RUN, _STORE_RETRY_SECONDS)
    return build_unavailable_refusal(f"the store is not available: {error}", _STORE_RETRY_SECONDS)


class BatchAcceptor:
    """Accepts files and jobs of client accounts."""

    def __init__(
        self,
        clock: Clock,
        table: TableService,
        objects: ObjectStore,
        config: ActiveConfig,
        chunk_items: int,
    ) -> None:
        self._clock = clock
        self._table = table
        self._objects = objects
        self._config = config
        self._chunk_items = chunk_items

    def accept_file(
        self, account: Account, upload: Upload, idempotency_key: str | None = None
    ) -> FileRecord:
        """Store a file.

        :raises Refusal: 503 when the store does not answer.
        """
        file_id = f"file-{_derive_id(account, idempotency_key or uuid.uuid4().hex)}"
        name = f"{file_object(account.name, file_id)}-{uuid.uuid4().hex}"
        record = FileRecord(
            id=file_id,
            account=account.name,
            filename=upload.filename,
            purpose=upload.purpose,
            size=len(upload.data),
            created=self._clock.wall_time(),
            object=name,
        )
        self._put(name, upload.data)
        value = encode_record(record, uuid.uuid4().hex)
        done = commit_checked(self._table, [Write(file_key(account.name, file_id), value, 0)])
        if isinstance(done, Err):
            if not isinstance(done.err_value, RevisionConflict):
                raise build_store_refusal(done.err_value)
            return self._find_resent_file(record, upload)
        return record

    def accept_job(
        self, account: Account, request: JobRequest, idempotency_key: str | None = None
    ) -> JobRecord:
        """Accept a job, or return the one that an earlier copy of the request created.

        Without an idempotency key the request itself is the key.

        :raises Refusal: names the fault; the job was not accepted unless the verdict says
            that it may have been.
        """
        found = self.find_resent(account, request, idempotency_key)
        if found is not None:
            return found
        chunks = self._split(account, request)
        writer = uuid.uuid4().hex
        job = self._build_job(account, request, idempotency_key, chunks, writer)
        for index, chunk in enumerate(chunks):
            self._put(input_object(job.input_prefix, index), b"\n".join(chunk.lines))
        return self._insert(job, writer)

    def find_resent(
        self, account: Account, request: JobRequest, idempotency_key: str | None
    ) -> JobRecord | None:
        """Return the job that an earlier copy of this request created, if there is one."""
        job_id = self._derive_job_id(account, request, idempotency_key)
        found = self._table.get(job_key(account.name, job_id))
        if isinstance(found, Err):
            raise build_store_refusal(found.err_value)
        if found.ok_value is None:
            return None
        return _check_fingerprint(decode_job(found.ok_value), request.fingerprint)

    def _derive_job_id(
        self, account: Account, request: JobRequest, idempotency_key: str | None
    ) -> str:
        source = f"body:{request.fingerprint}"
        if idempotency_key is not None:
            source = f"key:{idempotency_key}"
        return f"batch_{_derive_id(account, source)}"

    def _split(self, account: Account, request: JobRequest) -> list[ChunkInput]:
        data = self._read_file(account, request.input_file)
        view = self._config.view
        return split_input(data, request.endpoint, view, account, self._chunk_items)

    def _build_job(
        self,
        account: Account,
        request: JobRequest,
        idempotency_key: str | None,
        chunks: list[ChunkInput],
        writer: str,
    ) -> JobRecord:
        job_id = self._derive_job_id(account, request, idempotency_key)
        now = self._clock.wall_time()
        return JobRecord(
            id=job_id,
            account=account.name,
            fingerprint=request.fingerprint,
            input_file=request.input_file,
            endpoint=request.endpoint,
            window=request.window,
            metadata=request.metadata,
            created=now,
            deadline=now + self._limit_window(parse_window(request.window), chunks),
            total=sum(len(chunk.lines) for chunk in chunks),
            ranges=_group_ranges(chunks),
            input_prefix=f"{inputs_prefix(job_id)}{writer}/",
        )

    def _limit_window(self, seconds: float, chunks: list[ChunkInput]) -> float:
        view = self._config.view
        names = {view.routes[chunk.model].work_class for chunk in chunks}
        classes = [view.classes[name] for name in names if name in view.classes]
        limits = [entry.deadline_seconds for entry in classes if entry.kind == "batch"]
        return min([seconds, *limits])

    def _insert(self, job: JobRecord, writer: str) -> JobRecord:
        writes = [
            Write(job_key(job.account, job.id), encode_record(job, writer), 0),
            Write(open_job_key(job.id), encode_record(make_open_job(job), writer), 0),
        ]
        done = commit_checked(self._table, writes)
        if not isinstance(done, Err):
            return job
        if not isinstance(done.err_value, RevisionConflict):
            raise build_store_refusal(done.err_value)
        found = self._table.get(job_key(job.account, job.id))
        if isinstance(found, Err) or found.ok_value is None:
            raise build_unavailable_refusal("another sending of this job is being accepted", 1.0)
        return _check_fingerprint(decode_job(found.ok_value), job.fingerprint)

    def _read_file(self, account: Account, file_id: str) -> bytes:
        found = self._table.get(file_key(account.name, file_id))
        if isinstance(found, Err):
            raise build_store_refusal(found.err_value)
        if found.ok_value is None:
            message = f"the file {file_id!r} does not exist"
            raise Refusal(404, "file_not_found", message, param="input_file_id")
        record = decode_file(found.ok_value)
        if record.purpose != "batch":
            message = f"the file {file_id!r} was not uploaded with purpose 'batch'"
            raise build_bad_request_refusal(message, "input_file_id")
        data = self._objects.get(record.object)
        if isinstance(data, Err):
            raise build_store_refusal(data.err_value)
        if data.ok_value is None:
            raise build_unavailable_refusal(
                "the file's object cannot be read", _STORE_RETRY_SECONDS
            )
        return data.ok_value

    def _find_resent_file(self, sent: FileRecord, upload: Upload) -> FileRecord:
        found = self._table.get(file_key(sent.account, sent.id))
        if isinstance(found, Err) or found.ok_value is None:
            raise build_unavailable_refusal("the file's row cannot be read", _STORE_RETRY_SECONDS)
        record = decode_file(found.ok_value)
        data = self._objects.get(record.object)
        if isinstance(data, Err):
            raise build_store_refusal(data.err_value)
        if data.ok_value != upload.data:
            raise _refuse_changed_body()
        return record

    def _put(self, name: str, data: bytes) -> None:
        stored = self._objects.put(name, data)
        if isinstance(stored, Err):
            # No row refers to the object yet, so the request as a whole did not run.
            message = f"the object store is not available: {stored.err_value}"
            raise build_unavailable_refusal(message, _STORE_RETRY_SECONDS)


def _derive_id(account: Account, source: str) -> str:
    text = f"{account.name}\n{source}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _check_fingerprint(job: JobRecord, fingerprint: str) -> JobRecord:
    if job.fingerprint != fingerprint:
        raise _refuse_changed_body()
    return job


def _refuse_changed_body() -> Refusal:
    message = "the Idempotency-Key was used before with another body"
    return Refusal(409, "idempotency_conflict", message)


def _group_ranges(chunks: list[ChunkInput]) -> tuple[ModelRange, ...]:
    ranges: list[ModelRange] = []
    for index, chunk in enumerate(chunks):
        if ranges and ranges[-1].model == chunk.model:
            ranges[-1] = ranges[-1]._replace(size=ranges[-1].size + 1)
        else:
            ranges.append(ModelRange(chunk.model, index, 1))
    return tuple(ranges)
