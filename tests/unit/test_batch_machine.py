"""Guards against batch items that are lost, run twice or still run after a cancel.

Several daemons share stores with injected faults; the test records which jobs were acknowledged.
"""

import random
from typing import Any

import orjson
from batch_fakes import (
    DOCUMENT,
    ENDPOINT,
    FakeDaemon,
    Fault,
    Faults,
    FaultyObjects,
    FaultyTable,
    make_input,
)
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.batch.accept import JobRequest, Upload
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.jobs import CANCELLED, COMPLETED, DONE, FINAL_STATUSES

FAULTS = st.builds(
    Fault, st.sampled_from(["", "down", "lost", "late"]), st.integers(0, 8), st.booleans()
)
NO_FAULT = Fault()
DAEMONS = st.integers(0, 2)
ACCOUNTS = {entry.name: entry for entry in DOCUMENT.accounts}


class BatchMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        self.rng = random.Random(seed)
        random.seed(seed)
        self.clock = ManualClock()
        self.faults = Faults()
        self.table = FaultyTable(self.faults)
        self.objects = FaultyObjects(self.faults)
        self.starts = 0
        self.daemons = [self.make_daemon() for _ in range(3)]
        # Requests with their item counts, and the ids of acknowledged jobs, by account and key.
        self.sent: dict[tuple[str, str], tuple[JobRequest, int]] = {}
        self.acknowledged: dict[tuple[str, str], str] = {}
        self.cancelled: set[str] = set()
        self.results: dict[str, str] = {}
        self.outputs: dict[str, bytes] = {}
        self.submit(0, "a", "x", 5)
        self.submit(1, "b", "y", 3)

    def make_daemon(self) -> FakeDaemon:
        self.starts += 1
        return FakeDaemon(f"vm{self.starts}", self.clock, self.table, self.objects)

    @rule(
        at=DAEMONS,
        account=st.sampled_from("ab"),
        key=st.sampled_from("xyz"),
        n=st.integers(1, 5),
        fault=FAULTS,
    )
    def submit(self, at: int, account: str, key: str, n: int, fault: Fault = NO_FAULT) -> None:
        accept = self.daemons[at].parts.acceptor
        self.faults.set(fault)
        try:
            if (account, key) not in self.sent:
                file = accept.accept_file(ACCOUNTS[account], Upload("f", "batch", make_input(n)))
                request = JobRequest(file.id, ENDPOINT, "24h", {})
                self.sent[account, key] = (request, n)
            request, _ = self.sent[account, key]
            job = accept.accept_job(ACCOUNTS[account], request, key)
        except Refusal as refusal:
            assert refusal.status == 503
            # After a lost answer the row is read back, which fails only while the store is down.
            assert fault.kind == "down" or fault.then_down
            return
        finally:
            self.faults.set(NO_FAULT)
        assert self.acknowledged.setdefault((account, key), job.id) == job.id

    @rule(at=DAEMONS, limit=st.integers(0, 6), fault=FAULTS)
    def work(self, at: int, limit: int, fault: Fault = NO_FAULT) -> None:
        """Tick a daemon, run items and tick again while the stores have a fault."""
        daemon = self.daemons[at]
        if daemon.paused:
            return
        self.faults.set(fault)
        daemon.tick()
        daemon.run_items(limit, self.rng)
        self.clock.advance(0.4)
        daemon.tick()
        self.faults.set(NO_FAULT)

    @rule(at=DAEMONS)
    def resume(self, at: int) -> None:
        self.daemons[at].paused = False

    @rule(at=DAEMONS, limit=st.integers(0, 6))
    def freeze_past_the_lease(self, at: int, limit: int) -> None:
        """Run items but store no results until the other daemons had time to take over."""
        daemon = self.daemons[at]
        if not daemon.paused:
            daemon.tick()
            daemon.run_items(limit, self.rng)
            daemon.paused = True
        for _ in range(5):
            self.clock.advance(6.0)
            for other in range(len(self.daemons)):
                self.work(other, 1)

    @rule(at=DAEMONS)
    def kill(self, at: int) -> None:
        self.daemons[at] = self.make_daemon()

    @rule(at=DAEMONS)
    def give_back(self, at: int) -> None:
        self.daemons[at].give_back()

    @rule(seconds=st.sampled_from([0.3, 1.0, 2.0, 7.0]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule(seconds=st.sampled_from([10.0, 40.0, 90.0]))
    def outage(self, seconds: float) -> None:
        for _ in range(3):
            self.clock.advance(seconds / 3)
            for at in range(len(self.daemons)):
                self.work(at, 2, Fault("down"))

    @rule()
    def apply_late(self) -> None:
        self.table.apply_late()

    @rule(at=DAEMONS, key=st.sampled_from([("a", "x"), ("b", "y")]), fault=FAULTS)
    def cancel(self, at: int, key: tuple[str, str], fault: Fault) -> None:
        self.faults.set(fault)
        try:
            job = self.daemons[at].parts.canceller.cancel(key[0], self.acknowledged[key])
        except Refusal as refusal:
            assert refusal.status == 503
            return
        finally:
            self.faults.set(NO_FAULT)
        if job.status != COMPLETED:
            self.cancelled.add(job.id)
            here = [held for held in self.daemons[at].held if held.job.id == job.id]
            assert all(held.stop_state for held in here), "items start after the cancel"

    def read(self, prefix: str) -> list[Any]:
        return self.table.scan(prefix).unwrap()

    @invariant()
    def ended_chunks_never_change(self) -> None:
        for row in self.read("chunk/"):
            if row.value["state"] == DONE:
                result = row.value["result"]
                assert self.results.setdefault(row.key, result) == result
            elif row.key in self.results:
                raise AssertionError(f"{row.key} was ended and runs again")

    @invariant()
    def jobs_are_those_that_were_sent(self) -> None:
        rows = self.read("job/")
        assert len(rows) <= len(self.sent)
        assert set(self.acknowledged.values()) <= {row.value["id"] for row in rows}
        for row in rows:
            if row.value["status"] in FINAL_STATUSES:
                self.check_output(row)

    def check_output(self, row: Any) -> None:
        reader = self.daemons[0].parts.reader
        job = reader.find_job(row.value["account"], row.value["id"])
        view = reader.build_view(job)
        data = b""
        if view.output_file:
            found = reader.find_result(job.account, view.output_file)
            assert found is not None
            data = b"".join(reader.read_result(found))
        assert self.outputs.setdefault(job.id, data) == data
        assert len(data) == job.output_bytes
        ids = [orjson.loads(line)["custom_id"] for line in data.splitlines()]
        assert len(ids) == len(set(ids)) == job.completed
        if job.status == COMPLETED:
            assert len(ids) == job.total
            assert job.id not in self.cancelled

    def teardown(self) -> None:
        if not hasattr(self, "faults"):
            return
        self.table.apply_late()
        for daemon in self.daemons:
            daemon.paused = False
        for step in range(400):
            if not self.read("open/"):
                break
            for daemon in self.daemons:
                daemon.tick()
                ran = daemon.run_items(4, self.rng)
                # After a daemon has read the open jobs, no item of a cancelled job runs.
                assert step < 4 or not self.cancelled.intersection(job for job, _ in ran)
            self.clock.advance(1.0)
        assert not self.read("open/"), "an accepted job does not end"
        self.jobs_are_those_that_were_sent()
        self.ended_chunks_never_change()
        statuses = {row.value["id"]: row.value["status"] for row in self.read("job/")}
        assert all(statuses[job] == CANCELLED for job in self.cancelled)


BatchMachine.TestCase.settings = settings(
    stateful_step_count=30, max_examples=3 * settings().max_examples
)
TestBatchMachineFuzz = BatchMachine.TestCase
