"""Checks of the guarantees of the system, on what clients and workers observed."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from trefoilreach._internal.registry import Registry

from trefoilreach_emulator._internal.deployment import REVOKE_SECONDS
from trefoilreach_emulator._internal.soak.clients import ONCE_ROUTE, REPEATABLE_ROUTE
from trefoilreach_emulator._internal.soak.environment import ACCOUNT
from trefoilreach_emulator._internal.soak.history import History, Run

Check = Callable[[History, int], Iterator[str]]

# Each check takes the history and the number of events in a complete stream, and yields one line
# for each violation.
checks: Registry[Check] = Registry("check")

# Bounds that the users state for their deployments.
_MAX_RUNS_PER_REQUEST = 3
_QUOTA_WINDOW_SECONDS = 5.0
_QUOTA_TOLERANCE_SHARE = 0.1
_QUOTA_TOLERANCE_REQUESTS = 20.0
_MAX_CANCEL_SECONDS = 3.0
_MAX_DRAIN_SECONDS = 3.0
_MAX_LEAVING_SECONDS = 2.0
_MAX_JOB_VISIBILITY_SECONDS = 1.0
# Bounds that hold only for undisturbed daemons are not checked for this long after a fault that
# disconnects them: the longest fault and the time to reconnect.
_FAULT_EFFECT_SECONDS = 12.0
_NOT_RUN_STATUSES = {429, 503, 408, 421}
_MIN_SERVED_SHARE = 0.25


def find_violations(history: History, events: int) -> list[str]:
    """Return the violations, as lines that begin with the name of the check."""
    return [
        f"{name}: {line}" for name in checks.names for line in checks.get(name)(history, events)
    ]


def _group_runs_by_request(history: History) -> dict[str, list[Run]]:
    found: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        found[run.request_id].append(run)
    return found


@checks.register("twice")
def _check_twice(history: History, events: int) -> Iterator[str]:
    """A request that may not be repeated runs at most once."""
    runs = _group_runs_by_request(history)
    for attempt in history.attempts:
        if attempt.route == ONCE_ROUTE and len(runs[attempt.request_id]) > 1:
            yield f"{attempt.request_id} ran at {[run.worker for run in runs[attempt.request_id]]}"


@checks.register("refused")
def _check_refused(history: History, events: int) -> Iterator[str]:
    """A request or job answered as not run never runs, neither before nor after the answer."""
    runs = _group_runs_by_request(history)
    for attempt in history.attempts:
        if attempt.status in _NOT_RUN_STATUSES and runs[attempt.request_id]:
            yield f"{attempt.request_id} was answered {attempt.status} but ran"
    statuses_by_job: dict[str, set[int]] = defaultdict(set)
    items: dict[str, tuple[str, ...]] = {}
    for submission in history.submissions:
        statuses_by_job[submission.job].add(submission.status)
        items[submission.job] = submission.items
    for job, statuses in statuses_by_job.items():
        if statuses <= _NOT_RUN_STATUSES and any(runs[item] for item in items[job]):
            yield f"items of {job} ran, although it was answered {sorted(statuses)}"


@checks.register("mixed")
def _check_mixed(history: History, events: int) -> Iterator[str]:
    """A successful answer comes from a worker, with a receipt, and belongs to this request only."""
    for notice in history.find_notices("crossed"):
        yield f"{notice.subject} got an answer to another request"
    for attempt in history.attempts:
        if attempt.status != 200:
            continue
        wrong = [
            text for number, text in attempt.events if text != f"{attempt.request_id} {number}"
        ]
        if wrong:
            yield f"{attempt.request_id} got {wrong[:2]}"
        if not attempt.receipt:
            yield f"{attempt.request_id} got a success without a receipt"


@checks.register("order")
def _check_order(history: History, events: int) -> Iterator[str]:
    """Events arrive once and in order, and a stream that ends normally has all of them."""
    for attempt in history.attempts:
        numbers = [number for number, _ in attempt.events]
        if numbers != list(range(1, len(numbers) + 1)):
            yield f"{attempt.request_id} got events {numbers}"
        elif attempt.status == 200 and attempt.complete and len(numbers) != events:
            yield f"{attempt.request_id} ended normally after {len(numbers)} of {events} events"


@checks.register("unasked")
def _check_unasked(history: History, events: int) -> Iterator[str]:
    """Workers run only requests that were sent, for the right account, and receive no keys."""
    sent = {attempt.request_id for attempt in history.attempts}
    sent |= {item for submission in history.submissions for item in submission.items}
    for run in history.runs:
        if run.request_id not in sent:
            yield f"{run.request_id} ran at {run.worker} but was never sent"
        if run.key_seen or run.account != ACCOUNT:
            yield f"{run.request_id} reached {run.worker} with a key or for account {run.account!r}"


@checks.register("budget")
def _check_budget(history: History, events: int) -> Iterator[str]:
    """A request runs on no more healthy workers than its route allows."""
    faulty_workers = {n.subject for n in history.notices if n.kind in ("worker-lost", "worker-cut")}
    runs = _group_runs_by_request(history)
    for attempt in history.attempts:
        healthy_workers = {run.worker for run in runs[attempt.request_id]} - faulty_workers
        if attempt.route == REPEATABLE_ROUTE and len(healthy_workers) > _MAX_RUNS_PER_REQUEST:
            yield f"{attempt.request_id} ran at {sorted(healthy_workers)}"


@checks.register("withdrawn")
def _check_withdrawn(history: History, events: int) -> Iterator[str]:
    """A withdrawn key stops working at all daemons within the revocation bound."""
    deadlines = {
        notice.subject: notice.at + REVOKE_SECONDS for notice in history.find_notices("withdrawn")
    }
    runs = _group_runs_by_request(history)
    for attempt in history.attempts:
        late = attempt.sent_at - deadlines.get(attempt.key, float("inf"))
        if late > 0 and runs[attempt.request_id]:
            yield f"{attempt.request_id} ran with {attempt.key}, sent {late:.2f} s after the bound"


@checks.register("quota")
def _check_quota(history: History, events: int) -> Iterator[str]:
    """No time window has more runs than rate and burst allow."""
    sent = {attempt.request_id: attempt.sent_at for attempt in history.attempts}
    times = sorted(
        {run.request_id: run.at for run in history.runs if run.request_id in sent}.values()
    )
    allowed = history.rate * _QUOTA_WINDOW_SECONDS + history.rate
    limit = allowed * (1.0 + _QUOTA_TOLERANCE_SHARE) + _QUOTA_TOLERANCE_REQUESTS
    begin = 0
    for end, at in enumerate(times):
        while times[begin] < at - _QUOTA_WINDOW_SECONDS:
            begin += 1
        if end - begin + 1 > limit:
            yield f"{end - begin + 1} runs in the window until {at:.2f} s; allowed: {limit:.0f}"
            return


@checks.register("drain")
def _check_drain(history: History, events: int) -> Iterator[str]:
    """A draining worker receives no new requests after the bound."""
    deadlines = {n.subject: n.at + _MAX_DRAIN_SECONDS for n in history.find_notices("draining")}
    sent = {attempt.request_id: attempt.sent_at for attempt in history.attempts}
    store_faults_at = [n.at for n in history.notices if n.kind.startswith("fault:store")]
    for run in history.runs:
        end = deadlines.get(run.worker)
        if end is None or run.at <= end or sent.get(run.request_id, run.at) <= end:
            continue
        if not any(run.at - _FAULT_EFFECT_SECONDS < at < run.at for at in store_faults_at):
            yield f"{run.request_id} reached draining {run.worker} {run.at - end:.2f} s too late"


@checks.register("leaving")
def _check_leaving(history: History, events: int) -> Iterator[str]:
    """A worker receives no request through a daemon that passed on its news that it leaves.

    A restart or freeze of the daemon since then excuses it; faults of the store do not. A kill or
    stop may have begun before the news was heard.
    """
    leaving_since = {notice.subject: notice.at for notice in history.find_notices("leaving")}
    interruptions = [n for n in history.notices if n.kind in ("started-again", "frozen")]
    runs = _group_runs_by_request(history)
    told_at: dict[tuple[str, str], float] = {}
    for attempt in sorted(history.attempts, key=lambda attempt: attempt.ended_at):
        # Of several runs, the first may have broken off before its head was passed on.
        if attempt.status == 200 and attempt.complete and len(runs[attempt.request_id]) == 1:
            run = runs[attempt.request_id][0]
            if run.at > leaving_since.get(run.worker, float("inf")):
                told_at.setdefault((attempt.daemon, run.worker), attempt.ended_at)
    for attempt in history.attempts:
        for run in runs[attempt.request_id]:
            since = told_at.get((attempt.daemon, run.worker), float("inf"))
            interrupted = any(n.subject == attempt.daemon and n.at > since for n in interruptions)
            if attempt.sent_at > since + _MAX_LEAVING_SECONDS and not interrupted:
                late = attempt.sent_at - since - _MAX_LEAVING_SECONDS
                yield f"{attempt.request_id} reached leaving {run.worker} {late:.2f} s too late"


@checks.register("cancelled")
def _check_cancelled(history: History, events: int) -> Iterator[str]:
    """Items of a cancelled job do not start after the bound."""
    deadlines = {
        notice.subject: notice.at + _MAX_CANCEL_SECONDS for notice in history.find_notices("ended")
    }
    disconnected_at = [n.at for n in history.notices if n.kind in ("frozen", "fault:store-cut")]
    for run in history.runs:
        end = deadlines.get(run.request_id.rpartition("-")[0], float("inf"))
        disturbed = any(run.at - _FAULT_EFFECT_SECONDS < at < run.at for at in disconnected_at)
        if run.at > end and not disturbed:
            yield f"{run.request_id} ran {run.at - end:.2f} s after the cancellation bound"


@checks.register("lost")
def _check_lost(history: History, events: int) -> Iterator[str]:
    """Each item of an accepted job is listed once, with its own complete output."""
    cancelled_jobs = {notice.subject for notice in history.find_notices("end-asked")}
    accepted = {entry.job: entry for entry in history.submissions if entry.status == 202}
    last = history.last_listings()
    failures = Counter((failure.request_id, failure.status) for failure in history.failures)
    for job, submission in accepted.items():
        listing = last.get(job)
        if listing is None:
            yield f"{job} was accepted but could never be read"
            continue
        if listing.total != len(submission.items):
            yield f"{job} has {len(submission.items)} items and lists {listing.total}"
        names = [name for name, _, _ in listing.results]
        if len(set(names)) != len(names) or not set(names) <= set(submission.items):
            yield f"{job} lists {names}"
        missing = set(submission.items) - set(names)
        if missing and job not in cancelled_jobs:
            yield f"{job} was accepted but does not list {sorted(missing)}"
        for name, state, output in listing.results:
            expected_output = "\n".join(f"{name} {number}" for number in range(1, events + 1))
            if state == "completed" and output != expected_output:
                yield f"{name} of {job} lists a wrong output: {output[:60]!r}"
            may_fail = (
                failures[name, 422]
                or failures[name, 500] >= _MAX_RUNS_PER_REQUEST
                or job in cancelled_jobs
            )
            if state == "errored" and not may_fail:
                yield f"{name} of {job} was marked as errored after {failures[name, 500]} failures"


@checks.register("moved")
def _check_moved(history: History, events: int) -> Iterator[str]:
    """A result keeps its position in the listing of its job, at all daemons."""
    known: dict[tuple[str, int], tuple[str, str, str]] = {}
    for listing in history.listings:
        for offset, result in enumerate(listing.results):
            position = (listing.job, listing.after + offset)
            if known.setdefault(position, result) != result:
                yield f"the result at position {position[1]} of {position[0]} has changed"


@checks.register("not-found")
def _check_not_found(history: History, events: int) -> Iterator[str]:
    """An accepted job is found at all daemons once the time for it to become visible is over."""
    accepted = {entry.job: entry.at for entry in history.submissions if entry.status == 202}
    for notice in history.find_notices("job-not-found"):
        if notice.at > accepted.get(notice.subject, float("inf")) + _MAX_JOB_VISIBILITY_SECONDS:
            yield f"{notice.subject} was not found at {notice.at:.2f} s"


@checks.register("exits")
def _check_exits(history: History, events: int) -> Iterator[str]:
    """No daemon exits unexpectedly, and a planned stop completes in time.

    The stop of a process that was frozen during the run may take longer.
    """
    frozen = {notice.subject for notice in history.find_notices("frozen")}
    for notice in history.find_notices("ended-by-itself"):
        yield f"{notice.subject} was found to have exited unexpectedly at {notice.at:.2f} s"
    for notice in history.find_notices("stop-too-long"):
        if notice.subject not in frozen:
            yield f"{notice.subject} had not stopped in time at {notice.at:.2f} s"


@checks.register("recover")
def _check_recover(history: History, events: int) -> Iterator[str]:
    """After the last fault, at least a minimum share of requests is served again."""
    calm_since = [notice.at for notice in history.find_notices("calm")]
    withdrawn_keys = {notice.subject for notice in history.find_notices("withdrawn")}
    considered = [
        a
        for a in history.attempts
        if calm_since and a.sent_at > calm_since[-1] and a.key not in withdrawn_keys
    ]
    served = sum(attempt.status == 200 and attempt.complete for attempt in considered)
    if calm_since and served < max(1.0, _MIN_SERVED_SHARE * len(considered)):
        yield f"{served} of {len(considered)} requests were served after the last fault"
