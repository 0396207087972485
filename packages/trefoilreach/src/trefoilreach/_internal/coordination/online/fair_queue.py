"""Admission queue of one class of work, fair between client accounts by their agreed rates."""

import threading
from collections import deque
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

from sortedcontainers import SortedKeyList

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.online.recent_waits import RecentWaits
from trefoilreach._internal.protocol.verdict import Refusal, build_unavailable_refusal

T = TypeVar("T")

# How often a waiting request checks whether its caller disconnected or its wait is too long.
RECHECK_INTERVAL_SECONDS = 0.1
# Factor by which a new wait estimate must exceed the target before a request that is
# already queued is refused.
_RECHECK_SLACK = 1.5
# Latest grant times kept for each group.
_MAX_GRANT_TIMES = 32
# With fewer grants in the present backlog, the grant interval is estimated, not measured.
_MIN_MEASURED_GRANTS = 3
_MIN_WEIGHT = 0.001
_MIN_RETRY_AFTER_SECONDS = 0.5
_FINISH_TAG_PRUNE_COUNT = 10_000
# Bounds the consecutive grants to an account whose agreed burst is many times its rate.
_MAX_CREDIT_VIRTUAL_SECONDS = 5.0


class Claim(NamedTuple, Generic[T]):
    """Admission request of one online request.

    :param weight: weight of the account: its agreed rate, or the share of it in use here.
    :param group: name of the requests that wait for the same servers.
    :param try_acquire: takes a slot for the request, or returns None when all are in use.
    :param target: longest allowed wait in seconds.
    :param interval_hint: expected seconds between two free slots of the group, 0 if unknown.
    :param is_stopped: whether the caller disconnected.
    :param credit: how far before virtual time the account may start, in virtual seconds.
    """

    account: str
    weight: float
    group: str
    try_acquire: Callable[[], T | None]
    target: float
    interval_hint: Callable[[], float]
    is_stopped: Callable[[], bool]
    credit: float = 0.0


class CallerGone(Exception):
    """The caller disconnected while its request waited."""


class Waiter(Generic[T]):
    """One queued request; ``ready`` is set once it has a slot (``granted``) or a refusal."""

    def __init__(self, claim: Claim[T], tag: float, number: int, queued_at: float) -> None:
        self.claim = claim
        self.order = (tag, number)
        self.queued_at = queued_at
        self.ready = threading.Event()
        self.granted: T | None = None
        self.refusal: Refusal | None = None


class FairQueue(Generic[T]):
    """Start-time fair queue: the waiting request with the lowest virtual start goes first.

    Each account's requests are spaced ``1 / weight`` apart in virtual time, so an account
    that sends more than its share only delays itself. An account that sent less may start
    up to its credit before virtual time.

    ``recent_waits`` holds the accounts whose requests wait or waited recently.

    :param capacity: limit of waiting requests; above it, the one that would be served last
        is refused.
    """

    def __init__(self, clock: Clock, capacity: int) -> None:
        self._clock = clock
        self._capacity = capacity
        self._lock = threading.Lock()
        self._waiting: SortedKeyList = SortedKeyList(key=lambda waiter: waiter.order)
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._last_number = 0
        self._grant_times: dict[str, deque[float]] = {}
        # Start time of the backlog of each group that has waiting requests.
        self._backlog_since: dict[str, float] = {}
        self.recent_waits = RecentWaits(clock)

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def acquire(self, claim: Claim[T]) -> T:
        """Wait for a slot.

        :raises Refusal: at once when the estimated wait is over the target, or later when
            the wait becomes too long.
        :raises CallerGone: when the caller disconnected.
        """
        return self.wait(self.submit(claim))

    def submit(self, claim: Claim[T]) -> Waiter[T]:
        """Queue a request without blocking; it may be granted or refused immediately."""
        with self._lock:
            waiter = self._add(claim)
            self._grant_waiting()
            if waiter.granted is None:
                self._record_wait(waiter)
                self._refuse_if_over_target(waiter, 1.0)
                self._refuse_last_if_full()
        return waiter

    def wait(self, waiter: Waiter[T]) -> T:
        """Block until a submitted request has a slot.

        :raises Refusal: when the wait became too long.
        :raises CallerGone: when the caller disconnected.
        """
        while not self._clock.wait(waiter.ready, RECHECK_INTERVAL_SECONDS):
            self.recheck(waiter)
        if waiter.refusal is not None:
            raise waiter.refusal
        assert waiter.granted is not None
        return waiter.granted

    def recheck(self, waiter: Waiter[T]) -> None:
        """Remove a request whose caller disconnected, or refuse one that would wait too long.

        :raises CallerGone: when the caller disconnected.
        """
        with self._lock:
            if waiter.ready.is_set():
                return
            if waiter.claim.is_stopped():
                self._waiting.remove(waiter)
                self._restore_finish_tag(waiter)
                raise CallerGone
            self._grant_waiting()
            if not waiter.ready.is_set():
                self._record_wait(waiter)
                self._refuse_if_over_target(waiter, _RECHECK_SLACK)

    def grant_waiting(self) -> None:
        """Grant free slots to waiting requests; called when one may have become free."""
        if not self._waiting:
            return
        with self._lock:
            self._grant_waiting()

    def _add(self, claim: Claim[T]) -> Waiter[T]:
        start = max(self._earliest_start(claim), self._finish_tags.get(claim.account, 0.0))
        if len(self._finish_tags) > _FINISH_TAG_PRUNE_COUNT:
            # A finish tag older than virtual time less the largest credit has no effect.
            oldest = self._virtual_time - _MAX_CREDIT_VIRTUAL_SECONDS
            self._finish_tags = {k: tag for k, tag in self._finish_tags.items() if tag > oldest}
        self._finish_tags[claim.account] = start + 1.0 / max(claim.weight, _MIN_WEIGHT)
        self._last_number += 1
        waiter = Waiter(claim, start, self._last_number, self._clock.now())
        self._waiting.add(waiter)
        return waiter

    def _earliest_start(self, claim: Claim[T]) -> float:
        return self._virtual_time - min(claim.credit, _MAX_CREDIT_VIRTUAL_SECONDS)

    def _grant_waiting(self) -> None:
        full_groups: set[str] = set()
        for waiter in list(self._waiting):
            group = waiter.claim.group
            if group in full_groups:
                continue
            slot = waiter.claim.try_acquire()
            if slot is None:
                full_groups.add(group)
                continue
            self._grant(waiter, slot)
        now = self._clock.now()
        self._backlog_since = {group: self._backlog_since.get(group, now) for group in full_groups}

    def _grant(self, waiter: Waiter[T], slot: T) -> None:
        self._waiting.remove(waiter)
        self._virtual_time = max(self._virtual_time, waiter.order[0])
        self._grant_times.setdefault(waiter.claim.group, deque(maxlen=_MAX_GRANT_TIMES)).append(
            self._clock.now()
        )
        waiter.granted = slot
        waiter.ready.set()

    def _record_wait(self, waiter: Waiter[T]) -> None:
        self.recent_waits.record(waiter.claim.group, waiter.claim.account, waiter.claim.weight)

    def _refuse(self, waiter: Waiter[T], wait: float) -> None:
        self._waiting.remove(waiter)
        self._restore_finish_tag(waiter)
        retry_after = max(_MIN_RETRY_AFTER_SECONDS, wait - waiter.claim.target)
        message = f"no capacity: the wait would be {wait:.1f} s, over the class target"
        waiter.refusal = build_unavailable_refusal(message, retry_after)
        waiter.ready.set()

    def _restore_finish_tag(self, waiter: Waiter[T]) -> None:
        # A request that never ran used no capacity, so it must not delay its account's next one.
        account = waiter.claim.account
        spacing = 1.0 / max(waiter.claim.weight, _MIN_WEIGHT)
        self._finish_tags[account] = max(
            self._earliest_start(waiter.claim), self._finish_tags.get(account, 0.0) - spacing
        )

    def _refuse_if_over_target(self, waiter: Waiter[T], slack: float) -> None:
        waited = self._clock.now() - waiter.queued_at
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
        return position * self._grant_interval_seconds(waiter)

    def _grant_interval_seconds(self, waiter: Waiter[T]) -> float:
        """Return the seconds between two grants to the group.

        Measured since the backlog began, because before that the grant rate was limited by
        arrivals, not by the servers. With too few grants, estimated from ``interval_hint``.
        """
        group = waiter.claim.group
        grants = self._grant_times.get(group) or deque()
        now = self._clock.now()
        since = self._backlog_since.get(group, now)
        if len(grants) == _MAX_GRANT_TIMES:
            since = max(since, grants[0])
        count = sum(1 for granted in grants if granted >= since)
        if count >= _MIN_MEASURED_GRANTS:
            return (now - since) / count
        return max(waiter.claim.interval_hint(), (now - since) / (count + 1))
