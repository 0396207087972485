"""Finds the prompt parts that crash workers, from the crashes that all daemons report.

Load pattern: requests of one kind, no two alike, have a prompt part in common under which each
worker crashes before it begins to answer. They come at any daemon, beside sound requests of the
same callers that have the other parts. Workers also crash for other reasons, with sound requests
in flight.

All requests that a worker had not begun to answer when it crashed are evidence of one crash, which
one part explains. A part is blocked when several workers have crashed under different requests with
it, none has begun to answer such a request since, and no other part explains these crashes better.
Reports of one crash come from several daemons and one by one, so each of them is a reason to assess
all parts again: a sound part that was blocked before the deadly one was known is released.

Each report blocks at most one part. A block holds until a request with the part has been answered,
or until another part explains the crashes: one request may try it after a pause, which doubles with
each failed trial.
"""

import threading
from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.logs import log_decision, log_event

# Two crashes may meet the same sound part by chance while workers crash in series.
_MIN_CRASHED_WORKERS = 3
# A single request may be at fault by itself; it is blocked by its fingerprint.
_MIN_REQUESTS = 2
_CRASH_EXPIRY_SECONDS = 600.0
_MAX_CRASHES = 512
# Limits for parts that were answered, about 150 bytes each.
_MAX_ANSWERED_PARTS = 2048
_MAX_BLOCKED_PARTS = 32
# Peers hear for this long that a part in a crash was answered. Reports may be lost.
_REPORT_SECONDS = 10.0
_FIRST_BLOCK_SECONDS = 60.0
_MAX_BLOCK_SECONDS = 3600.0
# Twice as often as needed for the longest block. The power of a larger number, which a row or a
# report may state, would take minutes and more memory than a VM has.
_MAX_BLOCK_DOUBLINGS = 12


class CrashedRun(NamedTuple):
    """A request that had not been answered yet when its worker crashed.

    :param worker: the worker's process (``id/start time``).
    :param shared_parts: ids of the prompt parts that other requests may have too, in order.
    :param age_seconds: time since the crash.
    """

    fingerprint: str
    worker: str
    shared_parts: tuple[str, ...] = ()
    age_seconds: float = 0.0


class AnsweredPart(NamedTuple):
    """A prompt part of a request that a worker has begun to answer.

    :param age_seconds: time since the latest such answer began.
    """

    part: str
    age_seconds: float


class BlockedPart(NamedTuple):
    """A prompt part that crashes workers.

    :param age_seconds: time since it was blocked or the last trial began.
    :param trials: number of requests that have tried it since it was blocked.
    """

    part: str
    age_seconds: float
    trials: int

    @property
    def retry_after(self) -> float:
        """Seconds until a request may try the part; 0 when it is time for that."""
        return max(0.0, find_block_seconds(self.trials) - self.age_seconds)


class _Crash(NamedTuple):
    fingerprint: str
    worker: str
    parts: tuple[str, ...]
    at: float


class _Block(NamedTuple):
    since: float
    trials: int


class _Suspect(NamedTuple):
    """A part in crashes, with the evidence against it.

    :param workers: processes that crashed under requests with the part since its last answer.
    :param requests: fingerprints of these requests.
    :param place: its last place in their prompts; fewer sound requests share a later part.
    """

    part: str
    never_answered: bool
    workers: set[str]
    requests: set[str]
    place: int


class _Culprit(NamedTuple):
    """A part that explains crashes.

    :param workers: processes whose crashes it explains and no culprit before it did.
    """

    suspect: _Suspect
    workers: set[str]


def find_block_seconds(trials: int) -> float:
    """Return for how long a part is blocked after a number of failed trials."""
    doublings = min(trials, _MAX_BLOCK_DOUBLINGS)
    return min(_MAX_BLOCK_SECONDS, _FIRST_BLOCK_SECONDS * 2.0**doublings)


class CrashingParts:
    """Prompt parts that crash workers, as this daemon knows from itself and its peers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._crashes: dict[tuple[str, str], _Crash] = {}
        # When a worker began to answer a request with a part, as seen here and by peers.
        self._answered_here: OrderedDict[str, float] = OrderedDict()
        self._answered_at_peers: OrderedDict[str, float] = OrderedDict()
        # Parts in recent crashes, with the time of the last one.
        self._suspects: dict[str, float] = {}
        self._blocks: dict[str, _Block] = {}
        self._released: list[str] = []

    def find_block(self, parts: Collection[str]) -> BlockedPart | None:
        """Return the block of the first blocked part, or None if no part is blocked."""
        if not self._blocks:
            return None
        now = self._clock.now()
        with self._lock:
            for part in parts:
                block = self._blocks.get(part)
                if block is not None:
                    return BlockedPart(part, now - block.since, block.trials)
        return None

    def add_crash(self, run: CrashedRun) -> str | None:
        """Add a crash; return the part that is blocked because of it, if any."""
        at = self._clock.now() - run.age_seconds
        crash = _Crash(run.fingerprint, run.worker, run.shared_parts, at)
        with self._lock:
            key = (crash.worker, crash.fingerprint)
            if key in self._crashes:
                return None
            self._prune_crashes()
            self._crashes[key] = crash
            for part in crash.parts:
                self._suspects[part] = max(at, self._suspects.get(part, at))
            return self._update_blocks(crash)

    def pop_released(self) -> list[str]:
        """Return the parts released since the last call because others explain their crashes."""
        if not self._released:
            return []
        with self._lock:
            released, self._released = self._released, []
        return released

    def record_answered(self, parts: Iterable[str]) -> list[str]:
        """Record that a worker begins to answer a request; return the parts that it unblocks."""
        now = self._clock.now()
        with self._lock:
            return [p for p in parts if self._add_answered(self._answered_here, p, now)]

    def apply_peer_findings(
        self, answered: Sequence[AnsweredPart], blocked: Sequence[BlockedPart]
    ) -> None:
        """Add what a peer states about parts."""
        if not answered and not blocked:
            return
        now = self._clock.now()
        with self._lock:
            for part, age in answered:
                self._add_answered(self._answered_at_peers, part, now - age)
            for part, age, trials in blocked:
                self._add_block(part, _Block(now - age, trials), "a peer has blocked it")
            if blocked:
                # The peer may state a sound part before the one that explains its crashes.
                self._release_explained()

    def set_block(self, stored: BlockedPart) -> None:
        """Block a part as the store states: after a start, or as a request tries the part."""
        with self._lock:
            block = _Block(self._clock.now() - stored.age_seconds, stored.trials)
            self._add_block(stored.part, block, "the store lists it as blocked")

    def list_answered(self) -> tuple[AnsweredPart, ...]:
        """Return the suspected parts of requests that were answered here, for a report."""
        if not self._suspects:
            return ()
        now = self._clock.now()
        with self._lock:
            for part in [p for p, at in self._suspects.items() if now - at > _REPORT_SECONDS]:
                del self._suspects[part]
            return tuple(
                AnsweredPart(part, now - self._answered_here[part])
                for part in self._suspects
                if part in self._answered_here
            )

    def list_blocked(self) -> tuple[BlockedPart, ...]:
        """Return the blocked parts, for a report."""
        if not self._blocks:
            return ()
        now = self._clock.now()
        with self._lock:
            return tuple(
                BlockedPart(part, now - block.since, block.trials)
                for part, block in self._blocks.items()
            )

    def _find_answered_at(self, part: str) -> float:
        never = float("-inf")
        return max(self._answered_here.get(part, never), self._answered_at_peers.get(part, never))

    def _add_answered(self, answered: OrderedDict[str, float], part: str, at: float) -> bool:
        """Record an answer to a request with a part; return whether this unblocks it."""
        answered[part] = max(at, answered.get(part, at))
        answered.move_to_end(part)
        if len(answered) > _MAX_ANSWERED_PARTS:
            answered.popitem(last=False)
        block = self._blocks.get(part)
        if block is None or at <= block.since:
            return False
        del self._blocks[part]
        # Peers learn of the answer from the next reports.
        self._suspects[part] = self._clock.now()
        log_event("part:unblocked", part=part, trials=block.trials, age=at - block.since)
        return True

    def _update_blocks(self, crash: _Crash) -> str | None:
        """Assess all parts after a crash; return the part that is blocked because of it, if any."""
        suspects = self._list_suspects()
        # A crash that a blocked part explains is no reason to block another one.
        culprits = _find_culprits(suspects, self._blocks)
        found = next((culprit for culprit in culprits if crash.worker in culprit.workers), None)
        blocked = None
        if found is not None and found.suspect.part not in self._blocks:
            blocked = found.suspect.part
            self._block_culprit(found, crash, len(suspects))
        self._release_explained()
        return blocked

    def _list_suspects(self) -> list[_Suspect]:
        """Return the parts of crashes that are later than the part's last answer."""
        suspects: dict[str, _Suspect] = {}
        for crash in self._crashes.values():
            for place, part in enumerate(crash.parts):
                answered_at = self._find_answered_at(part)
                if crash.at <= answered_at:
                    continue
                never_answered = answered_at == float("-inf")
                known = suspects.get(part) or _Suspect(part, never_answered, set(), set(), place)
                known.workers.add(crash.worker)
                known.requests.add(crash.fingerprint)
                suspects[part] = known._replace(place=max(place, known.place))
        return list(suspects.values())

    def _block_culprit(self, culprit: _Culprit, crash: _Crash, candidates: int) -> None:
        suspect, workers = culprit
        self._blocks[suspect.part] = _Block(crash.at, 0)
        self._limit_blocks()
        log_decision(
            "block-part",
            suspect.part,
            "workers crashed under different requests with it and none has answered one since",
            workers=len(workers),
            requests=len(suspect.requests),
            never_answered=suspect.never_answered,
            place=suspect.place,
            parts=crash.parts,
            candidates=candidates,
        )

    def _release_explained(self) -> None:
        """Release the blocked parts all of whose crashes other blocked parts explain."""
        if len(self._blocks) < 2:
            return
        now = self._clock.now()
        for part in self._find_explained(self._blocks):
            block = self._blocks.pop(part)
            self._released.append(part)
            # Peers hear of its answers in the next reports.
            self._suspects[part] = now
            log_decision(
                "release-part",
                part,
                "other blocked parts explain its crashes",
                blocked=sorted(self._blocks),
                age=round(now - block.since, 3),
            )

    def _find_explained(self, parts: Collection[str]) -> list[str]:
        """Return those of some parts whose crashes are all explained by others of them.

        Without an answer there is no telling which of two parts that no worker has answered is
        sound; only one that more requests share, as it comes earlier in the prompt, counts as
        explained then.
        """
        suspects = [suspect for suspect in self._list_suspects() if suspect.part in parts]
        culprits = _find_culprits(suspects, parts)
        explaining = {culprit.suspect.part for culprit in culprits}
        return [
            suspect.part
            for suspect in suspects
            if suspect.part not in explaining
            and (
                not suspect.never_answered
                or all(
                    suspect.place < culprit.suspect.place
                    for culprit in culprits
                    if suspect.workers & culprit.workers
                )
            )
        ]

    def _add_block(self, part: str, block: _Block, reason: str) -> None:
        """Block a part, or extend its block, unless it was answered since or others explain it.

        A peer may state a block that it made before it knew of the part that explains the crashes.
        """
        if self._find_answered_at(part) > block.since:
            return
        known = self._blocks.get(part)
        if known is not None:
            self._blocks[part] = _Block(
                max(block.since, known.since), max(block.trials, known.trials)
            )
        elif part not in self._find_explained({*self._blocks, part}):
            log_decision("block-part", part, reason, trials=block.trials)
            self._blocks[part] = block
            self._limit_blocks()

    def _limit_blocks(self) -> None:
        """Drop the oldest block beyond the limit."""
        if len(self._blocks) > _MAX_BLOCKED_PARTS:
            oldest = min(self._blocks, key=lambda part: self._blocks[part].since)
            del self._blocks[oldest]
            log_event("part:block-dropped", part=oldest, limit=_MAX_BLOCKED_PARTS)

    def _prune_crashes(self) -> None:
        oldest = self._clock.now() - _CRASH_EXPIRY_SECONDS
        for key in [key for key, crash in self._crashes.items() if crash.at < oldest]:
            del self._crashes[key]
        while len(self._crashes) >= _MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]


def _find_culprits(suspects: list[_Suspect], blocked: Collection[str]) -> list[_Culprit]:
    """Return parts that together explain as many crashes as the evidence allows, the best first.

    Of the parts in enough crashes that are not explained yet, those that no worker is known to have
    answered go first, then those in most of these crashes, then those that come last in the prompt,
    which fewer sound requests share.

    :param blocked: parts for which one crash is enough. They were blocked for other crashes,
        perhaps by a peer or before a restart.
    """

    def rank(culprit: _Culprit) -> tuple[bool, int, int, bool, int]:
        suspect, workers = culprit
        return (
            suspect.never_answered,
            len(workers),
            suspect.place,
            suspect.part in blocked,
            len(suspect.requests),
        )

    culprits: list[_Culprit] = []
    explained: set[str] = set()
    while True:
        left = [_Culprit(suspect, suspect.workers - explained) for suspect in suspects]
        candidates = [
            culprit
            for culprit in left
            if (culprit.workers and culprit.suspect.part in blocked) or _is_enough_evidence(culprit)
        ]
        if not candidates:
            return culprits
        best = max(candidates, key=rank)
        culprits.append(best)
        explained |= best.workers


def _is_enough_evidence(culprit: _Culprit) -> bool:
    return (
        len(culprit.workers) >= _MIN_CRASHED_WORKERS
        and len(culprit.suspect.requests) >= _MIN_REQUESTS
    )
