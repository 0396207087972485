"""Sends this daemon's report to the others and keeps what they state.

Every daemon sends its requests at each change, and at least every quarter of a second; once
a second it sends a whole report, with what changes rarely. In a small fleet it sends them to
all others; in a larger one a relay in its data centre passes them on.
"""

import random
import socket
import threading
from collections.abc import Callable, Collection, Iterable
from contextlib import ExitStack
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.exchange.relays import (
    RELAYED_FLEET,
    Candidate,
    FarRelays,
    RelayChoice,
    RelayOutbox,
    divide_reports,
    rank_relays,
)
from trefoilreach._internal.coordination.exchange.reports import (
    Identity,
    ReportWriter,
    Statement,
    decode,
    encode,
    encode_bundle,
    read_identity,
    read_statement,
)
from trefoilreach._internal.coordination.exchange.running_time import RunningTime
from trefoilreach._internal.logs import log_decision, log_event
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

# A peer that missed four reports is not sent callers.
PEER_LATE_SECONDS = 1.0
_REPORT_SECONDS = 0.25
_WHOLE_REPORT_SECONDS = 1.0
# Beyond this number of daemons, whole reports are rarer, so that all of them together take no
# larger part of what a relay may send.
_WHOLE_REPORT_FLEET = 70
# Most datagrams a second that one daemon sends for its reports: at 30 us each, 12 % of a core.
_DATAGRAMS_PER_SECOND = 4000.0
# Shortest time between two reports in a relayed fleet, and between two bundles of a relay:
# decisions on slots bear views that are some 30 ms old.
_LEAST_PAUSE_SECONDS = 0.01
_BUNDLE_PAUSE_SECONDS = 0.02
# A relay sends at most this many datagrams a second: at 30 us each, 3 % of a core.
_RELAYED_DATAGRAMS_PER_SECOND = 1000.0
# Addresses that do not answer are tried again at this interval.
_SILENT_RETRY_SECONDS = 2.0
# A peer that has been silent for this long no longer counts as a part of the fleet.
PEER_GONE_SECONDS = 10.0
_FRESHNESS_ASKED = 3
_DATAGRAM_BYTES = 65536
_MILLISECONDS = 1000.0

Address = tuple[str, int]


class Peer(NamedTuple):
    """Another daemon, as last heard.

    :param heard_running: when it was heard, in the time that this process has run.
    """

    identity: Identity
    sequence: int
    heard_at: float
    heard_running: float
    statement: Statement

    def is_late(self, running: float) -> bool:
        """Return whether reports have been missing while this process ran.

        :param running: the time that this process has run.
        """
        return running - self.heard_running > PEER_LATE_SECONDS


class Hooks(NamedTuple):
    """What the exchange calls.

    :param state: returns the statement of the next report.
    :param heard: takes a peer's report.
    :param settled: called once after the reports of one datagram.
    :param lost: takes a peer whose process ended or that has long been silent.
    :param freshness: returns the age of the desired state in force here.
    :param confirmed: takes a version that was the newest at a time of this daemon's clock.
    """

    state: Callable[[], Statement]
    heard: Callable[[Peer], None]
    settled: Callable[[], None]
    lost: Callable[[Peer], None]
    freshness: Callable[[], float]
    confirmed: Callable[[int, float], None]


class Exchange:
    """Datagrams to and from the other daemons."""

    def __init__(self, clock: Clock, identity: Identity, seeds: Iterable[Address]) -> None:
        self.identity = identity
        self._clock = clock
        self._running = RunningTime(clock)
        self._hooks: Hooks | None = None
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._lock = threading.Lock()
        self._changed = threading.Condition()
        self._dirty = False
        self._stopped = False
        self._writer = ReportWriter(identity)
        self._whole_at = float("-inf")
        self._peers: dict[str, Peer] = {}
        self._late: set[str] = set()
        self._known: dict[Address, float] = {}
        self._queries: dict[int, float] = {}
        self._relays = RelayChoice()
        self._far_relays = FarRelays()
        self._outbox = RelayOutbox()
        self._relay_in_use = ""
        own = (identity.host, identity.port)
        self._seeds = [address for address in seeds if address != own]

    @property
    def peers(self) -> list[Peer]:
        """Peers heard within the last seconds."""
        with self._lock:
            return list(self._peers.values())

    @property
    def live(self) -> list[Peer]:
        """Peers whose reports come in time."""
        running = self._running.now()
        return [peer for peer in self.peers if not peer.is_late(running)]

    @property
    def late(self) -> list[Peer]:
        """Peers whose reports are missing."""
        running = self._running.now()
        return [peer for peer in self.peers if peer.is_late(running)]

    def start(self, hooks: Hooks, stack: ExitStack) -> None:
        """Exchange reports until the exit stack closes."""
        self._hooks = hooks
        self._socket.bind((self.identity.host, self.identity.port))
        stack.callback(self._close)
        threading.Thread(target=self._receive, name="exchange-receive", daemon=True).start()
        threading.Thread(target=self._send, name="exchange-send", daemon=True).start()
        threading.Thread(target=self._pass_on, name="exchange-relay", daemon=True).start()

    def wake(self) -> None:
        """Send a report soon, because something has changed."""
        with self._changed:
            self._dirty = True
            self._changed.notify()

    def set_known(self, addresses: Iterable[Address]) -> None:
        """Set the addresses of the daemons that the store names."""
        own = (self.identity.host, self.identity.port)
        with self._lock:
            old = self._known
            self._known = {a: old.get(a, 0.0) for a in addresses if a != own}

    def ask_freshness(self) -> None:
        """Ask some peers which desired state is the newest."""
        live = [peer for peer in self.live if peer.statement.store_age < PEER_LATE_SECONDS]
        now = self._clock.now()
        for peer in random.sample(live, min(_FRESHNESS_ASKED, len(live))):
            nonce = random.getrandbits(62)
            with self._lock:
                self._queries = {n: at for n, at in self._queries.items() if now - at < 1.0}
                self._queries[nonce] = now
            query = FreshnessQuery(nonce, self.identity.host, self.identity.port)
            self._send_to(encode(Datagram(query=query)), _address(peer))

    def _close(self) -> None:
        with self._changed:
            self._stopped = True
            self._changed.notify()
        self._outbox.close()
        self._socket.close()

    def _send(self) -> None:
        last = 0.0
        pause = 0.0
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._dirty or self._stopped, _REPORT_SECONDS)
                if self._stopped:
                    return
            left = last + pause - self._clock.now()
            if left > 0:
                self._clock.sleep(left)
            with self._changed:
                self._dirty = False
            last = self._clock.now()
            pause = self._send_report()

    def _send_report(self) -> float:
        """Send a report to whom it concerns; return the pause until the next."""
        assert self._hooks is not None
        now = self._clock.now()
        stalled = self._running.beat()
        if stalled:
            log_event("exchange:stalled", seconds=stalled)
        live, silent = self._look_at_peers(now)
        # Whoever is not heard may not know this daemon, so its report has to be a whole one.
        interval = _WHOLE_REPORT_SECONDS * max(1.0, len(live) / _WHOLE_REPORT_FLEET)
        whole = bool(silent) or now - self._whole_at >= interval
        if whole:
            self._whole_at = now
        report = self._writer.write(self._hooks.state(), now, whole)
        relayed = len(live) + 1 >= RELAYED_FLEET
        targets = silent if relayed else [*(_address(peer) for peer in live), *silent]
        if targets:
            data = encode_bundle(self.identity.vm, Spread.NOWHERE, [report])
            for address in targets:
                self._send_to(data, address)
        if not relayed:
            return len(targets) / _DATAGRAMS_PER_SECOND
        self._send_to_relays(report, live, now)
        return max(_LEAST_PAUSE_SECONDS, len(silent) / _DATAGRAMS_PER_SECOND)

    def _send_to_relays(self, report: Report, live: list[Peer], now: float) -> None:
        """Let a relay of the own data centre pass a report on; that may be this daemon."""
        own = self.identity
        near = {p.identity.vm: p for p in live if p.identity.data_centre == own.data_centre}
        ranked = rank_relays(
            [
                *map(_candidate, near.values()),
                Candidate(own.vm, own.cores, bool(report.leaving)),
            ]
        )
        chosen = self._relays.choose(ranked, now)
        if chosen[-1] != self._relay_in_use:
            log_decision(
                "relay",
                chosen[-1],
                "strongest VM of the data centre whose echoes come",
                former=self._relay_in_use,
                candidates=len(ranked),
            )
            self._relay_in_use = chosen[-1]
        data = encode_bundle(own.vm, Spread.FLEET, [report])
        for vm in chosen:
            if vm == own.vm:
                self._outbox.add_near([report])
            else:
                self._relays.note_sent(vm, now)
                self._send_to(data, _address(near[vm]))

    def _pass_on(self) -> None:
        """Pass on what this daemon is asked to, in bundles."""
        while self._outbox.wait():
            self._clock.sleep(self._send_bundles())

    def _send_bundles(self) -> float:
        """Send the gathered reports; return the pause until the next bundles."""
        now = self._clock.now()
        pending = self._outbox.take()
        own = self.identity
        by_place: dict[str, dict[str, Peer]] = {}
        for peer in self.live:
            by_place.setdefault(peer.identity.data_centre, {})[peer.identity.vm] = peer
        near = by_place.pop(own.data_centre, {})
        far = [
            peers[relay]
            for place, peers in by_place.items()
            for relay in self._far_relays.choose(
                place, rank_relays(map(_candidate, peers.values())), now
            )
        ]
        sent = self._send_bundle(pending.near + pending.far, Spread.NOWHERE, near.values())
        sent += self._send_bundle(pending.near, Spread.DATA_CENTRE, far)
        return max(_BUNDLE_PAUSE_SECONDS, sent / _RELAYED_DATAGRAMS_PER_SECOND)

    def _send_bundle(self, reports: list[Report], spread: int, peers: Collection[Peer]) -> int:
        """Send reports to peers; return the number of datagrams."""
        sent = 0
        for part in divide_reports(reports):
            data = encode_bundle(self.identity.vm, spread, part)
            for peer in peers:
                self._send_to(data, _address(peer))
            sent += len(peers)
        return sent

    def _look_at_peers(self, now: float) -> tuple[list[Peer], list[Address]]:
        """Return the live peers, and from time to time the addresses that are not heard."""
        gone: list[Peer] = []
        late: list[Peer] = []
        live: list[Peer] = []
        with self._lock:
            running = self._running.now()
            for vm, peer in list(self._peers.items()):
                if running - peer.heard_running > PEER_GONE_SECONDS:
                    gone.append(self._peers.pop(vm))
                    self._late.discard(vm)
                elif peer.is_late(running):
                    late.append(peer)
                else:
                    live.append(peer)
            newly_late = {peer.identity.vm for peer in late} - self._late
            self._late |= newly_late
            heard = {_address(peer) for peer in live}
            silent = [a for a in [*self._known, *self._seeds] if a not in heard]
            silent += [_address(peer) for peer in late]
            due = {
                address
                for address in silent
                if now - self._known.get(address, 0.0) >= _SILENT_RETRY_SECONDS or not heard
            }
            self._known.update(dict.fromkeys(due, now))
        assert self._hooks is not None
        for vm in sorted(newly_late):
            log_event("peer:late", vm_heard=vm, after_seconds=PEER_LATE_SECONDS)
        for peer in gone:
            log_event("peer:gone", vm_heard=peer.identity.vm, silent_seconds=PEER_GONE_SECONDS)
            self._hooks.lost(peer)
        return live, list(due)

    def _send_to(self, data: bytes, address: Address) -> None:
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            # A datagram may be lost at any time; the next report repeats what it said.
            if not self._stopped:
                log_event("exchange:send-failed", to=f"{address[0]}:{address[1]}", error=str(error))

    def _receive(self) -> None:
        while not self._stopped:
            try:
                data, address = self._socket.recvfrom(_DATAGRAM_BYTES)
            except ConnectionRefusedError:
                # Notice that an earlier datagram met no process.
                continue
            except OSError as error:
                if not self._stopped:
                    log_event("exchange:receive-failed", error=str(error))
                    self._clock.sleep(_REPORT_SECONDS)
                continue
            datagram = decode(data)
            if datagram is None:
                log_event("exchange:undecodable", sender=address[0])
                continue
            try:
                self._handle(datagram)
            except Exception as error:
                # One peer's odd datagram must not end the exchange with the others.
                log_event("exchange:handler-failed", sender=address[0], error=repr(error))

    def _handle(self, datagram: Datagram) -> None:
        if datagram.bundle is not None:
            self._take_bundle(datagram.bundle)
        elif datagram.query is not None:
            self._answer_query(datagram.query)
        elif datagram.reply is not None:
            self._take_reply(datagram.reply)
        elif datagram.hello is not None:
            addresses = [f"{p.identity.host}:{p.identity.port}" for p in self.live]
            data = encode(Datagram(peers=Peers(addresses)))
            self._send_to(data, (datagram.hello.host, datagram.hello.port))
        elif datagram.peers is not None:
            self._take_addresses(datagram.peers)

    def _take_bundle(self, bundle: Bundle) -> None:
        """Take reports, and pass them on where the sender asks for it."""
        if bundle.spread == Spread.FLEET:
            self._outbox.add_near(bundle.reports)
        elif bundle.spread == Spread.DATA_CENTRE:
            self._outbox.add_far(bundle.reports)
            self._note_far_relay(bundle.vm)
        for report in bundle.reports:
            if report.vm != self.identity.vm:
                self._take_report(report)
            elif self._relays.note_echo(bundle.vm):
                log_event("exchange:relay-regained", relay=bundle.vm)
        assert self._hooks is not None
        self._hooks.settled()

    def _note_far_relay(self, vm: str) -> None:
        peer = self._peers.get(vm)
        if peer is not None:
            self._far_relays.note(peer.identity.data_centre, vm, self._clock.now())

    def _take_report(self, report: Report) -> None:
        now = self._clock.now()
        with self._lock:
            known = self._peers.get(report.vm)
            new = known is None or known.identity.incarnation != report.incarnation
            identity = read_identity(report) if new or known is None else known.identity
            if identity is None:
                # The next whole report of this process says who it is.
                return
            uptime = 0.0
            if known is not None:
                before, after = known.identity.incarnation, report.incarnation
                # Incarnations come from the time of day, which may have been set back.
                restarted = new and known.is_late(self._running.now())
                if (before, known.sequence) >= (after, report.sequence) and not restarted:
                    return
                uptime = known.statement.uptime + now - known.heard_at
            statement = read_statement(report, now, uptime)
            peer = Peer(identity, report.sequence, now, self._running.now(), statement)
            self._peers[report.vm] = peer
        assert self._hooks is not None
        if known is not None and new:
            self._hooks.lost(known)
        if new:
            self._greet(peer)
        elif known is not None and report.vm in self._late:
            self._late.discard(report.vm)
            log_event("peer:regained", vm_heard=report.vm, silent_seconds=now - known.heard_at)
        self._hooks.heard(peer)

    def _greet(self, peer: Peer) -> None:
        """Let a new process know this one, and the daemons that it has not heard of."""
        log_event("peer:new", vm_heard=peer.identity.vm, incarnation=peer.identity.incarnation)
        self._whole_at = float("-inf")
        self.wake()
        hello = Hello(self.identity.host, self.identity.port)
        self._send_to(encode(Datagram(hello=hello)), _address(peer))

    def _answer_query(self, query: FreshnessQuery) -> None:
        assert self._hooks is not None
        # The age is taken after the version, so that it is never too small for it.
        version = self._hooks.state().config_version
        age = self._hooks.freshness()
        if age > PEER_LATE_SECONDS * 10:
            return
        reply = FreshnessReply(query.nonce, version, int(age * _MILLISECONDS) + 1)
        self._send_to(encode(Datagram(reply=reply)), (query.host, query.port))

    def _take_reply(self, reply: FreshnessReply) -> None:
        with self._lock:
            asked_at = self._queries.pop(reply.nonce, None)
        if asked_at is not None:
            assert self._hooks is not None
            self._hooks.confirmed(reply.config_version, asked_at - reply.age_ms / _MILLISECONDS)

    def _take_addresses(self, peers: Peers) -> None:
        own = (self.identity.host, self.identity.port)
        with self._lock:
            for text in peers.addresses or ():
                host, _, port = text.rpartition(":")
                if host and port.isdigit() and (host, int(port)) != own:
                    self._known.setdefault((host, int(port)), 0.0)


def _address(peer: Peer) -> Address:
    return peer.identity.host, peer.identity.port


def _candidate(peer: Peer) -> Candidate:
    return Candidate(peer.identity.vm, peer.identity.cores, peer.statement.leaving)
