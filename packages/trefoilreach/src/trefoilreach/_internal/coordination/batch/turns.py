"""Virtual-time fair queuing of batch work between client accounts."""

from collections.abc import Iterable


class FairTurns:
    """Virtual time of each account: items served divided by its agreed rate."""

    def __init__(self) -> None:
        self._served: dict[str, float] = {}
        self._now = 0.0

    def order(self, accounts: Iterable[str]) -> list[str]:
        """Return accounts with the one whose turn is next first."""
        return sorted(set(accounts), key=lambda account: (self._start(account), account))

    def charge(self, account: str, items: int, rate: float) -> None:
        """Count items that start for an account.

        :param rate: agreed requests a second, the account's weight.
        """
        start = self._start(account)
        self._now = max(self._now, start)
        self._served[account] = start + items / max(rate, 1e-9)

    def _start(self, account: str) -> float:
        # An account that was idle gets no credit for the time without work.
        return max(self._served.get(account, 0.0), self._now)
