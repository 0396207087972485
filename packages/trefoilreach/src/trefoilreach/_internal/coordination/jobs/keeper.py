"""Batch jobs of a deployment: acceptance, ownership, reading, ending.

Each job is run by one daemon, named in its row. When that process is lost, or has long been
cut off from the store, the live daemon that rendezvous hashing chooses takes the job over
by a conditional write of the row; a transaction of the former owner then fails.
"""

import threading
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import NamedTuple, TypeVar

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.jobs.records import (
    ENDED,
    INPUT_BYTES_IN_ROWS,
    INPUT_TABLE,
    JOB_TABLE,
    OPEN,
    PARTIAL_TABLE,
    PARTS,
    RESULT_TABLE,
    Item,
    ItemResult,
    JobRecord,
    JobRow,
    Partial,
    StoreTime,
    find_part,
    job_key,
    key_range,
    parse_items,
    read_job,
    read_partial,
    read_result,
    write_input,
    write_job,
)
from trefoilreach._internal.coordination.jobs.running import JobRun, JobTimes, JobWorld, RunLength
from trefoilreach._internal.coordination.serving.board import PEER_SILENT_SECONDS
from trefoilreach._internal.coordination.serving.online import ServingTools
from trefoilreach._internal.coordination.serving.service import Checked, ServingService
from trefoilreach._internal.coordination.serving.watch import FeedHooks, FeedWatch, Watched
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.state.rows import (
    BlobStore,
    ConditionFailed,
    Expectation,
    RowStore,
    StoredRow,
)
from trefoilreach._internal.state.serving import rank_by_hash
from trefoilreach._internal.state.table import OutcomeUnknown, StoreError

T = TypeVar("T")

_JOBS_WAIT_SECONDS = 2.0
_LOOK_SECONDS = 0.4
_RUN_THREADS = 64
# A daemon that has just started has not heard its peers yet.
_SETTLING_SECONDS = 1.2
# An owner that this daemon has not heard of yet: two daemons that do not hear each other must
# not take a job from each other at every look.
_OWNER_SETTLING_SECONDS = 3.0
# An owner without the store for this long cannot list results; another one runs the rest.
_OWNER_WITHOUT_STORE_SECONDS = 4.0
# Tries of a conditional write whose answer was lost, and the time for all of them.
_ACCEPT_SECONDS = 3.0
_ACCEPT_PAUSE_SECONDS = 0.1
_RETRY_SECONDS = 1.0
_MOST_ITEMS = 200
# What one read of results returns at most.
_READ_BYTES = 900_000
_CHANGE_TRIES = 5
_HAND_OVER_RETRY_SECONDS = 0.3


class JobTools(NamedTuple):
    """What the keeper is built from."""

    clock: Clock
    rows: RowStore
    blobs: BlobStore
    serving: ServingTools
    service: ServingService


class JobPage(NamedTuple):
    """Results of a job from a position on."""

    total: int
    results: list[ItemResult]
    next: int


class _Progress(NamedTuple):
    """What earlier owners of a job have done."""

    listed: list[ItemResult]
    partials: Mapping[str, Partial]


class JobKeeper:
    """All batch jobs that a daemon knows, and those that it runs."""

    def __init__(self, tools: JobTools) -> None:
        self.store_clock = StoreTime(tools.clock)
        self._tools = tools
        self._clock = tools.clock
        self._lock = threading.RLock()
        self._known: dict[str, JobRow] = {}
        self._runs: dict[str, JobRun] = {}
        self._taken_at: dict[str, float] = {}
        self._progress: dict[str, int] = {}
        self._progressed = threading.Condition()
        self._executor = ThreadPoolExecutor(_RUN_THREADS, thread_name_prefix="item")
        self._world = JobWorld(tools.serving, tools.rows, self._executor, RunLength())
        self._started_at = tools.clock.now()
        self._stop = threading.Event()
        identity = tools.service.exchange.identity
        self._owner = f"{identity.vm}/{identity.incarnation}"

    def start(self, stack: ExitStack) -> None:
        """Follow the jobs until the exit stack closes."""
        stack.callback(self._executor.shutdown, wait=False, cancel_futures=True)
        stack.callback(self._stop.set)
        watched = Watched(JOB_TABLE, PARTS, _JOBS_WAIT_SECONDS)
        hooks = FeedHooks(self._replace, self._change)
        FeedWatch(self._clock, self._tools.rows, watched, hooks).start(stack)
        threading.Thread(target=self._look, name="jobs", daemon=True).start()

    def progress(self) -> Mapping[str, int]:
        """Return the number of results of each job that this daemon runs."""
        with self._lock:
            return {job: run.results for job, run in self._runs.items()}

    def hear(self, progress: Mapping[str, int]) -> None:
        """Take the progress that a peer states."""
        with self._progressed:
            news = {job: n for job, n in progress.items() if n > self._progress.get(job, 0)}
            self._progress.update(news)
            if news:
                self._progressed.notify_all()

    def stop(self) -> None:
        """Give all jobs away; for a planned stop."""
        self._stop.set()
        self._hand_over()

    def finish(self, seconds: float) -> None:
        """Try again to give away what the store did not take, for some seconds at most."""
        end = self._clock.now() + seconds
        while not self._hand_over() and self._clock.now() < end:
            self._clock.sleep(_HAND_OVER_RETRY_SECONDS)

    def _hand_over(self) -> bool:
        with self._lock:
            runs = list(self._runs.values())
        settled = [run.hand_over() for run in runs]
        return all(settled)

    def submit(self, job: str, checked: Checked, data: bytes) -> None:
        """Accept a job; return once it is the system's to keep.

        :raises Refusal: when it is not accepted, or when that cannot be known.
        """
        assert checked.account is not None
        known = self._known.get(job)
        if known is not None and known.record.account == checked.account.name:
            log_event("job:resent", job=job, state=known.record.state)
            return
        try:
            items = parse_items(data)
        except ValueError as error:
            raise Refusal(400, "invalid_job", str(error)) from error
        if not 0 < len(items) <= _MOST_ITEMS:
            raise Refusal(400, "invalid_job", f"a job has 1 to {_MOST_ITEMS} items")
        self._check_room(checked, sum(item.tokens for item in items))
        record = JobRecord(
            job=job,
            account=checked.account.name,
            route=checked.route.name,
            # A daemon that stops accepts for whoever takes the job.
            owner="" if self._stop.is_set() else self._owner,
            state=OPEN,
            total=len(items),
            tokens=sum(item.tokens for item in items),
            accepted_ms=self.store_clock.now_ms(),
        )
        row = self._write_job(record, data)
        if row is not None:
            log_event(
                "job:accepted",
                job=job,
                account=record.account,
                items=len(items),
                version=row.version,
            )
            self._begin(row, items, _Progress([], {}), len(data))

    def read(self, job: str, account: str, after: int, wait: float) -> JobPage:
        """Return results from a position on, waiting for the first.

        :raises Refusal: when there is no such job, or when the store does not answer.
        """
        row = self._find(job, account)
        page = self._read_page(row, after)
        if not page.results and after < row.record.total and row.record.state == OPEN and wait > 0:
            with self._progressed:
                self._clock.wait_for(
                    self._progressed, lambda: self._progress.get(job, 0) > after, wait
                )
            page = self._read_page(row, after)
        return page

    def read_item(self, job: str, account: str, item_id: str) -> bytes:
        """Return the body of an item.

        :raises Refusal: when there is none, or when the store does not answer.
        """
        row = self._find(job, account)
        if row.record.state == OPEN:
            items, _ = _unwrap(self._load_items(row.record))
            for item in items:
                if item.id == item_id:
                    return item.body
        raise Refusal(404, "not_found", f"job {job!r} has no open item {item_id!r}")

    def end(self, job: str, account: str) -> None:
        """End a job; return once that is in the store.

        :raises Refusal: when there is no such job, or when the store does not answer.
        """
        row = self._find(job, account)
        for _ in range(_CHANGE_TRIES):
            if row.record.state != OPEN:
                break
            ended = row.record._replace(state=ENDED)
            outcome = self._commit(row, ended)
            if isinstance(outcome, Ok):
                row = outcome.ok_value
                break
            if not isinstance(outcome.err_value, ConditionFailed):
                self._clock.sleep(_ACCEPT_PAUSE_SECONDS)
            row = self._read_row(job, account)
        else:
            raise Refusal(504, "unsure", "the end may not be kept", Verdict.MAY_HAVE_RUN)
        self._learn(row)
        log_event("job:ended", job=job, account=account, version=row.version)

    def _check_room(self, checked: Checked, tokens: int) -> None:
        """Refuse a job whose tokens do not fit beside those that wait."""
        limit = checked.route.waiting_token_limit
        if not limit or checked.account is None:
            return
        with self._lock:
            waiting = sum(
                self._count_waiting(row.record)
                for row in self._known.values()
                if row.record.state == OPEN
                and row.record.account == checked.account.name
                and row.record.route == checked.route.name
            )
        if waiting + tokens > limit:
            message = f"{waiting:.0f} tokens wait, {tokens} more do not fit in {limit}"
            raise Refusal(429, "too_much_waiting", message, retry_after=_RETRY_SECONDS)

    def _count_waiting(self, record: JobRecord) -> float:
        listed = max(self._progress.get(record.job, 0), self._own_results(record.job))
        return record.tokens * (1.0 - min(1.0, listed / max(1, record.total)))

    def _own_results(self, job: str) -> int:
        run = self._runs.get(job)
        return 0 if run is None else run.results

    def _write_job(self, record: JobRecord, data: bytes) -> JobRow | None:
        """Write the rows of a new job; return None when an earlier try was accepted.

        :raises Refusal: when the job is not, or may not be, accepted.
        """
        writes = []
        if len(data) > INPUT_BYTES_IN_ROWS:
            name = f"job-{record.job}"
            stored = self._tools.blobs.put(name, data)
            if isinstance(stored, Err):
                # An object alone runs nothing.
                raise Refusal(503, "store", str(stored.err_value), retry_after=_RETRY_SECONDS)
            record = record._replace(input_blob=name)
        else:
            writes = write_input(record.job, data)
        end = self._clock.now() + _ACCEPT_SECONDS
        unsure = False
        while True:
            outcome = self._tools.rows.commit(
                [Expectation(job_key(record.job), 0)], [write_job(record), *writes]
            )
            if isinstance(outcome, Ok):
                self.store_clock.note(outcome.ok_value.store_ms)
                row = JobRow(record, outcome.ok_value.version)
                self._learn(row)
                return row
            error = outcome.err_value
            if isinstance(error, ConditionFailed):
                return self._take_existing(record, error)
            unsure = unsure or isinstance(error, OutcomeUnknown)
            log_event("job:accept-failed", job=record.job, error=str(error), unsure=unsure)
            if not unsure:
                raise Refusal(503, "store", str(error), retry_after=_RETRY_SECONDS)
            if self._clock.now() >= end:
                raise Refusal(504, "unsure", "the job may be kept", Verdict.MAY_HAVE_RUN)
            self._clock.sleep(_ACCEPT_PAUSE_SECONDS)

    def _take_existing(self, record: JobRecord, error: ConditionFailed) -> JobRow | None:
        """Return the row when this daemon's own earlier try wrote it."""
        for stored in error.rows:
            row = read_job(stored)
            if row.record.account != record.account:
                raise Refusal(400, "invalid_job", "the id belongs to another job")
            self._learn(row)
            if row.record == record:
                return row
        return None

    def _find(self, job: str, account: str) -> JobRow:
        row = self._known.get(job)
        if row is None or row.record.account != account:
            row = self._read_row(job, account)
        return row

    def _read_row(self, job: str, account: str) -> JobRow:
        """Read a job's row.

        :raises Refusal: when there is none, or when the store does not answer.
        """
        name = job_key(job)
        snapshot = _unwrap(self._tools.rows.read(name.table, name.part, job, job + "\0"))
        rows = [read_job(stored) for stored in snapshot.rows]
        if not rows or rows[0].record.account != account:
            raise Refusal(404, "not_found", f"there is no job {job!r}")
        self._learn(rows[0])
        return rows[0]

    def _read_page(self, row: JobRow, after: int) -> JobPage:
        job, total = row.record.job, row.record.total
        if after >= total:
            return JobPage(total, [], after)
        snapshot = _unwrap(
            self._tools.rows.read(RESULT_TABLE, find_part(job), *key_range(job, after))
        )
        self.store_clock.note(snapshot.store_ms)
        size = 0
        results: list[ItemResult] = []
        for stored in snapshot.rows:
            size += len(stored.value)
            if results and size > _READ_BYTES:
                break
            results.append(read_result(stored))
        if results:
            self.hear({job: after + len(results)})
        return JobPage(total, results, after + len(results))

    def _load_items(self, record: JobRecord) -> Result[tuple[list[Item], int], StoreError]:
        """Return the items of a job and the size of its document in rows."""
        if record.input_blob:
            found = self._tools.blobs.get(record.input_blob)
            return found.map(lambda data: (parse_items(data) if data else [], 0))
        key = key_range(record.job, width=3)
        read = self._tools.rows.read(INPUT_TABLE, find_part(record.job), *key)
        if isinstance(read, Err):
            return read
        data = b"".join(stored.value for stored in read.ok_value.rows)
        return Ok((parse_items(data) if data else [], len(data)))

    def _commit(self, row: JobRow, record: JobRecord) -> Result[JobRow, StoreError]:
        expected = [Expectation(job_key(record.job), row.version)]
        outcome = self._tools.rows.commit(expected, [write_job(record)])
        return outcome.map(lambda done: JobRow(record, done.version))

    def _begin(
        self, row: JobRow, items: list[Item], progress: "_Progress", input_bytes: int
    ) -> None:
        """Run a job that this daemon owns."""
        index = self._tools.service.index
        route = None if index is None else index.route_named(row.record.route)
        if route is None:
            log_event("job:no-route", job=row.record.job, route=row.record.route)
            return
        accepted = self.store_clock.to_local(row.record.accepted_ms)
        times = JobTimes(accepted + route.due_seconds, accepted + route.keep_seconds)
        listed, partials = progress
        run = JobRun(self._world, row, route, times, items, listed, partials, input_bytes)
        with self._lock:
            if self._stop.is_set() or row.record.job in self._runs:
                return
            self._runs[row.record.job] = run
        run.start()

    def _learn(self, row: JobRow) -> None:
        """Take a row that is newer than the known one."""
        with self._lock:
            known = self._known.get(row.record.job)
            if known is not None and known.version >= row.version:
                return
            if known is not None and known.record.owner != row.record.owner:
                self._taken_at[row.record.job] = self._clock.now()
            self._known[row.record.job] = row
            run = self._runs.get(row.record.job)
        if run is not None and (row.record.state == ENDED or row.record.owner != self._owner):
            run.stop(f"{row.record.state}, owner {row.record.owner}")

    def _replace(self, rows: list[StoredRow], regained: bool) -> None:
        self._change(rows)

    def _change(self, rows: list[StoredRow]) -> None:
        for stored in rows:
            if not stored.deleted:
                self._learn(read_job(stored))
            else:
                self._known.pop(stored.name.key, None)

    def _look(self) -> None:
        while not self._clock.wait(self._stop, _LOOK_SECONDS):
            try:
                self._end_runs()
                self._take_over()
            except Exception as error:
                log_event("jobs:look-failed", error=repr(error))

    def _end_runs(self) -> None:
        now = self._clock.now()
        for job, run in list(self._runs.items()):
            run.give_up_old(now)
            run.save_progress()
            if run.finished and not run.running:
                self.hear({job: run.results})
                with self._lock:
                    self._runs.pop(job, None)
                if run.lost:
                    self._known.pop(job, None)
                elif run.row.version > self._known[job].version:
                    self._learn(run.row)

    def _take_over(self) -> None:
        if self._clock.now() - self._started_at < _SETTLING_SECONDS:
            return
        service = self._tools.service
        if service.index is None or service.freshness.age > PEER_SILENT_SECONDS:
            return
        owners = self._live_owners()
        for row in self._orphans(owners):
            vms = [owner.rpartition("/")[0] for owner in owners]
            if rank_by_hash(row.record.job, vms)[0] == service.deployment.vm:
                self._take(row)

    def _live_owners(self) -> set[str]:
        """Return the daemon processes that can run jobs."""
        now = self._clock.now()
        return {self._owner} | {
            f"{peer.identity.vm}/{peer.identity.incarnation}"
            for peer in self._tools.service.exchange.peers
            if now - peer.heard_at < PEER_SILENT_SECONDS
            and not peer.statement.leaving
            and peer.statement.store_age < _OWNER_WITHOUT_STORE_SECONDS
        }

    def _orphans(self, owners: set[str]) -> Iterator[JobRow]:
        now = self._clock.now()
        for job, row in list(self._known.items()):
            if row.record.state != OPEN or job in self._runs:
                continue
            recent = now - self._taken_at.get(job, float("-inf")) < _OWNER_SETTLING_SECONDS
            lost = row.record.owner not in owners and not recent
            if lost or row.record.owner in ("", self._owner):
                yield row

    def _take(self, row: JobRow) -> None:
        """Become the owner of a job and run what is left of it."""
        record = row.record._replace(owner=self._owner)
        taken = self._commit(row, record)
        if isinstance(taken, Err):
            log_event("job:take-failed", job=record.job, error=str(taken.err_value))
            if isinstance(taken.err_value, ConditionFailed):
                for stored in taken.err_value.rows:
                    self._learn(read_job(stored))
            return
        log_event("job:taken", job=record.job, former_owner=row.record.owner)
        self._learn(taken.ok_value)
        loaded, progress = self._load_items(record), self._load_progress(record.job)
        if isinstance(loaded, Err) or isinstance(progress, Err):
            # The next look finds the job without a run and takes it again.
            log_event("job:load-failed", job=record.job)
            return
        items, size = loaded.ok_value
        self._begin(taken.ok_value, items, progress.ok_value, size)

    def _load_progress(self, job: str) -> Result["_Progress", StoreError]:
        """Return what earlier owners of a job have done."""
        part = find_part(job)
        listed = self._tools.rows.read(RESULT_TABLE, part, *key_range(job))
        begun = self._tools.rows.read(PARTIAL_TABLE, part, f"{job}/", f"{job}/~")
        if isinstance(listed, Err):
            return listed
        if isinstance(begun, Err):
            return begun
        results = [read_result(stored) for stored in listed.ok_value.rows]
        partials = [read_partial(stored) for stored in begun.ok_value.rows]
        return Ok(_Progress(results, {partial.id: partial for partial in partials}))


def _unwrap(outcome: Result[T, StoreError]) -> T:
    """Return what the store answered.

    :raises Refusal: when it did not.
    """
    if isinstance(outcome, Err):
        raise Refusal(503, "store", str(outcome.err_value), retry_after=_RETRY_SECONDS)
    return outcome.ok_value
