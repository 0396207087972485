"""Batch jobs of a deployment: who runs them, and the calls for them.

Each job is run by one daemon, named in its row. When that process is lost, or has long been
cut off from the store, the live daemon that rendezvous hashing chooses takes the job over
by a conditional write of the row; a transaction of the former owner then fails.
"""

import threading
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import NamedTuple

from result import Err, Ok

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.jobs.acceptance import JobAcceptance
from trefoilreach._internal.coordination.jobs.records import ENDED, OPEN, Item, JobRow, read_job
from trefoilreach._internal.coordination.jobs.running import JobRun, JobTimes, JobWorld, RunLength
from trefoilreach._internal.coordination.jobs.table import JobPage, JobTable, Progress, unwrap
from trefoilreach._internal.coordination.serving.board import PEER_SILENT_SECONDS
from trefoilreach._internal.coordination.serving.request import ServingTools
from trefoilreach._internal.coordination.serving.service import Checked, ServingService
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.state.rows import BlobStore, ConditionFailed, RowStore
from trefoilreach._internal.state.serving import rank_by_hash

_LOOK_SECONDS = 0.4
_RUN_THREADS = 64
# A daemon that has just started has not heard its peers yet.
_SETTLING_SECONDS = 1.2
# An owner that this daemon has not heard of yet: two daemons that do not hear each other must
# not take a job from each other at every look.
_OWNER_SETTLING_SECONDS = 3.0
# An owner without the store for this long cannot list results; another one runs the rest.
_OWNER_WITHOUT_STORE_SECONDS = 4.0
_CHANGE_TRIES = 5
_CHANGE_PAUSE_SECONDS = 0.1
_HAND_OVER_RETRY_SECONDS = 0.3


class JobTools(NamedTuple):
    """What the keeper is built from."""

    clock: Clock
    rows: RowStore
    blobs: BlobStore
    serving: ServingTools
    service: ServingService


class JobKeeper:
    """All batch jobs that a daemon knows, and those that it runs."""

    def __init__(self, tools: JobTools) -> None:
        self.table = JobTable(tools.clock, tools.rows, tools.blobs)
        self.table.changed = self._take_news
        self._acceptance = JobAcceptance(tools.clock, self.table, self._count_results)
        self._tools = tools
        self._clock = tools.clock
        self._lock = threading.RLock()
        self._runs: dict[str, JobRun] = {}
        # Jobs whose rows may be there before their acceptance is known here.
        self._accepting: set[str] = set()
        self._progress: dict[str, int] = {}
        self._progressed = threading.Condition()
        self._handed_over = threading.Condition()
        # When the last round began that left no job here.
        self._handed_over_at = float("-inf")
        self._executor = ThreadPoolExecutor(_RUN_THREADS, thread_name_prefix="item")
        self._world = JobWorld(tools.serving, tools.rows, tools.blobs, self._executor, RunLength())
        self._started_at = tools.clock.now()
        self._stop = threading.Event()
        identity = tools.service.exchange.identity
        self._owner = f"{identity.vm}/{identity.incarnation}"

    def start(self, stack: ExitStack) -> None:
        """Follow the jobs until the exit stack closes."""
        stack.callback(self._executor.shutdown, wait=False, cancel_futures=True)
        stack.callback(self._stop.set)
        self.table.start(stack)
        threading.Thread(target=self._look, name="jobs", daemon=True).start()

    def progress(self) -> Mapping[str, int]:
        """Return the number of results of each job that this daemon runs."""
        with self._lock:
            return {job: run.results for job, run in self._runs.items()}

    def hear(self, progress: Mapping[str, int]) -> None:
        """Take the progress that a peer states."""
        if not progress:
            return
        with self._progressed:
            news = {job: n for job, n in progress.items() if n > self._progress.get(job, 0)}
            self._progress.update(news)
            if news:
                self._progressed.notify_all()

    def stop(self) -> None:
        """Begin to give all jobs away; for a planned stop."""
        self._stop.set()
        threading.Thread(target=self._hand_over, name="jobs-hand-over", daemon=True).start()

    def finish(self, seconds: float) -> bool:
        """Wait until all jobs are given away; return whether they are.

        :param seconds: limit of the wait.
        """
        asked_at = self._clock.now()
        with self._handed_over:
            return self._clock.wait_for(
                self._handed_over, lambda: self._handed_over_at >= asked_at, max(0.0, seconds)
            )

    def _hand_over(self) -> None:
        """Give jobs away again and again, as one may be accepted while the daemon stops.

        A silent store holds each call for its whole time-out, so that a stop must not wait for
        the calls for all jobs.
        """
        while True:
            begun_at = self._clock.now()
            with self._lock:
                runs = list(self._runs.values())
            for run in runs:
                run.suspend()
            settled = [run.hand_over() for run in runs]
            if all(settled):
                with self._handed_over:
                    self._handed_over_at = begun_at
                    self._handed_over.notify_all()
            self._clock.sleep(_HAND_OVER_RETRY_SECONDS)

    def submit(self, job: str, checked: Checked, data: bytes) -> None:
        """Accept a job; return once it is the system's to keep.

        :raises Refusal: when it is not accepted, or when that cannot be known.
        """
        # A daemon that stops accepts for whoever takes the job.
        owner = "" if self._stop.is_set() else self._owner
        with self._lock:
            self._accepting.add(job)
        try:
            accepted = self._acceptance.accept(job, checked, data, owner)
            if accepted is not None:
                row, items = accepted
                self._begin(row, items, Progress([], {}), len(data))
        finally:
            with self._lock:
                self._accepting.discard(job)

    def read(self, job: str, account: str, after: int, wait: float) -> JobPage:
        """Return results from a position on, waiting for the first.

        :raises Refusal: when there is no such job, or when the store does not answer.
        """
        row = self.table.find(job, account)
        page = self.table.read_page(row, after)
        if not page.results and after < row.record.total and row.record.state == OPEN and wait > 0:
            with self._progressed:
                self._clock.wait_for(
                    self._progressed, lambda: self._progress.get(job, 0) > after, wait
                )
            page = self.table.read_page(row, after)
        self.hear({job: page.next})
        return page

    def read_item(self, job: str, account: str, item_id: str) -> bytes:
        """Return the body of an item.

        :raises Refusal: when there is none, or when the store does not answer.
        """
        row = self.table.find(job, account)
        if row.record.state == OPEN:
            items, _ = unwrap(self.table.load_items(row.record))
            for item in items:
                if item.id == item_id:
                    return item.body
        raise Refusal(404, "not_found", f"job {job!r} has no open item {item_id!r}")

    def end(self, job: str, account: str) -> None:
        """End a job; return once that is in the store.

        :raises Refusal: when there is no such job, or when the store does not answer.
        """
        row = self.table.find(job, account)
        for _ in range(_CHANGE_TRIES):
            if row.record.state != OPEN:
                break
            outcome = self.table.change(row, row.record._replace(state=ENDED))
            if isinstance(outcome, Ok):
                row = outcome.ok_value
                break
            if not isinstance(outcome.err_value, ConditionFailed):
                self._clock.sleep(_CHANGE_PAUSE_SECONDS)
            row = self.table.read_row(job, account)
        else:
            raise Refusal(504, "unsure", "the end may not be kept", Verdict.MAY_HAVE_RUN)
        self.table.learn(row)
        log_event("job:ended", job=job, account=account, version=row.version)

    def _count_results(self, job: str) -> int:
        """Return how many results of a job are listed, as far as this daemon knows."""
        run = self._runs.get(job)
        return max(self._progress.get(job, 0), 0 if run is None else run.results)

    def _begin(self, row: JobRow, items: list[Item], progress: Progress, input_bytes: int) -> None:
        """Run a job that this daemon owns."""
        index = self._tools.service.index
        route = None if index is None else index.route_named(row.record.route)
        if route is None:
            log_event("job:no-route", job=row.record.job, route=row.record.route)
            return
        accepted = self.table.store_clock.to_local(row.record.accepted_ms)
        times = JobTimes(accepted + route.due_seconds, accepted + route.keep_seconds)
        listed, partials = progress
        run = JobRun(self._world, row, route, times, items, listed, partials, input_bytes)
        with self._lock:
            if self._stop.is_set() or row.record.job in self._runs:
                return
            self._runs[row.record.job] = run
        run.start()

    def _take_news(self, row: JobRow) -> None:
        """Stop running a job that has ended or that another daemon has taken."""
        with self._lock:
            run = self._runs.get(row.record.job)
        if run is not None and (row.record.state == ENDED or row.record.owner != self._owner):
            run.stop(f"{row.record.state}, owner {row.record.owner}")

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
                # An old row is found out when it is to be changed.
                self.table.learn(run.row)

    def _take_over(self) -> None:
        if self._clock.now() - self._started_at < _SETTLING_SECONDS:
            return
        service = self._tools.service
        if service.index is None or service.freshness.age > PEER_SILENT_SECONDS:
            return
        owners = self._live_owners()
        vms = [owner.rpartition("/")[0] for owner in owners]
        for row in self._orphans(owners):
            # Nobody else takes a job that this process owns by a write whose answer was lost.
            own = row.record.owner == self._owner
            if own or rank_by_hash(row.record.job, vms)[0] == service.deployment.vm:
                self._take(row)

    def _live_owners(self) -> set[str]:
        """Return the daemon processes that can run jobs.

        After an outage for all, the daemons that the store answers first still hear from the others
        that they are without it. The others get time to have it back before they count as lost.
        """
        now = self._clock.now()
        own_outage = self.table.answering_seconds < _OWNER_WITHOUT_STORE_SECONDS
        return {self._owner} | {
            f"{peer.identity.vm}/{peer.identity.incarnation}"
            for peer in self._tools.service.exchange.peers
            if now - peer.heard_at < PEER_SILENT_SECONDS
            and not peer.statement.leaving
            and (own_outage or peer.statement.store_age < _OWNER_WITHOUT_STORE_SECONDS)
        }

    def _orphans(self, owners: set[str]) -> Iterator[JobRow]:
        for row in self.table.known():
            job, owner = row.record.job, row.record.owner
            if row.record.state != OPEN or job in self._runs or job in self._accepting:
                continue
            lost = owner not in owners and self.table.owner_age(job) > _OWNER_SETTLING_SECONDS
            if lost or owner in ("", self._owner):
                yield row

    def _take(self, row: JobRow) -> None:
        """Become the owner of a job and run what is left of it."""
        record = row.record._replace(owner=self._owner)
        taken = self.table.change(row, record)
        if isinstance(taken, Err):
            log_event("job:take-failed", job=record.job, error=str(taken.err_value))
            if isinstance(taken.err_value, ConditionFailed):
                for stored in taken.err_value.rows:
                    self.table.learn(read_job(stored))
            return
        log_event("job:taken", job=record.job, former_owner=row.record.owner)
        self.table.learn(taken.ok_value)
        loaded, progress = self.table.load_items(record), self.table.load_progress(record.job)
        if isinstance(loaded, Err) or isinstance(progress, Err):
            # The next look finds the job without a run and takes it again.
            log_event("job:load-failed", job=record.job)
            return
        items, size = loaded.ok_value
        self._begin(taken.ok_value, items, progress.ok_value, size)
