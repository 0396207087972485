"""Gives one order to a worker under leases.

An order runs in steps, as a generator that yields while it waits, so that one thread
drives all orders of a daemon and tests drive them by a manual clock.
"""

from collections.abc import Generator
from typing import NamedTuple, Protocol

from result import Err, Ok

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.membership.leases import Lease, Leases
from trefoilreach._internal.coordination.placement.decision import (
    LOAD,
    ROLE,
    Action,
    find_objection,
    is_last,
    propose,
    stopped_models,
)
from trefoilreach._internal.coordination.placement.fleet import Fleet
from trefoilreach._internal.logs import log_decision, log_event
from trefoilreach._internal.metrics import Metrics
from trefoilreach._internal.protocol.verdict import Verdict
from trefoilreach._internal.settings import PlacementSettings
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.state.weights import WeightStore
from trefoilreach._internal.transport.engine import Engine, Order

# No order goes out in the last part of a lease; an order takes up to 7 s, of which
# connecting takes 2 s.
QUIET_SECONDS = 8.0
# A model counts as in use for this time after an online request for it.
TRAFFIC_SECONDS = 60.0
# Workers that have given no new load report for this time after the lease was taken
# count as silent.
_READ_SECONDS = 4.0
_SETTLE_MARGIN_SECONDS = 1.0
_RETRY_SECONDS = 2.0
_REFUSED_SECONDS = 30.0
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

Steps = Generator[None, None, str]


class FleetView(Protocol):
    """What this daemon knows of the workers."""

    def fleet(self, since: float) -> Fleet:
        """Return the fleet; workers without a report taken after ``since`` have none."""

    def taken_at(self, server: str) -> float:
        """Return when the last report's figures were taken."""


class HoldBack(Protocol):
    """Keeps new requests away from models of a worker, on every daemon."""

    def hold(self, server: str, models: tuple[str, ...], seconds: float) -> float | None:
        """Hold requests back; return the time since the last one anywhere.

        :returns: None when a daemon did not answer.
        """


class OrderTools(NamedTuple):
    """What orders are given with.

    :param load_interval: seconds between two load reports.
    """

    clock: Clock
    settings: PlacementSettings
    load_interval: float
    leases: Leases
    engine: Engine
    weights: WeightStore
    view: FleetView
    holds: HoldBack
    metrics: Metrics


class OrderRun:
    """One order, from the leases to their release.

    :param retry_after: seconds after which the worker can be given another order.
    :param permit_after: seconds for which the weight store wants no request.
    """

    def __init__(self, tools: OrderTools, server: Server, action: Action) -> None:
        self.action = action
        self.retry_after = _RETRY_SECONDS
        self.permit_after = 0.0
        self._tools = tools
        self._server = server
        self._leases: list[Lease] = []
        self._stopped: tuple[str, ...] = ()

    def steps(self) -> Steps:
        """Yield while there is something to wait for; return the outcome."""
        if not self._acquire():
            return BUSY
        outcome = CHANGED
        try:
            outcome = yield from self._run()
        finally:
            # After a lost answer the order may still be on its way, so the leases rest.
            if outcome != LOST:
                self._release()
        return outcome

    def _acquire(self) -> bool:
        """Take the leases of the worker and of each model that the order changes there."""
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
        worker = self._tools.view.fleet(float("-inf")).worker(self._server.name)
        return sorted(worker.loaded) if worker is not None else []

    def _release(self) -> None:
        for lease in reversed(self._leases):
            self._tools.leases.release(lease)
        self._leases = []

    def _run(self) -> Steps:
        acquired = self._tools.clock.now()
        yield from self._wait_for_reports(acquired)
        fleet = self._tools.view.fleet(acquired)
        against = self._check(fleet)
        if against:
            return against
        if self.action.kind == LOAD and not self._take_permit():
            return WAITING
        worker = fleet.worker(self._server.name)
        self._stopped = stopped_models(worker, self.action) if worker is not None else ()
        if not self._stopped:
            return self._send(acquired)
        return (yield from self._send_held(acquired))

    def _wait_for_reports(self, since: float) -> Generator[None, None, None]:
        """Wait until the workers of the changed models have reported after the lease began."""
        view, clock = self._tools.view, self._tools.clock
        models = set(self._changed_models())
        while clock.now() - since < _READ_SECONDS:
            late = [
                worker
                for worker in view.fleet(float("-inf")).workers
                if worker.server.state == "live"
                and models.intersection(worker.server.routes)
                and view.taken_at(worker.server.name) < since
            ]
            if not late:
                return
            yield

    def _check(self, fleet: Fleet) -> str:
        """Return the outcome if the order must not go out, or would not help any more."""
        objection = find_objection(fleet, self.action)
        if objection:
            return self._refuse(UNSAFE, objection)
        helps = any(self.action.is_same(other) for other in propose(fleet))
        return "" if helps else CHANGED

    def _take_permit(self) -> bool:
        """Ask the weight store for a permit; one whose answer was lost is not used."""
        asked = self._tools.weights.request_permit(self.action.model, self._server.name)
        wait = asked.ok_value if isinstance(asked, Ok) else _PERMIT_RETRY_SECONDS
        self.permit_after = self.retry_after = max(0.0, wait)
        return isinstance(asked, Ok) and wait <= 0.0

    def _send_held(self, acquired: float) -> Steps:
        """Send an order after new requests were held back and those in flight have ended."""
        name, holds = self._server.name, self._tools.holds
        outcome = UNSAFE
        try:
            age = holds.hold(name, self._stopped, self._tools.settings.lease)
            if age is None:
                return self._refuse(UNSAFE, "a daemon did not answer")
            yield from self._wait_until_drained()
            outcome = self._check_traffic(acquired) or self._send(acquired)
            return outcome
        finally:
            # Load reports show what an order did before the hold ends; an order whose
            # answer was lost may still be on its way, so its hold stays.
            settle = 2 * self._tools.load_interval + _SETTLE_MARGIN_SECONDS
            if outcome != LOST:
                seconds = settle if outcome in (DONE, ACCEPTED) else 0.0
                holds.hold(name, self._stopped, seconds)

    def _wait_until_drained(self) -> Generator[None, None, None]:
        clock, view, name = self._tools.clock, self._tools.view, self._server.name
        earliest = clock.now() + self._tools.load_interval
        last = min(lease.ends for lease in self._leases) - QUIET_SECONDS - self._tools.load_interval
        latest = max(earliest, min(clock.now() + self._tools.settings.drain, last))
        while clock.now() < latest:
            worker = view.fleet(float("-inf")).worker(name)
            report = None if worker is None else worker.report
            idle = report is not None and report.running + report.waiting == 0
            if idle and view.taken_at(name) >= earliest:
                return
            yield

    def _check_traffic(self, acquired: float) -> str:
        """Ask every daemon again for traffic of models that would lose their last replica."""
        fleet = self._tools.view.fleet(acquired)
        worker = fleet.worker(self._server.name)
        if worker is None or not any(is_last(fleet, worker, model) for model in self._stopped):
            return ""
        age = self._tools.holds.hold(self._server.name, self._stopped, self._tools.settings.lease)
        if age is None or age < TRAFFIC_SECONDS:
            return self._refuse(UNSAFE, "a model that would lose its last replica has traffic")
        return ""

    def _send(self, acquired: float) -> str:
        tools, action = self._tools, self.action
        against = self._check(tools.view.fleet(acquired))
        if against:
            return against
        if not all(tools.leases.is_valid(lease, QUIET_SECONDS) for lease in self._leases):
            return self._refuse(LATE, "the lease is about to end")
        log_decision(
            "placement",
            action.server,
            action.reason,
            action=action.kind,
            model=action.model,
            version=action.version,
            candidates=list(action.candidates),
        )
        order = Order(self._leases[-1].fencing, action.kind, action.model, action.version)
        reply = tools.engine.order(self._server, order)
        if isinstance(reply, Ok):
            outcome = reply.ok_value.status
        else:
            outcome = NOT_SENT if reply.err_value.verdict is Verdict.NOT_RUN else LOST
        self._note_outcome(outcome, order)
        return outcome

    def _note_outcome(self, outcome: str, order: Order) -> None:
        if outcome == REFUSED:
            self.retry_after = _REFUSED_SECONDS
        self._tools.metrics.count(f"placement.orders.{order.action}.{outcome}")
        log_event(
            "placement:order", server=self._server.name, outcome=outcome, fencing=order.fencing
        )

    def _refuse(self, outcome: str, reason: str) -> str:
        log_event(
            "placement:not-sent",
            server=self._server.name,
            action=self.action.kind,
            model=self.action.model,
            reason=reason,
        )
        return outcome
