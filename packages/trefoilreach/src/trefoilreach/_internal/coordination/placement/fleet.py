"""Snapshot of the workers, models and demand on which placement decides."""

import math
from typing import NamedTuple

from trefoilreach._internal.state.config import Route, Server
from trefoilreach._internal.transport.engine import LoadReport

# Replicas are added when the demand is above this share of the slots of all replicas.
_TARGET_UTILISATION = 0.7


class Worker(NamedTuple):
    """One model engine.

    :param report: its load report; None when the worker is leaving, silent or suspected, or
        when the report is too old to decide on.
    :param held_models: models whose requests at least one daemon may be holding back from it now.
    """

    server: Server
    report: LoadReport | None
    held_models: frozenset[str] = frozenset()

    @property
    def takes_orders(self) -> bool:
        """Whether it can be given an order; a worker whose report has no versions gets none."""
        return self.report is not None and self.report.versions is not None

    @property
    def loading(self) -> dict[str, str]:
        """Versions of the models that are being loaded, by model."""
        return {} if self.report is None else self.report.loading

    @property
    def loaded(self) -> tuple[str, ...]:
        """Models that it serves now."""
        if self.report is None:
            return ()
        return tuple(model for model in self.report.models if model not in self.loading)

    @property
    def has_room(self) -> bool:
        """Whether it can hold one more model."""
        held = {*self.loaded, *self.loading}
        return self.server.model_limit == 0 or len(held) < self.server.model_limit

    def get_version(self, model: str) -> str:
        """Return the version of a loaded model; empty when unknown."""
        versions = None if self.report is None else self.report.versions
        return (versions or {}).get(model, "")


class FleetSnapshot(NamedTuple):
    """Snapshot on which one decision is made.

    :param routes: model routes by name.
    :param demand: mean number of concurrent requests, served or refused, by model.
    :param active_models: models with recent online traffic.
    """

    workers: tuple[Worker, ...]
    routes: dict[str, Route]
    demand: dict[str, float]
    active_models: frozenset[str]

    def find_worker(self, name: str) -> Worker | None:
        """Return a worker by name; None when it is not known."""
        return next((entry for entry in self.workers if entry.server.name == name), None)

    def list_serving(self, model: str, excluded: str = "") -> list[Worker]:
        """Return the workers that serve a model, except the one named ``excluded``."""
        return [
            entry
            for entry in self.workers
            if model in entry.loaded and entry.server.name != excluded
        ]

    def list_reachable(self, model: str, excluded: str = "") -> list[Worker]:
        """Return the workers that serve a model and get its requests from every daemon."""
        return [
            entry for entry in self.list_serving(model, excluded) if model not in entry.held_models
        ]

    def list_loading(self, model: str, excluded: str = "") -> list[Worker]:
        """Return the workers that are loading a model, except the one named ``excluded``."""
        return [
            entry
            for entry in self.workers
            if model in entry.loading and entry.server.name != excluded
        ]

    def count_wanted(self, model: str) -> int:
        """Return how many replicas a model should have; 0 when no worker can load it."""
        slots = [
            entry.server.slots
            for entry in self.workers
            if entry.report is not None and model in entry.server.routes
        ]
        if not slots:
            return 0
        needed = self.demand.get(model, 0.0) / (_TARGET_UTILISATION * sum(slots) / len(slots))
        return min(len(slots), max(1, math.ceil(needed)))

    def count_surplus(self, model: str) -> int:
        """Return how many more replicas serve a model than it should have; may be negative."""
        return len(self.list_serving(model)) - self.count_wanted(model)
