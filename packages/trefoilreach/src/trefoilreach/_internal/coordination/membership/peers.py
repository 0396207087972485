"""Interface to the fleet's daemons for other modules of this layer."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, Protocol, TypeVar

from result import Result

from trefoilreach._internal.state.vms import Vm

T = TypeVar("T")

LIVE = "live"
LEAVING = "leaving"
SUSPECT = "suspect"
UNREACHABLE = "unreachable"


class PeerError(Exception):
    """A peer did not answer before the timeout; the call may have run there."""


class RouteLoad(NamedTuple):
    """Load by online requests of one route on one daemon.

    :param weight: sum of the agreed rates, as far as they are used there, of the accounts
        with requests that wait or recently waited.
    :param running: number of running requests.
    """

    weight: float
    running: float


NO_ROUTE_LOAD = RouteLoad(0.0, 0.0)


class PeerState(NamedTuple):
    """Configuration version, withdrawals digest and load that a daemon sends with each probe."""

    config_version: int
    withdrawals_digest: int
    routes: Mapping[str, RouteLoad] = {}


class Member(NamedTuple):
    """State of one daemon as seen by this daemon.

    :param incarnation: increases when the daemon restarts or refutes a suspicion.
    :param state: one of the constants of this module.
    """

    vm: str
    host: str
    http_port: int
    peer_port: int
    data_centre: str
    region: str
    incarnation: int
    state: str


class Peers(Protocol):
    """The fleet as seen by one daemon, and calls to its members."""

    @property
    def own_member(self) -> Member:
        """Return the member entry of this daemon."""

    def members(self) -> list[Member]:
        """Return every known daemon but this one, whatever its state."""

    def list_live(self) -> list[Member]:
        """Return the daemons that can be given work, this one included."""

    def list_platform_vms(self) -> tuple[Vm, ...] | None:
        """Return the platform's last list of VMs, or None before the first answer."""

    def call(self, vm: str, action: Callable[[Any], T], timeout: float) -> Result[T, PeerError]:
        """Run ``action`` with a thrift client of ``vm``; ``timeout`` in seconds."""

    def broadcast(
        self, action: Callable[[Any], T], timeout: float
    ) -> dict[str, Result[T, PeerError]]:
        """Run ``action`` with every other live or leaving daemon in parallel."""
