"""Accepts batch jobs: once over all daemons, whole before the acknowledgement."""

from collections.abc import Callable

from result import Err, Ok

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.jobs.records import (
    INPUT_BYTES_IN_ROWS,
    OPEN,
    Item,
    JobRecord,
    JobRow,
    job_key,
    parse_items,
    read_job,
    write_input,
    write_job,
)
from trefoilreach._internal.coordination.jobs.table import (
    STORE_RETRY_SECONDS,
    JobTable,
    refuse_store,
)
from trefoilreach._internal.coordination.serving.service import Checked
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.state.rows import ConditionFailed, Expectation
from trefoilreach._internal.state.table import OutcomeUnknown

# Tries of a conditional write whose answer was lost, and the time for all of them.
_ACCEPT_SECONDS = 3.0
_ACCEPT_PAUSE_SECONDS = 0.1
_MOST_ITEMS = 200


class JobAcceptance:
    """Checks a submitted job and writes it to the store.

    :param count_results: returns how many results of a job are listed, as far as known.
    """

    def __init__(self, clock: Clock, table: JobTable, count_results: Callable[[str], int]) -> None:
        self._clock = clock
        self._table = table
        self._count_results = count_results

    def accept(
        self, job: str, checked: Checked, data: bytes, owner: str
    ) -> tuple[JobRow, list[Item]] | None:
        """Write a job; return it with its items, or None when it was accepted before.

        :raises Refusal: when it is not accepted, or when that cannot be known.
        """
        assert checked.account is not None
        known = self._table.get(job)
        if known is not None and known.record.account == checked.account.name:
            log_event("job:resent", job=job, state=known.record.state)
            return None
        items = _check_items(data)
        tokens = sum(item.tokens for item in items)
        self._check_room(checked, tokens)
        record = JobRecord(
            job=job,
            account=checked.account.name,
            route=checked.route.name,
            owner=owner,
            state=OPEN,
            total=len(items),
            tokens=tokens,
            accepted_ms=self._table.store_clock.now_ms(),
        )
        row = self._write(record, data)
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

    def _check_room(self, checked: Checked, tokens: int) -> None:
        """Refuse a job whose tokens do not fit beside those that wait."""
        limit = checked.route.waiting_token_limit
        if not limit or checked.account is None:
            return
        waiting = sum(
            self._count_waiting(row.record)
            for row in self._table.known()
            if row.record.state == OPEN
            and row.record.account == checked.account.name
            and row.record.route == checked.route.name
        )
        if waiting + tokens > limit:
            message = f"{waiting:.0f} tokens wait, {tokens} more do not fit in {limit}"
            raise Refusal(429, "too_much_waiting", message, retry_after=STORE_RETRY_SECONDS)

    def _count_waiting(self, record: JobRecord) -> float:
        listed = self._count_results(record.job)
        return record.tokens * (1.0 - min(1.0, listed / max(1, record.total)))

    def _write(self, record: JobRecord, data: bytes) -> JobRow | None:
        """Write the rows of a new job; return None when an earlier try was accepted.

        :raises Refusal: when the job is not, or may not be, accepted.
        """
        writes = []
        if len(data) > INPUT_BYTES_IN_ROWS:
            name = f"job-{record.job}"
            stored = self._table.blobs.put(name, data)
            if isinstance(stored, Err):
                # An object alone runs nothing.
                raise refuse_store(stored.err_value)
            record = record._replace(input_blob=name)
        else:
            writes = write_input(record.job, data)
        end = self._clock.now() + _ACCEPT_SECONDS
        unsure = False
        while True:
            outcome = self._table.rows.commit(
                [Expectation(job_key(record.job), 0)], [write_job(record), *writes]
            )
            if isinstance(outcome, Ok):
                self._table.store_clock.note(outcome.ok_value.store_ms)
                row = JobRow(record, outcome.ok_value.version)
                self._table.learn(row)
                return row
            error = outcome.err_value
            if isinstance(error, ConditionFailed):
                return self._take_existing(record, error)
            unsure = unsure or isinstance(error, OutcomeUnknown)
            log_event("job:accept-failed", job=record.job, error=str(error), unsure=unsure)
            if not unsure:
                raise refuse_store(error)
            if self._clock.now() >= end:
                raise Refusal(504, "unsure", "the job may be kept", Verdict.MAY_HAVE_RUN)
            self._clock.sleep(_ACCEPT_PAUSE_SECONDS)

    def _take_existing(self, record: JobRecord, error: ConditionFailed) -> JobRow | None:
        """Return the row when this daemon's own earlier try wrote it."""
        for stored in error.rows:
            row = read_job(stored)
            if row.record.account != record.account:
                raise Refusal(400, "invalid_job", "the id belongs to another job")
            self._table.learn(row)
            if row.record == record:
                return row
        return None


def _check_items(data: bytes) -> list[Item]:
    """Return the items of a submitted document.

    :raises Refusal: when it is not one.
    """
    try:
        items = parse_items(data)
    except ValueError as error:
        raise Refusal(400, "invalid_job", str(error)) from error
    if not 0 < len(items) <= _MOST_ITEMS:
        raise Refusal(400, "invalid_job", f"a job has 1 to {_MOST_ITEMS} items")
    return items
