"""Reads a relayed event stream as complete events, without decoding their data."""

import re
from typing import NamedTuple

from trefoilreach._internal.protocol.completeness import (
    AnswerEnd,
    IncompleteAnswerError,
    StreamProgress,
    check_stream,
)

# Largest event of a stream. Events have a few tokens, some hundred bytes.
_MAX_EVENT_BYTES = 2**20
# Most bytes between two events with an id or data. A comment that keeps a stream open has some ten.
_MAX_EMPTY_BYTES = 2**16

# Begins the status line of an HTTP answer, and no field of an event.
_ANSWER_START = b"HTTP/"
# Workers echo the id of the request in the head of each answer.
_HEAD_LINE = re.compile(rb"^x-request-id:", re.MULTILINE | re.IGNORECASE)
# Takes further empty lines along: 64 KiB of line feeds would be 32,768 events, which take 0.2 s.
_EVENT_END = re.compile(rb"\r?\n(?:\r?\n)+")
# Python refuses to convert numbers of more than 4,300 digits.
_ID_LINE = re.compile(rb"^id: ?(\d{1,18})\r?$", re.MULTILINE)
_DATA_LINE = re.compile(rb"^data:(?: )?([^\r\n]*)\r?$", re.MULTILINE)


class StreamEvent(NamedTuple):
    """One event as the worker sent it.

    :param id: number of the event, or None without one.
    :param raw: bytes of the event, including the empty line that ends it.
    """

    id: int | None
    raw: bytes

    @property
    def data(self) -> bytes:
        """Data lines of the event, joined by line feeds."""
        return b"\n".join(_DATA_LINE.findall(self.raw))

    @property
    def is_empty(self) -> bool:
        """Whether the event has neither id nor data, such as a comment that keeps a stream open."""
        return self.id is None and not self.data


class EventTooLargeError(IncompleteAnswerError):
    """An event exceeds the limit on its size."""


class EventSplitter:
    """Incremental parser: buffers bytes and returns events as they become complete."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def incomplete(self) -> bytes:
        """Bytes after the last complete event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that they complete.

        :raises EventTooLargeError: when an event exceeds the limit.
        """
        # An end that began in the earlier bytes has at most three bytes there.
        searched_from = max(0, len(self._rest) - 3)
        self._rest += data
        if len(self._rest) - len(data) > _MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event of the stream exceeds {_MAX_EVENT_BYTES} bytes")
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._rest, searched_from):
            raw = self._rest[start : end.end()]
            id_line = _ID_LINE.search(raw)
            events.append(StreamEvent(int(id_line.group(1)) if id_line else None, raw))
            start = end.end()
        self._rest = self._rest[start:]
        return events


class EventReader:
    """Reads the events of one run of a stream, whose ids must count up without a gap.

    A second answer after a stream without a length would otherwise become a part of it.

    :param after: id of the last event of the runs before, or None for a run from the start.
    :param may_restart: whether the worker may begin with the first event all the same.
    """

    def __init__(self, after: int | None = None, may_restart: bool = False) -> None:
        self._after = after
        self._last_id = after or 0
        self._may_restart = may_restart
        self._splitter = EventSplitter()
        self._count = 0
        # Bytes of empty events since the last one that was not.
        self._empty_bytes = 0

    @property
    def begun(self) -> bool:
        """Whether the run has sent an event."""
        return self._count > 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that they complete.

        :raises IncompleteAnswerError: when an event is malformed or out of order.
        """
        events = self._splitter.feed(data)
        for event in events:
            self._check(event)
        return events

    def _check(self, event: StreamEvent) -> None:
        # After a stream that broke off inside an event, the head ends that event.
        if event.raw.startswith(_ANSWER_START) or _HEAD_LINE.search(event.raw):
            raise IncompleteAnswerError("another answer follows the stream")
        if event.is_empty:
            self._empty_bytes += len(event.raw)
            if self._empty_bytes > _MAX_EMPTY_BYTES:
                raise IncompleteAnswerError(f"no event in {self._empty_bytes} bytes of the stream")
            return
        self._empty_bytes = 0
        if self._may_restart and not self.begun and event.id == 1:
            self._last_id = 0
        if event.id != self._last_id + 1:
            raise IncompleteAnswerError(f"event {event.id} follows event {self._last_id}")
        self._last_id = event.id
        self._count += 1

    def finish(self, end: AnswerEnd) -> None:
        """Check that the run is whole, at the end of its answer.

        :raises IncompleteAnswerError: when it is not, or when that is not certain.
        """
        inside_event = bool(self._splitter.incomplete.strip(b"\r\n"))
        check_stream(StreamProgress(bool(self._after), self._count, inside_event), end)
