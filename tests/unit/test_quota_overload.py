"""Guards the requests of other accounts against delays by an account over its rate.

The bounds hold for the simulated time of the quota and of its messages, so that a busy machine
changes no outcome. tests/functional/test_quota.py sends the same load to real daemons.
"""

from collections.abc import Callable
from contextlib import closing
from typing import Any, NamedTuple

import pytest
from quota_simulation import SimulatedClient
from result import Ok, Result
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.membership.peers import LIVE, Member
from trefoilreach._internal.coordination.quota import borrower as quota_borrower
from trefoilreach._internal.coordination.quota import loan_policy
from trefoilreach._internal.coordination.quota.loan_policy import LoanQuota
from trefoilreach._internal.coordination.quota.policy import QuotaDependencies
from trefoilreach._internal.settings import QuotaSettings
from trefoilreach._internal.state.config import Account, ConfigDocument
from trefoilreach._internal.state.table import MemoryTable
from trefoilreach._internal.state.vms import Vm
from virtual_time import VirtualExecutor, VirtualLock, VirtualTime

RATE, BURST = 20.0, 10.0
OVERLOADING, OTHER = Account("a", RATE, BURST), Account("b", RATE, BURST)
VMS = ("vm0", "vm1", "vm2")
SETTLE_SECONDS = 8.0
LOAD_SECONDS = 6.0
MAX_DELAY_SECONDS = 0.1
MAX_REFUSED_FRACTION = 0.005


class Admission(NamedTuple):
    """One request, with the times at which its token was asked for and given or refused."""

    begun: float
    ended: float
    admitted: bool


class VirtualLocks(dict[str, Any]):
    """Locks by lender, on which requests wait in simulated time."""

    def __init__(self, time: VirtualTime) -> None:
        super().__init__()
        self._time = time

    def setdefault(self, lender: str, default: Any = None) -> Any:
        if lender not in self:
            self[lender] = VirtualLock(self._time)
        return self[lender]


class Peers:
    """The other daemons as one daemon sees them; each message takes a time in each direction."""

    def __init__(self, fleet: "Fleet", vm: str) -> None:
        self._fleet, self._vm = fleet, vm

    @property
    def own_member(self) -> Member:
        return make_member(self._vm)

    def members(self) -> list[Member]:
        return [make_member(vm) for vm in VMS if vm != self._vm]

    def list_live(self) -> list[Member]:
        return [make_member(vm) for vm in VMS]

    def list_platform_vms(self) -> tuple[Vm, ...] | None:
        return tuple(Vm(vm, "h", "dc", "r") for vm in VMS)

    def call(self, vm: str, action: Callable[[Any], Any], timeout: float) -> Result[Any, Any]:
        self._fleet.time.sleep(self._fleet.message_seconds)
        answer = action(SimulatedClient(self._fleet.nodes[vm], []))
        self._fleet.time.sleep(self._fleet.message_seconds)
        return Ok(answer)


def make_member(vm: str) -> Member:
    return Member(vm, "h", 1, 2, "dc", "r", 1, LIVE)


class Node:
    """The quota of one daemon, with its periodic work as tasks."""

    def __init__(self, fleet: "Fleet", vm: str) -> None:
        time = fleet.time
        tools = QuotaDependencies(
            QuotaSettings(),
            time,
            fleet.config,
            Peers(fleet, vm),
            fleet.table,  # type: ignore[arg-type]
        )
        pool = VirtualExecutor(time, loan_policy._PEER_CALL_THREADS)
        self.quota = LoanQuota(tools, pool)
        self.quota.borrower._lender_locks = VirtualLocks(time)
        for work, interval in (
            (self.quota.slot_manager.tick, loan_policy.TABLE_READ_INTERVAL_SECONDS),
            (self.quota.slot_manager.confirm_by_peers, loan_policy._CONFIRM_INTERVAL_SECONDS),
            (self.quota.borrower.renew, loan_policy._RENEW_INTERVAL_SECONDS),
        ):
            time.spawn(lambda work=work, interval=interval: repeat(time, work, interval))


def repeat(time: VirtualTime, work: Callable[[], Any], interval: float) -> None:
    while True:
        work()
        time.sleep(interval)


class Fleet:
    """Three daemons that share all slots."""

    def __init__(self, time: VirtualTime, message_seconds: float) -> None:
        self.time = time
        self.message_seconds = message_seconds
        self.config = ActiveConfig()
        self.config.adopt(ConfigDocument(version=1, accounts=(OVERLOADING, OTHER)))
        self.table = MemoryTable()
        self.nodes = {vm: Node(self, vm) for vm in VMS}  # type: ignore[var-annotated]
        self.time.run(SETTLE_SECONDS)

    def offer(self, vm: str, account: Account, rate: float, delay: float) -> list[Admission]:
        """Start to send requests at fixed intervals; return the list that receives them."""
        sent: list[Admission] = []

        def send() -> None:
            begun = self.time.now()
            admitted = isinstance(self.nodes[vm].quota.admit(account), Ok)
            sent.append(Admission(begun, self.time.now(), admitted))

        def send_all() -> None:
            self.time.sleep(delay)
            for _ in range(int(rate * LOAD_SECONDS)):
                self.time.spawn(send)
                self.time.sleep(1.0 / rate)

        self.time.spawn(send_all)
        return sent


def count_most_in_progress(sent: list[Admission]) -> int:
    changes = sorted([(s.begun, 1) for s in sent] + [(s.ended, -1) for s in sent])
    count = most = 0
    for _, change in changes:
        count += change
        most = max(most, count)
    return most


@pytest.mark.parametrize(
    ("message_seconds", "head_start"), [(0.001, 0.0), (0.004, 1.0), (0.02, 1.0)]
)
def test_account_over_its_rate_does_not_delay_others(
    message_seconds: float, head_start: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Delays or refusals of other accounts while one account sends five times its rate.

    :param head_start: seconds by which the account over its rate begins earlier.
    """
    monkeypatch.setattr(quota_borrower, "BORROW_WAIT_SECONDS", 0.1)
    with closing(VirtualTime()) as time:
        fleet = Fleet(time, message_seconds)
        overloading = [
            fleet.offer(vm, OVERLOADING, 5.0 * RATE / 3.0, 0.005 * number)
            for number, vm in enumerate(VMS)
        ]
        others = fleet.offer("vm0", OTHER, 0.9 * RATE, head_start)
        time.run(LOAD_SECONDS + head_start + 2.0)
    assert len(others) == int(0.9 * RATE * LOAD_SECONDS)
    refused = sum(not entry.admitted for entry in others)
    assert refused / len(others) < MAX_REFUSED_FRACTION
    assert max(entry.ended - entry.begun for entry in others) < MAX_DELAY_SECONDS
    # Requests that wait for a token hold a thread of the HTTP server.
    assert all(
        count_most_in_progress(sent) <= quota_borrower._MAX_WAITERS_PER_ACCOUNT
        for sent in overloading
    )
    times = sorted(entry.ended for sent in overloading for entry in sent if entry.admitted)
    for begin, start in enumerate(times):
        for count, end in enumerate(times[begin:], 1):
            assert count <= BURST + RATE * (end - start) + 1e-6
