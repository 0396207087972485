"""Tests that tests of one group, which share fixed addresses, run in one process."""

import os

import pytest

pytestmark = pytest.mark.xdist_group("processes")


@pytest.mark.parametrize("number", range(8))
def test_tests_of_a_group_run_in_one_process(
    tmp_path_factory: pytest.TempPathFactory, number: int
) -> None:
    """Guards against fleets of two tests that meet on the same addresses and ports."""
    worker = os.environ.get("PYTEST_XDIST_WORKER", "")
    base = tmp_path_factory.getbasetemp()
    # The processes of one run have folders beside each other.
    shared = (base.parent if worker else base) / "processes.txt"
    with shared.open("a", encoding="utf-8") as file:
        file.write(f"{worker}\n")
    assert set(shared.read_text(encoding="utf-8").splitlines()) == {worker}
