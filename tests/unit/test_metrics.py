"""Guards against metrics that do not reach the statsd server."""

import socket
from contextlib import ExitStack

from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.config.open_streams import OpenStreams
from trefoilreach._internal.coordination.membership.gauge_reporter import GaugeReporter
from trefoilreach._internal.coordination.membership.membership import Membership
from trefoilreach._internal.metrics import open_metrics
from trefoilreach._internal.settings import DaemonSettings, FleetSettings, MetricsSettings
from trefoilreach._internal.state.vms import MemoryVmList


def test_gauges_arrive_at_a_statsd_server() -> None:
    clock = ManualClock()
    peers = Membership(clock, DaemonSettings(), FleetSettings(), MemoryVmList())
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server, ExitStack() as stack:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        metrics = open_metrics(MetricsSettings(port=server.getsockname()[1]), stack)
        GaugeReporter(clock, metrics, ActiveConfig(), peers, OpenStreams()).report()
        received = {server.recv(200) for _ in range(6)}
    assert b"trefoilreach.config.version:0|g" in received
    assert b"trefoilreach.peers.unreachable:0|g" in received
