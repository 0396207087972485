"""Virtual-time fair queuing of batch work between client accounts."""

from collections.abc import Iterable


class FairQueue:
    """Tracks a virtual time for each account: items started divided by its agreed rate."""

    def __init__(self) -> None:
        self._virtual_finish: dict[str, float] = {}
        self._virtual_now = 0.0

    def order(self, accounts: Iterable[str]) -> list[str]:
        """Return the accounts by virtual time, the one to serve next first."""
        return sorted(set(accounts), key=lambda account: (self._start(account), account))

    def charge(self, account: str, items: int, rate: float) -> None:
        """Advance an account's virtual time by items that start.

        :param rate: agreed requests per second, which is the account's weight.
        """
        start = self._start(account)
        self._virtual_now = max(self._virtual_now, start)
        self._virtual_finish[account] = start + items / max(rate, 1e-9)

    def _start(self, account: str) -> float:
        # An account that was idle gains no credit for the time without work.
        return max(self._virtual_finish.get(account, 0.0), self._virtual_now)
