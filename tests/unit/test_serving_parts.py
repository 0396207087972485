"""Guards the parts of the serving core: order, yielding, shared quotas, freshness, crashes."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st
from serving_fakes import FakeLink, make_tools
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.exchange.reports import (
    CrashedRun,
    Identity,
    ReportWriter,
    Statement,
    decode,
    encode_bundle,
    read_identity,
    read_statement,
)
from trefoilreach._internal.coordination.quota.shared import QuotaBound, SharedBuckets, Use
from trefoilreach._internal.coordination.serving.board import (
    PEER_SILENT_SECONDS,
    PeerLoad,
    Runs,
    SlotTable,
    Waiting,
    WorkerLoad,
)
from trefoilreach._internal.coordination.serving.choice import choose_batch, choose_online
from trefoilreach._internal.coordination.serving.crashes import CrashList, find_fingerprint
from trefoilreach._internal.coordination.serving.freshness import Freshness
from trefoilreach._internal.coordination.serving.leftovers import LeftoverWatch, count_leftovers
from trefoilreach._internal.coordination.serving.outcomes import Outcomes, OutcomeTracker
from trefoilreach._internal.coordination.serving.overload import OverloadPolicy, Pressure
from trefoilreach._internal.coordination.serving.preemption import count_to_preempt
from trefoilreach._internal.coordination.serving.turns import (
    BatchNeed,
    OnlineTimes,
    compute_online_times,
    count_reserved_slots,
    is_retry,
    rank_batch,
    rank_online,
)
from trefoilreach._internal.coordination.serving.workers import (
    RETURN_GRACE_SECONDS,
    WorkerDirectory,
)
from trefoilreach._internal.protocol.gen.fleet.ttypes import Report, Spread
from trefoilreach._internal.state.serving import ServingAccount, WorkerEntry

ENTRY = WorkerEntry("w1", "pool", "10.0.0.1", 80, "a", 8, False, 5)
ACCOUNT = ServingAccount("shop", frozenset({"k"}), None, 20.0, 20.0)


def test_late_requests_wait_behind_those_that_can_be_on_time() -> None:
    """Guards against a burst in which every request becomes late."""
    late, fresh = OnlineTimes(0, 1.0, 1.2, 4.0), OnlineTimes(0, 1.5, 1.7, 4.5)
    assert rank_online(fresh, 1.6) < rank_online(late, 1.6)
    assert rank_online(late, 1.1) < rank_online(fresh, 1.1)
    # Not until its end, however many newer ones come.
    newest = OnlineTimes(0, 4.0, 4.2, 7.0)
    assert rank_online(late, 4.1) < rank_online(newest, 4.1)


def test_caller_that_came_back_is_not_overtaken() -> None:
    """Guards against a caller that waits out its time behind newer requests."""
    returned = compute_online_times(0, now=10.0, target=0.3, time_left=3.5, time_limit=5.0)
    new = compute_online_times(0, now=10.1, target=0.3, time_left=5.0, time_limit=5.0)
    assert rank_online(returned, 10.2) < rank_online(new, 10.2)
    later = compute_online_times(0, now=12.4, target=0.3, time_left=5.0, time_limit=5.0)
    assert rank_online(returned, 12.5) < rank_online(later, 12.5)


def test_online_goes_before_batch_and_batch_by_due_time() -> None:
    late_online = rank_online(OnlineTimes(3, 0.0, 0.1, 3.0), 2.0)
    soon, later = BatchNeed(9.0, 1.0), BatchNeed(12.0, 1.0)
    missed = BatchNeed(2.5, 1.0)
    ranked = [rank_batch(need, 2.0) for need in (soon, later, missed)]
    assert late_online < ranked[0] < ranked[1] < ranked[2]


def test_batch_leaves_no_reserve_while_nothing_is_online() -> None:
    assert count_reserved_slots(48, 0) == 0
    assert count_reserved_slots(48, 30) == 3


@given(
    st.dictionaries(st.text("abc", min_size=1), st.integers(1, 8), min_size=1), st.integers(0, 9)
)
def test_daemons_give_up_exactly_what_must_leave_fuzz(counts: dict[str, int], excess: int) -> None:
    """Guards against two daemons that give up a slot for the same request, or none."""
    given_up = {vm: count_to_preempt(vm, counts, excess) for vm in counts}
    assert sum(given_up.values()) == min(excess, sum(counts.values()))
    assert all(given_up[vm] <= counts[vm] for vm in counts)


def test_return_times_do_not_meet() -> None:
    """Guards against refused callers that all come back at one moment."""
    door = OverloadPolicy()
    pressure = Pressure(before=20, slots=48, taken=48, daemons=12)
    times = [door.assign_retry_delay(pressure, 10.0) for _ in range(5)]
    assert times == sorted(times)
    assert min(b - a for a, b in pairwise(times)) > 0.1


def test_door_refuses_only_what_cannot_start_in_time() -> None:
    door = OverloadPolicy()
    assert not door.must_refuse(Pressure(0, 48, 47, 12), 0.24)
    assert not door.must_refuse(Pressure(10, 48, 48, 12), 0.24)
    assert door.must_refuse(Pressure(30, 48, 48, 12), 0.24)
    assert is_retry(3.4, 5.0) and not is_retry(4.99, 5.0)


def test_silent_peers_and_ended_ones_free_their_slots() -> None:
    """Guards against slots that a dead daemon holds for ever."""
    board = SlotTable("me")
    board.change_own("w1", online=1)
    load = PeerLoad(10.0, {"w1": Runs(2, 3)}, {"pool": (Waiting(0, 9.0),)})
    board.update_peer("peer", load)
    assert board.loads([ENTRY])[0].free == 2
    assert board.count_before("pool", Waiting(0, 9.5)) == 1
    board.drop_silent(10.0 + PEER_SILENT_SECONDS + 0.1)
    assert board.loads([ENTRY])[0].free == 7
    board.update_peer("peer", load)
    board.remove_peer("peer")
    assert board.loads([ENTRY])[0].free == 7


class QuotaFleet:
    """Daemons that tell each other their admissions."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock(100.0)
        self.buckets = [SharedBuckets(self.clock, QuotaBound()) for _ in range(count)]
        for buckets in self.buckets:
            buckets.configure([ACCOUNT])

    def exchange(self, groups: list[list[int]]) -> None:
        for group in groups:
            for sender in group:
                uses = self.buckets[sender].own_use()
                for receiver in group:
                    if receiver != sender:
                        self.buckets[receiver].hear(f"d{sender}", 1, uses, older=False)

    def ask(self, rate: float, seconds: float, groups: list[list[int]]) -> list[float]:
        admitted = []
        members = [number for group in groups for number in group]
        for step in range(int(rate * seconds)):
            self.clock.advance(1.0 / rate)
            if self.buckets[members[step % len(members)]].admit(ACCOUNT) is None:
                admitted.append(self.clock.now())
            self.exchange(groups)
        return admitted


def count_worst_window(times: list[float]) -> int:
    return max(sum(start <= at < start + 5.0 for at in times) for start in times)


BOUND = (ACCOUNT.rate * 5.0 + ACCOUNT.burst) * 1.1 + 20.0


def test_account_gets_its_rate_whichever_daemons_it_uses() -> None:
    """Guards against refusals inside the rate."""
    fleet = QuotaFleet(12)
    everyone = [list(range(12))]
    assert len(fleet.ask(19.0, 10.0, everyone)) == 190


def test_account_over_its_rate_is_held_to_it() -> None:
    """Guards against a fleet on which each daemon admits the whole rate."""
    fleet = QuotaFleet(12)
    admitted = fleet.ask(150.0, 10.0, [list(range(12))])
    assert len(admitted) <= ACCOUNT.rate * 10.0 + ACCOUNT.burst + 12
    assert count_worst_window(admitted) <= BOUND


@pytest.mark.parametrize("cut", [1, 2, 3, 6])
def test_parts_of_a_split_fleet_stay_within_the_bound_together(cut: int) -> None:
    """Guards against a split in which each side admits the whole rate."""
    fleet = QuotaFleet(12)
    sides = [list(range(cut)), list(range(cut, 12))]
    fleet.exchange([list(range(12))])
    for side in sides:
        for number in side:
            fleet.buckets[number].set_reach(len(side), 12)
    assert count_worst_window(fleet.ask(150.0, 12.0, sides)) <= BOUND


def test_restart_of_all_daemons_does_not_refill_the_burst() -> None:
    fleet = QuotaFleet(4)
    before = fleet.ask(100.0, 4.0, [list(range(4))])
    again = QuotaFleet(4)
    again.clock = fleet.clock
    again.buckets = [SharedBuckets(fleet.clock, QuotaBound()) for _ in range(4)]
    for buckets in again.buckets:
        buckets.configure([ACCOUNT])
    again.exchange([list(range(4))])
    after = again.ask(100.0, 4.0, [list(range(4))])
    assert count_worst_window(before + after) <= BOUND


def test_new_daemon_takes_the_level_that_older_ones_state() -> None:
    clock = ManualClock(5.0)
    buckets = SharedBuckets(clock, QuotaBound())
    buckets.configure([ACCOUNT])
    buckets.hear("old", 1, {"shop": Use(500, 0.0)}, older=True)
    assert buckets.admit(ACCOUNT) is not None


def test_new_daemon_refuses_no_account_that_was_idle_when_it_started() -> None:
    """Guards against 429 after a restart, for admissions of long ago.

    Reports leave idle accounts out. The first later one states all admissions of its daemon.
    """
    clock = ManualClock(5.0)
    buckets = SharedBuckets(clock, QuotaBound())
    buckets.configure([ACCOUNT])
    buckets.hear("old", 1, {}, older=True)
    clock.advance(1.0)
    buckets.hear("old", 1, {"shop": Use(500, ACCOUNT.burst - 1.0)}, older=True)
    assert buckets.admit(ACCOUNT) is None
    buckets.hear("old", 1, {"shop": Use(500 + int(ACCOUNT.burst), 0.0)}, older=True)
    assert buckets.admit(ACCOUNT) is not None


def test_tokens_of_an_idle_time_do_not_add_up_beyond_the_burst() -> None:
    """Guards against credit for a time in which the bucket was full."""
    fleet = QuotaFleet(2)
    fleet.ask(1.0, 1.0, [[0, 1]])
    fleet.clock.advance(60.0)
    fleet.buckets[0].hear("far", 1, {"shop": Use(20, 0.0)}, older=False)
    wait = [fleet.buckets[0].admit(ACCOUNT) for _ in range(3)]
    assert all(entry is not None for entry in wait)


def test_keys_end_with_the_bound_also_without_news() -> None:
    """Guards against a withdrawn key that goes on working at a daemon that is cut off."""
    clock = ManualClock(50.0)
    freshness = Freshness(clock, 5.0)
    assert not freshness.keys_valid
    freshness.confirm(50.0)
    clock.advance(4.9)
    assert freshness.keys_valid and not freshness.absence_is_certain
    freshness.confirm(51.0)
    clock.advance(1.0)
    assert freshness.keys_valid
    clock.advance(0.2)
    assert not freshness.keys_valid


def test_request_that_was_at_three_dead_workers_is_blocked_everywhere() -> None:
    clock = ManualClock()
    here, there = CrashList(clock), CrashList(clock)
    print_ = find_fingerprint("shop", "/r/1", b"body")
    for worker in ("w1/1", "w2/1", "w2/1"):
        here.note(print_, worker, "r1")
    assert not here.is_blocked(print_)
    there.note(print_, "w3/1", "r2")
    here.hear(there.reported())
    there.hear(here.reported())
    assert here.is_blocked(print_) and there.is_blocked(print_)
    assert print_ == find_fingerprint("shop", "/r/1", b"body")


def test_entries_that_lapsed_with_the_store_are_used_until_they_are_back() -> None:
    """Guards against a fleet without workers right after an outage of the store."""
    clock = ManualClock(10.0)
    directory = WorkerDirectory(clock, lambda: None)
    directory.put(ENTRY)
    directory.replace([], clock.now() + RETURN_GRACE_SECONDS)
    assert directory.usable("pool") == [ENTRY]
    clock.advance(RETURN_GRACE_SECONDS + 0.1)
    assert directory.usable("pool") == []


def test_entry_that_ends_while_the_store_is_up_is_left_at_once() -> None:
    directory = WorkerDirectory(ManualClock(10.0), lambda: None)
    directory.put(ENTRY)
    directory.drop("w1")
    assert directory.usable("pool") == []


def test_worker_that_does_not_answer_is_left_alone_for_longer_each_time() -> None:
    clock = ManualClock(10.0)
    directory = WorkerDirectory(clock, lambda: None)
    other = ENTRY._replace(id="w2")
    directory.put(ENTRY)
    directory.put(other)
    directory.note_failure("w1", "refused")
    assert directory.usable("pool") == [other]
    clock.advance(0.6)
    assert len(directory.usable("pool")) == 2
    directory.note_failure("w1", "refused")
    clock.advance(0.6)
    assert directory.usable("pool") == [other]
    directory.note_answer("w1")
    assert len(directory.usable("pool")) == 2


def test_daemons_do_not_keep_each_others_suspicion_alive() -> None:
    """Guards against a worker that stays unused because two daemons failed there once.

    Each of them heard the other's suspicion, stated it as its own, and neither sent a
    request that could have ended it.
    """
    clock = ManualClock(10.0)
    fleet = [WorkerDirectory(clock, lambda: None) for _ in range(2)]
    for directory in fleet:
        directory.put(ENTRY)
        directory.put(ENTRY._replace(id="w2"))
        directory.note_failure("w1", "silent")
    for _ in range(40):
        clock.advance(0.1)
        stated = [directory.suspects for directory in fleet]
        fleet[0].hear_suspects(stated[1])
        fleet[1].hear_suspects(stated[0])
    assert all(len(directory.usable("pool")) == 2 for directory in fleet)


def test_silent_request_at_a_worker_that_answers_others_is_no_suspicion() -> None:
    """Guards against workers that are left alone because their queue was long."""
    clock = ManualClock(10.0)
    directory = WorkerDirectory(clock, lambda: None)
    directory.put(ENTRY)
    directory.put(ENTRY._replace(id="w2"))
    directory.note_alive("w1")
    clock.advance(0.2)
    directory.note_failure("w1", "silent", silent=True)
    assert len(directory.usable("pool")) == 2
    clock.advance(1.0)
    directory.note_failure("w1", "silent", silent=True)
    assert len(directory.usable("pool")) == 1


def test_all_workers_are_tried_while_all_are_suspected() -> None:
    """Guards against a fleet that serves nobody because of suspicions."""
    directory = WorkerDirectory(ManualClock(10.0), lambda: None)
    directory.put(ENTRY)
    directory.note_failure("w1", "silent")
    assert directory.usable("pool") == [ENTRY]


def test_requests_that_a_lost_daemon_left_behind_count_as_taken() -> None:
    """Guards against a cold start that sends eight requests to a worker that still runs six."""
    clock = ManualClock(10.0)
    link = FakeLink()
    tools = make_tools(link, workers=1, clock=clock)
    admission = tools.admission
    watch = LeftoverWatch(clock, admission, link, lambda worker: True)
    admission.workers.put(ENTRY._replace(id="w0"))
    link.loads = {"w0": 6}
    watch.poll()
    assert admission.pressure("pool", 0).taken == 6
    # What daemons state meanwhile is no leftover.
    admission.hear("peer", PeerLoad(10.0, {"w0": Runs(2, 0)}, {}))
    watch.poll()
    watch.poll()
    assert admission.pressure("pool", 0).taken == 6
    link.loads = {"w0": 2}
    watch.poll()
    assert admission.pressure("pool", 0).taken == 2
    admission.clear_leftovers()
    admission.forget("peer")
    assert admission.runs() == {}


def test_late_report_of_a_load_is_no_leftover() -> None:
    assert count_leftovers(reported=5, known_before=5, known_now=2) == 0
    assert count_leftovers(reported=5, known_before=1, known_now=4) == 1


NAMES = [f"w{number}" for number in range(6)]


def play_outcomes(failing: dict[str, int], seconds: float) -> list[OutcomeTracker]:
    """Let twelve daemons send each worker a request every 2.5 s; some fail each n-th."""
    clock = ManualClock(100.0)
    fleet = [OutcomeTracker(clock) for _ in range(12)]
    for step in range(int(seconds * 28)):
        clock.advance(1.0 / 28.0)
        worker, vm = NAMES[step % 6], (step // 6) % 12
        bad = worker in failing and (step // 6) % failing[worker] == 0
        fleet[vm].note(worker, good=not bad)
        for number, board in enumerate(fleet):
            if number != vm:
                board.hear(f"d{vm}", 1, fleet[vm].stated())
    return fleet


def test_worker_that_fails_every_second_request_is_found_by_all_daemons() -> None:
    """Guards against callers that meet a sick worker for as long as each daemon learns alone."""
    fleet = play_outcomes({"w2": 2}, 5.0)
    assert all(board.find_doubtful(NAMES) == {"w2"} for board in fleet)
    fleet[0]._clock.advance(6.0)
    assert all(board.find_doubtful(NAMES) == set() for board in fleet)


def test_answers_lost_now_and_then_shut_no_worker_out() -> None:
    fleet = play_outcomes(dict.fromkeys(NAMES, 12), 10.0)
    assert all(board.find_doubtful(NAMES) == set() for board in fleet)


def test_single_bad_request_shuts_no_worker_out() -> None:
    """Guards against one angry caller that takes workers from all others."""
    board = OutcomeTracker(ManualClock(1.0))
    for worker in NAMES:
        board.note(worker, good=False)
        board.note(worker, good=False)
    assert board.find_doubtful(NAMES) == set()


def test_no_more_workers_are_shut_out_than_the_load_can_bear() -> None:
    fleet = play_outcomes(dict.fromkeys(NAMES[:4], 2), 5.0)
    assert fleet[0].find_doubtful(NAMES) == set()


def test_doubtful_worker_is_used_when_the_others_are_full() -> None:
    sound = WorkerLoad(ENTRY, 7, 0)
    doubtful = WorkerLoad(ENTRY._replace(id="w2"), 0, 0, doubtful=True)
    assert choose_online([sound, doubtful], "p") == "w1"
    assert choose_online([sound._replace(online=8), doubtful], "p") == "w2"
    assert choose_batch([sound, doubtful]) == "w1"


def _carry(report: Report) -> Report:
    """Return a report as it comes out of a datagram."""
    datagram = decode(encode_bundle("vm", Spread.NOWHERE, [report]))
    assert datagram is not None and datagram.bundle is not None
    found: Report = datagram.bundle.reports[0]
    return found


def test_report_survives_its_way() -> None:
    identity = Identity("vm", 7, "10.0.0.1", 7000, 7001, "10.0.0.1:80", "a", cores=0.516)
    statement = Statement(
        accepting=True,
        leaving=False,
        config_version=12,
        uptime=3.0,
        store_age=0.5,
        runs={"w1": Runs(2, 1)},
        waiting={"pool": (Waiting(0, 99.5), Waiting(8, 118.0))},
        uses={"shop": Use(5, 1.5)},
        jobs={"j1": 4},
        suspects=("w2",),
        crashes=(CrashedRun("f", "w3/1"),),
        outcomes={"w1": Outcomes(7, 2)},
    )
    writer = ReportWriter(identity)
    report = _carry(writer.write(statement, 100.0, whole=True))
    assert read_identity(report) == identity
    # The receiver's clock has nothing to do with the sender's.
    received = read_statement(report, 1000.0)
    assert received.waiting["pool"] == (Waiting(0, 999.5), Waiting(8, 1018.0))
    assert received._replace(waiting=statement.waiting) == statement
    # Later reports have all requests, and of the rest what changed.
    later = statement._replace(uses={**statement.uses, "new": Use(1, 9.0)})
    report = _carry(writer.write(later, 101.0, whole=False))
    assert read_identity(report) is None
    received = read_statement(report, 1001.0, uptime=4.0)
    assert received.runs == statement.runs and received.uses == {"new": Use(1, 9.0)}
    assert received.uptime == 4.0 and received.jobs == {}


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]),
            st.dictionaries(
                st.sampled_from(["w1", "w2"]),
                st.builds(Runs, st.integers(0, 4), st.integers(0, 4)),
            ),
        ),
        max_size=20,
    )
)
def test_sums_follow_the_reports_fuzz(reports: list[tuple[str, dict[str, Runs]]]) -> None:
    """Guards against slots that drift away from what the daemons last stated."""
    board = SlotTable("me")
    last: dict[str, dict[str, Runs]] = {}
    for vm, runs in reports:
        board.update_peer(vm, PeerLoad(0.0, runs, {}))
        last[vm] = runs
    for worker in ("w1", "w2"):
        load = board.loads([ENTRY._replace(id=worker)])[0]
        stated = [runs[worker] for runs in last.values() if worker in runs]
        assert load.online == sum(entry.online for entry in stated)
        assert load.batch == sum(entry.batch for entry in stated)
        assert sum(board.batch_by_vm(worker).values()) == load.batch
    for vm in last:
        board.remove_peer(vm)
    assert board.loads([ENTRY])[0].free == ENTRY.slots


@given(st.binary(max_size=200))
def test_odd_datagrams_are_dropped_fuzz(data: bytes) -> None:
    decode(data)
