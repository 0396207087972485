"""Assembles a daemon for the users' platform, runs it and closes its parts at the end."""

import gc
import os
import signal
import sys
import threading
from contextlib import ExitStack
from http.client import HTTPException
from pathlib import Path

from trefoilreach._internal.clock import Clock, SystemClock
from trefoilreach._internal.coordination.exchange.report_exchange import (
    ExchangeCallbacks,
    Peer,
    ReportExchange,
)
from trefoilreach._internal.coordination.exchange.reports import DaemonState, Identity
from trefoilreach._internal.coordination.jobs.manager import JobDependencies, JobManager
from trefoilreach._internal.coordination.quota.fleet_buckets import FleetBuckets
from trefoilreach._internal.coordination.serving.activation import (
    FleetMember,
    FleetView,
    Role,
    RolePolicy,
    count_wanted,
)
from trefoilreach._internal.coordination.serving.admission import Admission
from trefoilreach._internal.coordination.serving.blocked_part_table import BlockedPartTable
from trefoilreach._internal.coordination.serving.crashes import CrashRegistry
from trefoilreach._internal.coordination.serving.online import OnlineRunner
from trefoilreach._internal.coordination.serving.orphans import OrphanPoller
from trefoilreach._internal.coordination.serving.planned_stop import PlannedStop, plan_stop
from trefoilreach._internal.coordination.serving.request import ServingDependencies
from trefoilreach._internal.coordination.serving.service import ServingState
from trefoilreach._internal.deployment import Deployment
from trefoilreach._internal.logs import log_decision, log_event, open_bounded_log
from trefoilreach._internal.metrics_page import MetricsPage
from trefoilreach._internal.platform.desired_state import decode_desired_state
from trefoilreach._internal.platform.ingress import CallerApplication, ChecksApplication
from trefoilreach._internal.platform.job_requests import JobRequestHandler
from trefoilreach._internal.platform.settings import load_deployment, settings_path
from trefoilreach._internal.platform.store import PlatformBlobs, PlatformRows, StoreClient
from trefoilreach._internal.platform.workers import PlatformWorkers
from trefoilreach._internal.settings import SettingsError
from trefoilreach._internal.signals import handle_signals
from trefoilreach._internal.state.serving import rank_by_rendezvous_hash
from trefoilreach._internal.store_feeds import StoreFeeds
from trefoilreach._internal.transport.http_client import HttpFailure, HttpPool
from trefoilreach._internal.transport.http_server import HttpServer

# Each stream and each request that waits for a worker occupies one of these threads.
_FRONT_THREAD_LIMIT = 96
_CHECK_THREAD_LIMIT = 2
_MAINTENANCE_INTERVAL_SECONDS = 0.3
# A standby daemon has no queue to look after; it must notice the loss of active daemons.
_STANDBY_MAINTENANCE_INTERVAL_SECONDS = 0.6
# When the desired state's confirmation is older than this, peers are asked to confirm it; when
# the store has not answered for as long, a newer desired state is read from a peer.
_STALE_AGE_SECONDS = 1.2
# Two calls of the desired state's feed, which the store holds for up to a second.
_STORE_ANSWERS_SECONDS = 2.5
_SETTINGS_POLL_SECONDS = 2.0
_PEER_FETCH_TIMEOUT_SECONDS = 0.5
# Time at the end of a planned stop for sending final answers to requests that are still open.
_FINAL_ANSWERS_SECONDS = 0.2


class PlatformDaemon:
    """Daemon on the users' platform; its exit stack closes everything that it opens.

    :param path: file of the settings.
    :param stop: begins a planned stop once it is set.
    :param reload: requests that the settings file is read again, also to notice ``stop`` at once.
    """

    def __init__(
        self,
        deployment: Deployment,
        path: Path,
        stop: threading.Event,
        reload: threading.Event,
        clock: Clock | None = None,
    ) -> None:
        self._deployment = deployment
        self._path = path
        self._clock = clock or SystemClock()
        self._started_at = self._clock.now()
        self._metrics = MetricsPage()
        self._stop = stop
        self._reload = reload

    def run(self) -> None:
        """Serve until a planned stop."""
        with ExitStack() as stack:
            metrics = self._metrics
            open_bounded_log(
                self._clock,
                self._deployment.vm,
                stack,
                metrics.set_log_lines_lost,
                metrics.count_log_line,
            )
            server = self._open(stack)
            gc.collect()
            gc.freeze()
            log_event("daemon:started", pid=os.getpid(), uptime=self._uptime)
            self._wait_for_stop()
            self._drain(server)
            log_event("daemon:stopped")

    @property
    def _uptime(self) -> float:
        return self._clock.now() - self._started_at

    def _open(self, stack: ExitStack) -> HttpServer:
        deployment, clock = self._deployment, self._clock
        self._store = StoreClient(*deployment.store, clock)
        stack.callback(self._store.close)
        rows = PlatformRows(self._store)
        worker_client = PlatformWorkers(clock)
        stack.callback(worker_client.close)
        self._admission = Admission(clock, deployment.vm)
        self._buckets = FleetBuckets(clock, deployment.quota_bound)
        self._crashes = CrashRegistry(clock)
        self._planned_stop = PlannedStop()
        tools = ServingDependencies(
            clock,
            self._admission,
            self._buckets,
            self._crashes,
            worker_client,
            self._metrics,
            self._planned_stop,
        )
        self._exchange = ReportExchange(clock, self._identify(), self._list_seed_addresses())
        self._service = ServingState(
            clock,
            deployment,
            self._exchange,
            self._admission,
            OnlineRunner(tools),
            decode_desired_state,
        )
        self._service.add_listener(lambda state: self._buckets.set_accounts(state.accounts))
        self._jobs = JobManager(
            JobDependencies(
                clock,
                rows,
                PlatformBlobs(self._store),
                tools,
                self._service,
                deployment.results_keep_seconds,
            )
        )
        self._service.add_listener(lambda state: self._jobs.follow_routes())
        self._feeds = StoreFeeds(clock, rows, self._service, self._jobs.table.store_clock.update)
        self._blocked_parts = BlockedPartTable(
            clock,
            rows,
            self._crashes.parts,
            self._jobs.table.store_clock.now_ms,
            lambda: self._feeds.store_silent_seconds < _STORE_ANSWERS_SECONDS,
        )
        self._crashes.on_part_blocked = self._blocked_parts.add
        self._crashes.on_part_unblocked = self._blocked_parts.remove
        self._crashes.claim_trial = self._blocked_parts.claim_trial
        self._leftovers = OrphanPoller(clock, self._admission, worker_client, self._polls_load_of)
        self._silent_peers: set[str] = set()
        self._admission.send_report_soon = self._exchange.request_report
        self._admission.count_live_daemons = self._count_active
        self._admission.get_load_timeout = lambda: self._exchange.load_timeout_seconds
        self._jobs.table.count_live_daemons = self._count_active
        self._roles = RolePolicy(deployment.vm, self._started_at)
        self._role_lock = threading.Lock()
        self._jobs.start_following = self._activate
        # Numbers of daemons and slots at the last decision on the role.
        self._fleet = (0, 0, 0)
        self._exchange.set_active(False)
        self._active_stack = stack.enter_context(ExitStack())
        self._start_exchange(stack)
        self._feeds.start(stack)
        self._start_maintenance(stack)
        self._blocked_parts.start(stack)
        self._jobs.start(stack)
        self._leftovers.start(stack)
        if not deployment.first_start:
            self._leftovers.start_polling("start")
        return self._start_servers(stack)

    def _polls_load_of(self, worker: str) -> bool:
        entry = self._admission.workers.find(worker)
        if not self._exchange.active or entry is None or not self._is_routed(entry.service):
            return False
        vms = [peer.identity.vm for peer in self._exchange.active_peers] + [self._deployment.vm]
        return rank_by_rendezvous_hash(worker, vms)[0] == self._deployment.vm

    def _is_routed(self, service: str) -> bool:
        """Return whether a route names a service; other writers may register workers of any."""
        index = self._service.route_index
        return index is not None and index.uses_service(service)

    def _identify(self) -> Identity:
        deployment = self._deployment
        return Identity(
            vm=deployment.vm,
            incarnation=int(self._clock.wall_time() * 1000),
            host=deployment.host,
            port=deployment.peer_port,
            control_port=deployment.control_port,
            front="{}:{}".format(*deployment.front),
            data_centre=deployment.data_centre,
            cores=deployment.cores,
        )

    def _list_seed_addresses(self) -> list[tuple[str, int]]:
        return [(host, self._deployment.peer_port) for host in self._deployment.seeds]

    def _start_exchange(self, stack: ExitStack) -> None:
        hooks = ExchangeCallbacks(
            get_state=self._build_statement,
            on_report=self._apply_report,
            on_datagram_applied=self._admission.schedule_after_reports,
            on_peer_lost=self._forget_peer,
            get_state_age=lambda: self._service.freshness.age,
            on_version_confirmed=self._confirm_state,
        )
        self._exchange.start(hooks, stack)

    def _start_maintenance(self, stack: ExitStack) -> None:
        stop = threading.Event()
        stack.callback(stop.set)
        threading.Thread(
            target=self._run_maintenance, args=(stop,), name="tick", daemon=True
        ).start()

    def _start_servers(self, stack: ExitStack) -> HttpServer:
        """Start the HTTP servers; the check servers come last, since they report readiness."""
        front = CallerApplication(self._service, JobRequestHandler(self._service, self._jobs))
        server = HttpServer(front, *self._deployment.front, _FRONT_THREAD_LIMIT, self._clock)
        stack.callback(server.close)
        server.start()
        for address in self._deployment.checks:
            self._start_check_server(stack, address)
        try:
            self._start_check_server(stack, (self._deployment.host, self._deployment.metrics_port))
        except OSError as error:
            # Another program may use the port; the daemon can serve without its metrics page.
            log_event("metrics:not-served", port=self._deployment.metrics_port, error=str(error))
        return server

    def _start_check_server(self, stack: ExitStack, address: tuple[str, int]) -> None:
        serves_peers = address[1] == self._deployment.control_port
        server = HttpServer(
            ChecksApplication(self._service, serves_peers),
            *address,
            _CHECK_THREAD_LIMIT,
            self._clock,
        )
        stack.callback(server.close)
        server.start()

    def _build_statement(self) -> DaemonState:
        """Return the statement for the next report to the peers."""
        service = self._service
        return DaemonState(
            accepting=service.accepting,
            leaving=service.leaving,
            config_version=service.version,
            uptime=self._uptime,
            store_silent_seconds=self._feeds.store_silent_seconds,
            runs=self._admission.running_by_worker(),
            waiting=self._admission.queued_by_service(),
            account_uses=self._buckets.local_usage(),
            job_result_counts=self._jobs.result_counts(),
            suspects=self._admission.workers.suspects,
            crashes=self._crashes.own_crashes_to_report(),
            outcomes=self._admission.outcomes.counts_to_report(),
            active=self._exchange.active,
            answered_parts=self._crashes.parts.list_answered(),
            blocked_parts=self._crashes.parts.list_blocked(),
        )

    def _apply_report(self, peer: Peer) -> None:
        statement, identity = peer.statement, peer.identity
        older = statement.uptime > self._uptime
        self._buckets.apply_peer_usage(
            identity.vm, identity.incarnation, statement.account_uses, older
        )
        self._crashes.apply_peer_crashes(statement.crashes)
        self._crashes.apply_peer_findings(statement.answered_parts, statement.blocked_parts)
        self._admission.outcomes.apply_peer_outcomes(
            identity.vm, identity.incarnation, statement.outcomes
        )
        self._admission.workers.apply_peer_suspects(statement.suspects)
        self._jobs.apply_peer_progress(statement.job_result_counts)
        self._admission.apply_peer_load(identity.vm, statement.slot_load(self._clock.now()))

    def _forget_peer(self, peer: Peer) -> None:
        self._admission.remove_peer(peer.identity.vm)
        self._buckets.remove_peer(peer.identity.vm, peer.identity.incarnation)
        self._admission.outcomes.remove_peer(peer.identity.vm, peer.identity.incarnation)

    def _confirm_state(self, version: int, confirmed_at: float) -> None:
        """Confirm the state in force if its version was the newest at a time, as a peer reports."""
        if version == self._service.version:
            self._service.freshness.confirm(confirmed_at)

    def _run_maintenance(self, stop: threading.Event) -> None:
        """Run the periodic work that no message triggers."""
        while not self._clock.wait(stop, self._maintenance_interval):
            try:
                self._maintain()
            except Exception as error:
                log_event("maintenance:failed", error=repr(error))

    def _maintain(self) -> None:
        self._update_role()
        active = self._count_active()
        silent = self._find_silent_peers()
        self._buckets.set_reporting_daemons(active, active + len(silent))
        if silent - self._silent_peers:
            self._leftovers.start_polling(f"silent: {', '.join(sorted(silent))}")
        self._silent_peers = silent
        if self._service.freshness.age > _STALE_AGE_SECONDS:
            self._exchange.query_newest_version()
        self._fetch_from_peer()
        self._admission.grant_waiting()

    @property
    def _maintenance_interval(self) -> float:
        if self._exchange.active:
            return _MAINTENANCE_INTERVAL_SECONDS
        return _STANDBY_MAINTENANCE_INTERVAL_SECONDS

    def _update_role(self) -> None:
        """Become active or standby as the fleet needs; an active daemon follows the jobs."""
        if self._service.leaving:
            return
        peers = [peer for peer in self._exchange.live_peers if not peer.statement.leaving]
        workers = self._admission.workers.entries()
        slots = sum(worker.slots for worker in workers if self._is_routed(worker.service))
        fleet = (len(peers), sum(peer.statement.active for peer in peers), slots)
        if fleet == self._fleet and not self._roles.deciding:
            return
        self._fleet = fleet
        members = [*map(_describe_member, peers), self._describe_self()]
        view = FleetView(members, self._feeds.member_count, slots)
        busy = self._admission.has_requests or self._jobs.has_runs
        with self._role_lock:
            before = self._roles.role
            role = self._roles.update(view, self._clock.now(), busy)
            if role == before:
                return
            log_decision(
                "role",
                "active" if role.active else "standby",
                "place of this VM among the live daemons",
                offered=role.offered,
                live=len(view.members),
                active=sum(member.active for member in view.members),
                wanted=count_wanted(view),
                slots=view.slots,
            )
            self._apply_role(before, role)

    def _describe_self(self) -> FleetMember:
        own = self._deployment
        return FleetMember(own.vm, own.data_centre, own.cores, self._roles.role.active)

    def _activate(self) -> None:
        """Become active at once for a caller that submits a job here."""
        with self._role_lock:
            before = self._roles.role
            role = self._roles.activate(self._clock.now())
            if role != before:
                log_decision("role", "active", "a job is submitted here", offered=role.offered)
                self._apply_role(before, role)

    def _apply_role(self, before: Role, role: Role) -> None:
        self._service.offered = role.offered
        if role.active and not before.active:
            self._jobs.follow(self._active_stack)
        elif before.active and not role.active:
            self._active_stack.close()
        self._exchange.set_active(role.active)
        self._exchange.request_report()

    def _count_active(self) -> int:
        return len(self._exchange.active_peers) + 1

    def _find_silent_peers(self) -> set[str]:
        """Return the VMs of silent active peers that did not announce a planned stop."""
        return {
            peer.identity.vm
            for peer in self._exchange.late_peers
            if peer.statement.active and not peer.statement.leaving
        }

    def _fetch_from_peer(self) -> None:
        """Fetch a newer desired state from a peer while the store does not answer."""
        peer = self._service.find_peer_with_newest_state()
        if peer is None or self._feeds.store_silent_seconds < _STALE_AGE_SECONDS:
            return
        identity = peer.identity
        pool = HttpPool(
            identity.host, identity.control_port, self._clock, _PEER_FETCH_TIMEOUT_SECONDS
        )
        try:
            response = pool.request(
                "GET", self._service.desired_state_path, timeout=_PEER_FETCH_TIMEOUT_SECONDS
            )
            document = response.read()
            response.close()
        except (HttpFailure, HTTPException, OSError) as error:
            log_event("desired-state:peer-failed", peer=identity.vm, error=str(error))
            return
        finally:
            pool.close()
        if response.status == 200:
            self._service.adopt(document, f"peer {identity.vm}")
        else:
            log_event("desired-state:peer-failed", peer=identity.vm, status=response.status)

    def _wait_for_stop(self) -> None:
        """Wait for a planned stop; reload the settings on request or when their file changes."""
        last_modified = _read_modification_time(self._path)
        while not self._stop.is_set():
            requested = self._clock.wait(self._reload, _SETTINGS_POLL_SECONDS)
            self._reload.clear()
            modified = _read_modification_time(self._path)
            if requested or modified != last_modified:
                last_modified = modified
                self._reload_settings()

    def _reload_settings(self) -> None:
        try:
            deployment = load_deployment(self._path)
        except SettingsError as error:
            log_event("settings:refused", error=str(error))
            return
        changed = [
            name
            for name, old, new in zip(Deployment._fields, self._deployment, deployment, strict=True)
            if old != new
        ]
        self._deployment = deployment
        log_event("settings:reloaded", changed=changed)

    def _drain(self, server: HttpServer) -> None:
        """Leave the entry points, serve the requests that still arrive, and end in time."""
        plan = plan_stop(self._clock.now(), self._deployment.stop_seconds)
        log_event("daemon:stopping", seconds=self._deployment.stop_seconds)
        self._planned_stop.begin(plan)
        self._service.leaving = True
        self._exchange.request_report()
        server.begin_drain()
        self._jobs.start_hand_over()
        self._clock.sleep(max(0.0, plan.listens_until - self._clock.now()))
        server.stop_listening()
        all_ended = server.wait_idle(plan.ends_at - self._clock.now())
        if not all_ended:
            self._service.online.end_unanswered()
            self._jobs.end_waits()
            all_ended = server.wait_idle(_FINAL_ANSWERS_SECONDS)
        handed_over = self._jobs.wait_for_hand_over(plan.ends_at - self._clock.now())
        log_event("daemon:drained", all_requests_ended=all_ended, all_jobs_handed_over=handed_over)


def _describe_member(peer: Peer) -> FleetMember:
    identity = peer.identity
    return FleetMember(identity.vm, identity.data_centre, identity.cores, peer.statement.active)


def _read_modification_time(path: Path) -> float:
    try:
        return path.stat().st_mtime
    except OSError:
        # The file is being replaced; the next poll finds the new one.
        return 0.0


def serve_deployment() -> int:
    """Run a daemon with the platform's settings; SIGTERM begins a planned stop."""
    stop, reload = threading.Event(), threading.Event()

    def request_stop() -> None:
        stop.set()
        reload.set()

    # Before the settings are read, so that no request to reload is lost.
    handle_signals(
        {
            signal.SIGTERM: request_stop,
            signal.SIGINT: request_stop,
            signal.SIGHUP: reload.set,
        }
    )
    path = settings_path()
    try:
        deployment = load_deployment(path)
    except SettingsError as error:
        print(f"trefoilreachd: {error}", file=sys.stderr)
        return 2
    PlatformDaemon(deployment, path, stop, reload).run()
    return 0
