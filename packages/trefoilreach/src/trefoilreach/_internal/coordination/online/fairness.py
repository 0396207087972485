"""Admission queue of one class of work, fair between client accounts by agreed rate."""

import threading
from collections import deque
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

from sortedcontainers import SortedKeyList

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.online.waited import WaitedAccounts
from trefoilreach._internal.protocol.verdict import Refusal, refuse_unavailable

T = TypeVar("T")

# How often a waiting request looks whether its caller left or its wait became too long.
REVIEW_SECONDS = 0.1
# A waiting request is refused only when the new estimate is clearly over the target.
_REVIEW_SLACK = 1.5
_GRANTS_KEPT = 32
_GRANTS_MEASURED = 3
_MIN_WEIGHT = 0.001
_MIN_RETRY_SECONDS = 0.5
_FINISH_TAGS_KEPT = 10_000
# Bounds the turns in a row of an account whose agreed burst is many times its rate.
_MAX_CREDIT = 5.0


class Claim(NamedTuple, Generic[T]):
    """What one request asks of the queue.

    :param weight: agreed rate of the account.
    :param group: requests of one group wait for the same servers.
    :param try_place: takes a place for the request, or returns None when all are full.
    :param target: longest allowed wait in seconds.
    :param interval_hint: expected seconds between two places of the group, 0 if unknown.
    :param gone: whether the caller went away.
    :param credit: how far the account may fall behind virtual time, in units of it.
    """

    account: str
    weight: float
    group: str
    try_place: Callable[[], T | None]
    target: float
    interval_hint: Callable[[], float]
    gone: Callable[[], bool]
    credit: float = 0.0


class CallerGone(Exception):
    """The caller went away while its request waited."""


class Waiter(Generic[T]):
    """One request in the queue; ``ready`` is set once it has a place or a refusal."""

    def __init__(self, claim: Claim[T], tag: float, number: int, since: float) -> None:
        self.claim = claim
        self.order = (tag, number)
        self.since = since
        self.ready = threading.Event()
        self.place: T | None = None
        self.refusal: Refusal | None = None


class FairQueue(Generic[T]):
    """Start-time fair queue: the waiting request with the lowest virtual start goes first.

    Each account's requests are spaced ``1 / weight`` apart in virtual time, so an account
    that sends more than its part only delays itself. An account that sent less may start
    by its credit before virtual time.

    ``waited`` knows the accounts whose requests wait or waited lately.

    :param capacity: waiting requests; beyond it the one that would go last is refused.
    """

    def __init__(self, clock: Clock, capacity: int) -> None:
        self._clock = clock
        self._capacity = capacity
        self._lock = threading.Lock()
        self._waiting: SortedKeyList = SortedKeyList(key=lambda waiter: waiter.order)
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._number = 0
        self._grants: dict[str, deque[float]] = {}
        # When the present backlog of a group began; only groups that wait have an entry.
        self._backlog_since: dict[str, float] = {}
        self.waited = WaitedAccounts(clock)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def enter(self, claim: Claim[T]) -> T:
        """Wait for a place.

        :raises Refusal: at once when the estimated wait is over the target.
        :raises CallerGone: when the caller left.
        """
        return self.wait(self.submit(claim))

    def submit(self, claim: Claim[T]) -> Waiter[T]:
        """Queue a request without blocking; it may have a place or a refusal at once."""
        with self._lock:
            waiter = self._add(claim)
            self._pump()
            if waiter.place is None:
                self._note_waited(waiter)
                self._refuse_if_hopeless(waiter, 1.0)
                self._refuse_last_if_full()
        return waiter

    def wait(self, waiter: Waiter[T]) -> T:
        """Block until a submitted request has a place.

        :raises Refusal: when the wait became too long.
        :raises CallerGone: when the caller left.
        """
        while not self._clock.wait(waiter.ready, REVIEW_SECONDS):
            self.review(waiter)
        if waiter.refusal is not None:
            raise waiter.refusal
        assert waiter.place is not None
        return waiter.place

    def review(self, waiter: Waiter[T]) -> None:
        """Look whether a waiting request's caller left or its wait became too long.

        :raises CallerGone: when the caller left.
        """
        with self._lock:
            if waiter.ready.is_set():
                return
            if waiter.claim.gone():
                self._waiting.remove(waiter)
                self._take_back_tag(waiter)
                raise CallerGone
            self._pump()
            if not waiter.ready.is_set():
                self._note_waited(waiter)
                self._refuse_if_hopeless(waiter, _REVIEW_SLACK)

    def pump(self) -> None:
        """Give out places; called when one may have become free."""
        if not self._waiting:
            return
        with self._lock:
            self._pump()

    def _add(self, claim: Claim[T]) -> Waiter[T]:
        start = max(self._earliest_start(claim), self._finish_tags.get(claim.account, 0.0))
        if len(self._finish_tags) > _FINISH_TAGS_KEPT:
            # A finish tag that virtual time left behind by any credit has no effect any more.
            now = self._virtual_time - _MAX_CREDIT
            self._finish_tags = {k: tag for k, tag in self._finish_tags.items() if tag > now}
        self._finish_tags[claim.account] = start + 1.0 / max(claim.weight, _MIN_WEIGHT)
        self._number += 1
        waiter = Waiter(claim, start, self._number, self._clock.now())
        self._waiting.add(waiter)
        return waiter

    def _earliest_start(self, claim: Claim[T]) -> float:
        return self._virtual_time - min(claim.credit, _MAX_CREDIT)

    def _pump(self) -> None:
        full: set[str] = set()
        for waiter in list(self._waiting):
            group = waiter.claim.group
            if group in full:
                continue
            place = waiter.claim.try_place()
            if place is None:
                full.add(group)
                continue
            self._grant(waiter, place)
        now = self._clock.now()
        self._backlog_since = {group: self._backlog_since.get(group, now) for group in full}

    def _grant(self, waiter: Waiter[T], place: T) -> None:
        self._waiting.remove(waiter)
        self._virtual_time = max(self._virtual_time, waiter.order[0])
        self._grants.setdefault(waiter.claim.group, deque(maxlen=_GRANTS_KEPT)).append(
            self._clock.now()
        )
        waiter.place = place
        waiter.ready.set()

    def _note_waited(self, waiter: Waiter[T]) -> None:
        self.waited.note(waiter.claim.group, waiter.claim.account, waiter.claim.weight)

    def _refuse(self, waiter: Waiter[T], wait: float) -> None:
        self._waiting.remove(waiter)
        self._take_back_tag(waiter)
        retry_after = max(_MIN_RETRY_SECONDS, wait - waiter.claim.target)
        message = f"no capacity: the wait would be {wait:.1f} s, over the class target"
        waiter.refusal = refuse_unavailable(message, retry_after)
        waiter.ready.set()

    def _take_back_tag(self, waiter: Waiter[T]) -> None:
        # A refused request used nothing, so it must not delay its account's next one.
        account = waiter.claim.account
        spacing = 1.0 / max(waiter.claim.weight, _MIN_WEIGHT)
        self._finish_tags[account] = max(
            self._earliest_start(waiter.claim), self._finish_tags.get(account, 0.0) - spacing
        )

    def _refuse_if_hopeless(self, waiter: Waiter[T], slack: float) -> None:
        waited = self._clock.now() - waiter.since
        wait = waited + self._estimate_wait(waiter)
        target = waiter.claim.target
        if waited >= target or wait > target * slack:
            self._refuse(waiter, max(wait, target))

    def _refuse_last_if_full(self) -> None:
        if len(self._waiting) > self._capacity:
            last = self._waiting[-1]
            self._refuse(last, max(last.claim.target, self._estimate_wait(last)))

    def _estimate_wait(self, waiter: Waiter[T]) -> float:
        group = waiter.claim.group
        before = self._waiting.irange_key(max_key=waiter.order)
        position = sum(1 for other in before if other.claim.group == group)
        return position * self._interval(waiter)

    def _interval(self, waiter: Waiter[T]) -> float:
        """Return the seconds between two places.

        Measured since the backlog began, because before that grants came as slowly as
        requests arrived; with too few grants, what the servers should be able to do.
        """
        group = waiter.claim.group
        grants = self._grants.get(group) or deque()
        now = self._clock.now()
        since = self._backlog_since.get(group, now)
        if len(grants) == _GRANTS_KEPT:
            since = max(since, grants[0])
        count = sum(1 for granted in grants if granted >= since)
        if count >= _GRANTS_MEASURED:
            return (now - since) / count
        return max(waiter.claim.interval_hint(), (now - since) / (count + 1))
