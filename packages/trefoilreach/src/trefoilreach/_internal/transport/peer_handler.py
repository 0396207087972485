"""Handlers of the messages that peers send to this daemon."""

from collections.abc import Callable
from typing import NamedTuple

from trefoilreach._internal.protocol.gen.peer.ttypes import (
    BorrowReply,
    BorrowRequest,
    ConfigReply,
    ProbeReply,
    ProbeRequest,
    RunClaim,
    RunReply,
    Suspect,
    Withdrawal,
)


class PeerHandlers(NamedTuple):
    """One function for each message; the names are those of the thrift service."""

    probe: Callable[[ProbeRequest], ProbeReply]
    probe_via: Callable[[str, int], bool]
    withdraw: Callable[[list[Withdrawal]], None]
    fetch_config: Callable[[int, int | None], ConfigReply]
    borrow: Callable[[BorrowRequest], BorrowReply]
    online_started: Callable[[str, int], int]
    cancel_job: Callable[[str], None]
    suspects: Callable[[list[Suspect]], None]
    hold_back: Callable[[str, list[str], float], float]
    claim_run: Callable[[RunClaim], RunReply] = lambda claim: RunReply("", False)
    end_run: Callable[[RunClaim, bool], None] = lambda claim, completed: None
