"""Splits a relayed event stream into whole events without reading their data."""

import re
from typing import NamedTuple

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
_DATA_LINE = re.compile(rb"^data:(?: )?([^\r\n]*)\r?$", re.MULTILINE)


class StreamEvent(NamedTuple):
    """One event as its worker sent it.

    :param id: its number, or None for an event without one.
    :param raw: its bytes with the empty line at its end.
    """

    id: int | None
    raw: bytes

    @property
    def data(self) -> bytes:
        """Its data lines, joined by line feeds."""
        return b"\n".join(_DATA_LINE.findall(self.raw))


class EventSplitter:
    """Takes bytes as they arrive and returns the events that are complete."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes after the last complete event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that the new bytes complete."""
        self._rest += data
        events = []
        begin = 0
        for end in _EVENT_END.finditer(self._rest):
            raw = self._rest[begin : end.end()]
            found = _ID_LINE.search(raw)
            events.append(StreamEvent(int(found.group(1)) if found else None, raw))
            begin = end.end()
        self._rest = self._rest[begin:]
        return events
