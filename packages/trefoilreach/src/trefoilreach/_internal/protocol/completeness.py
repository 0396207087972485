"""Decides whether an answer has arrived whole, from its framing and from how its connection ended.

The end of a connection ends an answer only where the answer's body is not framed otherwise, and
only if the other side has ended it.
"""

import re
from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple

# RFC 9112, section 4, and RFC 9110, section 15: three digits, of which the first is 1 to 5.
_STATUS_LINE = re.compile(rb"(HTTP/1\.\d) ([1-5]\d\d)(?: ([^\r\n]*))?\r?\n")
# RFC 9110, section 5.6.2.
_FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# RFC 9110, section 5.5. The parser keeps the line breaks of a folded line in its value.
_INVALID_IN_VALUE = re.compile(r"[\r\n\0]")
# Status line and fields of an answer. Workers echo the id of the request in each answer.
_ANSWER_HEAD = re.compile(rb"HTTP/1\.[01] \d{3}[^\r\n]*\r\n(?:[^\r\n]+\r\n)+")
_REQUEST_ID_VALUE = re.compile(
    rb"^x-request-id:[ \t]*([^\r\n]*?)[ \t]*\r$", re.MULTILINE | re.IGNORECASE
)
# Longest part of a field's name in a message.
_MAX_SHOWN_LENGTH = 100


class IncompleteAnswerError(Exception):
    """An answer ended before it was whole, or is malformed."""


class Framing(Enum):
    """What marks the end of an answer's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class BodyEnd(NamedTuple):
    """How the reading of a body ended.

    :param missing_bytes: bytes of a stated length that have not arrived.
    :param connection_ended: whether the connection has ended.
    :param ended_here: why this process ended the connection; empty if it did not.
    """

    framing: Framing
    missing_bytes: int
    connection_ended: bool
    ended_here: str


class StatusLine(NamedTuple):
    """First line of an answer."""

    version: str
    status: int
    reason: str


def parse_status_line(line: bytes) -> StatusLine:
    """Return the parts of the first line of an answer.

    :raises IncompleteAnswerError: when it is cut off or malformed.
    """
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        raise IncompleteAnswerError(f"invalid status line {line[:_MAX_SHOWN_LENGTH]!r}")
    version, status, reason = (part.decode("latin-1") for part in found.groups(b""))
    return StatusLine(version, int(status), reason.strip())


def is_field_name(name: str) -> bool:
    """Return whether HTTP allows a name for a field of a head."""
    return _FIELD_NAME.fullmatch(name) is not None


def check_head(fields: Sequence[tuple[str, str]], connection_ended: bool) -> Framing:
    """Return the framing of the body.

    :param fields: names and values of the fields of the head.
    :param connection_ended: whether the connection ended before the empty line after the head.
    :raises IncompleteAnswerError: when the head is cut off, has a field that HTTP does not allow,
        or states no valid framing.
    """
    if connection_ended:
        raise IncompleteAnswerError("the connection ended inside the head")
    for name, value in fields:
        if not is_field_name(name) or _INVALID_IN_VALUE.search(value):
            raise IncompleteAnswerError(f"invalid field {name[:_MAX_SHOWN_LENGTH]!r} in the head")
    encodings = [value for name, value in fields if name.lower() == "transfer-encoding"]
    lengths = [value for name, value in fields if name.lower() == "content-length"]
    if encodings:
        if [value.strip().lower() for value in encodings] != ["chunked"]:
            raise IncompleteAnswerError(f"unknown transfer encoding {encodings!r}")
        return Framing.CHUNKS
    if not lengths:
        return Framing.CONNECTION
    length = lengths[0].strip()
    if len(set(lengths)) > 1 or not (length.isascii() and length.isdigit()):
        raise IncompleteAnswerError(f"invalid length {lengths!r}")
    return Framing.LENGTH


def check_body(end: BodyEnd) -> None:
    """Check the end of a body.

    :raises IncompleteAnswerError: when the body is not whole, or may not be.
    """
    if end.ended_here:
        raise IncompleteAnswerError(f"this process ended the connection: {end.ended_here}")
    if end.missing_bytes:
        raise IncompleteAnswerError(f"the answer ended {end.missing_bytes} bytes early")
    if end.connection_ended and end.framing is Framing.CHUNKS:
        raise IncompleteAnswerError("the connection ended between chunks")


def check_single_answer(framing: Framing, body: bytes, request_id: str) -> None:
    """Check that no second answer to the same request follows in a body that has passed.

    :raises IncompleteAnswerError: when one does.
    """
    if framing is not Framing.CONNECTION:
        return
    for head in _ANSWER_HEAD.finditer(body):
        if request_id.encode("latin-1") in _REQUEST_ID_VALUE.findall(head.group()):
            raise IncompleteAnswerError("another answer to the request follows the body")


class UnprovenEndError(IncompleteAnswerError):
    """An answer that stated no length ended, and may have broken off there.

    Its worker had ended or was out of time, or it is a resumed stream without an event.
    """


class StreamProgress(NamedTuple):
    """What one run of a stream has sent.

    :param resumed: whether the run was to go on after an earlier event.
    :param events: number of its events.
    :param inside_event: whether bytes of an incomplete event are left.
    """

    resumed: bool
    events: int
    inside_event: bool


class AnswerEnd(NamedTuple):
    """How the body of an answer ended.

    :param out_of_time: whether the time that the worker was given for the run is over.
    :param worker_ended: whether no process listens at the worker's address any more.
    """

    framing: Framing
    out_of_time: bool = False
    worker_ended: bool = False

    @property
    def doubt(self) -> str:
        """Why the worker may have stopped before the end of the body; empty if nothing says so."""
        if self.framing is not Framing.CONNECTION:
            return ""
        if self.out_of_time:
            return "its time was over"
        return "its worker ended" if self.worker_ended else ""


def check_plain(end: AnswerEnd) -> None:
    """Check an answer that is no stream, and whose body has passed :func:`check_body`.

    An unproven end counts as a run without an answer: the request is sent again where that is
    allowed, and is answered 502 elsewhere, as a part of a body cannot be told from the whole.

    :raises UnprovenEndError: when only its connection ended it, and it may have broken off.
    """
    if end.doubt:
        raise UnprovenEndError(f"the answer ended without a stated length as {end.doubt}")


def check_stream(progress: StreamProgress, end: AnswerEnd) -> None:
    """Check a stream whose body has passed :func:`check_body`.

    After an unproven end the stream is resumed: a further run without an event shows that nothing
    is left. A resumed run whose worker may have stopped before its first event shows nothing.

    :raises UnprovenEndError: when only its connection ended it, and it may have broken off.
    :raises IncompleteAnswerError: when it is not whole, or shows nothing.
    """
    if progress.inside_event:
        raise IncompleteAnswerError("the stream ended inside an event")
    if not progress.events and not progress.resumed:
        raise IncompleteAnswerError("the stream ended without an event")
    if end.framing is not Framing.CONNECTION:
        return
    if not progress.events:
        if end.doubt:
            raise IncompleteAnswerError(f"the resumed stream ended without an event as {end.doubt}")
        raise UnprovenEndError("the resumed stream ended without an event or a stated length")
    if end.doubt:
        raise UnprovenEndError(f"the stream ended without a stated length as {end.doubt}")
