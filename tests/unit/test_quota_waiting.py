"""Guards a request inside the rate against lenders that answer late."""

import time
from collections.abc import Callable
from typing import Any

import pytest
from result import Err, Ok, Result
from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.coordination.config.view import ConfigHolder
from trefoilreach._internal.coordination.membership.peers import LIVE, Member, PeerError
from trefoilreach._internal.coordination.quota.loans import LoanQuota
from trefoilreach._internal.coordination.quota.quota import QuotaTools
from trefoilreach._internal.settings import QuotaSettings
from trefoilreach._internal.state.config import Account, ConfigDocument
from trefoilreach._internal.state.table import MemoryTable
from trefoilreach._internal.state.vms import Vm

ACCOUNT = Account("a", 10.0, 20.0)


class SlowPeers:
    """Two daemons that answer each other after a pause of real time."""

    def __init__(self, vm: str, daemons: dict[str, LoanQuota], pauses: dict[str, float]) -> None:
        self._vm, self._daemons, self._pauses = vm, daemons, pauses

    @property
    def self_member(self) -> Member:
        return self._member(self._vm)

    def members(self) -> list[Member]:
        return [self._member(vm) for vm in self._pauses if vm != self._vm]

    def live(self) -> list[Member]:
        return [self._member(vm) for vm in self._pauses]

    def listed_vms(self) -> tuple[Vm, ...] | None:
        return tuple(Vm(vm, "h", "dc", "r") for vm in self._pauses)

    def call(self, vm: str, action: Callable[[Any], Any], timeout: float) -> Result[Any, PeerError]:
        pause = self._pauses[vm]
        time.sleep(min(pause, timeout))
        if pause > timeout:
            return Err(PeerError("timeout"))
        return Ok(action(self._daemons[vm]))

    @staticmethod
    def _member(vm: str) -> Member:
        return Member(vm, "h", 1, 2, "dc", "r", 1, LIVE)


@pytest.fixture
def pauses() -> dict[str, float]:
    """Pause before the answers of each daemon, in seconds."""
    return {"vm0": 0.0, "vm1": 0.0}


@pytest.fixture
def borrower(pauses: dict[str, float]) -> LoanQuota:
    """Start two daemons; return the one that owns no slot."""
    config = ConfigHolder()
    config.adopt(ConfigDocument(version=1, accounts=(ACCOUNT,)))
    table, daemons = MemoryTable(), {}
    for vm in pauses:
        peers = SlowPeers(vm, daemons, pauses)
        tools = QuotaTools(QuotaSettings(), SystemClock(), config, peers, table)  # type: ignore[arg-type]
        daemons[vm] = LoanQuota(tools)
    # The first daemon takes its share, then the rest that the other one does not claim.
    end = time.monotonic() + 10.0
    while len(daemons["vm0"].ledger.slots.in_use()) < 12 and time.monotonic() < end:
        daemons["vm0"].slot_manager.tick()
        time.sleep(0.05)
    daemons["vm1"].slot_manager._read_row()
    return daemons["vm1"]


def test_late_answer_is_waited_for(borrower: LoanQuota, pauses: dict[str, float]) -> None:
    """A daemon that had just joined a busy fleet refused after 0.1 s."""
    pauses["vm0"] = 0.2
    assert isinstance(borrower.admit(ACCOUNT), Ok)


def test_silent_lender_does_not_make_the_account_go_over_its_rate(
    borrower: LoanQuota, pauses: dict[str, float]
) -> None:
    pauses["vm0"] = 2.0
    began = time.monotonic()
    refused = borrower.admit(ACCOUNT)
    assert isinstance(refused, Err) and not refused.err_value.over_rate
    # The answer comes at once after the wait for lenders.
    assert time.monotonic() - began < 0.45
