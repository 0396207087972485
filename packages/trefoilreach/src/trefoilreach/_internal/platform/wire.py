"""Reads callers' requests from WSGI environments."""

from typing import Any

from trefoilreach._internal.coordination.serving.worker_client import Call
from trefoilreach._internal.state.serving import PromptPart

_MILLISECONDS_PER_SECOND = 1000.0
_DEFAULT_TIME_LEFT_SECONDS = 30.0
# Headers that apply to one connection only, or that this system sets or consumes.
_NOT_FORWARDED = {
    "HOST",
    "CONNECTION",
    "KEEP_ALIVE",
    "PROXY_CONNECTION",
    "PROXY_AUTHORIZATION",
    "TRANSFER_ENCODING",
    "CONTENT_LENGTH",
    "TE",
    "TRAILER",
    "UPGRADE",
    "EXPECT",
    "AUTHORIZATION",
    "X_REQUEST_ID",
    "X_DEADLINE_MS",
    "X_TENANT",
    "X_TARGET_INSTANCE",
    "LAST_EVENT_ID",
}


def read_request_id(environ: dict[str, Any]) -> str:
    """Return the caller's request id, or an empty text without one."""
    return str(environ.get("HTTP_X_REQUEST_ID", ""))


def read_call(environ: dict[str, Any]) -> Call:
    """Return the request to forward, without the headers that a worker must not get."""
    length = environ.get("CONTENT_LENGTH")
    headers = tuple(
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_") and name[5:] not in _NOT_FORWARDED
    )
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


def read_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Parse a list ``id:tokens,...`` of prompt parts, up to the first malformed entry."""
    parts = []
    for entry in text.split(",") if text else ():
        name, _, tokens = entry.strip().partition(":")
        if not name or not tokens.isdigit():
            break
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)
