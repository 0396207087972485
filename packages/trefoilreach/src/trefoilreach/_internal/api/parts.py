"""The components of a daemon that HTTP handlers use."""

from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.audit.audit import Audit
from trefoilreach._internal.coordination.batch.batch import Batches
from trefoilreach._internal.coordination.config.keys import Streams
from trefoilreach._internal.coordination.config.sync import ConfigSync
from trefoilreach._internal.coordination.config.view import ConfigHolder
from trefoilreach._internal.coordination.membership.drain import Drain
from trefoilreach._internal.coordination.membership.entrypoints import EntryPoints
from trefoilreach._internal.coordination.membership.isolation import Isolation
from trefoilreach._internal.coordination.membership.membership import Membership
from trefoilreach._internal.coordination.online.dispatch import Dispatcher
from trefoilreach._internal.coordination.online.idempotency import Idempotency
from trefoilreach._internal.coordination.online.service_dispatch import ServiceDispatcher
from trefoilreach._internal.coordination.placement.placement import Placement
from trefoilreach._internal.coordination.quota.quota import Quota
from trefoilreach._internal.metrics import Metrics
from trefoilreach._internal.settings import Settings
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import TableService


class Parts(NamedTuple):
    """Components of the daemon, passed to every handler."""

    settings: Settings
    clock: Clock
    metrics: Metrics
    table: TableService
    objects: ObjectStore
    config: ConfigHolder
    config_sync: ConfigSync
    dispatcher: Dispatcher
    services: ServiceDispatcher
    idempotency: Idempotency
    membership: Membership
    quota: Quota
    entrypoints: EntryPoints
    streams: Streams
    isolation: Isolation
    drain: Drain
    batches: Batches
    placement: Placement
    audit: Audit
