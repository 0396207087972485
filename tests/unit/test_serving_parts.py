"""Tests the parts of serving: queue order, preemption, shared quotas, freshness, crashes."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st
from serving_fakes import FakeLink, make_tools
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.exchange.reports import (
    DaemonState,
    Identity,
    ReportBuilder,
    decode,
    encode_bundle,
    parse_identity,
    parse_statement,
)
from trefoilreach._internal.coordination.quota.fleet_buckets import (
    AccountUsage,
    FleetBuckets,
    QuotaBound,
)
from trefoilreach._internal.coordination.serving.choice import choose_batch, choose_online
from trefoilreach._internal.coordination.serving.crashes import CrashRegistry, compute_fingerprint
from trefoilreach._internal.coordination.serving.crashing_parts import (
    AnsweredPart,
    BlockedPart,
    CrashedRun,
)
from trefoilreach._internal.coordination.serving.freshness import Freshness
from trefoilreach._internal.coordination.serving.orphans import OrphanPoller, count_leftovers
from trefoilreach._internal.coordination.serving.outcomes import OutcomeCounts, OutcomeTracker
from trefoilreach._internal.coordination.serving.overload import OverloadPolicy, Pressure
from trefoilreach._internal.coordination.serving.preemption import count_to_preempt
from trefoilreach._internal.coordination.serving.queue_order import (
    BatchTimes,
    OnlineTimes,
    compute_online_times,
    count_reserved_slots,
    is_retry,
    rank_batch,
    rank_online,
)
from trefoilreach._internal.coordination.serving.slot_table import (
    PEER_TIMEOUT_SECONDS,
    PeerLoad,
    QueueRank,
    RunCounts,
    SlotTable,
    WorkerLoad,
)
from trefoilreach._internal.coordination.serving.workers import (
    STORE_RECOVERY_GRACE_SECONDS,
    WorkerDirectory,
)
from trefoilreach._internal.protocol.gen.fleet.ttypes import Report, Spread
from trefoilreach._internal.state.serving import ServingAccount, WorkerEntry

ENTRY = WorkerEntry("w1", "pool", "10.0.0.1", 80, "a", 8, False, 5)
ACCOUNT = ServingAccount("shop", frozenset({"k"}), None, 20.0, 20.0)


def test_requests_that_can_be_on_time_go_before_late_ones() -> None:
    """Guards against a burst in which every request becomes late."""
    late, fresh = OnlineTimes(0, 1.0, 1.2, 4.0), OnlineTimes(0, 1.5, 1.7, 4.5)
    assert rank_online(fresh, 1.6) < rank_online(late, 1.6)
    assert rank_online(late, 1.1) < rank_online(fresh, 1.1)
    # The late request gets its former place back before its deadline, despite newer ones.
    newest = OnlineTimes(0, 4.0, 4.2, 7.0)
    assert rank_online(late, 4.1) < rank_online(newest, 4.1)


def test_retry_is_not_overtaken_by_newer_requests() -> None:
    """Guards against a retry that waits behind newer requests until its deadline."""
    returned = compute_online_times(0, now=10.0, target=0.3, time_left=3.5, time_limit=5.0)
    new = compute_online_times(0, now=10.1, target=0.3, time_left=5.0, time_limit=5.0)
    assert rank_online(returned, 10.2) < rank_online(new, 10.2)
    later = compute_online_times(0, now=12.4, target=0.3, time_left=5.0, time_limit=5.0)
    assert rank_online(returned, 12.5) < rank_online(later, 12.5)


def test_online_goes_before_batch_and_batch_by_due_time() -> None:
    late_online = rank_online(OnlineTimes(3, 0.0, 0.1, 3.0), 2.0)
    soon, later = BatchTimes(9.0, 1.0), BatchTimes(12.0, 1.0)
    missed = BatchTimes(2.5, 1.0)
    ranked = [rank_batch(times, 2.0) for times in (soon, later, missed)]
    assert late_online < ranked[0] < ranked[1] < ranked[2]


def test_no_slot_is_reserved_without_online_requests() -> None:
    assert count_reserved_slots(48, 0) == 0
    assert count_reserved_slots(48, 30) == 6


@given(
    st.dictionaries(st.text("abc", min_size=1), st.integers(1, 8), min_size=1), st.integers(0, 9)
)
def test_daemons_preempt_exactly_the_excess_fuzz(counts: dict[str, int], excess: int) -> None:
    """Guards against two daemons that preempt an item for the same request, or none that does."""
    preempted = {vm: count_to_preempt(vm, counts, excess) for vm in counts}
    assert sum(preempted.values()) == min(excess, sum(counts.values()))
    assert all(preempted[vm] <= counts[vm] for vm in counts)


def test_retry_times_are_spaced() -> None:
    """Guards against refused callers that all retry at the same time."""
    overload_policy = OverloadPolicy()
    pressure = Pressure(before=20, slots=48, taken=48, daemons=12)
    times = [overload_policy.assign_retry_delay(pressure, 10.0) for _ in range(5)]
    assert times == sorted(times)
    assert min(b - a for a, b in pairwise(times)) > 0.1


def test_only_requests_that_cannot_start_in_time_are_refused() -> None:
    overload_policy = OverloadPolicy()
    assert not overload_policy.must_refuse(Pressure(0, 48, 47, 12), 0.24)
    assert not overload_policy.must_refuse(Pressure(10, 48, 48, 12), 0.24)
    assert overload_policy.must_refuse(Pressure(30, 48, 48, 12), 0.24)
    assert is_retry(3.4, 5.0) and not is_retry(4.99, 5.0)


def test_slots_of_silent_and_ended_peers_are_freed() -> None:
    """Guards against slots that stay taken after their daemon has died."""
    slot_table = SlotTable("me")
    slot_table.change_own("w1", online=1)
    load = PeerLoad(10.0, {"w1": RunCounts(2, 3)}, {"pool": (QueueRank(0, 9.0),)})
    slot_table.update_peer("peer", load)
    assert slot_table.loads([ENTRY])[0].free == 2
    assert slot_table.count_before("pool", QueueRank(0, 9.5)) == 1
    slot_table.drop_silent(10.0 + PEER_TIMEOUT_SECONDS + 0.1)
    assert slot_table.loads([ENTRY])[0].free == 7
    slot_table.update_peer("peer", load)
    slot_table.remove_peer("peer")
    assert slot_table.loads([ENTRY])[0].free == 7


class QuotaFleet:
    """Token buckets of several daemons that report their admissions to each other."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock(100.0)
        self.buckets = [FleetBuckets(self.clock, QuotaBound()) for _ in range(count)]
        for buckets in self.buckets:
            buckets.set_accounts([ACCOUNT])

    def exchange_reports(self, groups: list[list[int]]) -> None:
        for group in groups:
            for sender in group:
                uses = self.buckets[sender].local_usage()
                for receiver in group:
                    if receiver != sender:
                        self.buckets[receiver].apply_peer_usage(
                            f"d{sender}", 1, uses, peer_is_older=False
                        )

    def send_requests(self, rate: float, seconds: float, groups: list[list[int]]) -> list[float]:
        admitted = []
        senders = [number for group in groups for number in group]
        for step in range(int(rate * seconds)):
            self.clock.advance(1.0 / rate)
            if self.buckets[senders[step % len(senders)]].admit(ACCOUNT) is None:
                admitted.append(self.clock.now())
            self.exchange_reports(groups)
        return admitted


def count_admitted_in_worst_window(times: list[float]) -> int:
    return max(sum(start <= at < start + 5.0 for at in times) for start in times)


MAX_ADMITTED_IN_WINDOW = (ACCOUNT.rate * 5.0 + ACCOUNT.burst) * 1.1 + 20.0


def test_account_gets_its_rate_whichever_daemons_it_uses() -> None:
    """Guards against refusals of requests within the account's rate."""
    fleet = QuotaFleet(12)
    everyone = [list(range(12))]
    assert len(fleet.send_requests(19.0, 10.0, everyone)) == 190


def test_account_over_its_rate_is_limited() -> None:
    """Guards against daemons that each admit the account's whole rate."""
    fleet = QuotaFleet(12)
    admitted = fleet.send_requests(150.0, 10.0, [list(range(12))])
    assert len(admitted) <= ACCOUNT.rate * 10.0 + ACCOUNT.burst + 12
    assert count_admitted_in_worst_window(admitted) <= MAX_ADMITTED_IN_WINDOW


@pytest.mark.parametrize("cut", [1, 2, 3, 6])
def test_parts_of_a_partitioned_fleet_together_keep_the_bound(cut: int) -> None:
    """Guards against a network partition in which each side admits the whole rate."""
    fleet = QuotaFleet(12)
    sides = [list(range(cut)), list(range(cut, 12))]
    fleet.exchange_reports([list(range(12))])
    for side in sides:
        for number in side:
            fleet.buckets[number].set_reporting_daemons(len(side), 12)
    assert (
        count_admitted_in_worst_window(fleet.send_requests(150.0, 12.0, sides))
        <= MAX_ADMITTED_IN_WINDOW
    )


def test_restart_of_all_daemons_does_not_refill_the_burst() -> None:
    fleet = QuotaFleet(4)
    before = fleet.send_requests(100.0, 4.0, [list(range(4))])
    restarted = QuotaFleet(4)
    restarted.clock = fleet.clock
    restarted.buckets = [FleetBuckets(fleet.clock, QuotaBound()) for _ in range(4)]
    for buckets in restarted.buckets:
        buckets.set_accounts([ACCOUNT])
    restarted.exchange_reports([list(range(4))])
    after = restarted.send_requests(100.0, 4.0, [list(range(4))])
    assert count_admitted_in_worst_window(before + after) <= MAX_ADMITTED_IN_WINDOW


def test_new_daemon_takes_the_level_that_older_ones_state() -> None:
    clock = ManualClock(5.0)
    buckets = FleetBuckets(clock, QuotaBound())
    buckets.set_accounts([ACCOUNT])
    buckets.apply_peer_usage("old", 1, {"shop": AccountUsage(500, 0.0)}, peer_is_older=True)
    assert buckets.admit(ACCOUNT) is not None


def test_new_daemon_refuses_no_account_that_was_idle_when_it_started() -> None:
    """Guards against status 429 after a restart because of admissions long ago.

    Reports omit idle accounts. The first report with an account states all admissions since its
    daemon's start.
    """
    clock = ManualClock(5.0)
    buckets = FleetBuckets(clock, QuotaBound())
    buckets.set_accounts([ACCOUNT])
    buckets.apply_peer_usage("old", 1, {}, peer_is_older=True)
    clock.advance(1.0)
    buckets.apply_peer_usage(
        "old", 1, {"shop": AccountUsage(500, ACCOUNT.burst - 1.0)}, peer_is_older=True
    )
    assert buckets.admit(ACCOUNT) is None
    buckets.apply_peer_usage(
        "old", 1, {"shop": AccountUsage(500 + int(ACCOUNT.burst), 0.0)}, peer_is_older=True
    )
    assert buckets.admit(ACCOUNT) is not None


def test_tokens_do_not_accumulate_beyond_the_burst() -> None:
    """Guards against tokens that accumulate while the bucket is full."""
    fleet = QuotaFleet(2)
    fleet.send_requests(1.0, 1.0, [[0, 1]])
    fleet.clock.advance(60.0)
    fleet.buckets[0].apply_peer_usage(
        "far", 1, {"shop": AccountUsage(20, 0.0)}, peer_is_older=False
    )
    wait = [fleet.buckets[0].admit(ACCOUNT) for _ in range(3)]
    assert all(entry is not None for entry in wait)


def test_keys_expire_without_confirmation() -> None:
    """Guards against a withdrawn key that stays valid at a partitioned daemon."""
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


def test_request_of_three_crashed_workers_is_blocked_everywhere() -> None:
    clock = ManualClock()
    here, there = CrashRegistry(clock), CrashRegistry(clock)
    fingerprint = compute_fingerprint("shop", "/r/1", b"body")
    for worker in ("w1/1", "w2/1", "w2/1"):
        here.record(fingerprint, worker, "r1")
    assert not here.is_blocked(fingerprint)
    there.record(fingerprint, "w3/1", "r2")
    here.apply_peer_crashes(there.own_crashes_to_report())
    there.apply_peer_crashes(here.own_crashes_to_report())
    assert here.is_blocked(fingerprint) and there.is_blocked(fingerprint)
    assert fingerprint == compute_fingerprint("shop", "/r/1", b"body")


def test_entries_that_expired_in_a_store_outage_stay_in_use_for_a_grace_time() -> None:
    """Guards against a fleet that knows no workers right after an outage of the store."""
    clock = ManualClock(10.0)
    directory = WorkerDirectory(clock, lambda: None)
    directory.put(ENTRY)
    directory.replace([], clock.now() + STORE_RECOVERY_GRACE_SECONDS)
    assert directory.list_usable("pool") == [ENTRY]
    clock.advance(STORE_RECOVERY_GRACE_SECONDS + 0.1)
    assert directory.list_usable("pool") == []


def test_entry_removed_while_the_store_is_up_is_dropped_immediately() -> None:
    directory = WorkerDirectory(ManualClock(10.0), lambda: None)
    directory.put(ENTRY)
    directory.drop("w1")
    assert directory.list_usable("pool") == []


def test_worker_that_does_not_answer_is_suspected_for_longer_each_time() -> None:
    clock = ManualClock(10.0)
    directory = WorkerDirectory(clock, lambda: None)
    other = ENTRY._replace(id="w2")
    directory.put(ENTRY)
    directory.put(other)
    directory.note_failure("w1", "refused")
    assert directory.list_usable("pool") == [other]
    clock.advance(0.6)
    assert len(directory.list_usable("pool")) == 2
    directory.note_failure("w1", "refused")
    clock.advance(0.6)
    assert directory.list_usable("pool") == [other]
    directory.note_answer("w1")
    assert len(directory.list_usable("pool")) == 2


def test_daemons_do_not_report_suspicions_of_peers_as_their_own() -> None:
    """Guards against a worker that stays unused because two daemons once failed there.

    Each daemon received the other's suspicion and reported it as its own, and neither sent a
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
        fleet[0].apply_peer_suspects(stated[1])
        fleet[1].apply_peer_suspects(stated[0])
    assert all(len(directory.list_usable("pool")) == 2 for directory in fleet)


def test_worker_that_answers_others_is_not_suspected_for_a_timeout() -> None:
    """Guards against the suspicion of workers whose queue is long."""
    clock = ManualClock(10.0)
    directory = WorkerDirectory(clock, lambda: None)
    directory.put(ENTRY)
    directory.put(ENTRY._replace(id="w2"))
    directory.record_partial_answer("w1")
    clock.advance(0.2)
    directory.note_failure("w1", "silent", silent=True)
    assert len(directory.list_usable("pool")) == 2
    clock.advance(1.0)
    directory.note_failure("w1", "silent", silent=True)
    assert len(directory.list_usable("pool")) == 1


def test_all_workers_are_tried_while_all_are_suspected() -> None:
    """Guards against a fleet that serves no request because all workers are suspected."""
    directory = WorkerDirectory(ManualClock(10.0), lambda: None)
    directory.put(ENTRY)
    directory.note_failure("w1", "silent")
    assert directory.list_usable("pool") == [ENTRY]


def test_requests_of_a_lost_daemon_count_as_taken_slots() -> None:
    """Guards against a cold start that sends eight requests to a worker that still runs six.

    The worker has eight slots. The six requests are those of a daemon that has ended.
    """
    clock = ManualClock(10.0)
    link = FakeLink()
    tools = make_tools(link, workers=1, clock=clock)
    admission = tools.admission
    watch = OrphanPoller(clock, admission, link, lambda worker: True)
    admission.workers.put(ENTRY._replace(id="w0"))
    link.loads = {"w0": 6}
    watch.poll()
    assert admission.pressure("pool", 0).taken == 6
    # Requests that daemons report meanwhile are no leftovers.
    admission.apply_peer_load("peer", PeerLoad(10.0, {"w0": RunCounts(2, 0)}, {}))
    watch.poll()
    watch.poll()
    assert admission.pressure("pool", 0).taken == 6
    link.loads = {"w0": 2}
    watch.poll()
    assert admission.pressure("pool", 0).taken == 2
    admission.clear_leftovers()
    admission.remove_peer("peer")
    assert admission.running_by_worker() == {}


def test_outdated_load_of_a_worker_is_not_counted_as_leftovers() -> None:
    assert count_leftovers(reported=5, known_before=5, known_now=2) == 0
    assert count_leftovers(reported=5, known_before=1, known_now=4) == 1


WORKER_NAMES = [f"w{number}" for number in range(6)]


def simulate_outcomes(failing: dict[str, int], seconds: float) -> list[OutcomeTracker]:
    """Return the trackers of twelve daemons that send each worker a request every 2.5 s.

    :param failing: for a failing worker, n if it fails every n-th request.
    """
    clock = ManualClock(100.0)
    fleet = [OutcomeTracker(clock) for _ in range(12)]
    for step in range(int(seconds * 28)):
        clock.advance(1.0 / 28.0)
        worker, vm = WORKER_NAMES[step % 6], (step // 6) % 12
        bad = worker in failing and (step // 6) % failing[worker] == 0
        fleet[vm].note(worker, good=not bad)
        for number, tracker in enumerate(fleet):
            if number != vm:
                tracker.apply_peer_outcomes(f"d{vm}", 1, fleet[vm].counts_to_report())
    return fleet


def test_worker_that_fails_every_second_request_is_detected_by_all_daemons() -> None:
    """Guards against detection that is slow because each daemon uses only its own requests."""
    fleet = simulate_outcomes({"w2": 2}, 5.0)
    assert all(tracker.find_doubtful(WORKER_NAMES) == {"w2"} for tracker in fleet)
    fleet[0]._clock.advance(6.0)
    assert all(tracker.find_doubtful(WORKER_NAMES) == set() for tracker in fleet)


def test_occasionally_lost_answers_make_no_worker_doubtful() -> None:
    fleet = simulate_outcomes(dict.fromkeys(WORKER_NAMES, 12), 10.0)
    assert all(tracker.find_doubtful(WORKER_NAMES) == set() for tracker in fleet)


def test_single_bad_request_makes_no_worker_doubtful() -> None:
    """Guards against one caller whose bad requests make workers doubtful for all others."""
    tracker = OutcomeTracker(ManualClock(1.0))
    for worker in WORKER_NAMES:
        tracker.note(worker, good=False)
        tracker.note(worker, good=False)
    assert tracker.find_doubtful(WORKER_NAMES) == set()


def test_no_worker_is_doubtful_when_too_many_fail() -> None:
    fleet = simulate_outcomes(dict.fromkeys(WORKER_NAMES[:4], 2), 5.0)
    assert fleet[0].find_doubtful(WORKER_NAMES) == set()


def test_doubtful_worker_is_used_when_the_others_are_full() -> None:
    healthy = WorkerLoad(ENTRY, 7, 0)
    doubtful = WorkerLoad(ENTRY._replace(id="w2"), 0, 0, doubtful=True)
    assert choose_online([healthy, doubtful], "p") == "w1"
    assert choose_online([healthy._replace(online=8), doubtful], "p") == "w2"
    assert choose_batch([healthy, doubtful]) == "w1"


def _encode_and_decode(report: Report) -> Report:
    """Return a report after encoding it into a datagram and decoding it again."""
    datagram = decode(encode_bundle("vm", Spread.NOWHERE, [report]))
    assert datagram is not None and datagram.bundle is not None
    found: Report = datagram.bundle.reports[0]
    return found


def test_report_survives_encoding_and_decoding() -> None:
    identity = Identity("vm", 7, "10.0.0.1", 7000, 7001, "10.0.0.1:80", "a", cores=0.516)
    statement = DaemonState(
        accepting=True,
        leaving=False,
        config_version=12,
        uptime=3.0,
        store_silent_seconds=0.5,
        runs={"w1": RunCounts(2, 1)},
        waiting={"pool": (QueueRank(0, 99.5), QueueRank(8, 118.0))},
        account_uses={"shop": AccountUsage(5, 1.5)},
        job_result_counts={"j1": 4},
        suspects=("w2",),
        crashes=(CrashedRun("f", "w3/1", ("p1", "p2"), 0.25),),
        outcomes={"w1": OutcomeCounts(7, 2)},
        answered_parts=(AnsweredPart("p1", 0.5),),
        blocked_parts=(BlockedPart("p2", 1.5, 2),),
    )
    writer = ReportBuilder(identity)
    report = _encode_and_decode(writer.build(statement, 100.0, full=True))
    assert parse_identity(report) == identity
    # Times are converted to the receiver's clock, which is independent of the sender's.
    received = parse_statement(report, 1000.0)
    assert received.waiting["pool"] == (QueueRank(0, 999.5), QueueRank(8, 1018.0))
    assert received._replace(waiting=statement.waiting) == statement
    # Later reports contain all requests, but of everything else only the changes.
    later = statement._replace(account_uses={**statement.account_uses, "new": AccountUsage(1, 9.0)})
    report = _encode_and_decode(writer.build(later, 101.0, full=False))
    assert parse_identity(report) is None
    received = parse_statement(report, 1001.0, uptime=4.0)
    assert received.runs == statement.runs and received.account_uses == {
        "new": AccountUsage(1, 9.0)
    }
    assert received.uptime == 4.0 and received.job_result_counts == {}


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]),
            st.dictionaries(
                st.sampled_from(["w1", "w2"]),
                st.builds(RunCounts, st.integers(0, 4), st.integers(0, 4)),
            ),
        ),
        max_size=20,
    )
)
def test_sums_match_the_reports_fuzz(reports: list[tuple[str, dict[str, RunCounts]]]) -> None:
    """Guards against sums that differ from the latest reports of the daemons."""
    slot_table = SlotTable("me")
    last: dict[str, dict[str, RunCounts]] = {}
    for vm, runs in reports:
        slot_table.update_peer(vm, PeerLoad(0.0, runs, {}))
        last[vm] = runs
    for worker in ("w1", "w2"):
        load = slot_table.loads([ENTRY._replace(id=worker)])[0]
        stated = [runs[worker] for runs in last.values() if worker in runs]
        assert load.online == sum(entry.online for entry in stated)
        assert load.batch == sum(entry.batch for entry in stated)
        assert sum(slot_table.batch_by_vm(worker).values()) == load.batch
    for vm in last:
        slot_table.remove_peer(vm)
    assert slot_table.loads([ENTRY])[0].free == ENTRY.slots


@given(st.binary(max_size=200))
def test_invalid_datagrams_do_not_raise_fuzz(data: bytes) -> None:
    decode(data)


def test_daemon_reports_only_accounts_that_it_admitted_itself() -> None:
    """Guards against reports of every daemon that name all accounts of the fleet.

    A daemon that merely heard of an account reported it as its own, with no admissions.
    """
    clock = ManualClock(0.0)
    buckets = FleetBuckets(clock, QuotaBound())
    other = ServingAccount("other", frozenset({"o"}), None, 20.0, 20.0)
    buckets.set_accounts([ACCOUNT, other])
    buckets.apply_peer_usage("d1", 1, {other.name: AccountUsage(5, 10.0)}, peer_is_older=False)
    assert buckets.admit(ACCOUNT) is None
    assert set(buckets.local_usage()) == {ACCOUNT.name}
    # A refunded request is still reported, since the peers have counted it.
    buckets.refund(ACCOUNT)
    assert buckets.local_usage()[ACCOUNT.name].admitted == 0
