"""Guards the checks of the soak: each finds the history that breaks its promise, and only it."""

import threading
from collections.abc import Callable
from types import SimpleNamespace

import pytest
from trefoilreach_emulator._internal.soak.checks import checks, find_violations
from trefoilreach_emulator._internal.soak.faults import _change_for, faults, plan_faults
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
    """Return what is seen of a run that keeps all promises."""
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


def _mix_answers(history: History) -> None:
    history.add(make_attempt("c3", events=((1, "c1 1"), (2, "c3 2"), (3, "c3 3"))))


def _cross_answers(history: History) -> None:
    history.add(Notice("crossed", "c1", 1.0))


def _lose_receipt(history: History) -> None:
    history.add(make_attempt("c3", receipt=False))


def _skip_event(history: History) -> None:
    history.add(make_attempt("c3", complete=False, events=((1, "c3 1"), (3, "c3 3"))))


def _end_early(history: History) -> None:
    history.add(make_attempt("c3", events=((1, "c3 1"),)))


def _run_unasked(history: History) -> None:
    history.add(make_run("nobody"))


def _show_key(history: History) -> None:
    history.add(make_run("c1")._replace(key_seen=True, worker="w1"))
    history.runs.pop(0)


def _run_everywhere(history: History) -> None:
    history.add(make_attempt("c3", route="again"))
    for worker in ("w1", "w2", "w3", "w4"):
        history.add(make_run("c3", worker))


def _run_withdrawn(history: History) -> None:
    history.add(Notice("withdrawn", "key-2", 1.0))
    history.add(make_attempt("c3", key="key-2", sent_at=3.5))
    history.add(make_run("c3", at=3.6))


def _exceed_quota(history: History) -> None:
    for number in range(800):
        history.add(make_attempt(f"q{number}"))
        history.add(make_run(f"q{number}", at=10.0 + number / 200))


def _use_leaving_worker(history: History) -> None:
    history.add(Notice("draining", "w9", 1.0))
    history.add(make_attempt("c3", sent_at=5.0))
    history.add(make_run("c3", "w9", at=5.1))


def _run_cancelled(history: History) -> None:
    history.add(Notice("end-asked", "j1", 5.0))
    history.add(Notice("ended", "j1", 5.0))
    history.add(make_run("j1-i0", at=9.0))


def _forget_item(history: History) -> None:
    history.add(Submission("j2", ("j2-i0",), frozenset(), 1.0, 202))
    history.add(Listing("j2", 0, 5.0, 1, ()))


def _list_twice(history: History) -> None:
    history.listings.clear()
    result = ("j1-i0", "completed", make_output("j1-i0"))
    history.add(Listing("j1", 0, 4.0, 2, (result, result)))


def _spoil_output(history: History) -> None:
    history.add(Submission("j2", ("j2-i0",), frozenset(), 1.0, 202))
    history.add(Listing("j2", 0, 5.0, 1, (("j2-i0", "completed", "j2-i0 1"),)))


def _give_up_early(history: History) -> None:
    history.add(Submission("j2", ("j2-i0",), frozenset(), 1.0, 202))
    history.add(Failure("j2-i0", "w1", 2.0, 500))
    history.add(Listing("j2", 0, 5.0, 1, (("j2-i0", "errored", ""),)))


def _move_result(history: History) -> None:
    results = (("j1-i1", "errored", ""), ("j1-i0", "completed", make_output("j1-i0")))
    history.add(Listing("j1", 0, 5.0, 2, results))


def _lose_job(history: History) -> None:
    history.add(Notice("job-not-found", "j1", 4.0))


def _exit(history: History) -> None:
    history.add(Notice("ended-by-itself", "vm-1", 4.0))


def _serve_nothing(history: History) -> None:
    history.add(Notice("calm", "", 2.0))
    for number in range(8):
        history.add(make_attempt(f"q{number}", sent_at=3.0, status=502, receipt=False, events=()))


BREAKS: dict[Callable[[History], None], str] = {
    _run_twice: "twice",
    _run_after_refusal: "refused",
    _run_refused_job: "refused",
    _mix_answers: "mixed",
    _cross_answers: "mixed",
    _lose_receipt: "mixed",
    _skip_event: "order",
    _end_early: "order",
    _run_unasked: "unasked",
    _show_key: "unasked",
    _run_everywhere: "budget",
    _run_withdrawn: "withdrawn",
    _exceed_quota: "quota",
    _use_leaving_worker: "drain",
    _run_cancelled: "cancelled",
    _forget_item: "lost",
    _list_twice: "lost",
    _spoil_output: "lost",
    _give_up_early: "lost",
    _move_result: "moved",
    _lose_job: "not-found",
    _exit: "exits",
    _serve_nothing: "recover",
}


def test_history_that_keeps_all_promises_breaks_none() -> None:
    assert find_violations(make_history(), EVENTS) == []


def test_each_check_has_a_history_that_breaks_it() -> None:
    assert set(BREAKS.values()) == set(checks.names)


@pytest.mark.parametrize("harm", BREAKS, ids=lambda harm: harm.__name__)
def test_broken_promise_is_found(harm: Callable[[History], None]) -> None:
    history = make_history()
    harm(history)
    found = {line.split(":")[0] for line in find_violations(history, EVENTS)}
    assert found == {BREAKS[harm]}


def test_plan_is_the_same_for_a_seed_and_uses_every_fault() -> None:
    assert plan_faults(7, 12.0, 6) == plan_faults(7, 12.0, 6)
    kinds = {fault.kind for seed in range(60) for fault in plan_faults(seed, 12.0, 6)}
    assert kinds == set(faults.names)


def test_overlapping_faults_of_one_kind_heal() -> None:
    """Guards against a run that goes on with a fault after its end."""
    target = SimpleNamespace(down=False)
    faults = [
        threading.Thread(target=_change_for, args=(seconds, [target], "down", True))
        for seconds in (0.02, 0.06)
    ]
    for fault in faults:
        fault.start()
    for fault in faults:
        fault.join()
    assert target.down is False
