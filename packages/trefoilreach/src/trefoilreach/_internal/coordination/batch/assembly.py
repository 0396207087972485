"""Builds and starts the parts of batch work."""

import threading
import uuid
from contextlib import ExitStack
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch.accept import BatchAcceptor
from trefoilreach._internal.coordination.batch.cancel import BatchCanceller
from trefoilreach._internal.coordination.batch.chunks import ChunkStore
from trefoilreach._internal.coordination.batch.coordinator import BatchCoordinator
from trefoilreach._internal.coordination.batch.notices import OnlineNotices
from trefoilreach._internal.coordination.batch.reader import BatchReader
from trefoilreach._internal.coordination.batch.scheduler import BatchScheduler
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.membership.peers import Peers
from trefoilreach._internal.settings import Settings
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import TableService
from trefoilreach._internal.transport.engine import Engine


class BatchParts(NamedTuple):
    """Parts of batch work that handlers, peers and the dispatcher use."""

    acceptor: BatchAcceptor
    reader: BatchReader
    canceller: BatchCanceller
    coordinator: BatchCoordinator
    scheduler: BatchScheduler
    online_notices: OnlineNotices
    enabled: bool

    def start(self, stack: ExitStack) -> None:
        """Run until the exit stack closes.

        When batch work is disabled, this daemon accepts jobs but does not run them.
        """
        self.online_notices.start(stack)
        if self.enabled:
            self.scheduler.start(stack)
            self.coordinator.start(stack)


def build_batch_parts(
    settings: Settings,
    clock: Clock,
    table: TableService,
    objects: ObjectStore,
    config: ActiveConfig,
    engine: Engine,
    peers: Peers,
) -> BatchParts:
    """Build the parts of batch work."""
    batch = settings.batch
    store = ChunkStore(clock, table, f"{settings.daemon.name}/{uuid.uuid4().hex}")
    wake = threading.Event()
    feed = BatchScheduler(clock, engine, config, batch.yielding == "yes", wake.set)
    runner = BatchCoordinator(clock, store, objects, config, peers, feed, batch, wake)
    reader = BatchReader(table, objects)
    return BatchParts(
        acceptor=BatchAcceptor(clock, table, objects, config, batch.chunk_items),
        reader=reader,
        canceller=BatchCanceller(store, reader, peers, runner.cancel_job),
        coordinator=runner,
        scheduler=feed,
        online_notices=OnlineNotices(clock, peers, feed.announce_online),
        enabled=batch.enabled == "yes",
    )
