"""Ownership of the batch jobs of a deployment, and the calls that callers make for them.

Each job has one owner, the daemon process named in its row, which runs it. When the owner is lost
or has had no access to the store for some seconds, the live daemon that rendezvous hashing selects
takes the job over by a conditional write of the row. Later transactions of the former owner fail.
"""

import random
import threading
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import NamedTuple

from result import Err, Ok

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.exchange.report_exchange import Peer
from trefoilreach._internal.coordination.jobs.acceptance import JobAcceptance
from trefoilreach._internal.coordination.jobs.expiry import ExpiredJobRemover
from trefoilreach._internal.coordination.jobs.job_run import (
    JobDeadlines,
    JobRun,
    JobRunContext,
    MeanRunTime,
    drop_object,
)
from trefoilreach._internal.coordination.jobs.job_table import (
    JobPage,
    JobTable,
    StoredProgress,
    unwrap_or_refuse,
)
from trefoilreach._internal.coordination.jobs.records import (
    ENDED,
    OPEN,
    Item,
    JobRecord,
    JobRow,
    JobTarget,
)
from trefoilreach._internal.coordination.serving.request import ServingDependencies
from trefoilreach._internal.coordination.serving.service import CheckedRequest, ServingState
from trefoilreach._internal.coordination.serving.slot_table import PEER_TIMEOUT_SECONDS
from trefoilreach._internal.logs import log_decision, log_event
from trefoilreach._internal.protocol.verdict import Refusal, Verdict
from trefoilreach._internal.state.rows import BlobStore, ConditionFailed, RowStore
from trefoilreach._internal.state.serving import (
    RouteKind,
    ServingRoute,
    rank_by_rendezvous_hash,
)
from trefoilreach._internal.transport.buffer_budget import BufferBudget

_CHECK_INTERVAL_SECONDS = 0.4
# Jobs expire minutes after their end.
_REMOVAL_INTERVAL_SECONDS = 1.0
_ITEM_THREADS = 64
# A tenth of the 170 MB that the smallest VMs of the users' platforms give a process.
_DEFERRED_OUTPUT_BYTES = 16 * 2**20
# A daemon that has just started has not received the reports of its peers yet, and would take
# their jobs over.
_STARTUP_GRACE_SECONDS = 1.2
# After a job changes its owner, no other daemon takes it over for this long. Otherwise two daemons
# that do not receive each other's reports would take a job from each other at every check.
_OWNER_CHANGE_GRACE_SECONDS = 3.0
# An owner that cannot reach the store cannot list results, so after this time another daemon takes
# its jobs over.
_OWNER_STORE_OUTAGE_LIMIT_SECONDS = 4.0
_MAX_CHANGE_ATTEMPTS = 5
# Peers that a standby daemon tries for one submission, within the caller's patience.
_MAX_ACCEPTORS = 2
_CHANGE_RETRY_SECONDS = 0.1
_HAND_OVER_RETRY_SECONDS = 0.3
# A job's time of acceptance is an estimate, which a slow answer of the store makes too early. The
# slowest stores answer in 0.3 s, and an acceptance may be repeated for 3 s.
_ROUTE_REMOVAL_MARGIN_SECONDS = 5.0
# A submission is answered within this time, also when the store answers slowly.
_SUBMISSION_LIMIT_SECONDS = 5.0


class JobDependencies(NamedTuple):
    """Dependencies of the job keeper.

    :param keep_results_seconds: time from a job's acceptance for which its results are kept.
    """

    clock: Clock
    rows: RowStore
    blobs: BlobStore
    serving: ServingDependencies
    service: ServingState
    keep_results_seconds: float = float("inf")


class StoredJob(NamedTuple):
    """What the store has of a job besides its row.

    :param input_bytes: bytes of the document that are stored in rows.
    :param target: host and path that the job was submitted to; None if they are not stored.
    """

    items: list[Item]
    input_bytes: int
    progress: StoredProgress
    target: JobTarget | None


class JobManager:
    """Serves calls for all batch jobs, and runs those that this daemon owns.

    :ivar start_following: called when a job is submitted to a daemon that does not follow jobs.
    """

    def __init__(self, tools: JobDependencies) -> None:
        self.table = JobTable(tools.clock, tools.rows, tools.blobs)
        self.table.on_change = self._stop_lost_run
        self.table.on_drop = self._forget_result_count
        self._expired = ExpiredJobRemover(tools.clock, self.table, tools.keep_results_seconds)
        self._acceptance = JobAcceptance(tools.clock, self.table, self._count_results)
        self._tools = tools
        self._clock = tools.clock
        self._lock = threading.RLock()
        self._runs: dict[str, JobRun] = {}
        # Jobs being accepted here: their rows may arrive by the feed before the write is answered.
        self._being_accepted: set[str] = set()
        # Largest known number of listed results, by job, for calls that wait for results.
        self._result_counts: dict[str, int] = {}
        self._result_counts_changed = threading.Condition()
        self._waits_ended = False
        self._round_ended = threading.Condition()
        # Start of the last hand-over round after which this daemon owned no job.
        self._last_empty_round_at = float("-inf")
        self._executor = ThreadPoolExecutor(_ITEM_THREADS, thread_name_prefix="item")
        self._context = JobRunContext(
            tools.serving,
            tools.rows,
            tools.blobs,
            self._executor,
            MeanRunTime(),
            BufferBudget(_DEFERRED_OUTPUT_BYTES),
        )
        self.start_following: Callable[[], None] = lambda: None
        self._following_since = float("inf")
        self._stop = threading.Event()
        identity = tools.service.exchange.identity
        self._owner = f"{identity.vm}/{identity.incarnation}"

    def start(self, stack: ExitStack) -> None:
        """Serve calls for jobs until the exit stack closes."""
        stack.callback(self._executor.shutdown, wait=False, cancel_futures=True)
        stack.callback(self._stop.set)

    def follow(self, stack: ExitStack) -> None:
        """Accept, follow and take over jobs until the exit stack closes."""
        ended = threading.Event()
        stack.callback(ended.set)
        self._following_since = self._clock.now()
        self.table.start(stack)
        for name, run in (("jobs", self._run_checks), ("jobs-expiry", self._run_removals)):
            threading.Thread(target=run, args=(ended,), name=name, daemon=True).start()

    @property
    def has_runs(self) -> bool:
        """Whether jobs of this daemon are running or being accepted."""
        return bool(self._runs or self._being_accepted)

    def result_counts(self) -> Mapping[str, int]:
        """Return the number of listed results of each job that this daemon runs."""
        with self._lock:
            return {job: run.listed_count for job, run in self._runs.items()}

    def apply_peer_progress(self, progress: Mapping[str, int]) -> None:
        """Record the numbers of listed results, by job, that a peer reported."""
        if not progress:
            return
        with self._result_counts_changed:
            increased = {
                job: n for job, n in progress.items() if n > self._result_counts.get(job, 0)
            }
            self._result_counts.update(increased)
            if increased:
                self._result_counts_changed.notify_all()

    def follow_routes(self) -> None:
        """Let the jobs that run here follow the desired state in force."""
        with self._lock:
            runs = list(self._runs.values())
        for run in runs:
            self._follow_route(run)

    def start_hand_over(self) -> None:
        """Start handing over all jobs in the background, for a planned stop."""
        self._stop.set()
        threading.Thread(target=self._hand_over, name="jobs-hand-over", daemon=True).start()

    def end_waits(self) -> None:
        """Answer the calls that wait for results, at the end of a planned stop."""
        with self._result_counts_changed:
            self._waits_ended = True
            self._result_counts_changed.notify_all()

    def wait_for_hand_over(self, timeout_seconds: float) -> bool:
        """Wait until all jobs are handed over; return whether they are.

        :param timeout_seconds: timeout of the wait.
        """
        called_at = self._clock.now()
        with self._round_ended:
            return self._clock.wait_for(
                self._round_ended,
                lambda: self._last_empty_round_at >= called_at,
                max(0.0, timeout_seconds),
            )

    def _hand_over(self) -> None:
        """Hand over all jobs, in rounds, because more may be accepted while the daemon stops.

        Runs in a thread of its own: when the store does not respond, each call lasts for its whole
        timeout, and a stop must not wait for one call per job.
        """
        while True:
            round_started_at = self._clock.now()
            with self._lock:
                runs = list(self._runs.values())
            for run in runs:
                run.suspend()
            handed_over = [run.hand_over() for run in runs]
            if all(handed_over):
                with self._round_ended:
                    self._last_empty_round_at = round_started_at
                    self._round_ended.notify_all()
            self._clock.sleep(_HAND_OVER_RETRY_SECONDS)

    def submit(self, job: str, checked: CheckedRequest, data: bytes) -> None:
        """Accept a job; return once it is stored durably.

        :raises Refusal: when the job is not accepted, or when the outcome is unknown.
        """
        begun = self._clock.now()
        if not self.table.wait_until_complete():
            self.start_following()
        if not self.table.wait_until_complete():
            # The account's waiting tokens are not known here.
            raise Refusal(503, "standby", "this daemon does not know the jobs yet", retry_after=0.0)
        # A stopping daemon accepts jobs without an owner, for any other daemon to take over.
        owner = "" if self._stop.is_set() else self._owner
        with self._lock:
            self._being_accepted.add(job)
        try:
            accepted = self._acceptance.accept(job, checked, data, owner)
            if accepted is not None:
                row, items = accepted
                target = JobTarget(checked.host, checked.path)
                stored = StoredJob(items, len(data), StoredProgress([], {}), target)
                self._start_job(row, checked.route, stored)
        finally:
            with self._lock:
                self._being_accepted.discard(job)
        seconds = self._clock.now() - begun
        self._tools.serving.planned_stop.record_run(checked.route.name, seconds)

    def refuse_if_late(self, checked: CheckedRequest) -> None:
        """Check a submission that has just arrived.

        :raises Refusal: when it cannot be answered before the end of this daemon's planned stop.
        """
        now = self._clock.now()
        self._tools.serving.planned_stop.refuse_if_late(
            checked.route.name, now, now + _SUBMISSION_LIMIT_SECONDS
        )

    def choose_acceptors(self) -> list[Peer]:
        """Return active peers to which a submission should go, the best first.

        The list is empty if this daemon follows the jobs and accepts them itself.
        """
        if self.table.following:
            return []
        exchange = self._tools.service.exchange
        peers = [peer for peer in exchange.active_peers if peer.statement.accepting]
        random.shuffle(peers)
        own = exchange.identity.data_centre
        peers.sort(key=lambda peer: peer.identity.data_centre != own)
        return peers[:_MAX_ACCEPTORS]

    def read_results(self, job: str, account: str, after: int, wait: float) -> JobPage:
        """Return results, starting at position ``after``.

        :param wait: seconds to wait for a first result when there is none.
        :raises Refusal: when the account has no such job, or when the store does not answer.
        """
        row = self.table.find_row(job, account)
        page = self.table.read_page(row, after)
        if not page.results and after < row.record.total and row.record.state == OPEN and wait > 0:
            with self._result_counts_changed:
                self._clock.wait_for(
                    self._result_counts_changed,
                    lambda: self._waits_ended or self._result_counts.get(job, 0) > after,
                    wait,
                )
            page = self.table.read_page(row, after)
        self.apply_peer_progress({job: page.next})
        return page

    def read_item_body(self, job: str, account: str, item_id: str) -> bytes:
        """Return the request body of an item.

        :raises Refusal: when there is no such open job or item, or when the store does not answer.
        """
        row = self.table.find_row(job, account)
        if row.record.state == OPEN:
            items, _ = unwrap_or_refuse(self.table.load_items(row.record))
            for item in items:
                if item.id == item_id:
                    return item.body
        raise Refusal(404, "not_found", f"job {job!r} has no open item {item_id!r}")

    def end(self, job: str, account: str) -> None:
        """End a job; return once the store has the change.

        :raises Refusal: when the account has no such job, when the store does not answer, or when
            the outcome is unknown.
        """
        row = self.table.find_row(job, account)
        for _ in range(_MAX_CHANGE_ATTEMPTS):
            if row.record.state != OPEN:
                break
            outcome = self.table.write_row(row, row.record._replace(state=ENDED))
            if isinstance(outcome, Ok):
                row = outcome.ok_value
                break
            if not isinstance(outcome.err_value, ConditionFailed):
                self._clock.sleep(_CHANGE_RETRY_SECONDS)
            row = self.table.read_row(job, account)
        else:
            raise Refusal(
                504, "unsure", "the end of the job may not be stored", Verdict.MAY_HAVE_RUN
            )
        self.table.apply_row(row)
        log_event("job:ended", job=job, account=account, version=row.version)
        if row.record.input_blob and not self._stop.is_set():
            self._executor.submit(drop_object, self._clock, self.table.blobs, row.record.input_blob)

    def _count_results(self, job: str) -> int:
        """Return the number of listed results of a job, as far as this daemon knows."""
        run = self._runs.get(job)
        return max(self._result_counts.get(job, 0), 0 if run is None else run.listed_count)

    def _start_job(self, row: JobRow, route: ServingRoute | None, stored: StoredJob) -> None:
        """Start running a job that this daemon owns, unless the daemon is stopping.

        :param route: the job's route; None if it was removed.
        """
        accepted = self.table.store_clock.latest_local(row.record.accepted_ms)
        if route is None:
            deadlines = JobDeadlines(accepted, accepted)
        else:
            deadlines = JobDeadlines(
                accepted + route.results_target_seconds, accepted + route.abandon_after_seconds
            )
        listed, partials = stored.progress
        run = JobRun(
            self._context,
            row,
            route,
            deadlines,
            stored.items,
            listed,
            partials,
            stored.input_bytes,
            stored.target,
        )
        with self._lock:
            if self._stop.is_set() or row.record.job in self._runs:
                return
            self._runs[row.record.job] = run
        # The job may have ended, or changed its owner, before its run could be found and stopped.
        self._stop_lost_run(self.table.get(row.record.job) or row)
        self._follow_route(run)
        run.start()

    def _stop_lost_run(self, row: JobRow) -> None:
        """Stop running a job that has ended or has another owner now."""
        with self._lock:
            run = self._runs.get(row.record.job)
        if run is not None and (row.record.state == ENDED or row.record.owner != self._owner):
            run.stop(f"{row.record.state}, owner {row.record.owner}")

    def _run_checks(self, ended: threading.Event) -> None:
        while not self._clock.wait(ended, _CHECK_INTERVAL_SECONDS) and not self._stop.is_set():
            try:
                self._maintain_runs()
                self._take_over_orphans()
            except Exception as error:
                log_event("jobs:look-failed", error=repr(error))

    def _maintain_runs(self) -> None:
        # Also finds the tickets that were queued while the desired state changed.
        self.follow_routes()
        now = self._clock.now()
        for job, run in list(self._runs.items()):
            run.give_up_hopeless(now)
            run.retry_deferred()
            run.save_progress()
            if run.finished and not run.running_count:
                self.apply_peer_progress({job: run.listed_count})
                with self._lock:
                    self._runs.pop(job, None)
                # If this row is out of date, the next conditional write of it fails.
                self.table.apply_row(run.row)

    def _run_removals(self, ended: threading.Event) -> None:
        """Remove expired jobs in a thread of its own, since that waits between its calls."""
        while not self._clock.wait(ended, _REMOVAL_INTERVAL_SECONDS) and not self._stop.is_set():
            try:
                self._expired.remove_expired(self._may_remove)
            except Exception as error:
                log_event("jobs:removal-failed", error=repr(error))

    def _knows_peers(self) -> bool:
        """Whether this daemon has heard of its peers since its start, and knows the jobs."""
        started_for = self._clock.now() - self._following_since
        return self.table.complete and started_for >= _STARTUP_GRACE_SECONDS

    def _may_remove(self, job: str) -> bool:
        """Return whether this daemon removes a finished job, which no other live one does."""
        if job in self._runs or self._stop.is_set() or not self._knows_peers():
            return False
        return self._is_selected(job, self._live_owners())

    def _is_selected(self, job: str, owners: set[str]) -> bool:
        """Return whether rendezvous hashing selects this daemon among live owners."""
        vms = [owner.rpartition("/")[0] for owner in owners]
        return rank_by_rendezvous_hash(job, vms)[0] == self._tools.service.deployment.vm

    def _forget_result_count(self, job: str) -> None:
        with self._result_counts_changed:
            self._result_counts.pop(job, None)

    def _take_over_orphans(self) -> None:
        if not self._knows_peers():
            return
        service = self._tools.service
        if service.route_index is None or service.freshness.age > PEER_TIMEOUT_SECONDS:
            return
        owners = self._live_owners()
        for row in self._find_orphaned_jobs(owners):
            # When the answer to an acceptance was lost, the row names this process but no run was
            # started. No other daemon takes over a job of a live owner.
            own = row.record.owner == self._owner
            if own or self._is_selected(row.record.job, owners):
                self._take_over_job(row)

    def _live_owners(self) -> set[str]:
        """Return the daemon processes that can run jobs.

        After an outage of the store, the daemons that regain it first still receive reports from
        peers that have not. Peers without the store therefore count as lost only after the store
        has answered this daemon for a while.
        """
        now = self._clock.now()
        own_outage = self.table.answering_seconds < _OWNER_STORE_OUTAGE_LIMIT_SECONDS
        return {self._owner} | {
            f"{peer.identity.vm}/{peer.identity.incarnation}"
            for peer in self._tools.service.exchange.peers
            if now - peer.last_report_at < PEER_TIMEOUT_SECONDS
            and peer.statement.active
            and not peer.statement.leaving
            and (
                own_outage
                or peer.statement.store_silent_seconds < _OWNER_STORE_OUTAGE_LIMIT_SECONDS
            )
        }

    def _find_orphaned_jobs(self, owners: set[str]) -> Iterator[JobRow]:
        for row in self.table.known_rows():
            job, owner = row.record.job, row.record.owner
            if row.record.state != OPEN or job in self._runs or job in self._being_accepted:
                continue
            lost = (
                owner not in owners
                and self.table.seconds_since_owner_change(job) > _OWNER_CHANGE_GRACE_SECONDS
            )
            if lost or owner in ("", self._owner):
                yield row

    def _find_route(self, record: JobRecord, target: JobTarget | None) -> ServingRoute | None:
        """Return a job's route, or None if it is not in the desired state.

        The route is looked up by host and path, as a name may be given to another route. A route
        that was given another host is found by its name.
        """
        service = self._tools.service
        route = None if target is None else service.find_route(*target)
        if route is None:
            route = service.find_route_by_name(record.route)
            # Builds before 2026-12-07 stored only the name.
            if target and route and not target.path.startswith(route.path_prefix):
                return None
        return route if route is not None and route.kind is RouteKind.BATCH else None

    def _follow_route(self, run: JobRun) -> None:
        """Let a job follow the desired state in force, unless that may be older than the job.

        A route that this daemon has found before and does not find now was removed, since its
        desired state only becomes newer.
        """
        record = run.row.record
        route = self._find_route(record, run.target)
        if route is not None or run.route_was_in_force or self._is_route_removed(record):
            run.follow_route(route)

    def _is_route_removed(self, record: JobRecord) -> bool:
        """Return whether a route that is missing here was removed after the job's acceptance.

        The desired state that accepted the job may not have arrived here yet.
        """
        confirmed_at = self._clock.now() - self._tools.service.freshness.age
        accepted_at = self.table.store_clock.latest_local(record.accepted_ms)
        return confirmed_at > accepted_at + _ROUTE_REMOVAL_MARGIN_SECONDS

    def _take_over_job(self, row: JobRow) -> None:
        """Become the owner of a job and run its remaining items.

        Items of a route that was removed are given up, as no desired state says how to run them.
        """
        found = self.table.load_target(row.record.job)
        if isinstance(found, Err):
            log_event("job:load-failed", job=row.record.job, error=str(found.err_value))
            return
        target = found.ok_value
        route = self._find_route(row.record, target)
        if route is None:
            removed = self._is_route_removed(row.record)
            log_decision(
                "job-route",
                "give-up" if removed else "wait",
                "the route is not in the desired state",
                job=row.record.job,
                route=row.record.route,
                desired_state=self._tools.service.version,
                desired_state_age=round(self._tools.service.freshness.age, 3),
            )
            if not removed:
                return
        record = row.record._replace(owner=self._owner)
        taken = self.table.write_row(row, record)
        if isinstance(taken, Err):
            log_event("job:take-failed", job=record.job, error=str(taken.err_value))
            if isinstance(taken.err_value, ConditionFailed):
                self.table.apply_stored_rows(taken.err_value.rows)
            return
        log_event("job:taken", job=record.job, former_owner=row.record.owner)
        self.table.apply_row(taken.ok_value)
        loaded, progress = self.table.load_items(record), self.table.load_progress(record.job)
        if isinstance(loaded, Err) or isinstance(progress, Err):
            # The next check finds the job without a run and takes it over again.
            log_event("job:load-failed", job=record.job)
            return
        items, size = loaded.ok_value
        self._start_job(taken.ok_value, route, StoredJob(items, size, progress.ok_value, target))
