"""Attempts tracked by the crash guard, and the refusals of requests that crash workers."""

from enum import Enum
from typing import Any, NamedTuple

import orjson
import xxhash

from trefoilreach._internal.protocol.verdict import Refusal, build_unavailable_refusal

_BUSY_RETRY_SECONDS = 0.5
_STORE_RETRY_SECONDS = 2.0
# Fields of the body that do not change what the engine computes.
_DELIVERY_FIELDS = {"stream", "stream_options"}


class RequestStatus(Enum):
    """Whether a request may run: freely, only as a trial, or not at all."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    POISON = "poison"


class TrialPending(Exception):
    """The request cannot run on this worker yet: a trial or a decision is pending."""


class IdenticalRequestRunning(TrialPending):
    """An identical request runs on another worker, and none has completed yet.

    :param server: name of that worker.
    """

    def __init__(self, server: str) -> None:
        super().__init__(f"an identical request runs on {server!r}")
        self.server = server


class GuardedAttempt(NamedTuple):
    """One attempt to run a request on a worker.

    :param number: key of the attempt in this daemon; 0 before it is registered.
    :param instance: process of the worker; empty when it is not known.
    :param trial: writer of the leases of a trial; empty when the attempt is no trial.
    :param claim: name of the run at the daemon that owns the fingerprint; empty when none
        was registered.
    """

    number: int
    fingerprint: str
    server: str
    instance: str = ""
    trial: str = ""
    claim: str = ""

    @property
    def process(self) -> str:
        """Name of the worker's process; empty when the process is not known."""
        return f"{self.server}/{self.instance}" if self.instance else ""


def compute_fingerprint(account: str, path: str, body: dict[str, Any]) -> str:
    """Return a hash that is the same on every daemon when the request is sent again."""
    hashed = {name: value for name, value in body.items() if name not in _DELIVERY_FIELDS}
    text = orjson.dumps([account, path, hashed], option=orjson.OPT_SORT_KEYS)
    return xxhash.xxh3_128_hexdigest(text)


def refuse_poison() -> Refusal:
    """Return the refusal of a request that crashed workers."""
    message = "the request crashed the servers that ran it and is not run again"
    return Refusal(422, "crashes_servers", message)


def refuse_without_store() -> Refusal:
    """Return the refusal of a suspect while the table is down."""
    message = "the request was in flight when a server died and cannot be tried without the store"
    return build_unavailable_refusal(message, _STORE_RETRY_SECONDS)


def refuse_busy(error: TrialPending) -> Refusal:
    """Return the refusal of a request that found no worker on which it may run in time."""
    message = "the request was in flight when a server died and waits for a trial"
    if isinstance(error, IdenticalRequestRunning):
        message = "an identical request runs and has not completed yet"
    return build_unavailable_refusal(message, _BUSY_RETRY_SECONDS)
