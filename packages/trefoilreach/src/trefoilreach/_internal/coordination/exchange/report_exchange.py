"""Sends this daemon's reports to its peers and keeps their latest reports.

An active daemon sends a short report at each change and at least every 0.25 s, and a full report,
with the data that rarely changes, once a second or less often in a larger fleet. In a small fleet
it sends its reports to all peers; in a larger one it sends them to the active daemons, if these are
few, and a relay in its data centre sends the full ones on to all. If the active daemons are many,
the relay sends on the short reports as well, to the active ones only. A standby daemon sends full
reports only, unless its state changes, and gets only those of its peers.
"""

import random
import socket
import threading
from collections.abc import Callable, Collection, Iterable
from contextlib import ExitStack
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.exchange.relays import (
    MIN_RELAYED_FLEET_SIZE,
    RelayCandidate,
    RelayOutbox,
    RelaySelector,
    RemoteRelays,
    StandbyOutbox,
    rank_relay,
    rank_relays,
    split_into_bundles,
)
from trefoilreach._internal.coordination.exchange.reports import (
    DaemonState,
    Identity,
    ReportBuilder,
    check_report,
    decode,
    encode,
    encode_bundle,
    parse_identity,
    parse_statement,
)
from trefoilreach._internal.coordination.exchange.running_time import RunningTime
from trefoilreach._internal.coordination.serving.slot_table import PEER_TIMEOUT_SECONDS
from trefoilreach._internal.logs import describe_error, log_decision, log_event
from trefoilreach._internal.protocol.checked_values import (
    MAX_INT32,
    check_address,
    check_host,
    check_integer,
    check_port,
)
from trefoilreach._internal.protocol.gen.fleet.ttypes import (
    Bundle,
    Datagram,
    FreshnessQuery,
    FreshnessReply,
    Hello,
    Peers,
    Report,
    Spread,
)

# An active peer is late for an active daemon when four of its short reports are missing. No callers
# are sent to a late peer.
PEER_LATE_SECONDS = 1.0
_REPORT_INTERVAL_SECONDS = 0.25
_FULL_REPORT_INTERVAL_SECONDS = 1.0
# With more daemons than this, the interval of full reports grows with the fleet: no daemon decodes
# more of them a second, whatever the size of the fleet.
_MAX_FULL_REPORTS_PER_SECOND = 100.0
# A peer of which only full reports arrive is late when this many of them are missing.
_LATE_FULL_REPORTS = 3
# A daemon that has just become active gets short reports once its relay knows of it.
_ACTIVATION_GRACE_SECONDS = 1.5
# The lists of live and late peers are computed anew after this time. With hundreds of peers and a
# relay that looks at them for each bundle, they took most of its processor time.
_SNAPSHOT_SECONDS = 0.1
# A relay's notice that an active daemon is late holds for this long, unless it is repeated.
_LATE_NOTICE_SECONDS = 2.0
# With more active peers than this, relays send on the short reports too. That saves datagrams, but
# takes up to 50 ms: in a replay of a square wave, daemons that hear of a slot 30 ms late preempt
# nearly four times as many batch items as with 2 ms.
_MAX_DIRECT_ACTIVE_PEERS = 32
# Limit for a daemon's own reports: at 30 us for each datagram, 12 % of a core.
_MAX_DATAGRAMS_PER_SECOND = 4000.0
# Shortest time between two reports in a relayed fleet, and between two bundles of a relay. Slot
# decisions tolerate reports that are about 30 ms old.
_MIN_REPORT_PAUSE_SECONDS = 0.01
_MIN_BUNDLE_PAUSE_SECONDS = 0.02
# Limit for the reports that a relay sends on: at 30 us for each datagram, 3 % of a core.
_MAX_RELAY_DATAGRAMS_PER_SECOND = 1000.0
# Interval of reports to addresses from which no report comes.
_SILENT_RETRY_SECONDS = 2.0
# Most such addresses for one report. At the start of a large fleet all addresses are silent.
_MAX_SILENT_TARGETS = 12
# The daemons of this rank and better in a data centre, its relay and the next ones, also contact
# the silent daemons of other data centres.
_CONTACTING_RANKS = 3
# A peer without a report for this long, and for as long as three full reports take to be missing,
# is no longer a member of the fleet.
PEER_GONE_SECONDS = 10.0
_FRESHNESS_SAMPLE_SIZE = 3
_MAX_DATAGRAM_BYTES = 65536
_MS_PER_SECOND = 1000.0

Address = tuple[str, int]


class KnownDaemon(NamedTuple):
    """A daemon that the store or a peer names; it may have ended.

    :param data_centre: its data centre; empty when not known.
    :param cores: processor cores of its VM; 0 when not known.
    """

    address: Address
    data_centre: str = ""
    cores: float = 0.0


class Peer(NamedTuple):
    """Another daemon and its latest report.

    :param last_report_at: time of the latest report by this daemon's clock.
    :param last_report_running_time: the same time by this process's ``RunningTime``.
    """

    identity: Identity
    sequence: int
    last_report_at: float
    last_report_running_time: float
    statement: DaemonState


class _Snapshot(NamedTuple):
    """The peers as judged at one time.

    :param ranked: live peers by data centre, the best relay first.
    """

    taken_at: float
    live: list[Peer]
    late: list[Peer]
    ranked: dict[str, list[Peer]]


class ExchangeCallbacks(NamedTuple):
    """Callbacks of the exchange.

    :param get_state: returns the state for the next report.
    :param on_report: called with a peer after each of its reports.
    :param on_datagram_applied: called once after all reports of a datagram.
    :param on_peer_lost: called with a peer that was restarted or has been silent for too long.
    :param get_state_age: returns the age in seconds of this daemon's desired state.
    :param on_version_confirmed: called with a version of the desired state, and a
        time by this daemon's clock at which it was the newest.
    """

    get_state: Callable[[], DaemonState]
    on_report: Callable[[Peer], None]
    on_datagram_applied: Callable[[], None]
    on_peer_lost: Callable[[Peer], None]
    get_state_age: Callable[[], float]
    on_version_confirmed: Callable[[int, float], None]


class ReportExchange:
    """Sends datagrams to the other daemons and receives theirs."""

    def __init__(self, clock: Clock, identity: Identity, seeds: Iterable[Address]) -> None:
        self.identity = identity
        self._clock = clock
        self._running_time = RunningTime(clock)
        self._hooks: ExchangeCallbacks | None = None
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._lock = threading.Lock()
        self._report_condition = threading.Condition()
        self._report_pending = False
        self._stopped = False
        self._writer = ReportBuilder(identity)
        self._full_report_at = float("-inf")
        self._peers: dict[str, Peer] = {}
        self._late: set[str] = set()
        self._snapshot: _Snapshot | None = None
        self._late_notice: frozenset[str] = frozenset()
        self._late_notice_at = float("-inf")
        # Until the role is decided, every change of the peers matters.
        self._active = True
        self._active_since = float("-inf")
        self._has_requests = False
        self._known: dict[Address, KnownDaemon] = {}
        self._contacted_at: dict[Address, float] = {}
        self._pending_queries: dict[int, float] = {}
        self._relay_selector = RelaySelector()
        self._remote_relays = RemoteRelays()
        self._outbox = RelayOutbox()
        self._standby_outbox = StandbyOutbox()
        self._relay_in_use = ""
        own = (identity.host, identity.port)
        self._seeds = [KnownDaemon(address) for address in seeds if address != own]

    @property
    def peers(self) -> list[Peer]:
        """All peers that count as members of the fleet, live or late."""
        with self._lock:
            return list(self._peers.values())

    @property
    def live_peers(self) -> list[Peer]:
        """Peers whose reports arrive in time."""
        return self._get_snapshot().live

    @property
    def late_peers(self) -> list[Peer]:
        """Peers whose reports are missing."""
        return self._get_snapshot().late

    @property
    def active_peers(self) -> list[Peer]:
        """Live peers that are active."""
        return [peer for peer in self.live_peers if peer.statement.active]

    def _get_snapshot(self) -> _Snapshot:
        """Return the peers as judged a short time ago."""
        snapshot = self._snapshot
        now = self._clock.now()
        if snapshot is None or now - snapshot.taken_at >= _SNAPSHOT_SECONDS:
            snapshot = self._snapshot = self._take_snapshot(now)
        return snapshot

    def _take_snapshot(self, now: float) -> _Snapshot:
        running_time = self._running_time.now()
        live: list[Peer] = []
        late: list[Peer] = []
        for peer in self.peers:
            (late if self._is_late(peer, now, running_time) else live).append(peer)
        ranked: dict[str, list[Peer]] = {}
        for peer in live:
            ranked.setdefault(peer.identity.data_centre, []).append(peer)
        for peers in ranked.values():
            peers.sort(key=lambda peer: rank_relay(_relay_candidate(peer)))
        return _Snapshot(now, live, late, ranked)

    @property
    def active(self) -> bool:
        """Whether this daemon follows every change of the active daemons."""
        return self._active

    @property
    def load_timeout_seconds(self) -> float:
        """Seconds without a report of a peer after which its requests count as ended."""
        if self._active:
            return PEER_TIMEOUT_SECONDS
        return _LATE_FULL_REPORTS * self._full_report_interval

    @property
    def _full_report_interval(self) -> float:
        fleet_size = len(self._peers) + 1
        return max(_FULL_REPORT_INTERVAL_SECONDS, fleet_size / _MAX_FULL_REPORTS_PER_SECOND)

    @property
    def _report_interval(self) -> float:
        if self._active or self._has_requests:
            return _REPORT_INTERVAL_SECONDS
        return self._full_report_interval

    def set_active(self, active: bool) -> None:
        """Set whether this daemon follows every change of the active daemons."""
        if active == self._active:
            return
        self._active_since = self._clock.now()
        self._active = active
        self._full_report_at = float("-inf")
        self.request_report()

    def _is_late(self, peer: Peer, now: float, running_time: float) -> bool:
        """Return whether reports of a peer are missing, not counting stalls of this process.

        :param running_time: present time of this process's ``RunningTime``.
        """
        if (
            peer.identity.vm in self._late_notice
            and now - self._late_notice_at < _LATE_NOTICE_SECONDS
            and peer.last_report_at < self._late_notice_at
        ):
            return True
        silent = running_time - peer.last_report_running_time
        if silent <= PEER_LATE_SECONDS:
            return False
        follows = self._active and now - self._active_since > _ACTIVATION_GRACE_SECONDS
        if peer.statement.active and follows:
            return True
        return silent > _LATE_FULL_REPORTS * self._full_report_interval

    def start(self, hooks: ExchangeCallbacks, stack: ExitStack) -> None:
        """Exchange reports until the exit stack closes."""
        self._hooks = hooks
        self._socket.bind((self.identity.host, self.identity.port))
        stack.callback(self._close)
        threading.Thread(target=self._run_receiver, name="exchange-receive", daemon=True).start()
        threading.Thread(target=self._run_sender, name="exchange-send", daemon=True).start()
        threading.Thread(target=self._run_relay, name="exchange-relay", daemon=True).start()

    def request_report(self) -> None:
        """Request a report soon, because the state has changed."""
        with self._report_condition:
            self._report_pending = True
            self._report_condition.notify()

    def set_known_daemons(self, daemons: Iterable[KnownDaemon]) -> None:
        """Set the fleet's daemons, as listed in the store."""
        own = (self.identity.host, self.identity.port)
        with self._lock:
            self._known = {daemon.address: daemon for daemon in daemons if daemon.address != own}

    def query_newest_version(self) -> None:
        """Ask some peers for the newest version of the desired state that they know."""
        live = [
            peer
            for peer in self.live_peers
            if peer.statement.store_silent_seconds < PEER_LATE_SECONDS
        ]
        now = self._clock.now()
        for peer in random.sample(live, min(_FRESHNESS_SAMPLE_SIZE, len(live))):
            nonce = random.getrandbits(62)
            with self._lock:
                self._pending_queries = {
                    n: at for n, at in self._pending_queries.items() if now - at < 1.0
                }
                self._pending_queries[nonce] = now
            query = FreshnessQuery(nonce, self.identity.host, self.identity.port)
            self._send_to(encode(Datagram(query=query)), _address(peer))

    def _close(self) -> None:
        with self._report_condition:
            self._stopped = True
            self._report_condition.notify()
        self._outbox.close()
        self._socket.close()

    def _run_sender(self) -> None:
        last_sent_at = 0.0
        pause = 0.0
        while True:
            with self._report_condition:
                self._report_condition.wait_for(
                    lambda: self._report_pending or self._stopped, self._report_interval
                )
                if self._stopped:
                    return
            remaining_pause = last_sent_at + pause - self._clock.now()
            if remaining_pause > 0:
                self._clock.sleep(remaining_pause)
            with self._report_condition:
                self._report_pending = False
            last_sent_at = self._clock.now()
            try:
                pause = self._send_report()
            except Exception as error:
                # The next report follows; without reports, peers would consider this daemon lost.
                log_event("exchange:report-failed", error=repr(error))
                pause = _REPORT_INTERVAL_SECONDS

    def _send_report(self) -> float:
        """Send a report to the peers or a relay; return the seconds to wait before the next."""
        assert self._hooks is not None
        now = self._clock.now()
        statement = self._hooks.get_state()
        self._has_requests = bool(statement.runs or statement.waiting)
        stalled = self._running_time.record_heartbeat(self._report_interval)
        if stalled:
            log_event("exchange:stalled", seconds=stalled)
        live = self._update_peers(now)
        full = now - self._full_report_at >= self._full_report_interval or not (
            self._active or self._has_requests
        )
        relayed = len(live) + 1 >= MIN_RELAYED_FLEET_SIZE
        contacts: list[Address] = []
        if not relayed or self._relay_in_use in ("", self.identity.vm):
            contacts = self._choose_contacts(live, now)
        # A daemon from which no report comes may not know this one, so it needs a full report.
        full = full or bool(contacts)
        # A lost relay had queued the last full reports for standby daemons. If the next one were
        # sent a whole interval later, three of them could be missing.
        if relayed and self._relay_selector.is_newly_silent(self._relay_in_use, now, self._active):
            full = True
        if full:
            self._full_report_at = now
        report = self._writer.build(statement, now, full)
        direct = live
        if relayed:
            direct = [peer for peer in live if peer.statement.active]
            if len(direct) > _MAX_DIRECT_ACTIVE_PEERS or not (self._active or self._has_requests):
                direct = []
        targets = [*(_address(peer) for peer in direct), *contacts]
        if targets:
            data = encode_bundle(self.identity.vm, Spread.NOWHERE, [report])
            for address in targets:
                self._send_to(data, address)
        if not relayed:
            return len(targets) / _MAX_DATAGRAMS_PER_SECOND
        if full or not direct:
            self._send_to_relays(report, live, now)
        return max(_MIN_REPORT_PAUSE_SECONDS, len(targets) / _MAX_DATAGRAMS_PER_SECOND)

    def _choose_contacts(self, live: Collection[Peer], now: float) -> list[Address]:
        """Return the silent addresses that are due for a report.

        Load pattern: hundreds of daemons that start at the same time. If each contacted all others,
        the datagrams would grow with the square of the fleet. Each therefore contacts the strong
        VMs of its data centre first, from which the relay is chosen, and only the strongest contact
        other data centres.
        """
        live_addresses = {_address(peer) for peer in live}
        own = self.identity
        known = self._list_known_daemons()
        own_rank = 0
        ranks: dict[str, int] = {}
        candidates: list[tuple[int, bool, Address]] = []
        for daemon in sorted(known, key=lambda daemon: -daemon.cores):
            rank = ranks[daemon.data_centre] = ranks.get(daemon.data_centre, -1) + 1
            remote = daemon.data_centre not in ("", own.data_centre)
            own_rank += not remote and daemon.cores > own.cores
            if daemon.address not in live_addresses:
                candidates.append((rank, remote, daemon.address))
        contacting = own_rank < _CONTACTING_RANKS or len(known) < MIN_RELAYED_FLEET_SIZE
        alone = not live and len(candidates) <= _MAX_SILENT_TARGETS
        retry_seconds = 0.0 if alone else _SILENT_RETRY_SECONDS
        due = [
            address
            for _, remote, address in sorted(candidates)
            if (contacting or not remote)
            and now - self._contacted_at.get(address, float("-inf")) >= retry_seconds
        ][:_MAX_SILENT_TARGETS]
        self._contacted_at.update(dict.fromkeys(due, now))
        return due

    def _list_known_daemons(self) -> list[KnownDaemon]:
        """Return the daemons that the settings, the store or their own reports name."""
        known = {seed.address: seed for seed in self._seeds}
        with self._lock:
            known |= self._known
            # A late peer may be known by its reports only, as while the store is down.
            known |= {_address(peer): _known_daemon(peer) for peer in self._peers.values()}
        return list(known.values())

    def _send_to_relays(self, report: Report, live: list[Peer], now: float) -> None:
        """Send a report by a relay of this data centre, which may be this daemon."""
        own = self.identity
        local_peers = {p.identity.vm: p for p in live if p.identity.data_centre == own.data_centre}
        ranked = rank_relays(
            [
                *map(_relay_candidate, local_peers.values()),
                RelayCandidate(own.vm, own.cores, bool(report.leaving)),
            ]
        )
        chosen = self._relay_selector.choose(ranked, now, self._active)
        if chosen[-1] != self._relay_in_use:
            log_decision(
                "relay",
                chosen[-1],
                "best relay in the data centre that echoes reports",
                former=self._relay_in_use,
                candidates=len(ranked),
            )
            self._relay_in_use = chosen[-1]
        data = encode_bundle(own.vm, Spread.FLEET, [report])
        for vm in chosen:
            if vm == own.vm:
                self._outbox.add_local([report])
            else:
                # Relays echo only full reports to standby daemons.
                if self._active or report.identity is not None:
                    self._relay_selector.record_sent(vm, now)
                self._send_to(data, _address(local_peers[vm]))

    def _run_relay(self) -> None:
        """Relay reports of other daemons in bundles until the exchange is closed."""
        while self._outbox.wait():
            try:
                pause = self._send_bundles()
            except Exception as error:
                log_event("exchange:relay-failed", error=repr(error))
                pause = _REPORT_INTERVAL_SECONDS
            self._clock.sleep(pause)

    def _send_bundles(self) -> float:
        """Send the queued reports; return the seconds to wait before the next bundles."""
        now = self._clock.now()
        pending = self._outbox.take()
        own = self.identity
        ranked = self._get_snapshot().ranked
        local_peers = ranked.get(own.data_centre, [])
        remote_relays: list[Peer] = []
        for data_centre, peers in ranked.items():
            if data_centre != own.data_centre:
                vms = [peer.identity.vm for peer in peers]
                chosen = self._remote_relays.choose(data_centre, vms, now)
                remote_relays += [peer for peer in peers if peer.identity.vm in chosen]
        reports = pending.local + pending.remote
        active = [peer for peer in local_peers if peer.statement.active]
        sent = self._send_in_bundles(reports, Spread.NOWHERE, active)
        sent += self._send_in_bundles(pending.local, Spread.DATA_CENTRE, remote_relays)
        self._standby_outbox.add(reports)
        late = self._list_late_active_peers()
        due = self._standby_outbox.take_due(now, late)
        if due is not None:
            standby = [peer for peer in local_peers if not peer.statement.active]
            sent += self._send_in_bundles(due, Spread.NOWHERE, standby, late)
        return max(_MIN_BUNDLE_PAUSE_SECONDS, sent / _MAX_RELAY_DATAGRAMS_PER_SECOND)

    def _list_late_active_peers(self) -> list[str]:
        return [peer.identity.vm for peer in self.late_peers if peer.statement.active]

    def _send_in_bundles(
        self,
        reports: list[Report],
        spread: int,
        peers: Collection[Peer],
        late: list[str] | None = None,
    ) -> int:
        """Send reports to peers in bundles; return the number of datagrams."""
        if not peers:
            return 0
        sent = 0
        # News of late daemons are sent also without reports.
        for part in list(split_into_bundles(reports)) or ([[]] if late else []):
            data = encode_bundle(self.identity.vm, spread, part, late)
            for peer in peers:
                self._send_to(data, _address(peer))
            sent += len(peers)
        return sent

    def _update_peers(self, now: float) -> list[Peer]:
        """Update which peers are late or lost; return the live ones."""
        gone: list[Peer] = []
        late: set[str] = set()
        live: list[Peer] = []
        gone_seconds = max(PEER_GONE_SECONDS, 2 * _LATE_FULL_REPORTS * self._full_report_interval)
        with self._lock:
            running_time = self._running_time.now()
            for vm, peer in list(self._peers.items()):
                if running_time - peer.last_report_running_time > gone_seconds:
                    gone.append(self._peers.pop(vm))
                    self._late.discard(vm)
                    # It may only be cut off, so it is contacted until the store no longer lists it.
                    self._known.setdefault(_address(peer), _known_daemon(peer))
                elif self._is_late(peer, now, running_time):
                    late.add(vm)
                else:
                    live.append(peer)
            newly_late = late - self._late
            self._late |= newly_late
            if gone or newly_late:
                self._snapshot = None
        assert self._hooks is not None
        for vm in sorted(newly_late):
            peer = self._peers[vm]
            log_event(
                "peer:late",
                vm_heard=vm,
                active=peer.statement.active,
                silent_seconds=now - peer.last_report_at,
            )
        for peer in gone:
            log_event("peer:gone", vm_heard=peer.identity.vm, silent_seconds=gone_seconds)
            self._hooks.on_peer_lost(peer)
        return live

    def _send_to(self, data: bytes, address: Address) -> None:
        try:
            self._socket.sendto(data, address)
        except (OSError, OverflowError, TypeError, ValueError) as error:
            # Datagrams may be lost at any time; the next report repeats the content. An address
            # that cannot be used must not stop the reports to the others.
            if not self._stopped:
                log_event("exchange:send-failed", to=f"{address[0]}:{address[1]}", error=str(error))

    def _run_receiver(self) -> None:
        while not self._stopped:
            try:
                data, address = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except ConnectionRefusedError:
                # The system reports that no process received an earlier datagram.
                continue
            except OSError as error:
                if not self._stopped:
                    log_event("exchange:receive-failed", error=str(error))
                    self._clock.sleep(_REPORT_INTERVAL_SECONDS)
                continue
            try:
                datagram = decode(data)
                if datagram is None:
                    log_event("exchange:undecodable", sender=address[0])
                else:
                    self._handle(datagram)
            except Exception as error:
                # A malformed datagram of one peer must not stop the exchange with the others.
                reason = describe_error(error)
                log_event("exchange:handler-failed", sender=address[0], error=reason)

    def _handle(self, datagram: Datagram) -> None:
        if datagram.bundle is not None:
            self._handle_bundle(datagram.bundle)
        elif datagram.query is not None:
            self._answer_freshness_query(datagram.query)
        elif datagram.reply is not None:
            self._handle_freshness_reply(datagram.reply)
        elif datagram.hello is not None:
            addresses = [f"{p.identity.host}:{p.identity.port}" for p in self.live_peers]
            data = encode(Datagram(peers=Peers(addresses)))
            hello = datagram.hello
            self._send_to(data, (check_host(hello.host), check_port(hello.port)))
        elif datagram.peers is not None:
            self._handle_addresses(datagram.peers)

    def _handle_bundle(self, bundle: Bundle) -> None:
        """Apply the reports of a bundle, and queue them for relay if the sender asks for it."""
        reports = [report for report in bundle.reports if _is_sound(report)]
        if bundle.spread == Spread.FLEET:
            self._outbox.add_local(reports)
        elif bundle.spread == Spread.DATA_CENTRE:
            self._outbox.add_remote(reports)
            self._record_remote_relay(bundle.vm)
        if bundle.late is not None:
            self._late_notice = frozenset(bundle.late)
            self._late_notice_at = self._clock.now()
            self._snapshot = None
        for report in reports:
            if report.vm != self.identity.vm:
                self._handle_report(report, direct=report.vm == bundle.vm)
            elif self._relay_selector.record_echo(bundle.vm):
                log_event("exchange:relay-regained", relay=bundle.vm)
        assert self._hooks is not None
        self._hooks.on_datagram_applied()

    def _record_remote_relay(self, vm: str) -> None:
        peer = self._peers.get(vm)
        if peer is not None:
            self._remote_relays.record(peer.identity.data_centre, vm, self._clock.now())

    def _handle_report(self, report: Report, direct: bool) -> None:
        now = self._clock.now()
        with self._lock:
            known = self._peers.get(report.vm)
            new = known is None or known.identity.incarnation != report.incarnation
            identity = parse_identity(report) if new or known is None else known.identity
            if identity is None:
                # A full report with the identity of this process will follow.
                return
            uptime = 0.0
            if known is not None:
                before, after = known.identity.incarnation, report.incarnation
                # Incarnations are times of day. If the time of day was set back, a restarted
                # daemon has a smaller incarnation than before.
                restarted = new and self._is_late(known, now, self._running_time.now())
                if (before, known.sequence) >= (after, report.sequence) and not restarted:
                    return
                uptime = known.statement.uptime + now - known.last_report_at
            statement = parse_statement(report, now, uptime)
            peer = Peer(identity, report.sequence, now, self._running_time.now(), statement)
            self._peers[report.vm] = peer
            if new or report.vm in self._late:
                self._snapshot = None
        assert self._hooks is not None
        if known is not None and new:
            self._hooks.on_peer_lost(known)
        if new:
            self._greet(peer, direct)
        elif known is not None and report.vm in self._late:
            self._late.discard(report.vm)
            log_event(
                "peer:regained", vm_heard=report.vm, silent_seconds=now - known.last_report_at
            )
        self._hooks.on_report(peer)

    def _greet(self, peer: Peer, direct: bool) -> None:
        """Send a full report to a new process soon, and ask it for addresses if it is not known.

        :param direct: whether the peer itself sent its report here, rather than a relay.
        """
        log_event("peer:new", vm_heard=peer.identity.vm, incarnation=peer.identity.incarnation)
        if not direct:
            return
        self._full_report_at = float("-inf")
        self.request_report()
        if _address(peer) not in self._known:
            hello = Hello(self.identity.host, self.identity.port)
            self._send_to(encode(Datagram(hello=hello)), _address(peer))

    def _answer_freshness_query(self, query: FreshnessQuery) -> None:
        assert self._hooks is not None
        version = self._hooks.get_state().config_version
        age = self._hooks.get_state_age()
        if age > PEER_LATE_SECONDS * 10:
            return
        if self._hooks.get_state().config_version != version:
            # The age may be that of a newer version, and must not confirm this one. The peer asks
            # again.
            return
        reply = FreshnessReply(query.nonce, version, int(age * _MS_PER_SECOND) + 1)
        self._send_to(
            encode(Datagram(reply=reply)), (check_host(query.host), check_port(query.port))
        )

    def _handle_freshness_reply(self, reply: FreshnessReply) -> None:
        # A negative age would confirm the state for a time to come.
        check_integer(reply.age_ms, 0, MAX_INT32)
        with self._lock:
            asked_at = self._pending_queries.pop(reply.nonce, None)
        if asked_at is not None:
            assert self._hooks is not None
            self._hooks.on_version_confirmed(
                reply.config_version, asked_at - reply.age_ms / _MS_PER_SECOND
            )

    def _handle_addresses(self, peers: Peers) -> None:
        own = (self.identity.host, self.identity.port)
        with self._lock:
            for text in peers.addresses or ():
                try:
                    address = check_address(text)
                except ValueError as error:
                    log_event("exchange:odd-address", error=str(error))
                    continue
                if address != own:
                    self._known.setdefault(address, KnownDaemon(address))


def _is_sound(report: Report) -> bool:
    """Return whether a report can be applied; one that cannot must not hide the others."""
    try:
        check_report(report)
    except ValueError as error:
        log_event("exchange:odd-report", vm_heard=str(report.vm), error=str(error))
        return False
    return True


def _address(peer: Peer) -> Address:
    return peer.identity.host, peer.identity.port


def _known_daemon(peer: Peer) -> KnownDaemon:
    return KnownDaemon(_address(peer), peer.identity.data_centre, peer.identity.cores)


def _relay_candidate(peer: Peer) -> RelayCandidate:
    return RelayCandidate(peer.identity.vm, peer.identity.cores, peer.statement.leaving)
