"""Models that an emulated engine has loaded, and the orders that change them."""

import threading
import time
from collections import deque
from typing import Any, NamedTuple

# Longest lag of load reports for which earlier states are kept.
_HISTORY_SECONDS = 30.0


class ModelOptions(NamedTuple):
    """What an engine can hold.

    :param models: loaded at the start, each as ``NAME`` or ``NAME=VERSION``.
    :param limit: models that it can hold at once; 0: any number.
    :param load_seconds: time that a load takes; the model is not served meanwhile.
    :param check_fencing: whether orders with an old fencing number are refused.
    """

    models: tuple[str, ...] = ("m",)
    limit: int = 0
    load_seconds: float = 0.0
    check_fencing: bool = False


class _State(NamedTuple):
    when: float
    versions: dict[str, str]
    loading: dict[str, str]
    role: str


class EngineModels:
    """Loaded models with their versions; orders are taken one after the other."""

    def __init__(self, options: ModelOptions) -> None:
        self._options = options
        self._lock = threading.Lock()
        named = (entry.partition("=") for entry in options.models if entry)
        self._versions = {name: version for name, _, version in named}
        self._loading: dict[str, str] = {}
        self._role = "mixed"
        self._fencing = 0
        self._orders: list[dict[str, Any]] = []
        self._history: deque[_State] = deque()
        self._note_state()

    def has(self, model: Any) -> bool:
        """Return whether a model is served now."""
        with self._lock:
            return model in self._versions

    def orders(self) -> list[dict[str, Any]]:
        """Return all orders so far, each with the status that was answered."""
        with self._lock:
            return list(self._orders)

    def report(self, moment: float) -> dict[str, Any]:
        """Return the fields of the load report as they were at a moment of the past."""
        with self._lock:
            state = self._history[0]
            for entry in self._history:
                if entry.when <= moment:
                    state = entry
        return {
            "models": list(state.versions),
            "versions": state.versions,
            "loading": state.loading,
            "state": state.role,
        }

    def take_order(self, order: dict[str, Any]) -> dict[str, Any]:
        """Carry an order out, or begin to; return the answer."""
        with self._lock:
            if self._options.check_fencing and order["fencing"] < self._fencing:
                status = "stale"
            else:
                self._fencing = max(self._fencing, order["fencing"])
                status = self._apply(order)
                self._note_state()
            self._orders.append({**order, "status": status, "when": time.time()})
            return {"status": status, "fencing": self._fencing}

    def _apply(self, order: dict[str, Any]) -> str:
        name, version = order["model"], order.get("version", "")
        if order["action"] == "role":
            self._role = name
        elif order["action"] == "unload" and name in self._versions:
            del self._versions[name]
        elif order["action"] == "load":
            return self._load(name, version)
        else:
            return "refused"
        return "done"

    def _load(self, name: str, version: str) -> str:
        held = {*self._versions, *self._loading, name}
        if self._loading or (self._options.limit and len(held) > self._options.limit):
            return "refused"
        if self._options.load_seconds <= 0.0:
            self._versions[name] = version
            return "done"
        self._versions.pop(name, None)
        self._loading[name] = version
        timer = threading.Timer(self._options.load_seconds, self._end_load, (name, version))
        timer.daemon = True
        timer.start()
        return "accepted"

    def _end_load(self, name: str, version: str) -> None:
        with self._lock:
            del self._loading[name]
            self._versions[name] = version
            self._note_state()

    def _note_state(self) -> None:
        now = time.monotonic()
        self._history.append(_State(now, dict(self._versions), dict(self._loading), self._role))
        while len(self._history) > 1 and self._history[1].when < now - _HISTORY_SECONDS:
            self._history.popleft()
