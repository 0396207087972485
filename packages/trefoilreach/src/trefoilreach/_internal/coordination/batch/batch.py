"""Builds and starts the parts of batch work."""

import threading
import uuid
from contextlib import ExitStack
from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch.accept import BatchAcceptor
from trefoilreach._internal.coordination.batch.cancel import BatchCanceller
from trefoilreach._internal.coordination.batch.chunks import ChunkStore
from trefoilreach._internal.coordination.batch.feed import BatchFeed
from trefoilreach._internal.coordination.batch.notices import OnlineNotices
from trefoilreach._internal.coordination.batch.reader import BatchReader
from trefoilreach._internal.coordination.batch.runner import BatchRunner
from trefoilreach._internal.coordination.config.view import ConfigHolder
from trefoilreach._internal.coordination.membership.peers import Peers
from trefoilreach._internal.settings import Settings
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import TableService
from trefoilreach._internal.transport.engine import Engine


class Batches(NamedTuple):
    """Parts of batch work that handlers, peers and the dispatcher use."""

    accept: BatchAcceptor
    reader: BatchReader
    cancel: BatchCanceller
    runner: BatchRunner
    feed: BatchFeed
    notices: OnlineNotices
    enabled: bool

    def start(self, stack: ExitStack) -> None:
        """Run until the exit stack closes.

        When batch work is disabled, this daemon accepts jobs but does not run them.
        """
        self.notices.start(stack)
        if self.enabled:
            self.feed.start(stack)
            self.runner.start(stack)


def build_batches(
    settings: Settings,
    clock: Clock,
    table: TableService,
    objects: ObjectStore,
    config: ConfigHolder,
    engine: Engine,
    peers: Peers,
) -> Batches:
    """Build the parts of batch work."""
    batch = settings.batch
    store = ChunkStore(clock, table, f"{settings.daemon.name}/{uuid.uuid4().hex}")
    wake = threading.Event()
    feed = BatchFeed(clock, engine, config, batch.yielding == "yes", wake.set)
    runner = BatchRunner(clock, store, objects, config, peers, feed, batch, wake)
    reader = BatchReader(table, objects)
    return Batches(
        accept=BatchAcceptor(clock, table, objects, config, batch.chunk_items),
        reader=reader,
        cancel=BatchCanceller(store, reader, peers, runner.cancel_job),
        runner=runner,
        feed=feed,
        notices=OnlineNotices(clock, peers, feed.note_online),
        enabled=batch.enabled == "yes",
    )
