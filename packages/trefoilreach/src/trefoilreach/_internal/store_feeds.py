"""Follows the desired state, worker entries and daemon addresses in the platform's store."""

from collections.abc import Callable, Mapping
from contextlib import ExitStack
from typing import Any

import orjson
from result import Err, Ok

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.exchange.report_exchange import KnownDaemon
from trefoilreach._internal.coordination.exchange.reports import MAX_CORES
from trefoilreach._internal.coordination.serving.freshness import AnswerTimes, StoreAnswer
from trefoilreach._internal.coordination.serving.service import ServingState
from trefoilreach._internal.coordination.serving.table_feed import (
    FeedHooks,
    FeedWatch,
    WatchedTable,
)
from trefoilreach._internal.coordination.serving.workers import STORE_RECOVERY_GRACE_SECONDS
from trefoilreach._internal.logs import describe_error, log_event
from trefoilreach._internal.platform import names
from trefoilreach._internal.platform.desired_state import decode_worker
from trefoilreach._internal.protocol.checked_values import (
    check_host,
    check_name,
    check_number,
    check_port,
)
from trefoilreach._internal.state.rows import RowKey, RowStore, RowWrite, StoredRow

# Long polls: how long the store may hold a call while nothing changes. The desired state is
# confirmed once a second, at the cost of one call.
_DESIRED_STATE_POLL_SECONDS = 1.0
# One call of the desired state's feed in so many seconds is not held by the store.
_UNHELD_CALL_INTERVAL_SECONDS = 10.0
# An answer after a change confirms the view as of the call's start only, so that the view's age may
# reach two polls; the rest of the bound allows for slow answers.
_POLLS_IN_REVOCATION_BOUND = 4
# A feed that stops answering is detected one second after its long poll should have ended; a
# worker that leaves must get no more requests after two to three seconds.
_WORKERS_POLL_SECONDS = 2.0
# Workers that change together are read in one call. The pause is short against the two seconds in
# which a worker that leaves must get no more requests.
_WORKERS_PAUSE_SECONDS = 0.2
_MEMBERS_POLL_SECONDS = 4.0
# Hundreds of daemons that start together each add a row. Without a pause, each of these rows would
# answer the pending call of every daemon.
_MEMBERS_PAUSE_SECONDS = 1.0
_MEMBER_TABLE = "members"


def choose_confirmation_poll_seconds(revocation_bound: float) -> float:
    """Return for how many seconds the store may hold a call for the desired state.

    :param revocation_bound: seconds after which a withdrawn key must fail on every daemon.
    """
    return min(_DESIRED_STATE_POLL_SECONDS, revocation_bound / _POLLS_IN_REVOCATION_BOUND)


class StoreFeeds:
    """Feeds of the desired state, the worker entries and the addresses of the daemons.

    :param note_store_time: called after each answer with the store's clock in milliseconds, and
        with the first and the last time by the daemon's clock at which it may have been built.
    """

    def __init__(
        self,
        clock: Clock,
        rows: RowStore,
        service: ServingState,
        note_store_time: Callable[[float, float, float], None],
    ) -> None:
        self._clock = clock
        self._rows = rows
        self._service = service
        self._workers = service.admission.workers
        self._deployment = service.deployment
        self._note_store_time = note_store_time
        self._answer_times = AnswerTimes()
        self._store_answered_at = float("-inf")
        self._store_regained_at = clock.now()
        self._state_undecodable = False
        self._members: dict[str, KnownDaemon] = {}
        self._own_row: dict[str, Any] = {
            "host": self._deployment.host,
            "port": self._deployment.peer_port,
            "data_centre": self._deployment.data_centre,
            "cores": self._deployment.cores,
        }

    @property
    def member_count(self) -> int:
        """Number of daemons that the store names; 0 before they are read."""
        return len(self._members)

    @property
    def store_silent_seconds(self) -> float:
        """Seconds since the store last answered; infinite before its first answer."""
        return self._clock.now() - self._store_answered_at

    def start(self, stack: ExitStack) -> None:
        """Follow the tables until the exit stack closes."""
        wait = choose_confirmation_poll_seconds(self._deployment.revocation_seconds)
        self._follow(
            stack,
            WatchedTable(
                names.OPERATOR_TABLE,
                [""],
                wait,
                unheld_call_interval=_UNHELD_CALL_INTERVAL_SECONDS,
            ),
            FeedHooks(self._replace_state, self._change_state, self._note_answer),
        )
        self._follow(
            stack,
            WatchedTable(
                names.WORKER_TABLE,
                [""],
                _WORKERS_POLL_SECONDS,
                pause_after_changes=lambda: _WORKERS_PAUSE_SECONDS,
            ),
            FeedHooks(self._replace_workers, self._change_workers),
        )
        self._follow(
            stack,
            WatchedTable(
                _MEMBER_TABLE,
                [""],
                _MEMBERS_POLL_SECONDS,
                pause_after_changes=lambda: _MEMBERS_PAUSE_SECONDS,
            ),
            FeedHooks(self._replace_members, self._change_members),
        )

    def _follow(self, stack: ExitStack, watched: WatchedTable, hooks: FeedHooks) -> None:
        FeedWatch(self._clock, self._rows, watched, hooks).start(stack)

    def _replace_state(self, rows: list[StoredRow], regained: bool) -> None:
        self._change_state(rows)

    def _change_state(self, rows: list[StoredRow]) -> None:
        for row in rows:
            if row.name.key == names.DESIRED_STATE_KEY and not row.deleted:
                # Stays so if an error leaves the next line.
                self._state_undecodable = True
                self._state_undecodable = not self._service.adopt(row.value, "store")

    def _note_answer(self, answer: StoreAnswer) -> None:
        self._store_answered_at = self._clock.now()
        built_at = self._answer_times.find_earliest_build(answer)
        self._note_store_time(answer.store_ms, built_at, answer.answered_at)
        # A newer version that cannot be decoded may withdraw a key, so nothing is confirmed.
        if self._service.route_index is not None and not self._state_undecodable:
            self._service.freshness.confirm(built_at)

    def _replace_workers(self, rows: list[StoredRow], regained: bool) -> None:
        if regained:
            self._store_regained_at = self._clock.now()
        entries = [decode_worker(row.name.key, row.value) for row in rows]
        for entry in entries:
            if isinstance(entry, Err):
                log_event("worker:undecodable", error=str(entry.err_value))
        decoded = [entry.ok_value for entry in entries if isinstance(entry, Ok)]
        self._workers.replace(decoded, self._store_regained_at + STORE_RECOVERY_GRACE_SECONDS)

    def _change_workers(self, rows: list[StoredRow]) -> None:
        for row in rows:
            if row.deleted:
                self._workers.drop(
                    row.name.key, self._store_regained_at + STORE_RECOVERY_GRACE_SECONDS
                )
                continue
            entry = decode_worker(row.name.key, row.value)
            if isinstance(entry, Err):
                log_event("worker:undecodable", error=str(entry.err_value))
                self._workers.drop(row.name.key)
            else:
                self._workers.put(entry.ok_value)

    def _replace_members(self, rows: list[StoredRow], regained: bool) -> None:
        self._members = {}
        self._change_members(rows)
        own = self._deployment
        known = KnownDaemon((own.host, own.peer_port), own.data_centre, own.cores)
        if self._members.get(own.vm) != known:
            self._register_address()

    def _change_members(self, rows: list[StoredRow]) -> None:
        for row in rows:
            if row.deleted:
                self._members.pop(row.name.key, None)
                continue
            try:
                self._members[row.name.key] = _parse_member(orjson.loads(row.value))
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                self._members.pop(row.name.key, None)
                reason = describe_error(error)
                log_event("member:undecodable", daemon=row.name.key, error=reason)
        self._service.exchange.set_known_daemons(self._members.values())

    def _register_address(self) -> None:
        """Store this daemon's address for daemons that start later."""
        name = RowKey(_MEMBER_TABLE, "", self._deployment.vm)
        written = self._rows.commit([], [RowWrite(name, orjson.dumps(self._own_row))])
        if isinstance(written, Err):
            # Seeds and peers still name this daemon; the next full read of the table tries again.
            log_event("member:not-registered", error=str(written.err_value))


def _parse_member(row: Mapping[str, Any]) -> KnownDaemon:
    """Return the daemon of a row; older versions stored its address only.

    :raises ValueError: when a field has another type or no possible value; ``KeyError`` without an
        address.
    """
    data_centre = row.get("data_centre", "")
    return KnownDaemon(
        (check_host(row["host"]), check_port(row["port"])),
        check_name(data_centre) if data_centre != "" else "",
        check_number(row.get("cores", 0.0), 0.0, MAX_CORES),
    )
