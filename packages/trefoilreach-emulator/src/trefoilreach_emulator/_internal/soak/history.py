"""History of a run as clients and workers observed it; daemons report nothing to it themselves."""

import threading
import time
from typing import Any, NamedTuple


class Attempt(NamedTuple):
    """One request of an online client.

    :param status: HTTP status of the answer; 0 without an answer.
    :param complete: whether the answer was received to its end.
    :param receipt: whether the answer had a receipt.
    :param events: events of a stream in the order of arrival: number and text.
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
    """A request or a batch item that started to run at a worker.

    :param key_seen: whether the worker received an ``Authorization`` header.
    :param resumed_after: number of the last event that the sender had received; 0 for none.
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
    """One try to submit a batch job.

    :param impossible: items that a worker answers with 422.
    :param status: HTTP status of the answer; 0 without an answer.
    """

    job: str
    items: tuple[str, ...]
    impossible: frozenset[str]
    at: float
    status: int


class Listing(NamedTuple):
    """Results of a job as one read returned them.

    :param after: number of results that the read skipped.
    :param total: number of items of the job.
    :param results: id, state and output of each listed item.
    """

    job: str
    after: int
    at: float
    total: int
    results: tuple[tuple[str, str, str], ...]


class Notice(NamedTuple):
    """An action or observation of the run, such as a fault or the withdrawal of a key.

    :param subject: the VM, worker, key, request or job that it concerns; for a fault, its
        duration in seconds.
    """

    kind: str
    subject: str
    at: float


class History:
    """All entries of a run, in the order in which they were added; thread-safe for adding.

    :param rate: rate of the client account in requests a second; also its burst in requests.
    """

    def __init__(self, rate: float = 25.0) -> None:
        self.rate = rate
        self._lock = threading.Lock()
        self.started_at = time.monotonic()
        self.attempts: list[Attempt] = []
        self.runs: list[Run] = []
        self.failures: list[Failure] = []
        self.submissions: list[Submission] = []
        self.listings: list[Listing] = []
        self.notices: list[Notice] = []
        self._lists_by_type: dict[type, list[Any]] = {
            Attempt: self.attempts,
            Run: self.runs,
            Failure: self.failures,
            Submission: self.submissions,
            Listing: self.listings,
            Notice: self.notices,
        }

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def add_notice(self, kind: str, subject: str) -> None:
        """Add a notice with the present time."""
        self.add(Notice(kind, subject, self.now()))

    def add(self, entry: Attempt | Run | Failure | Submission | Listing | Notice) -> None:
        """Add one entry."""
        with self._lock:
            self._lists_by_type[type(entry)].append(entry)

    def find_notices(self, kind: str) -> list[Notice]:
        """Return the notices of one kind."""
        return [notice for notice in self.notices if notice.kind == kind]

    def last_listings(self) -> dict[str, Listing]:
        """Return the last listing of each job that starts at its first result."""
        return {entry.job: entry for entry in self.listings if entry.after == 0}
