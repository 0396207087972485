"""Periodically sends gauges of this daemon's state to the metrics server."""

import threading
from collections import Counter
from contextlib import ExitStack

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.config.open_streams import OpenStreams
from trefoilreach._internal.coordination.membership.peers import (
    LEAVING,
    LIVE,
    SUSPECT,
    UNREACHABLE,
    Peers,
)
from trefoilreach._internal.metrics import Metrics

_INTERVAL_SECONDS = 10.0
_STATES = (LIVE, LEAVING, SUSPECT, UNREACHABLE)


class GaugeReporter:
    """Sets gauges for the configuration version, open streams and peers by state."""

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        config: ActiveConfig,
        peers: Peers,
        streams: OpenStreams,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._config = config
        self._peers = peers
        self._streams = streams
        self._stop = threading.Event()

    def start(self, stack: ExitStack) -> None:
        """Report in a thread until the exit stack closes."""
        stack.callback(self._stop.set)
        threading.Thread(target=self._run, name="metrics", daemon=True).start()

    def report(self) -> None:
        """Send every gauge once."""
        self._metrics.gauge("config.version", self._config.view.document.version)
        self._metrics.gauge("streams.open", self._streams.count)
        counts = Counter(member.state for member in self._peers.members())
        for state in _STATES:
            self._metrics.gauge(f"peers.{state}", counts[state])

    def _run(self) -> None:
        while not self._stop.is_set():
            self.report()
            self._clock.wait(self._stop, _INTERVAL_SECONDS)
