"""Settings of a daemon on the users' platform."""

from typing import NamedTuple

from trefoilreach._internal.coordination.quota.shared import QuotaBound

Address = tuple[str, int]


class Deployment(NamedTuple):
    """What a daemon is told at its start and at each change of its settings.

    :param cores: processor cores that the VM gives this process.
    :param first_start: whether the whole system starts for the first time.
    :param front: where callers connect.
    :param checks: addresses of the small HTTP server for readiness, entry points and peers.
    :param control_port: port at which peers are served.
    :param metrics_port: port of the metrics page.
    :param peer_port: port of the datagrams between daemons, the same on all VMs.
    :param seeds: hosts of daemons that may be up when the store is not.
    :param store: address of the platform's store.
    :param revocation_seconds: bound after which a withdrawn key must fail everywhere.
    :param stop_seconds: time between the order to stop and the kill.
    :param entry_keep_seconds: longest time for which callers keep an answer.
    """

    vm: str
    host: str
    data_centre: str
    region: str
    cores: float
    first_start: bool
    front: Address
    checks: tuple[Address, ...]
    control_port: int
    metrics_port: int
    peer_port: int
    seeds: tuple[str, ...]
    store: Address
    revocation_seconds: float
    stop_seconds: float
    entry_keep_seconds: float
    quota_bound: QuotaBound
