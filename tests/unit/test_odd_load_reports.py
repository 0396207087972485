"""Guards against a worker's load report that cuts a daemon off from its peers."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack

import pytest
from serving_fakes import make_workers
from test_exchange import STATEMENT
from trefoilreach._internal.clock import SystemClock
from trefoilreach._internal.coordination.exchange.reports import (
    Identity,
    ReportBuilder,
    encode_bundle,
)
from trefoilreach._internal.coordination.serving.admission import Admission
from trefoilreach._internal.coordination.serving.orphans import OrphanPoller
from trefoilreach._internal.platform.workers import PlatformWorkers
from trefoilreach._internal.protocol.gen.fleet.ttypes import Spread
from trefoilreach._internal.state.serving import WorkerEntry
from trefoilreach_emulator._internal.server import Exchange, run_server

FIGURES = [b"1e308", b"9" * 23, b"9" * 18, b"65536", b"-1", b"true", b"1.5", b'"1"', b"null", b"[]"]
ODD_REPORTS = [
    *(b'{"running":%s,"waiting":0}' % figure for figure in FIGURES),
    *(b'{"running":0,"waiting":%s}' % figure for figure in FIGURES),
    b'{"running":%s,"waiting":0}' % (b"[" * 1000 + b"]" * 1000),
    b"[" * 5000,
    b'{"running":1}',
    b"[]",
    b"7",
    b"\xff",
    b"",
]


class Site:
    """A client of a worker that answers each request for its load with the same bytes."""

    def __init__(self, stack: ExitStack, body: bytes) -> None:
        def handle(exchange: Exchange) -> None:
            exchange.reply(body, 200)

        port = stack.enter_context(run_server("127.0.0.1", 0, handle))
        self.worker: WorkerEntry = make_workers(1)[0]._replace(host="127.0.0.1", port=port)
        self.client = PlatformWorkers(SystemClock())
        stack.callback(self.client.close)


@pytest.fixture
def open_site() -> Iterator[Callable[[bytes], Site]]:
    with ExitStack() as stack:
        yield lambda body: Site(stack, body)


@pytest.mark.parametrize("body", ODD_REPORTS)
def test_odd_load_report_is_no_report(open_site: Callable[[bytes], Site], body: bytes) -> None:
    site = open_site(body)
    assert site.client.fetch_load(site.worker).requests is None


@pytest.mark.parametrize("figure", [b"3", b"65535", b"1e18", b"9" * 18])
def test_reports_can_be_sent_after_any_load_report(
    open_site: Callable[[bytes], Site], figure: bytes
) -> None:
    """Guards against counts of leftovers that no datagram can carry."""
    site = open_site(b'{"running":%s,"waiting":%s}' % (figure, figure))
    admission = Admission(SystemClock(), "d0")
    admission.workers.put(site.worker)
    OrphanPoller(SystemClock(), admission, site.client, lambda worker: True).poll()
    statement = STATEMENT._replace(runs=admission.running_by_worker())
    builder = ReportBuilder(Identity("d0", 1, "10.0.0.1", 7, 7, "10.0.0.1:80", "a"))
    assert encode_bundle("d0", Spread.NOWHERE, [builder.build(statement, 0.0, full=True)])
    expected = {b"3": 6, b"65535": 131070}.get(figure)
    counted = admission.running_by_worker().get(site.worker.id)
    assert (None if counted is None else counted.online) == expected
