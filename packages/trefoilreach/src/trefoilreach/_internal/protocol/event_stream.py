"""Splits a relayed event stream into complete events without decoding their data."""

import re
from typing import NamedTuple

# Largest event of a stream. Events have a few tokens, some hundred bytes.
_MAX_EVENT_BYTES = 2**20

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
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


class EventTooLargeError(ValueError):
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
