"""What a request must pass before it queues."""

from typing import Protocol

from result import Ok, Result

from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.state.config import Account


class QuotaGate(Protocol):
    """Rate and burst of each account."""

    def admit(self, account: Account) -> Result[None, float]:
        """Take one token; the error is the seconds after which a request can succeed."""


class AdmitAll:
    """Lets every request pass."""

    def admit(self, account: Account) -> Result[None, float]:
        """Let the request pass."""
        return Ok(None)


def refuse_rate(account: Account, seconds: float) -> Refusal:
    """Return the refusal of an account that is over its rate or burst."""
    message = f"account {account.name!r} is over its rate or burst"
    return Refusal(429, "rate_limit_exceeded", message, retry_after=seconds)
