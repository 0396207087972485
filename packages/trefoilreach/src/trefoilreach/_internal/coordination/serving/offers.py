"""Which daemons callers are told to use.

Load pattern: VMs of unequal size, and callers that spread their requests evenly over the
addresses they are told. A VM with half a core answers late under the share that a VM with two
bears without effort, and takes longer to start again.
"""

from collections.abc import Sequence
from typing import NamedTuple

from trefoilreach._internal.state.serving import rank_by_hash

# The platform's callers take no more addresses than this.
_MOST_OFFERS = 64
# A VM with a smaller part of the cores of the strongest counts as weak.
_STRONG_SHARE = 0.5
# Strong VMs are used alone while they have this part of all cores; fewer of them could not
# carry the load.
_ENOUGH_CORES_SHARE = 0.5
# With fewer daemons, the loss of one takes too many requests with it.
_LEAST_OFFERS = 8


class Offer(NamedTuple):
    """A daemon that takes callers.

    :param cores: processor cores of its VM.
    """

    address: str
    cores: float


def choose_offers(asked_vm: str, offers: Sequence[Offer]) -> list[str]:
    """Return the addresses for a caller.

    :param asked_vm: the VM that was asked; where there are too many addresses, each names others.
    """
    strongest = max((offer.cores for offer in offers), default=0.0)
    strong = [offer for offer in offers if offer.cores >= _STRONG_SHARE * strongest]
    cores = sum(offer.cores for offer in strong)
    enough = cores >= _ENOUGH_CORES_SHARE * sum(offer.cores for offer in offers)
    chosen = strong if enough and len(strong) >= _LEAST_OFFERS else offers
    addresses = sorted(offer.address for offer in chosen)
    if len(addresses) > _MOST_OFFERS:
        addresses = rank_by_hash(asked_vm, addresses)[:_MOST_OFFERS]
    return addresses
