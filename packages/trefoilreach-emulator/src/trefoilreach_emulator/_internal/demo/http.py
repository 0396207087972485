"""HTTP calls of the demo, as a caller would make them."""

from collections.abc import Iterator
from contextlib import contextmanager
from http.client import HTTPConnection, HTTPResponse
from typing import Any, NamedTuple
from urllib.parse import urlsplit

import orjson

_TIMEOUT_SECONDS = 30.0
_DATA_PREFIX = b"data: "
DONE = b"[DONE]"


class Answer(NamedTuple):
    """One answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    data: bytes

    @property
    def json(self) -> Any:
        """Decoded body."""
        return orjson.loads(self.data)


def call(url: str, method: str, path: str, key: str | None = None, body: Any = None) -> Answer:
    """Make one call and read the whole answer."""
    with open_call(url, method, path, key, body) as response:
        headers = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, headers, response.read())


@contextmanager
def open_call(
    url: str, method: str, path: str, key: str | None = None, body: Any = None
) -> Iterator[HTTPResponse]:
    """Make one call and give its response, to be read bit by bit."""
    parts = urlsplit(url)
    connection = HTTPConnection(str(parts.hostname), parts.port, timeout=_TIMEOUT_SECONDS)
    headers = {"Content-Type": "application/json"}
    if key is not None:
        headers["Authorization"] = f"Bearer {key}"
    try:
        connection.request(method, path, b"" if body is None else orjson.dumps(body), headers)
        yield connection.getresponse()
    finally:
        connection.close()


def read_events(response: HTTPResponse) -> Iterator[bytes]:
    """Yield the payloads of server-sent events, ``[DONE]`` as well."""
    for line in response:
        if line.startswith(_DATA_PREFIX):
            yield line.strip()[len(_DATA_PREFIX) :]


def chat_body(model: str, text: str, **fields: Any) -> dict[str, Any]:
    """Return the body of a chat completion."""
    return {"model": model, "messages": [{"role": "user", "content": text}], **fields}


def read_text(answer: Answer) -> str:
    """Return the text of a whole chat completion."""
    return str(answer.json["choices"][0]["message"]["content"])
