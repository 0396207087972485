"""Reads the parts of a caller's request."""

from typing import Any

from trefoilreach._internal.coordination.serving.link import Call
from trefoilreach._internal.state.serving import PromptPart

_MILLISECONDS = 1000.0
_DEFAULT_TIME_LEFT_SECONDS = 30.0
# Headers that concern one connection, or that this system sets or consumes.
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
    """Return the id of the caller's attempt."""
    return str(environ.get("HTTP_X_REQUEST_ID", ""))


def read_call(environ: dict[str, Any]) -> Call:
    """Return a request with the headers that a worker gets."""
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
    """Return the caller's key."""
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else None


def read_time_left(environ: dict[str, Any]) -> float:
    """Return how many seconds the caller will wait."""
    milliseconds = read_number(environ.get("HTTP_X_DEADLINE_MS"))
    if milliseconds is None:
        return _DEFAULT_TIME_LEFT_SECONDS
    return milliseconds / _MILLISECONDS


def read_number(text: str | None) -> int | None:
    """Return a whole number, or None for anything else."""
    return int(text) if text and text.isascii() and text.isdigit() else None


def read_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; entries that cannot be read end the list."""
    parts = []
    for entry in text.split(",") if text else ():
        name, _, tokens = entry.strip().partition(":")
        if not name or not tokens.isdigit():
            break
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)
