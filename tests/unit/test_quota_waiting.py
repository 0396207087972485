"""Guards requests inside the rate against refusals because of lenders that reply late."""

import time
from collections.abc import Callable
from typing import Any

import pytest
from result import Err, Ok, Result
from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.membership.peers import LIVE, Member, PeerError
from trefoilreach._internal.coordination.quota.loan_policy import LoanQuota
from trefoilreach._internal.coordination.quota.policy import QuotaDependencies
from trefoilreach._internal.settings import QuotaSettings
from trefoilreach._internal.state.config import Account, ConfigDocument
from trefoilreach._internal.state.table import MemoryTable
from trefoilreach._internal.state.vms import Vm

ACCOUNT = Account("a", 10.0, 20.0)


class DelayedPeers:
    """Peers of one daemon, each of which replies after a delay in real time."""

    def __init__(
        self, vm: str, daemons: dict[str, LoanQuota], reply_delays: dict[str, float]
    ) -> None:
        self._vm, self._daemons, self._reply_delays = vm, daemons, reply_delays

    @property
    def own_member(self) -> Member:
        return self._member(self._vm)

    def members(self) -> list[Member]:
        return [self._member(vm) for vm in self._reply_delays if vm != self._vm]

    def list_live(self) -> list[Member]:
        return [self._member(vm) for vm in self._reply_delays]

    def list_platform_vms(self) -> tuple[Vm, ...] | None:
        return tuple(Vm(vm, "h", "dc", "r") for vm in self._reply_delays)

    def call(self, vm: str, action: Callable[[Any], Any], timeout: float) -> Result[Any, PeerError]:
        delay = self._reply_delays[vm]
        time.sleep(min(delay, timeout))
        if delay > timeout:
            return Err(PeerError("timeout"))
        return Ok(action(self._daemons[vm]))

    @staticmethod
    def _member(vm: str) -> Member:
        return Member(vm, "h", 1, 2, "dc", "r", 1, LIVE)


@pytest.fixture
def reply_delays() -> dict[str, float]:
    """Delay of the replies of each daemon, in seconds."""
    return {"vm0": 0.0, "vm1": 0.0}


@pytest.fixture
def borrower(reply_delays: dict[str, float]) -> LoanQuota:
    """Start two daemons; return the one that owns no slot."""
    config = ActiveConfig()
    config.adopt(ConfigDocument(version=1, accounts=(ACCOUNT,)))
    table, daemons = MemoryTable(), {}
    for vm in reply_delays:
        peers = DelayedPeers(vm, daemons, reply_delays)
        tools = QuotaDependencies(QuotaSettings(), SystemClock(), config, peers, table)  # type: ignore[arg-type]
        daemons[vm] = LoanQuota(tools)
    # The first daemon claims its share, and later the rest, which the other one does not claim.
    end = time.monotonic() + 10.0
    while len(daemons["vm0"].ledger.slots.in_use()) < 12 and time.monotonic() < end:
        daemons["vm0"].slot_manager.tick()
        time.sleep(0.05)
    daemons["vm1"].slot_manager._read_row()
    return daemons["vm1"]


def test_request_waits_for_late_reply_of_lender(
    borrower: LoanQuota, reply_delays: dict[str, float]
) -> None:
    """A daemon that had just joined a busy fleet refused requests after 0.1 s."""
    reply_delays["vm0"] = 0.2
    assert isinstance(borrower.admit(ACCOUNT), Ok)


def test_refusal_with_silent_lender_is_not_over_rate(
    borrower: LoanQuota, reply_delays: dict[str, float]
) -> None:
    """A refusal that counts as over the rate although the lender only did not reply."""
    reply_delays["vm0"] = 2.0
    started_at = time.monotonic()
    refused = borrower.admit(ACCOUNT)
    assert isinstance(refused, Err) and not refused.err_value.over_rate
    # The refusal follows immediately after the wait for lenders.
    assert time.monotonic() - started_at < 0.45
