"""Counters and latency histograms in the Prometheus text exposition format."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

_LATENCY_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0)
_LATENESS_BUCKETS_SECONDS = (-15.0, -10.0, -5.0, -2.0, 0.0, 2.0, 5.0, 10.0, 20.0, 40.0)


class MetricsPage:
    """Metrics of one daemon."""

    path = "/metrics"

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._answers = Counter(
            "trefoilreach_answers", "Answers to callers.", ["status"], registry=self._registry
        )
        self._first_byte_seconds = Histogram(
            "trefoilreach_first_byte_seconds",
            "Time to the first byte of an answer.",
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._slot_wait = Histogram(
            "trefoilreach_slot_wait_seconds",
            "Time that online requests waited for a slot.",
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._item_lateness = Histogram(
            "trefoilreach_item_lateness_seconds",
            "Time from the due time of a batch item to its result; negative when early.",
            buckets=_LATENESS_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._events = Counter(
            "trefoilreach_events",
            "Log lines by kind, with those left out.",
            ["kind"],
            registry=self._registry,
        )
        self._log_lines_lost = Gauge(
            "trefoilreach_log_lines_lost", "Log lines that were left out.", registry=self._registry
        )

    def record_answer(self, status: int, seconds: float) -> None:
        """Count an answer to a caller and record the seconds to its first byte."""
        self._answers.labels(str(status)).inc()
        self._first_byte_seconds.observe(seconds)

    def observe_slot_wait(self, seconds: float) -> None:
        """Record how long an online request waited for a slot."""
        self._slot_wait.observe(seconds)

    def observe_item_lateness(self, late_seconds: float) -> None:
        """Record the seconds from the due time of a batch item to its result."""
        self._item_lateness.observe(late_seconds)

    def count_log_line(self, kind: str) -> None:
        """Count a log line, also one that is left out."""
        self._events.labels(kind).inc()

    def set_log_lines_lost(self, lines: int) -> None:
        """Set the number of log lines that were left out."""
        self._log_lines_lost.set(lines)

    def render(self) -> bytes:
        """Return the page."""
        return bytes(generate_latest(self._registry))
