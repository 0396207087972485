"""HTTP clients of the platform's services, with JSON bodies."""

from collections.abc import Sequence
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode, urlsplit

import orjson
from result import Err, Ok, Result

from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.state.objects import object_stores
from trefoilreach._internal.state.table import (
    OutcomeUnknown,
    RevisionConflict,
    Row,
    StoreError,
    StoreUnavailable,
    Write,
    table_services,
)
from trefoilreach._internal.state.vms import Vm, vm_lists
from trefoilreach._internal.state.weights import weight_stores
from trefoilreach._internal.transport.http_client import HttpFailure, HttpPool

_DEFAULT_TIMEOUT_SECONDS = 2.0
_STATUS_OK = 200
_STATUS_NOT_MODIFIED = 304


class _Reply:
    """Status, body and entity tag (ETag) of an answer of the platform."""

    def __init__(self, status: int, data: bytes, tag: str = "") -> None:
        self.status = status
        self.data = data
        self.tag = tag

    def decode(self) -> Any:
        """Decode the JSON body."""
        return orjson.loads(self.data)


class PlatformClient:
    """Sends requests to one address of the platform.

    :param url: ``http://IP:PORT``.
    :param timeout: limit in seconds on connecting and on each wait for an answer.
    """

    def __init__(self, url: str, timeout: float = _DEFAULT_TIMEOUT_SECONDS) -> None:
        parts = urlsplit(url)
        self._pool = HttpPool(parts.hostname or "", parts.port or 80, SystemClock(), timeout)
        self._timeout = timeout

    def read(
        self, method: str, path: str, body: Any = None, cached_tag: str = ""
    ) -> Result[_Reply, StoreError]:
        """Send a request without side effects.

        :param cached_tag: entity tag of an earlier answer; the platform may answer 304
            without a body when that answer is still valid.
        """
        data = b"" if body is None else orjson.dumps(body)
        headers = {"If-None-Match": cached_tag} if cached_tag else None
        outcome = self._send(method, path, data, headers)
        if isinstance(outcome, Err):
            return Err(StoreUnavailable(str(outcome.err_value)))
        return Ok(outcome.ok_value)

    def write(self, method: str, path: str, data: bytes) -> Result[_Reply, StoreError]:
        """Send a request with side effects; when its answer is lost, its outcome is unknown."""
        outcome = self._send(method, path, data)
        if isinstance(outcome, Ok):
            return Ok(outcome.ok_value)
        failure = outcome.err_value
        if failure.verdict is Verdict.NOT_RUN:
            return Err(StoreUnavailable(str(failure)))
        return Err(OutcomeUnknown(str(failure)))

    def _send(
        self, method: str, path: str, data: bytes, headers: dict[str, str] | None = None
    ) -> Result[_Reply, HttpFailure]:
        try:
            exchange = self._pool.request(method, path, data, headers, self._timeout)
            try:
                tag = exchange.response.getheader("ETag") or ""
                reply = _Reply(exchange.status, exchange.read(), tag)
            finally:
                exchange.close()
        except HttpFailure as failure:
            return Err(failure)
        if reply.status == 503:
            return Err(HttpFailure("the platform is not available", Verdict.NOT_RUN))
        return Ok(reply)


@table_services.register("http")
class HttpTable:
    """Table service over HTTP."""

    def __init__(self, url: str, timeout: float = _DEFAULT_TIMEOUT_SECONDS) -> None:
        self._client = PlatformClient(url, timeout)

    def get(self, key: str) -> Result[Row | None, StoreError]:
        """Read one row."""
        return self._client.read("POST", "/table/get", {"key": key}).map(_decode_optional_row)

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], StoreError]:
        """Read rows by prefix."""
        body = {"prefix": prefix, "after": after, "limit": limit}
        reply = self._client.read("POST", "/table/scan", body)
        return reply.map(lambda found: [Row(**row) for row in found.decode()["rows"]])

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        """Apply all writes or none."""
        data = orjson.dumps({"writes": [write._asdict() for write in writes]})
        reply = self._client.write("POST", "/table/commit", data)
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.status == 409:
            return Err(RevisionConflict(reply.ok_value.decode()["conflict"]))
        if reply.ok_value.status != 200:
            return Err(StoreUnavailable(f"table service answered {reply.ok_value.status}"))
        return Ok(reply.ok_value.decode()["revisions"])


def _decode_optional_row(reply: _Reply) -> Row | None:
    row = reply.decode()["row"]
    return None if row is None else Row(**row)


@object_stores.register("http")
class HttpObjectStore:
    """Object store over HTTP."""

    def __init__(self, url: str, timeout: float = _DEFAULT_TIMEOUT_SECONDS) -> None:
        self._client = PlatformClient(url, timeout)

    def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Write an object."""
        reply = self._client.write("PUT", f"/objects/{quote(name)}", data)
        return reply.map(lambda _: None)

    def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Read an object."""
        reply = self._client.read("GET", f"/objects/{quote(name)}")
        return reply.map(lambda found: None if found.status == 404 else found.data)

    def list(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[str], StoreError]:
        """Return names by prefix."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        reply = self._client.read("GET", f"/objects?{query}")
        return reply.map(lambda found: found.decode()["names"])

    def delete(self, name: str) -> Result[None, StoreError]:
        """Remove an object."""
        reply = self._client.write("DELETE", f"/objects/{quote(name)}", b"")
        return reply.map(lambda _: None)


class _CachedList(NamedTuple):
    """The last list and its entity tag, which is empty when the platform sent none."""

    tag: str
    vms: tuple[Vm, ...]


@vm_lists.register("http")
class HttpVmList:
    """VM list over HTTP; conditional requests avoid sending an unchanged list again."""

    def __init__(self, url: str, timeout: float = _DEFAULT_TIMEOUT_SECONDS) -> None:
        self._client = PlatformClient(url, timeout)
        # Replaced only after a complete answer, so that the tag always belongs to the list.
        self._cached = _CachedList("", ())

    def list(self) -> Result[list[Vm], StoreError]:
        """Read the list."""
        cached = self._cached
        reply = self._client.read("GET", "/vms", cached_tag=cached.tag)
        if isinstance(reply, Err):
            return reply
        found = reply.ok_value
        if found.status == _STATUS_NOT_MODIFIED and cached.tag:
            return Ok([*cached.vms])
        if found.status != _STATUS_OK:
            return Err(StoreUnavailable(f"VM list answered {found.status}"))
        try:
            vms = tuple(Vm(**vm) for vm in found.decode()["vms"])
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            return Err(StoreUnavailable(f"VM list cannot be decoded: {error}"))
        self._cached = _CachedList(found.tag, vms)
        return Ok([*vms])


@weight_stores.register("http")
class HttpWeightStore:
    """Weight store over HTTP."""

    def __init__(self, url: str, timeout: float = _DEFAULT_TIMEOUT_SECONDS) -> None:
        self._client = PlatformClient(url, timeout)

    def request_permit(self, model: str, worker: str) -> Result[float, StoreError]:
        """Request a permit to load a model; return seconds to wait, 0 when granted."""
        data = orjson.dumps({"model": model, "worker": worker})
        reply = self._client.write("POST", "/weights/permit", data)
        return reply.map(lambda found: float(found.decode()["wait_seconds"]))
