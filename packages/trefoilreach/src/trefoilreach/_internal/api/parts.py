"""The components of a daemon that HTTP handlers use."""

from typing import NamedTuple

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.audit.audit import AuditLog
from trefoilreach._internal.coordination.batch.assembly import BatchParts
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.config.open_streams import OpenStreams
from trefoilreach._internal.coordination.config.sync import ConfigSync
from trefoilreach._internal.coordination.membership.drain import Drain
from trefoilreach._internal.coordination.membership.entrypoints import EntryPoints
from trefoilreach._internal.coordination.membership.isolation_guard import IsolationGuard
from trefoilreach._internal.coordination.membership.membership import Membership
from trefoilreach._internal.coordination.online.dispatch import CompletionDispatcher
from trefoilreach._internal.coordination.online.idempotency import IdempotencyStore
from trefoilreach._internal.coordination.online.service_dispatch import ServiceDispatcher
from trefoilreach._internal.coordination.placement.controller import PlacementController
from trefoilreach._internal.coordination.quota.policy import QuotaPolicy
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
    config: ActiveConfig
    config_sync: ConfigSync
    dispatcher: CompletionDispatcher
    services: ServiceDispatcher
    idempotency: IdempotencyStore
    membership: Membership
    quota: QuotaPolicy
    entrypoints: EntryPoints
    streams: OpenStreams
    isolation: IsolationGuard
    drain: Drain
    batches: BatchParts
    placement: PlacementController
    audit: AuditLog
