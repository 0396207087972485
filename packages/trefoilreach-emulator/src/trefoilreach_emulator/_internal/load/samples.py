"""Histograms and counts of one load run; results of several processes can be merged."""

from pathlib import Path
from typing import Any, NamedTuple

import orjson
from hdrh.histogram import HdrHistogram

_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 600_000_000
_DIGITS = 3
_MICROSECONDS = 1_000_000


class Latencies:
    """A histogram of durations in seconds with microsecond resolution."""

    def __init__(self, encoded: str | None = None) -> None:
        if encoded is None:
            self._histogram = HdrHistogram(_LOWEST_MICROSECONDS, _HIGHEST_MICROSECONDS, _DIGITS)
        else:
            self._histogram = HdrHistogram.decode(encoded)

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return int(self._histogram.get_total_count())

    def record(self, seconds: float) -> None:
        """Record one duration."""
        self._histogram.record_value(max(1, int(seconds * _MICROSECONDS)))

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds, 0 when nothing was recorded."""
        if self.count == 0:
            return 0.0
        return float(self._histogram.get_value_at_percentile(percent)) / _MICROSECONDS

    def merge(self, other: "Latencies") -> None:
        """Add the durations of another histogram."""
        self._histogram.add(other._histogram)

    def encode(self) -> str:
        """Return the histogram as text."""
        return self._histogram.encode().decode()


class Sample(NamedTuple):
    """Outcome of one request; times in seconds.

    :param late: delay of the sending behind the planned arrival.
    """

    status: int
    complete: bool
    first_token: float
    intervals: tuple[float, ...]
    total: float
    late: float


class StreamResult:
    """Samples of one load stream."""

    def __init__(self) -> None:
        self.first_token = Latencies()
        self.interval = Latencies()
        self.late = Latencies()
        self.sent = 0
        self.complete = 0
        self.tokens = 0
        self.statuses: dict[int, int] = {}

    def add(self, sample: Sample) -> None:
        """Record one outcome."""
        self.sent += 1
        self.statuses[sample.status] = self.statuses.get(sample.status, 0) + 1
        self.late.record(sample.late)
        if not sample.complete:
            return
        self.complete += 1
        self.tokens += 1 + len(sample.intervals)
        # Counted from the planned arrival, so that a slow sender hides no delay.
        self.first_token.record(sample.late + sample.first_token)
        for interval in sample.intervals:
            self.interval.record(interval)

    def merge(self, other: "StreamResult") -> None:
        """Add the samples of another result."""
        for name in ("first_token", "interval", "late"):
            getattr(self, name).merge(getattr(other, name))
        for name in ("sent", "complete", "tokens"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for status, count in other.statuses.items():
            self.statuses[status] = self.statuses.get(status, 0) + count

    def refused(self, *statuses: int) -> int:
        """Return how many requests got one of these HTTP statuses."""
        return sum(self.statuses.get(status, 0) for status in statuses)


class LoadResult:
    """Results of all streams of a run."""

    def __init__(self) -> None:
        self.streams: dict[str, StreamResult] = {}

    @property
    def total(self) -> StreamResult:
        """All streams together."""
        total = StreamResult()
        for result in self.streams.values():
            total.merge(result)
        return total

    def stream(self, name: str) -> StreamResult:
        """Return the result of one stream, made when needed."""
        return self.streams.setdefault(name, StreamResult())

    def merge(self, other: "LoadResult") -> None:
        """Add the results of another run."""
        for name, result in other.streams.items():
            self.stream(name).merge(result)


def save_result(result: LoadResult, path: Path) -> None:
    """Write a result as JSON."""
    path.write_bytes(orjson.dumps({name: _encode(found) for name, found in result.streams.items()}))


def read_result(path: Path) -> LoadResult:
    """Read a result."""
    result = LoadResult()
    for name, fields in orjson.loads(path.read_bytes()).items():
        result.streams[name] = _decode(fields)
    return result


def _encode(result: StreamResult) -> dict[str, Any]:
    return {
        "first_token": result.first_token.encode(),
        "interval": result.interval.encode(),
        "late": result.late.encode(),
        "sent": result.sent,
        "complete": result.complete,
        "tokens": result.tokens,
        "statuses": {str(status): count for status, count in result.statuses.items()},
    }


def _decode(fields: dict[str, Any]) -> StreamResult:
    result = StreamResult()
    result.first_token = Latencies(fields["first_token"])
    result.interval = Latencies(fields["interval"])
    result.late = Latencies(fields["late"])
    result.sent = fields["sent"]
    result.complete = fields["complete"]
    result.tokens = fields["tokens"]
    result.statuses = {int(status): count for status, count in fields["statuses"].items()}
    return result
