"""Metrics sent to a statsd server."""

from contextlib import ExitStack
from typing import Protocol

import statsd

from trefoilreach._internal.settings import MetricsSettings


class Metrics(Protocol):
    """Counters, timers and gauges."""

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""

    def time(self, name: str, seconds: float) -> None:
        """Record one duration."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class NoMetrics:
    """Drops all metrics."""

    def count(self, name: str, value: int = 1) -> None:
        """Drop a count."""

    def time(self, name: str, seconds: float) -> None:
        """Drop a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Drop a gauge."""


class StatsdMetrics:
    """Sends metrics over UDP."""

    def __init__(self, settings: MetricsSettings) -> None:
        self._client = statsd.StatsClient(settings.host, settings.port, prefix=settings.prefix)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, value)

    def time(self, name: str, seconds: float) -> None:
        """Record one duration."""
        self._client.timing(name, seconds * 1000.0)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)

    def close(self) -> None:
        """Close the socket."""
        self._client.close()


def open_metrics(settings: MetricsSettings, stack: ExitStack) -> Metrics:
    """Return the metrics client that the settings ask for."""
    if settings.port == 0:
        return NoMetrics()
    metrics = StatsdMetrics(settings)
    stack.callback(metrics.close)
    return metrics
