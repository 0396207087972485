"""What this daemon answers to each message of its peers."""

from collections.abc import Callable
from typing import NamedTuple

from trefoilreach._internal.protocol.gen.peer.ttypes import (
    BorrowReply,
    BorrowRequest,
    ConfigReply,
    ProbeReply,
    ProbeRequest,
    Suspect,
    Withdrawal,
)


class PeerHandlers(NamedTuple):
    """One function for each message; the names are those of the thrift service."""

    probe: Callable[[ProbeRequest], ProbeReply]
    probe_via: Callable[[str, int], bool]
    withdraw: Callable[[list[Withdrawal]], None]
    fetch_config: Callable[[int], ConfigReply]
    borrow: Callable[[BorrowRequest], BorrowReply]
    online_started: Callable[[str, int], int]
    cancel_job: Callable[[str], None]
    suspects: Callable[[list[Suspect]], None]
    hold_back: Callable[[str, list[str], float], float]
