"""Builds the parts of a daemon on one exit stack and runs them."""

import threading
from contextlib import ExitStack

from trefoilreach._internal.api.app import Application
from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.clock import Clock, SystemClock
from trefoilreach._internal.coordination.batch import SoloPeers, build_batches
from trefoilreach._internal.coordination.config_sync import ConfigSync
from trefoilreach._internal.coordination.config_view import ConfigHolder
from trefoilreach._internal.coordination.dispatch import Dispatcher
from trefoilreach._internal.logs import log_event, open_log
from trefoilreach._internal.metrics import open_metrics
from trefoilreach._internal.settings import Settings
from trefoilreach._internal.state import platform_http  # noqa: F401 - registers the adapters
from trefoilreach._internal.state.objects import object_stores
from trefoilreach._internal.state.table import tables
from trefoilreach._internal.transport.engine import HttpEngine
from trefoilreach._internal.transport.http_server import HttpServer


class Daemon:
    """One daemon; everything it opens is closed by its exit stack."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        self._stop = threading.Event()

    def run(self) -> None:
        """Serve until :meth:`stop` is called."""
        with ExitStack() as stack:
            self._open(stack)
            self._stop.wait()

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stop.set()

    def _open(self, stack: ExitStack) -> None:
        settings = self._settings
        open_log(settings.log, settings.daemon.name, stack)
        parts = self._build_parts(stack)
        parts.config_sync.start(stack)
        parts.batches.start(stack)
        server = HttpServer(
            Application(parts),
            settings.daemon.host,
            settings.daemon.http_port,
            settings.daemon.threads,
        )
        stack.callback(server.close)
        server.start()
        log_event("daemon:started", http_port=server.port)

    def _build_parts(self, stack: ExitStack) -> Parts:
        settings, platform = self._settings, self._settings.platform
        engine = HttpEngine(self._clock, settings.routing.connect_timeout)
        stack.callback(engine.close)
        config = ConfigHolder()
        table = tables.get(platform.kind)(platform.url, platform.timeout)
        objects = object_stores.get(platform.kind)(platform.url, platform.timeout)
        sync = ConfigSync(self._clock, table, objects, config, settings.fleet.poll_interval)
        return Parts(
            settings=settings,
            clock=self._clock,
            metrics=open_metrics(settings.metrics, stack),
            table=table,
            objects=objects,
            config=config,
            config_sync=sync,
            dispatcher=Dispatcher(config, engine),
            batches=build_batches(
                settings,
                self._clock,
                table,
                objects,
                config,
                engine,
                SoloPeers(settings.daemon),
            ),
        )
