"""Cost of the monitor's records on the daemon that makes them."""

import time

from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.coordination.audit.audit import COMPLETED_KIND, SEGMENT_PREFIX, AuditLog
from trefoilreach._internal.state.objects import MemoryObjectStore

from trefoilreach_emulator._internal.capacity.memory import measure_resident
from trefoilreach_emulator._internal.capacity.slopes import Point, Slope, fit_slope, probes

_SIZES = (100, 1_000, 10_000, 50_000)
_REPEATS = 3
_ACCOUNTS = 460
_ROLE = "audit"
_AGAINST = "requests"


def fill_buffer(requests: int, objects: MemoryObjectStore | None = None) -> AuditLog:
    """Return an audit with one buffered record for each request."""
    audit = AuditLog(SystemClock(), objects or MemoryObjectStore(), "vm0", lambda: 1)
    for number in range(requests):
        fields = {
            "request_id": f"chatcmpl-{number:032x}",
            "account": f"account-{number % _ACCOUNTS}",
            "route": "model-0",
            "path": "/v1/chat/completions",
        }
        audit.record(COMPLETED_KIND, fields)
    return audit


@probes.register("audit")
def measure_audit(seconds: float) -> list[Slope]:
    """Measure time, size of the segment and memory of the buffer."""
    spent = [Point(size, min(_time(size) for _ in range(_REPEATS)) * 1000) for size in _SIZES]
    written = [Point(size, _write_segment(size) / 1000) for size in _SIZES]
    memory = [Point(size, measure_resident(fill_buffer, size) / 1000) for size in _SIZES]
    return [
        fit_slope(_ROLE, "processor time of records and segment", "ms", _AGAINST, spent),
        fit_slope(_ROLE, "segment", "KB", _AGAINST, written),
        fit_slope(_ROLE, "memory of the buffer", "KB", _AGAINST, memory),
    ]


def _time(requests: int) -> float:
    began = time.process_time()
    fill_buffer(requests).flush()
    return time.process_time() - began


def _write_segment(requests: int) -> int:
    objects = MemoryObjectStore()
    fill_buffer(requests, objects).flush()
    name = objects.list(SEGMENT_PREFIX).unwrap()[0]
    return len(objects.get(name).unwrap() or b"")
