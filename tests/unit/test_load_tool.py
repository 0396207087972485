"""Guards against a load tool that leaves this machine, differs by run, or loses samples."""

from pathlib import Path

import pytest
from trefoilreach_emulator._internal.bench.page import PageError, replace_section
from trefoilreach_emulator._internal.capacity.slopes import Point, fit_slope
from trefoilreach_emulator._internal.load.plan import (
    LoadPlan,
    LoadStream,
    list_arrivals,
    read_plan,
    save_plan,
)
from trefoilreach_emulator._internal.load.samples import (
    LoadResult,
    Sample,
    read_result,
    save_result,
)
from trefoilreach_emulator._internal.load.sender import LoadTargetError, run_plan

STREAMS = (
    LoadStream("a", ("127.0.0.1:1", "127.0.0.2:1"), "k", "m", 50.0),
    LoadStream("b", ("127.0.0.1:1",), "k", "m", 5.0),
)


def test_same_seed_gives_same_arrivals() -> None:
    plan = LoadPlan(7, 5.0, STREAMS)
    assert list_arrivals(plan) == list_arrivals(plan)
    assert list_arrivals(plan) != list_arrivals(plan._replace(seed=8))
    assert len(list_arrivals(plan)) == pytest.approx(275, rel=0.25)


def test_arrivals_of_a_stream_do_not_depend_on_other_streams() -> None:
    alone = list_arrivals(LoadPlan(7, 5.0, STREAMS[:1]))
    both = [a for a in list_arrivals(LoadPlan(7, 5.0, STREAMS)) if a.stream.name == "a"]
    assert alone == both


def test_plan_survives_a_file(tmp_path: Path) -> None:
    plan = LoadPlan(7, 5.0, STREAMS)
    save_plan(plan, tmp_path / "plan.json")
    assert read_plan(tmp_path / "plan.json") == plan


def test_broken_plan_is_named(tmp_path: Path) -> None:
    path = tmp_path / "plan.json"
    path.write_text("{}")
    with pytest.raises(ValueError, match=r"plan\.json is not a load plan"):
        read_plan(path)


def test_load_to_another_machine_is_refused() -> None:
    stream = STREAMS[0]._replace(entries=("192.0.2.1:80",))
    with pytest.raises(LoadTargetError, match="loopback"):
        run_plan(LoadPlan(1, 1.0, (stream,)))


def test_merged_results_keep_every_sample(tmp_path: Path) -> None:
    first, second = LoadResult(), LoadResult()
    for result, status in ((first, 200), (second, 429)):
        result.stream("a").add(Sample(status, status == 200, 0.1, (0.02, 0.03), 0.2, 0.0))
    save_result(second, tmp_path / "second.json")
    first.merge(read_result(tmp_path / "second.json"))
    total = first.total
    assert (total.sent, total.complete, total.tokens) == (2, 1, 3)
    assert total.refused(429) == 1
    assert total.first_token.percentile(50) == pytest.approx(0.1, rel=0.01)


def test_page_without_marker_is_left_alone(tmp_path: Path) -> None:
    path = tmp_path / "page.md"
    path.write_text("text")
    with pytest.raises(PageError):
        replace_section(path, "bench", "new")
    assert path.read_text() == "text"
    path.write_text("a\n<!-- begin bench -->\nold\n<!-- end bench -->\nz\n")
    replace_section(path, "bench", "new")
    assert path.read_text() == "a\n<!-- begin bench -->\n\nnew\n\n<!-- end bench -->\nz\n"


def test_fitted_line_says_when_it_extrapolates() -> None:
    slope = fit_slope("r", "c", "ms", "n", [Point(n, 2.0 + 3.0 * n) for n in (1, 2, 4, 8)])
    assert slope.at(100) == pytest.approx(302.0)
    assert slope.residual == pytest.approx(0.0, abs=1e-9)
    assert slope.is_extrapolated(100)
    assert not slope.is_extrapolated(8)
