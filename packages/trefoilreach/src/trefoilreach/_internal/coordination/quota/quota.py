"""Rate and burst of each client account over all VMs together: interface and choice of policy."""

from collections.abc import Callable
from contextlib import ExitStack
from typing import NamedTuple, Protocol

from result import Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config.view import ConfigHolder
from trefoilreach._internal.coordination.membership.peers import Peers
from trefoilreach._internal.protocol.gen.peer.ttypes import BorrowReply, BorrowRequest
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.registry import Registry
from trefoilreach._internal.settings import QuotaSettings
from trefoilreach._internal.state.config import Account
from trefoilreach._internal.state.table import TableService


class Shortage(NamedTuple):
    """Why a request got no token.

    :param seconds: time after which a request can succeed.
    :param over_rate: whether the account is over its rate or burst; otherwise the part of
        its quota that other daemons hold could not be reached.
    """

    seconds: float
    over_rate: bool


class Quota(Protocol):
    """Admission of requests by account."""

    def admit(self, account: Account) -> Result[None, Shortage]:
        """Spend one token."""

    def held_rate(self, account: Account) -> float:
        """Return the part of an account's rate that is in use here, in requests a second."""

    def borrow(self, request: BorrowRequest) -> BorrowReply:
        """Answer a peer that needs quota."""

    def start(self, stack: ExitStack) -> None:
        """Work in the background until the exit stack closes."""

    def hand_back(self) -> None:
        """Stop lending, wait for the loans to end and pass the slots on; for a planned stop."""


class QuotaTools(NamedTuple):
    """What every policy is built from."""

    settings: QuotaSettings
    clock: Clock
    config: ConfigHolder
    peers: Peers
    table: TableService


quota_policies: Registry[Callable[[QuotaTools], Quota]] = Registry("quota policy")


def refuse(account: Account, shortage: Shortage) -> Refusal:
    """Return the refusal of a request that got no token."""
    if not shortage.over_rate:
        message = f"the quota of account {account.name!r} cannot be reached completely from here"
        return Refusal(503, "quota_unavailable", message, retry_after=shortage.seconds)
    message = f"account {account.name!r} is over its rate of {account.rate:g} requests a second"
    return Refusal(429, "rate_limit_exceeded", message, retry_after=shortage.seconds)
