"""The workers, models and demand that placement decides on."""

import math
from typing import NamedTuple

from trefoilreach._internal.state.config import Route, Server
from trefoilreach._internal.transport.engine import LoadReport

# A replica counts as full at this share of a worker's slots.
_FILL_SHARE = 0.7


class Worker(NamedTuple):
    """One model engine.

    :param report: its load report; None when it is leaving, silent or suspected, or when
        the report is too old to decide on.
    :param held: models for which a daemon may send it no request now.
    """

    server: Server
    report: LoadReport | None
    held: frozenset[str] = frozenset()

    @property
    def takes_orders(self) -> bool:
        """Whether it can be given an order; one that states no versions is left alone."""
        return self.report is not None and self.report.versions is not None

    @property
    def loading(self) -> dict[str, str]:
        """Models that are being loaded."""
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

    def version(self, model: str) -> str:
        """Return the version of a loaded model."""
        versions = None if self.report is None else self.report.versions
        return (versions or {}).get(model, "")


class Fleet(NamedTuple):
    """State that one decision is made on.

    :param routes: model routes by name.
    :param demand: requests at a time that callers want, by model.
    :param active: models with online traffic lately.
    """

    workers: tuple[Worker, ...]
    routes: dict[str, Route]
    demand: dict[str, float]
    active: frozenset[str]

    def worker(self, name: str) -> Worker | None:
        """Return a worker."""
        return next((entry for entry in self.workers if entry.server.name == name), None)

    def serving(self, model: str, but: str = "") -> list[Worker]:
        """Return the workers that serve a model, without the one called ``but``."""
        return [
            entry for entry in self.workers if model in entry.loaded and entry.server.name != but
        ]

    def reachable(self, model: str, but: str = "") -> list[Worker]:
        """Return the workers that serve a model and get its requests from every daemon."""
        return [entry for entry in self.serving(model, but) if model not in entry.held]

    def loading(self, model: str, but: str = "") -> list[Worker]:
        """Return the workers that load a model, without the one called ``but``."""
        return [
            entry for entry in self.workers if model in entry.loading and entry.server.name != but
        ]

    def wanted(self, model: str) -> int:
        """Return how many replicas a model should have."""
        able = [
            entry.server.slots
            for entry in self.workers
            if entry.report is not None and model in entry.server.routes
        ]
        if not able:
            return 0
        filled = self.demand.get(model, 0.0) / (_FILL_SHARE * sum(able) / len(able))
        return min(len(able), max(1, math.ceil(filled)))

    def surplus(self, model: str) -> int:
        """Return how many replicas a model can spare."""
        return len(self.serving(model)) - self.wanted(model)
