"""Assembles a daemon from its parts, runs it and closes the parts at the end."""

import gc
import threading
from contextlib import ExitStack

from trefoilreach._internal.api.app import Application
from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.clock import Clock, SystemClock
from trefoilreach._internal.coordination.audit.audit import CONFIG_KIND, WITHDRAWN_KIND, AuditLog
from trefoilreach._internal.coordination.batch.assembly import build_batch_parts
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.config.open_streams import OpenStreams
from trefoilreach._internal.coordination.config.sync import ConfigSync
from trefoilreach._internal.coordination.crash.guard import CrashGuard
from trefoilreach._internal.coordination.membership.drain import Drain
from trefoilreach._internal.coordination.membership.entrypoints import EntryPoints
from trefoilreach._internal.coordination.membership.gauge_reporter import GaugeReporter
from trefoilreach._internal.coordination.membership.isolation_guard import IsolationGuard
from trefoilreach._internal.coordination.membership.membership import Membership
from trefoilreach._internal.coordination.membership.peers import PeerState
from trefoilreach._internal.coordination.online.backends import Backends
from trefoilreach._internal.coordination.online.dispatch import CompletionDispatcher
from trefoilreach._internal.coordination.online.idempotency import IdempotencyStore
from trefoilreach._internal.coordination.online.service_dispatch import ServiceDispatcher
from trefoilreach._internal.coordination.placement.controller import (
    PlacementController,
    PlacementDependencies,
)
from trefoilreach._internal.coordination.quota import loan_policy, static_policy  # noqa: F401 - register
from trefoilreach._internal.coordination.quota.policy import QuotaDependencies, quota_policies
from trefoilreach._internal.coordination.retention import Retention
from trefoilreach._internal.logs import log_event, open_log
from trefoilreach._internal.metrics import open_metrics
from trefoilreach._internal.settings import Settings
from trefoilreach._internal.state import platform_http  # noqa: F401 - registers the adapters
from trefoilreach._internal.state.objects import object_stores
from trefoilreach._internal.state.table import table_services
from trefoilreach._internal.state.vms import vm_lists
from trefoilreach._internal.state.weights import weight_stores
from trefoilreach._internal.transport.engine import HttpEngine
from trefoilreach._internal.transport.http_server import HttpServer
from trefoilreach._internal.transport.peer_handler import PeerHandlers
from trefoilreach._internal.transport.peer_server import PeerServer
from trefoilreach._internal.transport.service import HttpService


class Daemon:
    """One daemon; its exit stack closes everything that it opens."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        self._stop = threading.Event()

    def run(self) -> None:
        """Serve until :meth:`stop` is called."""
        with ExitStack() as stack:
            drain, server = self._open(stack)
            self._stop.wait()
            drain.run(server)

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stop.set()

    def _open(self, stack: ExitStack) -> tuple[Drain, HttpServer]:
        settings = self._settings
        open_log(settings.log, settings.daemon.name, stack)
        parts = self._build_parts(stack)
        self._start_fleet_parts(parts, stack)
        parts.dispatcher.start(stack)
        parts.dispatcher.crash_guard.start(stack)
        parts.placement.start(stack)
        parts.idempotency.start(stack)
        server = HttpServer(
            Application(parts),
            settings.daemon.host,
            settings.daemon.http_port,
            settings.daemon.threads,
            self._clock,
        )
        stack.callback(server.close)
        server.start()
        _freeze_heap()
        log_event("daemon:started", http_port=server.port)
        return parts.drain, server

    def _start_fleet_parts(self, parts: Parts, stack: ExitStack) -> None:
        """Start the parts that communicate with the other daemons."""
        daemon, sync, membership = self._settings.daemon, parts.config_sync, parts.membership
        self._set_exchange(parts)
        membership.set_store_check(sync.is_store_unresponsive)
        demand = parts.dispatcher.backends.demand
        membership.set_demand_handlers(demand.list_local_demand, demand.apply_peer_demands)
        sync.withdrawals.add_listener(parts.streams.close_keys)
        self._record_changes(parts, stack)
        handlers = PeerHandlers(
            probe=membership.answer_probe,
            probe_via=membership.answer_probe_via,
            withdraw=sync.answer_withdraw,
            fetch_config=sync.answer_fetch,
            borrow=parts.quota.borrow,
            online_started=parts.batches.scheduler.announce_online,
            cancel_job=parts.batches.coordinator.cancel_job,
            suspects=parts.dispatcher.crash_guard.apply_peer_suspects,
            claim_run=parts.dispatcher.crash_guard.identical_requests.registry.claim,
            end_run=parts.dispatcher.crash_guard.identical_requests.registry.end,
            hold_back=parts.placement.fleet_holds.hold_locally,
        )
        peer_server = PeerServer(handlers, daemon.host, daemon.peer_port, membership.traffic)
        stack.callback(peer_server.close)
        peer_server.start()
        membership.start(stack)
        sync.start(stack)
        parts.quota.start(stack)
        parts.batches.start(stack)
        parts.drain.add_hook("quota", parts.quota.release_slots)
        parts.drain.add_hook("batch", parts.batches.coordinator.stop)
        parts.drain.add_hook("placement", parts.placement.stop)
        parts.isolation.start(stack)
        self._start_retention(parts, stack)
        reporter = GaugeReporter(
            self._clock, parts.metrics, parts.config, membership, parts.streams
        )
        reporter.start(stack)

    def _start_retention(self, parts: Parts, stack: ExitStack) -> None:
        retention = Retention(
            self._clock, parts.table, parts.objects, parts.membership, self._settings.retention
        )
        retention.start(stack)

    def _set_exchange(self, parts: Parts) -> None:
        """Add the configuration's state and the load of the routes to probes."""
        sync, backends = parts.config_sync, parts.dispatcher.backends

        def build_state() -> PeerState:
            return sync.build_state()._replace(routes=backends.route_loads())

        def apply_state(vm: str, state: PeerState) -> None:
            backends.share_policy.apply_peer_load(vm, state.routes)
            sync.apply_peer_state(vm, state)

        parts.membership.set_state_handlers(build_state, apply_state)

    def _record_changes(self, parts: Parts, stack: ExitStack) -> None:
        """Record for the monitor when a withdrawal or a configuration takes effect here."""
        audit = parts.audit

        def record_withdrawn(key_ids: frozenset[str]) -> None:
            for key_id in sorted(key_ids):
                audit.record(WITHDRAWN_KIND, {"key_id": key_id})

        parts.config_sync.withdrawals.add_listener(record_withdrawn)
        parts.config.add_listener(
            lambda view: audit.record(CONFIG_KIND, {"version": view.document.version})
        )
        audit.start(stack)

    def _build_parts(self, stack: ExitStack) -> Parts:
        settings, platform = self._settings, self._settings.platform
        engine = HttpEngine(self._clock, settings.routing.connect_timeout)
        stack.callback(engine.close)
        config = ActiveConfig()
        table = table_services.get(platform.kind)(platform.url, platform.timeout)
        objects = object_stores.get(platform.kind)(platform.url, platform.timeout)
        fleet = settings.fleet
        vm_list = vm_lists.get(platform.kind)(platform.url, platform.timeout)
        membership = Membership(self._clock, settings.daemon, fleet, vm_list)
        sync = ConfigSync(self._clock, table, objects, config, fleet.poll_interval, membership)
        quota_tools = QuotaDependencies(settings.quota, self._clock, config, membership, table)
        streams = OpenStreams()
        batches = build_batch_parts(
            settings, self._clock, table, objects, config, engine, membership
        )
        backends = Backends(self._clock, settings, config, lambda: len(membership.list_live()))
        backends.on_online_request = batches.online_notices.announce_online
        batches.scheduler.record_batch_count = batches.online_notices.record_batch_count = (
            backends.load_view.record_batch_count
        )
        batches.online_notices.grant_waiting = backends.grant_waiting
        quota = quota_policies.get(settings.quota.policy)(quota_tools)
        backends.local_rate = quota.local_rate
        guard = CrashGuard(self._clock, table, membership)
        dispatcher = CompletionDispatcher(self._clock, settings, config, engine, backends, guard)
        batches.scheduler.attempt_runner.crash_guard = guard
        if batches.enabled:
            dispatcher.poller.add_watcher(batches.scheduler)
        batches.scheduler.is_on_hold = backends.holds.is_held
        metrics = open_metrics(settings.metrics, stack)
        weights = weight_stores.get(platform.kind)(platform.url, platform.timeout)
        tools = PlacementDependencies(self._clock, table, engine, weights, metrics)
        placement = PlacementController(tools, settings, config, backends, membership)
        backends.extra_polled_servers = placement.list_own_workers
        service = HttpService(self._clock, settings.routing.connect_timeout)
        return Parts(
            settings=settings,
            clock=self._clock,
            metrics=metrics,
            table=table,
            objects=objects,
            config=config,
            config_sync=sync,
            dispatcher=dispatcher,
            idempotency=IdempotencyStore(self._clock, table, objects, membership),
            services=ServiceDispatcher(self._clock, service, backends, dispatcher),
            membership=membership,
            quota=quota,
            entrypoints=EntryPoints(membership),
            streams=streams,
            isolation=IsolationGuard(self._clock, sync, membership, streams, fleet.isolation),
            drain=Drain(self._clock, membership, dispatcher, fleet.entry_keep, fleet.stream_grace),
            batches=batches,
            placement=placement,
            audit=AuditLog(
                self._clock, objects, settings.daemon.name, lambda: len(membership.list_live())
            ),
        )


def _freeze_heap() -> None:
    """Exclude the objects created at start from later garbage collections.

    A full collection that includes them stops all threads for about 11 ms.
    """
    gc.collect()
    gc.freeze()
