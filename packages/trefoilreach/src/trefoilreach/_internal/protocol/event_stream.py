"""Splits a relayed event stream into complete events without decoding their data."""

import re
from typing import NamedTuple

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


class EventSplitter:
    """Incremental parser: buffers bytes and returns events as they become complete."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def incomplete(self) -> bytes:
        """Bytes after the last complete event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that they complete."""
        self._rest += data
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._rest):
            raw = self._rest[start : end.end()]
            id_line = _ID_LINE.search(raw)
            events.append(StreamEvent(int(id_line.group(1)) if id_line else None, raw))
            start = end.end()
        self._rest = self._rest[start:]
        return events
