"""Requests, responses and the table of HTTP routes."""

import re
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, quote

import orjson

from trefoilreach._internal.protocol.verdict import Refusal, build_bad_request_refusal

JSON_TYPE = "application/json"
IDEMPOTENCY_HEADER = "Idempotency-Key"
_REASON_PHRASES = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    428: "Precondition Required",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class WebRequest:
    """One HTTP request."""

    def __init__(self, environ: dict[str, Any]) -> None:
        self._environ = environ

    @property
    def method(self) -> str:
        """HTTP method."""
        return str(self._environ["REQUEST_METHOD"])

    @property
    def path(self) -> str:
        """Path without the query."""
        return str(self._environ.get("PATH_INFO", "/"))

    @property
    def query_text(self) -> str:
        """Raw query string, not decoded."""
        return str(self._environ.get("QUERY_STRING", ""))

    @property
    def query(self) -> dict[str, str]:
        """Decoded query parameters; the last one counts where a name is repeated."""
        return dict(parse_qsl(self.query_text, keep_blank_values=True))

    @property
    def headers(self) -> dict[str, str]:
        """Header fields with lower-case names."""
        fields = {
            name[5:].replace("_", "-").lower(): value
            for name, value in self._environ.items()
            if name.startswith("HTTP_")
        }
        if "CONTENT_TYPE" in self._environ:
            fields["content-type"] = self._environ["CONTENT_TYPE"]
        return fields

    def header(self, name: str) -> str | None:
        """Return the value of a header field, or None when it is missing."""
        return self._environ.get("HTTP_" + name.upper().replace("-", "_"))

    def encode_path_after(self, prefix: str) -> str:
        """Return the rest of the path after a prefix, percent-encoded for a forwarded request."""
        rest = self.path[len(prefix) :].encode("latin-1")
        return quote(rest, safe="/:@!$&'()*+,;=-._~") or "/"

    def is_caller_disconnected(self) -> bool:
        """Return whether the caller closed its connection; False when the server cannot tell."""
        check = self._environ.get("waitress.client_disconnected")
        return check is not None and bool(check())

    def bearer_key(self) -> str | None:
        """Return the bearer key of the Authorization header, or None."""
        scheme, _, secret = (self.header("Authorization") or "").partition(" ")
        return secret.strip() if scheme.lower() == "bearer" and secret.strip() else None

    def read_body(self, limit: int) -> bytes:
        """Read the body.

        :param limit: largest accepted size in bytes.
        :raises Refusal: 413 when the body is too long, 400 when it is shorter than its
            Content-Length.
        """
        length = int(self._environ.get("CONTENT_LENGTH") or 0)
        if length > limit:
            raise Refusal(413, "body_too_large", f"the body is over {limit} bytes")
        data = self._environ["wsgi.input"].read(length)
        if len(data) < length:
            raise build_bad_request_refusal("the body is shorter than its Content-Length")
        return bytes(data)


class WebResponse(NamedTuple):
    """One HTTP response; each item of ``body`` is sent as soon as it is available."""

    status: int
    headers: list[tuple[str, str]]
    body: Iterable[bytes]

    @property
    def status_line(self) -> str:
        """Status code with its reason phrase."""
        return f"{self.status} {_REASON_PHRASES.get(self.status, 'Unknown')}"


def respond_json(value: Any, status: int = 200) -> WebResponse:
    """Return a JSON response."""
    return respond_bytes(orjson.dumps(value), JSON_TYPE, status)


def respond_bytes(data: bytes, content_type: str, status: int = 200) -> WebResponse:
    """Return a response whose body is complete, with its Content-Length."""
    headers = [("Content-Type", content_type), ("Content-Length", str(len(data)))]
    return WebResponse(status, headers, [data])


Handler = Callable[..., WebResponse]


class _RouteEntry(NamedTuple):
    method: str
    pattern: re.Pattern[str]
    handler: Handler


class RouteTable:
    """Handlers by method and path; the decorator :meth:`register` adds them."""

    def __init__(self) -> None:
        self._entries: list[_RouteEntry] = []

    def register(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """Return a decorator for the handler of ``path``.

        ``{name}`` in the path matches one segment and ``{name*}`` the rest; both
        are passed to the handler by name.
        """
        pattern = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.*)", path)
        pattern = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern)

        def add(handler: Handler) -> Handler:
            self._entries.append(_RouteEntry(method, re.compile(pattern), handler))
            return handler

        return add

    def find_handler(self, method: str, path: str) -> tuple[Handler, dict[str, str]]:
        """Return the handler and the values of the placeholders in its path.

        :raises Refusal: 404 when no handler has this path, 405 when none of those that have
            it takes this method.
        """
        path_matched = False
        for entry in self._entries:
            match = entry.pattern.fullmatch(path)
            if match is None:
                continue
            path_matched = True
            if entry.method in (method, "*"):
                return entry.handler, match.groupdict()
        if path_matched:
            raise Refusal(405, "method_not_allowed", f"{method} is not allowed on {path}")
        raise Refusal(404, "not_found", f"there is no {path}")


routes = RouteTable()
