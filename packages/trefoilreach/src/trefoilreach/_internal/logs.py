"""Structured logs: one JSON line per decision or event, written with eliot."""

import logging
import sys
import threading
from collections import deque
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any, BinaryIO

import eliot
import orjson
from eliot.stdlib import EliotHandler

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.settings import LogSettings

# Token bucket of each kind of line; lines beyond it are left out and counted.
_KIND_BURST_LINES = 60.0
_KIND_LINES_PER_SECOND = 20.0
# Most lines that wait to be written; further lines are left out and counted.
_QUEUE_LIMIT_LINES = 2000
# Longest text of an error in a line; an error may quote a value of any size.
_MAX_ERROR_LENGTH = 200


def open_log(settings: LogSettings, vm: str, stack: ExitStack) -> None:
    """Send log lines to the configured file until the exit stack closes."""
    output = sys.stderr
    if settings.path != "-":
        path = Path(settings.path)
        output = stack.enter_context(path.open("a", encoding="utf-8", buffering=1))
    destination = eliot.FileDestination(file=output)
    eliot.add_destinations(destination)
    stack.callback(eliot.remove_destination, destination)
    eliot.add_global_fields(vm=vm)
    _forward_library_logs(stack)


def _forward_library_logs(stack: ExitStack) -> None:
    """Write warnings and errors of libraries as structured lines until the exit stack closes.

    Without a handler, the logging module writes them to standard error as plain text.
    """
    handler = EliotHandler(logging.WARNING)
    root = logging.getLogger()
    root.addHandler(handler)
    stack.callback(root.removeHandler, handler)


def log_decision(kind: str, choice: str, reason: str, **fields: Any) -> None:
    """Write the line of one routing or placement decision.

    :param kind: what was decided, for example ``route``.
    :param choice: what was chosen.
    :param reason: reason of the choice in a few words.
    :param fields: candidates, request id and the like; never keys or prompts.
    """
    eliot.log_message(f"decision:{kind}", choice=choice, reason=reason, **fields)


def log_event(name: str, **fields: Any) -> None:
    """Write the line of one event."""
    eliot.log_message(name, **fields)


def describe_error(error: BaseException) -> str:
    """Return the type and the beginning of the message of an error."""
    try:
        return repr(error)[:_MAX_ERROR_LENGTH]
    except (RecursionError, MemoryError):
        # The error quotes a value that is nested too deeply or too large.
        return type(error).__name__


class _KindLimit:
    """Token bucket of one kind of line; ``left_out`` counts lines since the last written one."""

    def __init__(self, now: float) -> None:
        self.tokens = _KIND_BURST_LINES
        self.filled_at = now
        self.left_out = 0

    def take(self, now: float) -> bool:
        """Take a token; return whether one was available."""
        refill = (now - self.filled_at) * _KIND_LINES_PER_SECOND
        self.tokens = min(_KIND_BURST_LINES, self.tokens + refill)
        self.filled_at = now
        if self.tokens < 1.0:
            self.left_out += 1
            return False
        self.tokens -= 1.0
        return True


class BoundedLog:
    """Writes log lines to a pipe from a separate thread, so that no caller waits for its reader.

    :param on_lost: called with the number of lines left out so far.
    :param on_line: called with the kind of each line, also of those left out.
    """

    def __init__(
        self,
        clock: Clock,
        output: BinaryIO,
        on_lost: Callable[[int], None] = lambda lines: None,
        on_line: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self._clock = clock
        self._output = output
        self._on_lost = on_lost
        self._on_line = on_line
        self._ready = threading.Condition()
        self._lines: deque[bytes] = deque()
        self._limits: dict[str, _KindLimit] = {}
        self._lines_lost = 0
        self._closed = False
        self._thread = threading.Thread(target=self._write, name="log", daemon=True)

    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue one line, or leave it out when its kind or the queue is over its limit."""
        now = self._clock.now()
        kind = str(message.get("message_type", ""))
        self._on_line(kind)
        with self._ready:
            limit = self._limits.get(kind)
            if limit is None:
                limit = self._limits[kind] = _KindLimit(now)
            if not limit.take(now) or len(self._lines) >= _QUEUE_LIMIT_LINES:
                self._lines_lost += 1
                self._on_lost(self._lines_lost)
                return
            if limit.left_out:
                message = {**message, "lines_left_out": limit.left_out}
                limit.left_out = 0
            self._lines.append(_encode_line(message))
            self._ready.notify()

    def close(self, wait: float = 1.0) -> None:
        """Write the queued lines, for at most ``wait`` seconds."""
        with self._ready:
            self._closed = True
            self._ready.notify()
        self._thread.join(wait)

    def _write(self) -> None:
        while True:
            with self._ready:
                self._ready.wait_for(lambda: bool(self._lines) or self._closed)
                if not self._lines:
                    return
                lines = len(self._lines)
                data = b"".join(self._lines)
                self._lines.clear()
            try:
                self._output.write(data)
                self._output.flush()
            except (OSError, ValueError):
                # The output's reader is gone, so only the count can report these lines.
                self._lines_lost += lines
                self._on_lost(self._lines_lost)


def _encode_line(message: dict[str, Any]) -> bytes:
    fields = {name: value for name, value in message.items() if name not in _OMITTED_FIELDS}
    return orjson.dumps(fields, default=str) + b"\n"


# Fields that link messages of one eliot task; here every line is a task of its own.
_OMITTED_FIELDS = {"task_uuid", "task_level"}


def open_bounded_log(
    clock: Clock,
    vm: str,
    stack: ExitStack,
    on_lost: Callable[[int], None],
    on_line: Callable[[str], None],
) -> None:
    """Send log lines to standard output until the exit stack closes.

    :param on_lost: called with the number of lines left out so far.
    :param on_line: called with the kind of each line, also of those left out.
    """
    log = BoundedLog(clock, sys.stdout.buffer, on_lost, on_line)
    log.start()
    stack.callback(log.close)
    eliot.add_destinations(log)
    stack.callback(eliot.remove_destination, log)
    eliot.add_global_fields(vm=vm)
    _forward_library_logs(stack)
