"""HTTP client: tries the given addresses in turn; retries only requests that did not run."""

from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple
from urllib.parse import urlsplit

import orjson

from trefoilctl._internal.errors import CtlError

JSON_TYPE = "application/json"
_VERDICT_HEADER = "trefoilreach-verdict"
_NOT_RUN_VERDICT = "not-run"
_UNAVAILABLE_STATUS = 503


class Reply(NamedTuple):
    """Response of a daemon; header names are in lower case."""

    status: int
    headers: dict[str, str]
    data: bytes

    @property
    def json(self) -> Any:
        """Decoded JSON body.

        :raises CtlError: when the body is not JSON.
        """
        try:
            return orjson.loads(self.data)
        except orjson.JSONDecodeError as error:
            raise CtlError(f"the answer is not JSON: {error}") from error


class Client:
    """Sends requests to the daemons at the given base URLs with one key.

    :param timeout: seconds to connect, and for each read or write of the socket.
    """

    def __init__(self, urls: list[str], key: str | None, timeout: float = 30.0) -> None:
        self._addresses = [_parse_url(url) for url in urls]
        self._key = key
        self._timeout = timeout

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a request and return the first successful response.

        The next address is tried when a daemon cannot be reached or answers that it did not
        run the request.

        :param body: bytes are sent as they are, any other value as JSON.
        :raises CtlError: when no daemon returned one.
        """
        data = body if isinstance(body, bytes) else b"" if body is None else orjson.dumps(body)
        sent_headers = {"Content-Type": JSON_TYPE, **(headers or {})}
        if self._key:
            sent_headers["Authorization"] = f"Bearer {self._key}"
        failure = CtlError("no address was given")
        for host, port in self._addresses:
            try:
                connection = self._connect(host, port)
            except OSError as error:
                failure = CtlError(f"{host}:{port}: cannot connect: {error}")
                continue
            reply = _exchange(connection, method, path, data, sent_headers)
            if reply.status < 400:
                return reply
            failure = CtlError(_describe_refusal(reply))
            if not _is_retryable(reply):
                break
        raise failure

    def _connect(self, host: str, port: int) -> HTTPConnection:
        connection = HTTPConnection(host, port, timeout=self._timeout)
        try:
            connection.connect()
        except OSError:
            connection.close()
            raise
        return connection


def _exchange(
    connection: HTTPConnection, method: str, path: str, data: bytes, headers: dict[str, str]
) -> Reply:
    try:
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        if response.length is None and not response.chunked:
            # Daemons frame every answer, so the connection has ended inside the head.
            raise HTTPException("the answer states no length")
        response_headers = {name.lower(): value for name, value in response.getheaders()}
        return Reply(response.status, response_headers, response.read())
    except (OSError, HTTPException) as error:
        address = f"{connection.host}:{connection.port}"
        message = f"{address}: the connection broke; the request may have run: {error!r}"
        raise CtlError(message) from error
    finally:
        connection.close()


def _is_retryable(reply: Reply) -> bool:
    return (
        reply.status == _UNAVAILABLE_STATUS
        and reply.headers.get(_VERDICT_HEADER) == _NOT_RUN_VERDICT
    )


def _describe_refusal(reply: Reply) -> str:
    try:
        error = orjson.loads(reply.data)["error"]
        text = f"{error['message']} ({reply.status} {error['code']})"
    except (orjson.JSONDecodeError, KeyError, TypeError):
        text = f"the daemon answered with status {reply.status}"
    retry_after = reply.headers.get("retry-after")
    return f"{text}; try again in {retry_after} s" if retry_after else text


def _parse_url(url: str) -> tuple[str, int]:
    parts = urlsplit(url)
    try:
        port = parts.port
    except ValueError:
        port = None
    if parts.scheme != "http" or not parts.hostname or port is None:
        raise CtlError(f"--url {url!r} is not allowed; allowed: http://IP:PORT")
    return parts.hostname, port
