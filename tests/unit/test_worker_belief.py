"""Tests what a daemon believes of workers, against a simple model, without sockets."""

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.serving import workers as workers_module
from trefoilreach._internal.coordination.serving.worker_belief import Source
from trefoilreach._internal.coordination.serving.workers import (
    MAX_UNLISTED_BELIEFS,
    STORE_RECOVERY_GRACE_SECONDS,
    WorkerDirectory,
)
from trefoilreach._internal.state.serving import WorkerEntry

ENTRY = WorkerEntry("w1", "pool", "10.0.0.1", 80, "a", 8, False, 5, 40)
# Without the time of the start, which other implementations may leave out.
UNDATED = ENTRY._replace(started_ms=0)


def make_directory(*entries: WorkerEntry) -> WorkerDirectory:
    directory = WorkerDirectory(ManualClock(100.0), lambda: None)
    for entry in entries:
        directory.put(entry)
    return directory


def list_ids(directory: WorkerDirectory) -> list[str]:
    return [entry.id for entry in directory.list_usable("pool")]


@pytest.mark.parametrize("entry", [ENTRY, UNDATED])
def test_belief_survives_a_lost_entry(entry: WorkerEntry) -> None:
    """Guards against a leaving worker that is used again when its entry returns after an outage."""
    clock = ManualClock(100.0)
    directory = WorkerDirectory(clock, lambda: None)
    directory.put(entry)
    directory.note_leaving(entry, Source.ANSWER)
    directory.replace([], clock.now() + STORE_RECOVERY_GRACE_SECONDS)
    clock.advance(STORE_RECOVERY_GRACE_SECONDS + 0.1)
    assert list_ids(directory) == [] and directory.entries() == []
    directory.put(entry._replace(sequence=entry.sequence + 9))
    assert list_ids(directory) == []


@pytest.mark.parametrize(
    ("first", "later", "used"),
    [
        (ENTRY, ENTRY._replace(sequence=41), False),
        (ENTRY, ENTRY._replace(sequence=1), False),
        (ENTRY, ENTRY._replace(draining=True), False),
        (ENTRY, ENTRY._replace(started_ms=6), True),
        (UNDATED, UNDATED._replace(sequence=41), False),
        (UNDATED, UNDATED._replace(sequence=1), True),
        (UNDATED, UNDATED._replace(port=81), True),
        (ENTRY, UNDATED._replace(sequence=41), False),
        (ENTRY, UNDATED._replace(sequence=1), True),
    ],
)
@pytest.mark.parametrize("lost", [False, True])
def test_only_a_new_process_ends_the_belief(
    first: WorkerEntry, later: WorkerEntry, used: bool, lost: bool
) -> None:
    """Guards against a leaving process that is used again, and a new one that never is."""
    directory = make_directory(first)
    directory.note_leaving(first, Source.ANSWER)
    if lost:
        directory.drop("w1")
    directory.put(later)
    assert list_ids(directory) == (["w1"] if used else [])


def test_counter_seen_last_tells_of_a_new_process() -> None:
    """Guards against a new process whose counter is above that at the time of the notice."""
    directory = make_directory(UNDATED)
    directory.note_leaving(UNDATED, Source.ANSWER)
    directory.put(UNDATED._replace(sequence=90))
    directory.put(UNDATED._replace(sequence=60))
    assert list_ids(directory) == ["w1"]


def test_entry_of_another_worker_at_the_address_is_used() -> None:
    """Guards against an address that stays out of use when another worker gets it."""
    directory = make_directory(ENTRY)
    directory.note_leaving(ENTRY, Source.ANSWER)
    directory.put(ENTRY._replace(id="w2", started_ms=6))
    assert list_ids(directory) == ["w2"]


def test_answers_decide_before_the_entry_and_before_suspicions() -> None:
    """Guards against sources that undo each other; the log tells which one decides and its age."""
    clock = ManualClock(100.0)
    directory = WorkerDirectory(clock, lambda: None)
    directory.put(ENTRY)
    directory.note_failure("w1", "silent")
    clock.advance(0.25)
    assert directory.describe_unused("pool") == {"w1": "suspected for 0.2 s (own-requests)"}
    directory.put(ENTRY._replace(draining=True))
    clock.advance(1.0)
    assert directory.describe_unused("pool") == {"w1": "leaving for 1.0 s (entry)"}
    directory.note_leaving(ENTRY, Source.LOAD_REPORT)
    clock.advance(2.0)
    directory.put(ENTRY)
    directory.note_answer("w1")
    assert directory.describe_unused("pool") == {"w1": "leaving for 2.0 s (load-report)"}
    assert directory.find_open("w1") is None and directory.find("w1") == ENTRY


def test_worker_that_no_longer_drains_by_its_entry_is_used() -> None:
    """Guards against an entry that was put back to ready and is ignored."""
    directory = make_directory(ENTRY._replace(draining=True))
    assert list_ids(directory) == [] and directory.find_open("w1") is None
    directory.put(ENTRY)
    assert list_ids(directory) == ["w1"] and directory.find_open("w1") == ENTRY


def test_beliefs_without_an_entry_are_bounded() -> None:
    """Guards against memory that grows with each worker that ever left."""
    directory = make_directory()
    count = 3 * MAX_UNLISTED_BELIEFS
    for number in range(count):
        entry = ENTRY._replace(id=f"w{number}")
        directory.put(entry)
        directory.note_leaving(entry, Source.ANSWER)
        directory.drop(entry.id)
        directory.note_answer(f"late{number}")
        directory.apply_peer_suspects([f"unknown{number}"])
    assert len(directory._beliefs) <= MAX_UNLISTED_BELIEFS
    for number in range(count - MAX_UNLISTED_BELIEFS // 2, count):
        directory.put(ENTRY._replace(id=f"w{number}"))
    assert list_ids(directory) == []


def test_new_reports_of_a_worker_are_no_change(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a log line and a round of grants for each report of each worker."""
    lines: list[str] = []
    monkeypatch.setattr(workers_module, "log_event", lambda kind, **fields: lines.append(kind))
    changes: list[bool] = []
    directory = WorkerDirectory(ManualClock(100.0), lambda: changes.append(True))
    for sequence in range(40, 60):
        directory.put(ENTRY._replace(sequence=sequence))
    assert (lines, len(changes)) == (["worker:seen"], 1)


WORKERS = st.sampled_from(["w0", "w1", "w2"])


class BeliefMachine(RuleBasedStateMachine):
    """Workers start, drain, say that they leave, and lose their entries; failures come between.

    The model knows the process behind each entry and which processes have said that they leave.
    """

    @initialize(dated=st.booleans())
    def start(self, dated: bool) -> None:
        self.clock = ManualClock(100.0)
        self.directory = WorkerDirectory(self.clock, lambda: None)
        self.dated = dated
        self.processes = dict.fromkeys(("w0", "w1", "w2"), 1)
        self.sequences: dict[str, int] = dict.fromkeys(self.processes, 2)
        self.listed: dict[str, WorkerEntry] = {}
        self.former: dict[str, WorkerEntry] = {}
        self.leaving: set[tuple[str, int]] = set()

    def make_entry(self, worker: str, draining: bool) -> WorkerEntry:
        started = self.processes[worker] if self.dated else 0
        number = int(worker[1:])
        return WorkerEntry(
            worker, "pool", "h", 1 + number, "a", 2, draining, started, self.sequences[worker]
        )

    @rule(worker=WORKERS, draining=st.booleans())
    def report(self, worker: str, draining: bool) -> None:
        self.sequences[worker] += 1
        self.listed[worker] = self.make_entry(worker, draining)
        self.directory.put(self.listed[worker])

    @rule(worker=WORKERS)
    def start_again(self, worker: str) -> None:
        """A new process reports, with a smaller counter than the former one."""
        last = self.listed.get(worker) or self.former.get(worker)
        if last is not None and last.sequence > 1:
            self.former[worker] = last
            self.processes[worker] += 1
            self.sequences[worker] = 0
            self.report(worker, False)

    @rule(worker=WORKERS)
    def lose_entry(self, worker: str) -> None:
        self.directory.drop(worker)
        if worker in self.listed:
            self.former[worker] = self.listed.pop(worker)

    @rule(worker=WORKERS, source=st.sampled_from([Source.ANSWER, Source.LOAD_REPORT]))
    def say_leaving(self, worker: str, source: Source) -> None:
        if worker in self.listed:
            self.leaving.add((worker, self.processes[worker]))
            self.directory.note_leaving(self.listed[worker], source)

    @rule(worker=WORKERS)
    def say_leaving_late(self, worker: str) -> None:
        """The answer to a request that was sent by the entry of a former process."""
        if self.dated and worker in self.former and worker in self.listed:
            former = self.former[worker]
            if former.started_ms != self.listed[worker].started_ms:
                self.directory.note_leaving(former, Source.ANSWER)

    @rule(worker=WORKERS, kind=st.sampled_from(["answer", "partial", "fail", "replaced", "peer"]))
    def other_news(self, worker: str, kind: str) -> None:
        news: dict[str, Any] = {
            "answer": lambda: self.directory.note_answer(worker),
            "partial": lambda: self.directory.record_partial_answer(worker),
            "fail": lambda: self.directory.note_failure(worker, "silent"),
            "replaced": lambda: self.directory.note_replaced(worker),
            "peer": lambda: self.directory.apply_peer_suspects([worker]),
        }
        news[kind]()

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 600.0]))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)

    def list_open(self) -> set[str]:
        return {
            worker
            for worker, entry in self.listed.items()
            if not entry.draining and (worker, self.processes[worker]) not in self.leaving
        }

    @invariant()
    def usable_workers_are_open(self) -> None:
        usable = set(list_ids(self.directory))
        assert usable <= self.list_open()
        assert bool(usable) == bool(self.list_open())

    @invariant()
    def slots_are_kept_only_at_open_workers(self) -> None:
        found = {w for w in self.processes if self.directory.find_open(w) is not None}
        assert found == self.list_open()


TestBeliefFuzz = BeliefMachine.TestCase
TestBeliefFuzz.settings = settings(stateful_step_count=40, max_examples=2 * settings().max_examples)
