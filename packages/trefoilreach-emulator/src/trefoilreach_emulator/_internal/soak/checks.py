"""Promises of the system, checked on what clients and workers saw."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from trefoilreach._internal.registry import Registry

from trefoilreach_emulator._internal.deployment import REVOKE_SECONDS
from trefoilreach_emulator._internal.soak.clients import ONCE, REPEATABLE
from trefoilreach_emulator._internal.soak.history import History, Run
from trefoilreach_emulator._internal.soak.world import ACCOUNT

Check = Callable[[History, int], Iterator[str]]

# Each check takes the history and the number of events of a whole stream.
checks: Registry[Check] = Registry("check")

# Bounds that the users state for their deployments.
_MOST_RUNS = 3
_QUOTA_WINDOW_SECONDS = 5.0
_QUOTA_EXCESS = 0.1
_QUOTA_SLACK = 20.0
_CANCEL_SECONDS = 3.0
_DRAIN_SECONDS = 3.0
_SETTLE_SECONDS = 1.0
# Bounds that hold for calm daemons only are not checked after such a fault; the longest one and
# the time to be in touch again.
_DISTURBED_SECONDS = 12.0
_PROMISES_NOT_RUN = {429, 503, 408, 421}
_LEAST_SERVED_SHARE = 0.25


def find_violations(history: History, events: int) -> list[str]:
    """Return what breaks a promise, as lines that begin with the name of the check."""
    return [
        f"{name}: {line}" for name in checks.names for line in checks.get(name)(history, events)
    ]


def _runs_by_id(history: History) -> dict[str, list[Run]]:
    found: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        found[run.request_id].append(run)
    return found


@checks.register("twice")
def _check_twice(history: History, events: int) -> Iterator[str]:
    """A request that may not be repeated runs once at most."""
    runs = _runs_by_id(history)
    for attempt in history.attempts:
        if attempt.route == ONCE and len(runs[attempt.request_id]) > 1:
            yield f"{attempt.request_id} ran at {[run.worker for run in runs[attempt.request_id]]}"


@checks.register("refused")
def _check_refused(history: History, events: int) -> Iterator[str]:
    """An answer that says "not run" is true for ever."""
    runs = _runs_by_id(history)
    for attempt in history.attempts:
        if attempt.status in _PROMISES_NOT_RUN and runs[attempt.request_id]:
            yield f"{attempt.request_id} was answered {attempt.status} and ran"
    refused: dict[str, set[int]] = defaultdict(set)
    items: dict[str, tuple[str, ...]] = {}
    for submission in history.submissions:
        refused[submission.job].add(submission.status)
        items[submission.job] = submission.items
    for job, statuses in refused.items():
        if statuses <= _PROMISES_NOT_RUN and any(runs[item] for item in items[job]):
            yield f"items of {job} ran, which was answered {sorted(statuses)}"


@checks.register("mixed")
def _check_mixed(history: History, events: int) -> Iterator[str]:
    """A success is the whole answer of a worker to this request."""
    for notice in history.noticed("crossed"):
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
    """Events come once and in order, and a stream that looks complete has all of them."""
    for attempt in history.attempts:
        numbers = [number for number, _ in attempt.events]
        if numbers != list(range(1, len(numbers) + 1)):
            yield f"{attempt.request_id} got events {numbers}"
        elif attempt.status == 200 and attempt.complete and len(numbers) != events:
            yield f"{attempt.request_id} looked complete after {len(numbers)} of {events} events"


@checks.register("unasked")
def _check_unasked(history: History, events: int) -> Iterator[str]:
    """Workers run what was sent, for the account that sent it, and see no keys."""
    sent = {attempt.request_id for attempt in history.attempts}
    sent |= {item for submission in history.submissions for item in submission.items}
    for run in history.runs:
        if run.request_id not in sent:
            yield f"{run.request_id} ran at {run.worker} and was not sent"
        if run.key_seen or run.account != ACCOUNT:
            yield f"{run.request_id} came to {run.worker} with a key or for {run.account!r}"


@checks.register("budget")
def _check_budget(history: History, events: int) -> Iterator[str]:
    """An attempt runs on as many sound workers as its route allows."""
    harmed = {n.subject for n in history.notices if n.kind in ("worker-lost", "worker-cut")}
    runs = _runs_by_id(history)
    for attempt in history.attempts:
        sound = {run.worker for run in runs[attempt.request_id]} - harmed
        if attempt.route == REPEATABLE and len(sound) > _MOST_RUNS:
            yield f"{attempt.request_id} ran at {sorted(sound)}"


@checks.register("withdrawn")
def _check_withdrawn(history: History, events: int) -> Iterator[str]:
    """A withdrawn key stops working within its bound, everywhere."""
    ends = {notice.subject: notice.at + REVOKE_SECONDS for notice in history.noticed("withdrawn")}
    runs = _runs_by_id(history)
    for attempt in history.attempts:
        late = attempt.sent_at - ends.get(attempt.key, float("inf"))
        if late > 0 and runs[attempt.request_id]:
            yield f"{attempt.request_id} ran with {attempt.key}, sent {late:.2f} s after its bound"


@checks.register("quota")
def _check_quota(history: History, events: int) -> Iterator[str]:
    """No window has more runs than rate and burst allow."""
    sent = {attempt.request_id: attempt.sent_at for attempt in history.attempts}
    times = sorted(
        {run.request_id: run.at for run in history.runs if run.request_id in sent}.values()
    )
    allowed = history.rate * _QUOTA_WINDOW_SECONDS + history.rate
    limit = allowed * (1.0 + _QUOTA_EXCESS) + _QUOTA_SLACK
    begin = 0
    for end, at in enumerate(times):
        while times[begin] < at - _QUOTA_WINDOW_SECONDS:
            begin += 1
        if end - begin + 1 > limit:
            yield f"{end - begin + 1} runs in the window before {at:.2f} s; allowed: {limit:.0f}"
            return


@checks.register("drain")
def _check_drain(history: History, events: int) -> Iterator[str]:
    """A leaving worker gets nothing new after some seconds."""
    ends = {n.subject: n.at + _DRAIN_SECONDS for n in history.noticed("draining")}
    sent = {attempt.request_id: attempt.sent_at for attempt in history.attempts}
    store_faults = [n.at for n in history.notices if n.kind.startswith("fault:store")]
    for run in history.runs:
        end = ends.get(run.worker)
        if end is None or run.at <= end or sent.get(run.request_id, run.at) <= end:
            continue
        if not any(run.at - _DISTURBED_SECONDS < at < run.at for at in store_faults):
            yield f"{run.request_id} came to {run.worker} {run.at - end:.2f} s too late"


@checks.register("cancelled")
def _check_cancelled(history: History, events: int) -> Iterator[str]:
    """The items of an ended job run no more after some seconds."""
    ends = {notice.subject: notice.at + _CANCEL_SECONDS for notice in history.noticed("ended")}
    out_of_touch = [n.at for n in history.notices if n.kind in ("frozen", "fault:store-cut")]
    for run in history.runs:
        end = ends.get(run.request_id.rpartition("-")[0], float("inf"))
        disturbed = any(run.at - _DISTURBED_SECONDS < at < run.at for at in out_of_touch)
        if run.at > end and not disturbed:
            yield f"{run.request_id} ran {run.at - end:.2f} s after the bound"


@checks.register("lost")
def _check_lost(history: History, events: int) -> Iterator[str]:
    """Each item of an accepted job is listed once, with its own whole output."""
    ended = {notice.subject for notice in history.noticed("end-asked")}
    accepted = {entry.job: entry for entry in history.submissions if entry.status == 202}
    last = history.last_listings()
    failures = Counter((failure.request_id, failure.status) for failure in history.failures)
    for job, submission in accepted.items():
        listing = last.get(job)
        if listing is None:
            yield f"{job} was accepted and could never be read"
            continue
        if listing.total != len(submission.items):
            yield f"{job} has {len(submission.items)} items and lists {listing.total}"
        names = [name for name, _, _ in listing.results]
        if len(set(names)) != len(names) or not set(names) <= set(submission.items):
            yield f"{job} lists {names}"
        missing = set(submission.items) - set(names)
        if missing and job not in ended:
            yield f"{job} was accepted and does not list {sorted(missing)}"
        for name, state, output in listing.results:
            whole = "\n".join(f"{name} {number}" for number in range(1, events + 1))
            if state == "completed" and output != whole:
                yield f"{name} of {job} lists another output: {output[:60]!r}"
            excused = failures[name, 422] or failures[name, 500] >= _MOST_RUNS or job in ended
            if state == "errored" and not excused:
                yield f"{name} of {job} was given up after {failures[name, 500]} failures"


@checks.register("moved")
def _check_moved(history: History, events: int) -> Iterator[str]:
    """A position of a job keeps its result, at all daemons."""
    known: dict[tuple[str, int], tuple[str, str, str]] = {}
    for listing in history.listings:
        for offset, result in enumerate(listing.results):
            place = (listing.job, listing.after + offset)
            if known.setdefault(place, result) != result:
                yield f"position {place[1]} of {place[0]} has changed"


@checks.register("not-found")
def _check_not_found(history: History, events: int) -> Iterator[str]:
    """An accepted job is known everywhere."""
    accepted = {entry.job: entry.at for entry in history.submissions if entry.status == 202}
    for notice in history.noticed("job-not-found"):
        if notice.at > accepted.get(notice.subject, float("inf")) + _SETTLE_SECONDS:
            yield f"{notice.subject} was not found at {notice.at:.2f} s"


@checks.register("exits")
def _check_exits(history: History, events: int) -> Iterator[str]:
    """No daemon ends by itself, and a planned stop ends in time unless the process is frozen."""
    frozen = {notice.subject for notice in history.noticed("frozen")}
    for notice in history.noticed("ended-by-itself"):
        yield f"{notice.subject} had ended by itself at {notice.at:.2f} s"
    for notice in history.noticed("stop-too-long"):
        if notice.subject not in frozen:
            yield f"{notice.subject} had not stopped at {notice.at:.2f} s"


@checks.register("recover")
def _check_recover(history: History, events: int) -> Iterator[str]:
    """After the last fault, requests are served again."""
    calm = [notice.at for notice in history.noticed("calm")]
    gone = {notice.subject for notice in history.noticed("withdrawn")}
    found = [a for a in history.attempts if calm and a.sent_at > calm[-1] and a.key not in gone]
    served = sum(attempt.status == 200 and attempt.complete for attempt in found)
    if calm and served < max(1.0, _LEAST_SERVED_SHARE * len(found)):
        yield f"{served} of {len(found)} requests after the last fault"
