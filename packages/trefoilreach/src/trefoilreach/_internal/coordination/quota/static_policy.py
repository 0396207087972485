"""Baseline policy: each VM on the platform's list gets an equal share of every quota."""

import threading
from contextlib import ExitStack

from result import Err, Ok, Result

from trefoilreach._internal.coordination.quota.buckets import Bucket, Terms
from trefoilreach._internal.coordination.quota.policy import (
    QuotaDependencies,
    Shortage,
    quota_policies,
)
from trefoilreach._internal.protocol.gen.peer.ttypes import BorrowReply, BorrowRequest
from trefoilreach._internal.state.config import Account

_DEFAULT_RETRY_AFTER_SECONDS = 1.0


@quota_policies.register("static")
class StaticQuota:
    """Divides rate and burst by the number of VMs; makes no loans."""

    def __init__(self, tools: QuotaDependencies) -> None:
        self._clock = tools.clock
        self._peers = tools.peers
        self._lock = threading.Lock()
        self._buckets: dict[str, Bucket] = {}

    def admit(self, account: Account) -> Result[None, Shortage]:
        """Spend one token of this VM's share."""
        now = self._clock.now()
        count = max(1, len(self._peers.list_platform_vms() or ()))
        with self._lock:
            bucket = self._buckets.get(account.name)
            new = bucket is None
            if bucket is None:
                bucket = self._buckets[account.name] = Bucket(now)
            bucket.advance(now)
            bucket.set_own(Terms(account.rate / count, account.burst / count))
            if new:
                bucket.add(bucket.capacity)
            if bucket.take():
                return Ok(None)
            seconds = bucket.seconds_to_token() or _DEFAULT_RETRY_AFTER_SECONDS
            return Err(Shortage(seconds, over_rate=True))

    def local_rate(self, account: Account) -> float:
        """Return this VM's share of the rate."""
        return account.rate / max(1, len(self._peers.list_platform_vms() or ()))

    def borrow(self, request: BorrowRequest) -> BorrowReply:
        """Return a reply without loans."""
        return BorrowReply(loans=[])

    def start(self, stack: ExitStack) -> None:
        """Do nothing: the policy has no background work."""

    def release_slots(self) -> None:
        """Do nothing: the policy owns no slots."""
