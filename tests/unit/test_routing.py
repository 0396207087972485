"""Tests the choice of a server: late reports, herding, stale cache hints, baselines."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.online.affinity import PrefixView, hash_prefixes
from trefoilreach._internal.coordination.online.load_view import LoadView
from trefoilreach._internal.coordination.online.retry_budget import RetryBudget
from trefoilreach._internal.coordination.online.routing import (
    MAX_SUBSET_SERVERS,
    Candidate,
    choose_subset,
    routing_policies,
)
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.transport.engine import CacheEvent, LoadReport


def make_server(number: int, data_centre: str = "dc1") -> Server:
    return Server(f"e{number}", "engine", "127.0.0.1", 9000, ("m",), data_centre)


def make_report(running: int, sequence: int, age: float, instance: str = "i1") -> LoadReport:
    return LoadReport(instance, sequence, running, 0, 8, age, ("m",), "mixed")


@given(
    lag=st.sampled_from([0.1, 0.5, 1.5]),
    steps=st.lists(st.sampled_from(["start", "end", "report", "other"]), max_size=80),
)
def test_estimate_fuzz_is_exact_when_others_are_steady(lag: float, steps: list[str]) -> None:
    """Guards against counting a request twice, or not at all, while reports lag.

    The oracle is the engine's true load; only requests of other daemons that came after
    the report's figures were taken can be missing.
    """
    clock, view = ManualClock(), LoadView(ManualClock())
    view = LoadView(clock)
    own: list[str] = []
    others = 0
    history = [(clock.now(), 0, 0)]
    for number, step in enumerate(steps):
        clock.advance(0.1)
        if step == "start":
            own.append(f"r{number}")
            view.request_started("e1", own[-1])
        elif step == "end" and own:
            view.request_finished("e1", own.pop(0))
        elif step == "other":
            others += 1
        history.append((clock.now(), len(own), others))
        if step == "report":
            seen = [entry for entry in history if entry[0] <= clock.now() - lag - 0.021]
            _, seen_own, seen_others = seen[-1] if seen else history[0]
            view.update_report("e1", make_report(seen_own + seen_others, number, lag))
            expected = len(own) + seen_others
            assert view.estimate("e1") == pytest.approx(expected, abs=0.01)


def test_old_report_of_the_same_instance_is_ignored() -> None:
    """Guards against an old report that replaces newer figures, and a missed restart."""
    view = LoadView(ManualClock())
    assert not view.update_report("e1", make_report(5, 10, 0.1))
    assert not view.update_report("e1", make_report(1, 9, 0.1))
    assert view.estimate("e1") == 5
    assert view.update_report("e1", make_report(0, 1, 0.1, "i2"))
    assert view.estimate("e1") == 0


def _find_highest_load(policy_name: str, seed: int) -> int:
    """Return the highest load after 12 daemons each send 4 requests by the same late report."""
    random.seed(seed)
    policy = routing_policies.get(policy_name)()
    servers = [make_server(number) for number in range(6)]
    reported = {server.name: 3 + (server.name == "e0") * -3 for server in servers}
    true_load = dict(reported)
    for _ in range(12):
        own = dict.fromkeys(reported, 0)
        for _ in range(4):
            candidates = [
                Candidate(s, reported[s.name] + own[s.name], own[s.name]) for s in servers
            ]
            chosen = policy.choose(candidates).server.name
            own[chosen] += 1
            true_load[chosen] += 1
    return max(true_load.values())


def test_daemons_with_the_same_late_report_do_not_herd() -> None:
    """Guards against daemons that all choose the one worker that a late report shows as idle.

    Choosing the lowest estimate would send it 36 of the 48 requests.
    """
    worst = [_find_highest_load("estimate", seed) for seed in range(20)]
    # 63 requests on 6 workers are 10.5 each; herding gives 36 or more.
    assert sum(worst) / len(worst) <= 18
    assert max(worst) <= 27


@given(
    st.sampled_from(routing_policies.names), st.lists(st.integers(0, 20), min_size=1, max_size=8)
)
def test_every_policy_fuzz_chooses_a_given_candidate(name: str, loads: list[int]) -> None:
    """Guards against a policy that fails, or chooses a server outside its candidates."""
    candidates = [
        Candidate(make_server(number), load, load, 0.5) for number, load in enumerate(loads)
    ]
    chosen = routing_policies.get(name)().choose(candidates)
    assert chosen in candidates
    if name == "least-own":
        assert chosen.own == min(loads)


@given(st.integers(1, 7))
def test_cached_prefix_never_outweighs_a_whole_request(gap: int) -> None:
    """Guards against a hot spot on the worker that has a popular prefix cached."""
    policy = routing_policies.get("estimate")()
    cached = Candidate(make_server(0), float(gap + 1), 0, 1.0)
    idle = Candidate(make_server(1), 0.0, 0, 0.0)
    assert policy.choose([cached, idle]) == idle
    equal = Candidate(make_server(1), float(gap + 1), 0, 0.0)
    assert policy.choose([cached, equal]) == cached


def test_subset_prefers_the_own_data_centre_and_spreads() -> None:
    """Guards against every daemon using the same few of many workers."""
    servers = [make_server(number, f"dc{number % 3}") for number in range(120)]
    used: dict[str, int] = {}
    for vm in range(60):
        chosen = choose_subset(f"vm{vm}", "dc1", servers)
        assert len(chosen) == MAX_SUBSET_SERVERS
        assert all(server.data_centre == "dc1" for server in chosen)
        for server in chosen:
            used[server.name] = used.get(server.name, 0) + 1
    assert len(used) == 40
    assert max(used.values()) <= 3 * 60 * MAX_SUBSET_SERVERS / 40


def test_cache_events_late_repeated_and_with_gaps() -> None:
    """Guards against a wrong entry that is kept for ever after a missed removal event."""
    clock = ManualClock()
    view = PrefixView(clock)
    prefixes = hash_prefixes("x" * 64 + "tail")
    known = prefixes[0].hash
    view.apply_events("e1", [CacheEvent(2, "add", "other"), CacheEvent(1, "add", known)])
    assert view.cached_share("e1", prefixes) == pytest.approx(64 / 68)
    view.apply_events("e1", [CacheEvent(1, "remove", known)])
    assert view.cached_share("e1", prefixes) > 0
    view.apply_events("e1", [CacheEvent(9, "add", "later")])
    assert view.cached_share("e1", prefixes) > 0
    clock.advance(11.0)
    assert view.cached_share("e1", prefixes) == 0
    assert view.cached_share("e1", hash_prefixes("unknown" * 20)) == 0
    view.clear_server("e1")
    assert view.last_sequence("e1") == 0


@given(st.lists(st.booleans(), max_size=300))
def test_retry_budget_fuzz_bounds_retries(steps: list[bool]) -> None:
    """Guards against retries that multiply the load of a failing fleet."""
    budget = RetryBudget(ManualClock(), 0.1)
    requests = retries = 0
    for is_request in steps:
        if is_request:
            requests += 1
            budget.note_request()
        else:
            retries += budget.try_take()
        assert retries <= 10 + 0.1 * requests + 1e-6
