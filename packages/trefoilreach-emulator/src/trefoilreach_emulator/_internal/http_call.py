"""One HTTP call with a JSON body, for tools and tests."""

from http.client import HTTPConnection
from typing import Any, NamedTuple

import orjson


class Address(NamedTuple):
    """Where a program listens."""

    host: str
    port: int

    @property
    def entry(self) -> str:
        """Address as ``IP:PORT``."""
        return f"{self.host}:{self.port}"


class Answer(NamedTuple):
    """Status, headers with lower-case names, and body of one response."""

    status: int
    headers: dict[str, str]
    data: bytes

    def json(self) -> Any:
        """Decode the body."""
        return orjson.loads(self.data)


def call(
    address: Address,
    method: str,
    path: str,
    body: Any = None,
    key: str | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> Answer:
    """Send one request on a connection of its own.

    :param body: bytes as they are, anything else as JSON.
    :param timeout: limit in seconds on each wait.
    """
    sent = dict(headers or {})
    if key is not None:
        sent["Authorization"] = f"Bearer {key}"
    data = body if isinstance(body, bytes) else b"" if body is None else orjson.dumps(body)
    connection = HTTPConnection(address.host, address.port, timeout=timeout)
    try:
        connection.request(method, path, data, sent)
        response = connection.getresponse()
        found = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, found, response.read())
    finally:
        connection.close()
