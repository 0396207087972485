"""Stand-ins for many daemons: they answer peer messages and probe one real daemon."""

import random
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import NamedTuple

from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.protocol.gen.peer.ttypes import (
    BorrowReply,
    BorrowRequest,
    ConfigReply,
    MemberState,
    MemberUpdate,
    ProbeReply,
    ProbeRequest,
    QuotaLoan,
)
from trefoilreach._internal.transport.peer_client import PeerClient
from trefoilreach._internal.transport.peer_handler import PeerHandlers
from trefoilreach._internal.transport.peer_server import PeerServer

from trefoilreach_emulator._internal.http_call import Address, call

_PEERS_PER_SUBNET = 250
_FIRST_SUBNET = 40
_PEER_PORT = 18081
_HTTP_PORT = 18080
_PROBE_TIMEOUT_SECONDS = 1.0
_LOAN_SECONDS = 3.0


class PeerPlace(NamedTuple):
    """Name and address of one stand-in."""

    name: str
    host: str
    data_centre: str


def list_places(count: int) -> list[PeerPlace]:
    """Return names and loopback addresses of ``count`` stand-ins."""
    return [
        PeerPlace(
            f"peer-{number}",
            f"127.0.{_FIRST_SUBNET + number // _PEERS_PER_SUBNET}.{1 + number % _PEERS_PER_SUBNET}",
            f"dc{number % 7}",
        )
        for number in range(count)
    ]


class PeerStandIn:
    """One stand-in."""

    def __init__(self, place: PeerPlace) -> None:
        self._place = place
        self._incarnation = int(time.time() * 1000)
        self._version = 0
        self._digest = 0
        self._sequence = 0
        handlers = PeerHandlers(
            probe=self._answer_probe,
            probe_via=lambda host, port: True,
            withdraw=lambda withdrawals: None,
            fetch_config=lambda version, base: ConfigReply(version=0, document=b"", withdrawals=[]),
            borrow=self._answer_borrow,
            online_started=lambda worker, count: 0,
            cancel_job=lambda job: None,
            suspects=lambda suspects: None,
            hold_back=lambda worker, models, seconds: 0.0,
        )
        self._server = PeerServer(handlers, place.host, _PEER_PORT)

    def start(self, stack: ExitStack) -> None:
        """Answer until the exit stack closes."""
        stack.callback(self._server.close)
        self._server.start()

    def make_update(self) -> MemberUpdate:
        """Return what this stand-in says of itself."""
        return MemberUpdate(
            vm=self._place.name,
            host=self._place.host,
            peer_port=_PEER_PORT,
            http_port=_HTTP_PORT,
            data_centre=self._place.data_centre,
            region="r1",
            incarnation=self._incarnation,
            state=MemberState.LIVE,
        )

    def make_probe(self) -> ProbeRequest:
        """Return a probe as this stand-in would send it."""
        return ProbeRequest(
            sender=self.make_update(),
            config_version=self._version,
            withdrawals_digest=self._digest,
            updates=[],
        )

    def _answer_probe(self, request: ProbeRequest) -> ProbeReply:
        # Agrees with whatever the daemon holds, as in a fleet at rest.
        self._version, self._digest = request.config_version, request.withdrawals_digest
        return ProbeReply(
            sender=self.make_update(),
            config_version=self._version,
            withdrawals_digest=self._digest,
            updates=[],
        )

    def _answer_borrow(self, request: BorrowRequest) -> BorrowReply:
        self._sequence += 1
        loans = [
            QuotaLoan(
                account=demand.account,
                rate=0.5,
                capacity=0.5,
                tokens=0.0,
                duration=_LOAN_SECONDS,
                sequence=self._sequence,
            )
            for demand in request.demands
        ]
        return BorrowReply(
            sender=self._place.name,
            loans=loans,
            returns=[],
            slots_revision=request.slots_revision,
            slots=None,
        )


@contextmanager
def run_peers(count: int, platform: Address) -> Iterator[list[PeerStandIn]]:
    """Run and list ``count`` stand-ins for the time of a ``with`` block."""
    with ExitStack() as stack:
        peers = []
        for place in list_places(count):
            peer = PeerStandIn(place)
            peer.start(stack)
            peers.append(peer)
            vm = {
                "host": place.host,
                "data_centre": place.data_centre,
                "region": "r1",
                "state": "live",
                "http_port": _HTTP_PORT,
                "peer_port": _PEER_PORT,
            }
            call(platform, "PUT", f"/vms/{place.name}", vm)
        yield peers


class ProbeLoad:
    """Probes one daemon as often as the whole fleet would: about once an interval."""

    def __init__(self, peers: list[PeerStandIn], target: Address, interval: float) -> None:
        self._peers = peers
        self._client = PeerClient(target.host, target.port, SystemClock())
        self._interval = interval
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "ProbeLoad":
        """Begin to probe."""
        self._thread.start()
        return self

    def __exit__(self, *details: object) -> None:
        """Stop and wait for the last probe."""
        self._stop.set()
        self._thread.join()
        self._client.close()

    def _run(self) -> None:
        while not self._stop.wait(self._interval * random.uniform(0.5, 1.5)):
            self._probe(random.choice(self._peers).make_probe())

    def _probe(self, request: ProbeRequest) -> None:
        self._client.call(lambda client: client.probe(request), _PROBE_TIMEOUT_SECONDS)
