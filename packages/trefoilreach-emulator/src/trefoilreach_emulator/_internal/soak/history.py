"""What clients and workers saw during a run; nothing in it comes from the daemons themselves."""

import threading
import time
from typing import Any, NamedTuple


class Attempt(NamedTuple):
    """One request of a client.

    :param status: of the answer; 0 without one.
    :param complete: whether the answer came to its end.
    :param events: events of a stream as they came: number and text.
    """

    request_id: str
    route: str
    key: str
    daemon: str
    sent_at: float
    ended_at: float
    status: int
    complete: bool
    receipt: bool
    events: tuple[tuple[int, str], ...]


class Run(NamedTuple):
    """A request or an item that began to run at a worker.

    :param resumed_after: last event that the sender had.
    """

    request_id: str
    worker: str
    at: float
    account: str
    key_seen: bool
    resumed_after: int


class Failure(NamedTuple):
    """A run that a worker answered with 500 or 422."""

    request_id: str
    worker: str
    at: float
    status: int


class Submission(NamedTuple):
    """A batch job as it was handed in.

    :param status: of the answer; 0 without one.
    """

    job: str
    items: tuple[str, ...]
    impossible: frozenset[str]
    at: float
    status: int


class Listing(NamedTuple):
    """Results of a job as one read returned them."""

    job: str
    after: int
    at: float
    total: int
    results: tuple[tuple[str, str, str], ...]


class Notice(NamedTuple):
    """Something that the run did: a fault, a withdrawal, the end of a job."""

    kind: str
    subject: str
    at: float


class History:
    """Everything that was seen, in the order of its arrival.

    :param rate: rate of the client account in requests a second, and its burst.
    """

    def __init__(self, rate: float = 25.0) -> None:
        self.rate = rate
        self._lock = threading.Lock()
        self.begun_at = time.monotonic()
        self.attempts: list[Attempt] = []
        self.runs: list[Run] = []
        self.failures: list[Failure] = []
        self.submissions: list[Submission] = []
        self.listings: list[Listing] = []
        self.notices: list[Notice] = []
        self._lists: dict[type, list[Any]] = {
            Attempt: self.attempts,
            Run: self.runs,
            Failure: self.failures,
            Submission: self.submissions,
            Listing: self.listings,
            Notice: self.notices,
        }

    def now(self) -> float:
        """Return the seconds since the begin of the run."""
        return time.monotonic() - self.begun_at

    def note(self, kind: str, subject: str) -> None:
        """Note something that the run did just now."""
        self.add(Notice(kind, subject, self.now()))

    def add(self, entry: Attempt | Run | Failure | Submission | Listing | Notice) -> None:
        """Take one entry."""
        with self._lock:
            self._lists[type(entry)].append(entry)

    def noticed(self, kind: str) -> list[Notice]:
        """Return the notices of one kind."""
        return [notice for notice in self.notices if notice.kind == kind]

    def last_listings(self) -> dict[str, Listing]:
        """Return the last whole listing of each job."""
        return {entry.job: entry for entry in self.listings if entry.after == 0}
