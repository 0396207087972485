"""Settings of a daemon on the users' platform."""

from typing import NamedTuple

from trefoilreach._internal.coordination.quota.fleet_buckets import QuotaBound

Address = tuple[str, int]


class Deployment(NamedTuple):
    """Settings that a daemon reads at its start and at each change of their file.

    :param cores: processor cores that the VM gives this process.
    :param first_start: whether the whole system starts for the first time.
    :param front: address at which callers connect.
    :param checks: addresses of the HTTP servers for readiness, entry points and peers.
    :param control_port: port at which this daemon serves HTTP requests of peers.
    :param metrics_port: port of the metrics page.
    :param peer_port: port of the datagrams between daemons, the same on all VMs.
    :param seeds: hosts of daemons to contact at start, which may be up when the store is not.
    :param store: address of the platform's store.
    :param revocation_seconds: time after which a withdrawn key must fail on every daemon.
    :param stop_seconds: time between the signal to stop and the kill.
    :param results_keep_seconds: time from a batch job's submission for which its results are kept.
    :param entry_keep_seconds: longest time for which callers may keep an entry point answer.
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
    results_keep_seconds: float
    quota_bound: QuotaBound
