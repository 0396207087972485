"""Accepts batch jobs: each once in the deployment, and stored completely before the reply."""

from collections.abc import Callable

from result import Err, Ok

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.jobs.job_table import (
    STORE_RETRY_SECONDS,
    JobTable,
    store_refusal,
)
from trefoilreach._internal.coordination.jobs.object_names import name_input, store_object
from trefoilreach._internal.coordination.jobs.records import (
    MAX_INPUT_BYTES_IN_ROWS,
    MAX_JOB_ID_BYTES,
    OPEN,
    Item,
    JobRecord,
    JobRow,
    JobTarget,
    input_writes,
    job_key,
    job_write,
    parse_items,
    parse_job,
    target_write,
)
from trefoilreach._internal.coordination.serving.service import CheckedRequest
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.state.rows import ConditionFailed, RowPrecondition
from trefoilreach._internal.state.table import OutcomeUnknown

# A conditional write whose answer was lost is repeated at this interval, until the timeout.
_ACCEPT_TIMEOUT_SECONDS = 3.0
_ACCEPT_RETRY_SECONDS = 0.1
_MAX_ITEMS = 200


class JobAcceptance:
    """Checks a submitted job and writes it to the store.

    :param count_results: returns the number of listed results of a job, as far as known.
    """

    def __init__(self, clock: Clock, table: JobTable, count_results: Callable[[str], int]) -> None:
        self._clock = clock
        self._table = table
        self._count_results = count_results

    def accept(
        self, job: str, checked: CheckedRequest, data: bytes, owner: str
    ) -> tuple[JobRow, list[Item]] | None:
        """Store a new job; return it with its items, or None when it was accepted before.

        :raises Refusal: when the job is not accepted, or when the outcome is unknown.
        """
        assert checked.account is not None
        _check_id(job)
        known = self._table.get(job)
        if known is not None and known.record.account == checked.account.name:
            log_event("job:resent", job=job, state=known.record.state)
            return None
        items = _check_items(data)
        tokens = sum(item.tokens for item in items)
        self._check_waiting_tokens(checked, tokens)
        record = JobRecord(
            job=job,
            account=checked.account.name,
            route=checked.route.name,
            owner=owner,
            state=OPEN,
            total=len(items),
            tokens=tokens,
            accepted_ms=self._table.store_clock.latest_now_ms(),
        )
        row = self._write(record, JobTarget(checked.host, checked.path), data)
        if row is None:
            return None
        log_event(
            "job:accepted",
            job=job,
            account=record.account,
            items=len(items),
            version=row.version,
        )
        return row, items

    def _check_waiting_tokens(self, checked: CheckedRequest, tokens: int) -> None:
        """Enforce the route's limit on the account's waiting tokens.

        :raises Refusal: when the job would exceed it.
        """
        limit = checked.route.waiting_token_limit
        if not limit or checked.account is None:
            return
        waiting = sum(
            self._estimate_waiting_tokens(row.record)
            for row in self._table.known_rows()
            if row.record.state == OPEN
            and row.record.account == checked.account.name
            and row.record.route == checked.route.name
        )
        if waiting + tokens > limit:
            message = f"{waiting:.0f} tokens are waiting, {tokens} more exceed the limit of {limit}"
            raise Refusal(429, "too_much_waiting", message, retry_after=STORE_RETRY_SECONDS)

    def _estimate_waiting_tokens(self, record: JobRecord) -> float:
        listed = self._count_results(record.job)
        return record.tokens * (1.0 - min(1.0, listed / max(1, record.total)))

    def _write(self, record: JobRecord, target: JobTarget, data: bytes) -> JobRow | None:
        """Write the rows of a new job; return None when an earlier attempt was accepted.

        :raises Refusal: when the job is not accepted, or when the outcome is unknown.
        """
        writes = [target_write(record.job, target)]
        if len(data) > MAX_INPUT_BYTES_IN_ROWS:
            name = name_input(record.account, record.job, data)
            stored = store_object(self._table.blobs, name, data)
            if isinstance(stored, Err):
                # The job's row is not written yet, so the job cannot run even if the
                # object was stored.
                raise store_refusal(stored.err_value)
            record = record._replace(input_blob=stored.ok_value)
        else:
            writes += input_writes(record.job, data)
        deadline = self._clock.now() + _ACCEPT_TIMEOUT_SECONDS
        outcome_unknown = False
        while True:
            asked_at = self._clock.now()
            outcome = self._table.rows.commit(
                [RowPrecondition(job_key(record.job), 0)], [job_write(record), *writes]
            )
            if isinstance(outcome, Ok):
                self._table.store_clock.update(outcome.ok_value.store_ms, asked_at)
                row = JobRow(record, outcome.ok_value.version)
                self._table.apply_row(row)
                return row
            error = outcome.err_value
            if isinstance(error, ConditionFailed):
                return self._resolve_existing(record, error)
            outcome_unknown = outcome_unknown or isinstance(error, OutcomeUnknown)
            log_event("job:accept-failed", job=record.job, error=str(error), unsure=outcome_unknown)
            if not outcome_unknown:
                raise store_refusal(error)
            if self._clock.now() >= deadline:
                raise Refusal(504, "unsure", "the job may have been stored", Verdict.MAY_HAVE_RUN)
            self._clock.sleep(_ACCEPT_RETRY_SECONDS)

    def _resolve_existing(self, record: JobRecord, error: ConditionFailed) -> JobRow | None:
        """Return the existing row if this call wrote it in an earlier attempt, else None.

        :raises Refusal: when the job belongs to another account, or when the row is malformed.
        """
        for stored in error.rows:
            try:
                row = parse_job(stored)
            except ValueError as malformed:
                message = "the stored job cannot be read"
                raise Refusal(504, "unsure", message, Verdict.MAY_HAVE_RUN) from malformed
            if row.record.account != record.account:
                raise Refusal(400, "invalid_job", "the id belongs to another job")
            self._table.apply_row(row)
            if row.record == record:
                return row
        return None


def _check_id(job: str) -> None:
    """Check the id of a submitted job.

    :raises Refusal: when the store cannot hold it.
    """
    size = len(job.encode())
    if not 0 < size <= MAX_JOB_ID_BYTES:
        message = f"the id of a job has 1 to {MAX_JOB_ID_BYTES} bytes, this one has {size}"
        raise Refusal(400, "invalid_job", message)


def _check_items(data: bytes) -> list[Item]:
    """Return the items of a submitted document.

    :raises Refusal: when the document is malformed or has too few or too many items.
    """
    try:
        items = parse_items(data)
    except ValueError as error:
        raise Refusal(400, "invalid_job", str(error)) from error
    if not 0 < len(items) <= _MAX_ITEMS:
        raise Refusal(400, "invalid_job", f"a job has 1 to {_MAX_ITEMS} items")
    return items
