"""Sends one order to a worker while holding leases on the worker and the models.

An order is a generator that yields while it waits. So one thread can run all orders of a
daemon, and tests can run them on a manual clock.
"""

from collections.abc import Generator
from typing import NamedTuple, Protocol

from result import Err, Ok

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.membership.leases import Lease, LeaseManager
from trefoilreach._internal.coordination.placement.fleet import FleetSnapshot
from trefoilreach._internal.coordination.placement.proposals import (
    LOAD,
    ROLE,
    Action,
    find_blocking_reason,
    is_last_replica,
    list_interrupted_models,
    propose_orders,
)
from trefoilreach._internal.logs import log_decision, log_event
from trefoilreach._internal.metrics import Metrics
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.settings import PlacementSettings
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.state.weights import WeightStore
from trefoilreach._internal.transport.engine import Engine, Order

# An order is sent only if its leases last this much longer: an order takes up to 7 s, of
# which connecting takes 2 s.
MIN_LEASE_LEFT_SECONDS = 8.0
# A model has traffic (is active) for this time after an online request for it.
ACTIVE_TRAFFIC_SECONDS = 60.0
# Longest wait for load reports taken after the lease was; a worker without one is treated as
# silent.
_REPORT_WAIT_SECONDS = 4.0
_HOLD_MARGIN_SECONDS = 1.0
_ORDER_RETRY_SECONDS = 2.0
_REFUSED_RETRY_SECONDS = 30.0
_PERMIT_RETRY_SECONDS = 5.0

# Outcomes of an order that was not sent.
BUSY = "busy"
CHANGED = "changed"
WAITING = "waiting"
UNSAFE = "unsafe"
LATE = "late"
# Outcomes of an order that was sent.
DONE = "done"
ACCEPTED = "accepted"
REFUSED = "refused"
LOST = "lost"
NOT_SENT = "not-sent"

OrderSteps = Generator[None, None, str]


class FleetView(Protocol):
    """The workers as this daemon knows them."""

    def build_fleet(self, since: float) -> FleetSnapshot:
        """Return a snapshot, without the load reports that were taken before ``since``."""

    def report_taken_at(self, server: str) -> float:
        """Return when the last load report of a worker was taken, by this daemon's clock."""


class RequestHolder(Protocol):
    """Holds back new requests for models of a worker, on every daemon."""

    def hold(self, server: str, models: tuple[str, ...], seconds: float) -> float | None:
        """Hold requests back for a time, which replaces an earlier hold.

        :returns: the seconds since the last request for one of the models at any daemon;
            None when a daemon did not answer.
        """


class OrderDependencies(NamedTuple):
    """Dependencies of orders.

    :param load_interval: seconds between two load reports.
    """

    clock: Clock
    settings: PlacementSettings
    load_interval: float
    leases: LeaseManager
    engine: Engine
    weights: WeightStore
    view: FleetView
    holds: RequestHolder
    metrics: Metrics


class OrderRun:
    """One order, from the acquisition of its leases to their release.

    :param retry_after: seconds from the end of this order until the worker may get another one.
    :param permit_after: seconds from the end of this order until the weight store may be asked
        for another permit.
    """

    def __init__(self, tools: OrderDependencies, server: Server, action: Action) -> None:
        self.action = action
        self.retry_after = _ORDER_RETRY_SECONDS
        self.permit_after = 0.0
        self._tools = tools
        self._server = server
        self._leases: list[Lease] = []
        self._interrupted: tuple[str, ...] = ()

    def steps(self) -> OrderSteps:
        """Run the order: yield while waiting, and return the outcome."""
        if not self._acquire():
            return BUSY
        outcome = CHANGED
        try:
            outcome = yield from self._run()
        finally:
            # After a lost answer the worker may still carry out the order, so the leases are left
            # to expire.
            if outcome != LOST:
                self._release()
        return outcome

    def _acquire(self) -> bool:
        """Acquire the leases of the worker and of each model that the order changes there."""
        names = [f"order/model/{model}" for model in self._changed_models()]
        names.append(f"order/{self._server.name}")
        for name in names:
            taken = self._tools.leases.acquire(name)
            if isinstance(taken, Err):
                self._release()
                return False
            self._leases.append(taken.ok_value)
        return True

    def _changed_models(self) -> list[str]:
        if self.action.kind != ROLE:
            return [self.action.model]
        worker = self._tools.view.build_fleet(float("-inf")).find_worker(self._server.name)
        return sorted(worker.loaded) if worker is not None else []

    def _release(self) -> None:
        for lease in reversed(self._leases):
            self._tools.leases.release(lease)
        self._leases = []

    def _run(self) -> OrderSteps:
        acquired = self._tools.clock.now()
        yield from self._wait_for_reports(acquired)
        fleet = self._tools.view.build_fleet(acquired)
        blocked = self._check_order(fleet)
        if blocked:
            return blocked
        if self.action.kind == LOAD and not self._take_permit():
            return WAITING
        worker = fleet.find_worker(self._server.name)
        self._interrupted = (
            list_interrupted_models(worker, self.action) if worker is not None else ()
        )
        if not self._interrupted:
            return self._send(acquired)
        return (yield from self._send_with_hold(acquired))

    def _wait_for_reports(self, since: float) -> Generator[None, None, None]:
        """Wait for load reports that workers of the changed models took after ``since``."""
        view, clock = self._tools.view, self._tools.clock
        models = set(self._changed_models())
        while clock.now() - since < _REPORT_WAIT_SECONDS:
            unreported = [
                worker
                for worker in view.build_fleet(float("-inf")).workers
                if worker.server.state == "live"
                and models.intersection(worker.server.routes)
                and view.report_taken_at(worker.server.name) < since
            ]
            if not unreported:
                return
            yield

    def _check_order(self, fleet: FleetSnapshot) -> str:
        """Return the outcome if the order is unsafe or no longer needed; empty if neither."""
        blocking_reason = find_blocking_reason(fleet, self.action)
        if blocking_reason:
            return self._log_not_sent(UNSAFE, blocking_reason)
        still_needed = any(self.action.is_same(other) for other in propose_orders(fleet))
        return "" if still_needed else CHANGED

    def _take_permit(self) -> bool:
        """Ask the weight store for a permit; a permit whose answer was lost is not used."""
        asked = self._tools.weights.request_permit(self.action.model, self._server.name)
        wait = asked.ok_value if isinstance(asked, Ok) else _PERMIT_RETRY_SECONDS
        self.permit_after = self.retry_after = max(0.0, wait)
        return isinstance(asked, Ok) and wait <= 0.0

    def _send_with_hold(self, acquired: float) -> OrderSteps:
        """Hold back new requests, wait for those in flight, then send the order."""
        name, holds = self._server.name, self._tools.holds
        outcome = UNSAFE
        try:
            age = holds.hold(name, self._interrupted, self._tools.settings.lease)
            if age is None:
                return self._log_not_sent(UNSAFE, "a daemon did not answer")
            yield from self._wait_until_drained()
            outcome = self._check_traffic(acquired) or self._send(acquired)
            return outcome
        finally:
            # The hold lasts until load reports show the effect of the order. After a lost
            # answer the worker may still carry out the order, so the hold stays unchanged.
            remaining = 2 * self._tools.load_interval + _HOLD_MARGIN_SECONDS
            if outcome != LOST:
                seconds = remaining if outcome in (DONE, ACCEPTED) else 0.0
                holds.hold(name, self._interrupted, seconds)

    def _wait_until_drained(self) -> Generator[None, None, None]:
        clock, view, name = self._tools.clock, self._tools.view, self._server.name
        earliest = clock.now() + self._tools.load_interval
        lease_limit = (
            min(lease.expires_at for lease in self._leases)
            - MIN_LEASE_LEFT_SECONDS
            - self._tools.load_interval
        )
        latest = max(earliest, min(clock.now() + self._tools.settings.drain, lease_limit))
        while clock.now() < latest:
            worker = view.build_fleet(float("-inf")).find_worker(name)
            report = None if worker is None else worker.report
            idle = report is not None and report.running + report.waiting == 0
            if idle and view.report_taken_at(name) >= earliest:
                return
            yield

    def _check_traffic(self, acquired: float) -> str:
        """Ask every daemon again for recent traffic of models that lose their last replica.

        Return the outcome if there was any; empty if the order may be sent.
        """
        fleet = self._tools.view.build_fleet(acquired)
        worker = fleet.find_worker(self._server.name)
        if worker is None or not any(
            is_last_replica(fleet, worker, model) for model in self._interrupted
        ):
            return ""
        age = self._tools.holds.hold(
            self._server.name, self._interrupted, self._tools.settings.lease
        )
        if age is None or age < ACTIVE_TRAFFIC_SECONDS:
            return self._log_not_sent(
                UNSAFE, "a model that would lose its last replica has traffic"
            )
        return ""

    def _send(self, acquired: float) -> str:
        """Send the order if it still may be sent; return the outcome."""
        tools, action = self._tools, self.action
        blocked = self._check_order(tools.view.build_fleet(acquired))
        if blocked:
            return blocked
        if not all(tools.leases.is_valid(lease, MIN_LEASE_LEFT_SECONDS) for lease in self._leases):
            return self._log_not_sent(LATE, "the lease is about to end")
        log_decision(
            "placement",
            action.server,
            action.reason,
            action=action.kind,
            model=action.model,
            version=action.version,
            candidates=list(action.candidates),
        )
        order = Order(self._leases[-1].fencing_token, action.kind, action.model, action.version)
        reply = tools.engine.order(self._server, order)
        if isinstance(reply, Ok):
            outcome = reply.ok_value.status
        else:
            outcome = NOT_SENT if reply.err_value.verdict is Verdict.NOT_RUN else LOST
        self._record_outcome(outcome, order)
        return outcome

    def _record_outcome(self, outcome: str, order: Order) -> None:
        if outcome == REFUSED:
            self.retry_after = _REFUSED_RETRY_SECONDS
        self._tools.metrics.count(f"placement.orders.{order.action}.{outcome}")
        log_event(
            "placement:order", server=self._server.name, outcome=outcome, fencing=order.fencing
        )

    def _log_not_sent(self, outcome: str, reason: str) -> str:
        log_event(
            "placement:not-sent",
            server=self._server.name,
            action=self.action.kind,
            model=self.action.model,
            reason=reason,
        )
        return outcome
