"""Selects the daemons whose addresses callers are given as entry points.

Designed for VMs of unequal size and callers that spread their requests evenly over the
addresses that they are given. A VM with half a core answers late under a share of the load that
a VM with two cores handles easily, and it takes longer to restart.
"""

from collections.abc import Sequence
from typing import NamedTuple

from trefoilreach._internal.coordination.serving.activation import (
    MAX_ACTIVE_DAEMONS,
    is_strong,
)
from trefoilreach._internal.state.serving import rank_by_rendezvous_hash

# Only strong VMs are used while they have at least this share of all cores; with less they
# could not handle the whole load.
_MIN_STRONG_CORES_SHARE = 0.5
# With fewer daemons, the loss of one would fail too many requests.
_MIN_STRONG_DAEMONS = 8


class EntryPoint(NamedTuple):
    """A daemon that accepts requests of callers.

    :param cores: processor cores of its VM.
    """

    address: str
    cores: float


def choose_entry_points(answering_vm: str, entry_points: Sequence[EntryPoint]) -> list[str]:
    """Return the addresses to give to a caller.

    :param answering_vm: VM that answers the caller. If there are too many addresses, each VM
        returns a different selection.
    """
    strongest = max((entry_point.cores for entry_point in entry_points), default=0.0)
    strong = [point for point in entry_points if is_strong(point.cores, strongest)]
    cores = sum(entry_point.cores for entry_point in strong)
    enough = cores >= _MIN_STRONG_CORES_SHARE * sum(
        entry_point.cores for entry_point in entry_points
    )
    chosen = strong if enough and len(strong) >= _MIN_STRONG_DAEMONS else entry_points
    addresses = sorted(entry_point.address for entry_point in chosen)
    if len(addresses) > MAX_ACTIVE_DAEMONS:
        addresses = rank_by_rendezvous_hash(answering_vm, addresses)[:MAX_ACTIVE_DAEMONS]
    return addresses
