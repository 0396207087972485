"""Tests of the checks of the soak: each check reports exactly the histories that violate it."""

import threading
from collections.abc import Callable
from types import SimpleNamespace

import pytest
from trefoilreach._internal.coordination.jobs.records import (
    DONE,
    ENDED,
    OPEN,
    ItemResult,
    JobRecord,
    job_write,
    result_write,
)
from trefoilreach._internal.state.rows import MemoryRows
from trefoilreach_emulator._internal.soak.checks import checks, find_violations
from trefoilreach_emulator._internal.soak.environment import count_unfinished_items
from trefoilreach_emulator._internal.soak.faults import (
    NAMED_ONLY_KINDS,
    _set_temporarily,
    faults,
    plan_faults,
)
from trefoilreach_emulator._internal.soak.history import (
    Attempt,
    Failure,
    History,
    Listing,
    Notice,
    Run,
    Submission,
)

EVENTS = 3


def make_attempt(request_id: str = "c1", **changes: object) -> Attempt:
    events = tuple((number, f"{request_id} {number}") for number in range(1, EVENTS + 1))
    attempt = Attempt(request_id, "once", "key-1", "vm-1", 1.0, 1.5, 200, True, True, events)
    return attempt._replace(**changes)  # type: ignore[arg-type]


def make_run(request_id: str = "c1", worker: str = "w1", at: float = 1.1) -> Run:
    return Run(request_id, worker, at, "shop", False, 0)


def make_output(item: str) -> str:
    return "\n".join(f"{item} {number}" for number in range(1, EVENTS + 1))


def make_history() -> History:
    """Return the history of a run without violations."""
    history = History()
    history.add(make_attempt())
    history.add(make_run())
    history.add(make_attempt("c2", status=503, complete=True, receipt=False, events=()))
    history.add(Submission("j1", ("j1-i0", "j1-i1"), frozenset({"j1-i1"}), 1.0, 503))
    history.add(Submission("j1", ("j1-i0", "j1-i1"), frozenset({"j1-i1"}), 2.0, 202))
    history.add(make_run("j1-i0", at=2.1))
    history.add(make_run("j1-i1", at=2.1))
    history.add(Failure("j1-i1", "w1", 2.1, 422))
    results = (("j1-i0", "completed", make_output("j1-i0")), ("j1-i1", "errored", ""))
    history.add(Listing("j1", 0, 3.0, 2, results[:1]))
    history.add(Listing("j1", 0, 4.0, 2, results))
    history.add(Notice("calm", "", 0.5))
    return history


def _run_twice(history: History) -> None:
    history.add(make_run(worker="w2"))


def _run_after_refusal(history: History) -> None:
    history.add(make_run("c2"))


def _run_refused_job(history: History) -> None:
    history.add(Submission("j2", ("j2-i0",), frozenset(), 1.0, 429))
    history.add(make_run("j2-i0"))


def _mix_events_of_two_requests(history: History) -> None:
    history.add(make_attempt("c3", events=((1, "c1 1"), (2, "c3 2"), (3, "c3 3"))))


def _answer_another_request(history: History) -> None:
    history.add(Notice("crossed", "c1", 1.0))


def _omit_receipt(history: History) -> None:
    history.add(make_attempt("c3", receipt=False))


def _skip_event(history: History) -> None:
    history.add(make_attempt("c3", complete=False, events=((1, "c3 1"), (3, "c3 3"))))


def _end_stream_early(history: History) -> None:
    history.add(make_attempt("c3", events=((1, "c3 1"),)))


def _run_unsent_request(history: History) -> None:
    history.add(make_run("nobody"))


def _expose_key(history: History) -> None:
    history.add(make_run("c1")._replace(key_seen=True, worker="w1"))
    history.runs.pop(0)


def _exceed_run_limit(history: History) -> None:
    history.add(make_attempt("c3", route="again"))
    for worker in ("w1", "w2", "w3", "w4"):
        history.add(make_run("c3", worker))


def _run_with_withdrawn_key(history: History) -> None:
    history.add(Notice("withdrawn", "key-2", 1.0))
    history.add(make_attempt("c3", key="key-2", sent_at=3.5))
    history.add(make_run("c3", at=3.6))


def _exceed_quota(history: History) -> None:
    for number in range(800):
        history.add(make_attempt(f"q{number}"))
        history.add(make_run(f"q{number}", at=10.0 + number / 200))


def _use_draining_worker(history: History) -> None:
    history.add(Notice("draining", "w9", 1.0))
    history.add(make_attempt("c3", sent_at=5.0))
    history.add(make_run("c3", "w9", at=5.1))


def _use_leaving_worker(history: History) -> None:
    history.add(Notice("leaving", "w9", 1.0))
    for number, sent_at in enumerate((1.5, 5.0)):
        request_id = f"c{7 + number}"
        events = tuple((n, f"{request_id} {n}") for n in range(1, EVENTS + 1))
        history.add(
            make_attempt(request_id, sent_at=sent_at, ended_at=sent_at + 0.5, events=events)
        )
        history.add(make_run(request_id, "w9", at=sent_at + 0.1))


def _run_cancelled_item(history: History) -> None:
    history.add(Notice("end-asked", "j1", 5.0))
    history.add(Notice("ended", "j1", 5.0))
    history.add(make_run("j1-i0", at=9.0))


def _omit_item(history: History) -> None:
    history.add(Submission("j2", ("j2-i0",), frozenset(), 1.0, 202))
    history.add(Listing("j2", 0, 5.0, 1, ()))


def _list_item_twice(history: History) -> None:
    history.listings.clear()
    result = ("j1-i0", "completed", make_output("j1-i0"))
    history.add(Listing("j1", 0, 4.0, 2, (result, result)))


def _truncate_output(history: History) -> None:
    history.add(Submission("j2", ("j2-i0",), frozenset(), 1.0, 202))
    history.add(Listing("j2", 0, 5.0, 1, (("j2-i0", "completed", "j2-i0 1"),)))


def _give_up_early(history: History) -> None:
    history.add(Submission("j2", ("j2-i0",), frozenset(), 1.0, 202))
    history.add(Failure("j2-i0", "w1", 2.0, 500))
    history.add(Listing("j2", 0, 5.0, 1, (("j2-i0", "errored", ""),)))


def _move_result(history: History) -> None:
    results = (("j1-i1", "errored", ""), ("j1-i0", "completed", make_output("j1-i0")))
    history.add(Listing("j1", 0, 5.0, 2, results))


def _fail_to_find_job(history: History) -> None:
    history.add(Notice("job-not-found", "j1", 4.0))


def _exit_unexpectedly(history: History) -> None:
    history.add(Notice("ended-by-itself", "vm-1", 4.0))


def _serve_nothing(history: History) -> None:
    history.add(Notice("calm", "", 2.0))
    for number in range(8):
        history.add(make_attempt(f"q{number}", sent_at=3.0, status=502, receipt=False, events=()))


VIOLATIONS: dict[Callable[[History], None], str] = {
    _run_twice: "twice",
    _run_after_refusal: "refused",
    _run_refused_job: "refused",
    _mix_events_of_two_requests: "mixed",
    _answer_another_request: "mixed",
    _omit_receipt: "mixed",
    _skip_event: "order",
    _end_stream_early: "order",
    _run_unsent_request: "unasked",
    _expose_key: "unasked",
    _exceed_run_limit: "budget",
    _run_with_withdrawn_key: "withdrawn",
    _exceed_quota: "quota",
    _use_draining_worker: "drain",
    _use_leaving_worker: "leaving",
    _run_cancelled_item: "cancelled",
    _omit_item: "lost",
    _list_item_twice: "lost",
    _truncate_output: "lost",
    _give_up_early: "lost",
    _move_result: "moved",
    _fail_to_find_job: "not-found",
    _exit_unexpectedly: "exits",
    _serve_nothing: "recover",
}


def test_history_without_violations_passes_all_checks() -> None:
    assert find_violations(make_history(), EVENTS) == []


def test_daemon_that_has_started_again_need_not_know_who_leaves() -> None:
    """Guards against a violation by a daemon that heard the news during its stop (seed 722)."""
    history = make_history()
    _use_leaving_worker(history)
    violations = find_violations(history, EVENTS)
    assert violations and all(line.startswith("leaving") for line in violations)
    vm = next(attempt.daemon for attempt in history.attempts if attempt.request_id == "c7")
    history.add(Notice("stopped", vm, 0.5))
    assert find_violations(history, EVENTS) == violations
    history.add(Notice("started-again", vm, 4.0))
    assert find_violations(history, EVENTS) == []


def test_each_check_has_a_history_that_violates_it() -> None:
    assert set(VIOLATIONS.values()) == set(checks.names)


@pytest.mark.parametrize(
    "add_violation", VIOLATIONS, ids=lambda add_violation: add_violation.__name__
)
def test_violation_is_found_by_its_check_only(add_violation: Callable[[History], None]) -> None:
    history = make_history()
    add_violation(history)
    found = {line.split(":")[0] for line in find_violations(history, EVENTS)}
    assert found == {VIOLATIONS[add_violation]}


def test_same_seed_gives_same_plan_and_every_fault_is_planned() -> None:
    assert plan_faults(7, 12.0, 6) == plan_faults(7, 12.0, 6)
    kinds = {fault.kind for seed in range(60) for fault in plan_faults(seed, 12.0, 6)}
    assert kinds == set(faults.names) - NAMED_ONLY_KINDS


def test_killed_job_owner_is_one_with_items_left() -> None:
    """Guards against a kill that meets a daemon without items, after which nothing can be lost."""
    rows = MemoryRows()
    record = JobRecord("j1", "shop", "jobs", "vm-1/1", OPEN, total=2, tokens=20, accepted_ms=0.0)
    jobs = [
        record,
        record._replace(job="j2", owner="vm-2/1"),
        record._replace(job="j3", owner="vm-3/1", state=ENDED),
        record._replace(job="j4", owner="vm-4/1", state=DONE),
    ]
    rows.commit([], [job_write(job) for job in jobs])
    finished = [result_write("j1", position, ItemResult("i", "")) for position in range(2)]
    rows.commit([], [*finished, result_write("j2", 0, ItemResult("i", ""))])
    assert count_unfinished_items(rows) == {"vm-2/1": 1}


def test_overlapping_faults_of_one_kind_are_undone() -> None:
    """Guards against a fault that stays in effect after its end.

    When two faults of one kind overlap, restoring the previous value would restore the faulty one.
    """
    target = SimpleNamespace(down=False)
    faults = [
        threading.Thread(target=_set_temporarily, args=(seconds, [target], "down", True))
        for seconds in (0.02, 0.06)
    ]
    for fault in faults:
        fault.start()
    for fault in faults:
        fault.join()
    assert target.down is False
