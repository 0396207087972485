"""Reads callers' requests from WSGI environments."""

from collections.abc import Iterable, Iterator
from typing import Any

from trefoilreach._internal.coordination.serving.worker_client import Call
from trefoilreach._internal.platform import names
from trefoilreach._internal.protocol.completeness import is_field_name
from trefoilreach._internal.state.serving import PromptPart

_MILLISECONDS_PER_SECOND = 1000.0
_DEFAULT_TIME_LEFT_SECONDS = 30.0
# Headers that apply to one connection only, or that this system sets or consumes.
_NOT_FORWARDED = {
    "host",
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authorization",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "authorization",
    *(
        name.lower()
        for name in (
            names.REQUEST_ID,
            names.TIME_LEFT_MS,
            names.ACCOUNT,
            names.EXPECTED_WORKER,
            names.LAST_EVENT_ID,
        )
    ),
}


def select_forwarded(headers: Iterable[tuple[str, str]]) -> Iterator[tuple[str, str]]:
    """Yield the headers of a caller that a worker may get.

    Some servers read underscores as hyphens, and drop the space after a name.
    """
    for name, value in headers:
        if is_field_name(name) and name.lower().replace("_", "-") not in _NOT_FORWARDED:
            yield name, value


def read_request_id(environ: dict[str, Any]) -> str:
    """Return the caller's request id, or an empty text without one."""
    return str(environ.get("HTTP_X_REQUEST_ID", ""))


def read_call(environ: dict[str, Any]) -> Call:
    """Return the request to forward, without the headers that a worker must not get."""
    length = environ.get("CONTENT_LENGTH")
    received = (
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    )
    headers = tuple(select_forwarded(received))
    content_type = environ.get("CONTENT_TYPE")
    if content_type:
        headers += (("Content-Type", content_type),)
    return Call(
        request_id=read_request_id(environ),
        method=environ["REQUEST_METHOD"],
        target=environ["REQUEST_URI"],
        host=environ.get("HTTP_HOST", ""),
        headers=headers,
        body=environ["wsgi.input"].read() if length or "wsgi.input_terminated" in environ else b"",
    )


def read_key(environ: dict[str, Any]) -> str | None:
    """Return the caller's key (bearer token), or None without one."""
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else None


def read_time_left(environ: dict[str, Any]) -> float:
    """Return the seconds until the caller's deadline; 30 s when the request states none."""
    milliseconds = read_number(environ.get("HTTP_X_DEADLINE_MS"))
    if milliseconds is None:
        return _DEFAULT_TIME_LEFT_SECONDS
    return milliseconds / _MILLISECONDS_PER_SECOND


def read_number(text: str | None) -> int | None:
    """Return the number that a text of digits states, or None for any other text."""
    return int(text) if text and text.isascii() and text.isdigit() else None


def read_most_output_tokens(text: str) -> int | None:
    """Return the second number of a text ``prompt tokens,output tokens``, or None without one."""
    return read_number(text.partition(",")[2].strip())


def read_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Parse a list ``id:tokens,...`` of prompt parts, up to the first malformed entry."""
    parts = []
    for entry in text.split(",") if text else ():
        name, _, tokens = entry.strip().partition(":")
        if not name or not tokens.isdigit():
            break
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)
