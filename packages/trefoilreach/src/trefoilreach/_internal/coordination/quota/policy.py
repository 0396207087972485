"""Interface and registry of the policies that limit each account's rate and burst fleet-wide."""

from collections.abc import Callable
from contextlib import ExitStack
from typing import NamedTuple, Protocol

from result import Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.membership.peers import Peers
from trefoilreach._internal.protocol.gen.peer.ttypes import BorrowReply, BorrowRequest
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.registry import Registry
from trefoilreach._internal.settings import QuotaSettings
from trefoilreach._internal.state.config import Account
from trefoilreach._internal.state.table import TableService


class Shortage(NamedTuple):
    """Why a request got no token.

    :param seconds: time after which a retry can succeed.
    :param over_rate: whether the account is over its rate or burst. If not, other daemons hold
        part of its quota and could not be reached.
    """

    seconds: float
    over_rate: bool


class QuotaPolicy(Protocol):
    """A policy that admits requests by account."""

    def admit(self, account: Account) -> Result[None, Shortage]:
        """Spend one token of an account for a request."""

    def local_rate(self, account: Account) -> float:
        """Return the rate of an account that this daemon holds, in requests a second."""

    def borrow(self, request: BorrowRequest) -> BorrowReply:
        """Answer a quota message of a peer: demands, returns, recalls, slot rows."""

    def start(self, stack: ExitStack) -> None:
        """Start the background work, which ends when the exit stack closes."""

    def release_slots(self) -> None:
        """Before a planned stop: stop lending, wait for the loans to end, transfer the slots."""


class QuotaDependencies(NamedTuple):
    """Dependencies from which every policy is built."""

    settings: QuotaSettings
    clock: Clock
    config: ActiveConfig
    peers: Peers
    table: TableService


quota_policies: Registry[Callable[[QuotaDependencies], QuotaPolicy]] = Registry("quota policy")


def build_quota_refusal(account: Account, shortage: Shortage) -> Refusal:
    """Return the refusal of a request that got no token."""
    if not shortage.over_rate:
        message = f"the quota of account {account.name!r} cannot be reached completely from here"
        return Refusal(503, "quota_unavailable", message, retry_after=shortage.seconds)
    message = f"account {account.name!r} is over its rate of {account.rate:g} requests a second"
    return Refusal(429, "rate_limit_exceeded", message, retry_after=shortage.seconds)
