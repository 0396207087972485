"""The configuration in force on this daemon, with indexes for the request path."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from trefoilreach._internal.state.config import (
    Account,
    ConfigDocument,
    Key,
    Route,
    Server,
    WorkClass,
)


class ConfigView(NamedTuple):
    """Immutable indexes over one version of the configuration."""

    document: ConfigDocument
    classes: dict[str, WorkClass]
    accounts: dict[str, Account]
    keys_by_hash: dict[str, Key]
    routes: dict[str, Route]
    servers: dict[str, Server]


def build_view(document: ConfigDocument) -> ConfigView:
    """Build the indexes of a document."""
    return ConfigView(
        document=document,
        classes={entry.name: entry for entry in document.classes},
        accounts={entry.name: entry for entry in document.accounts},
        keys_by_hash={entry.hash: entry for entry in document.keys},
        routes={entry.name: entry for entry in document.routes},
        servers={entry.name: entry for entry in document.servers},
    )


class ActiveConfig:
    """Holds the highest version seen; a lower one is never adopted."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._view = build_view(ConfigDocument())
        self._listeners: list[Callable[[ConfigView], None]] = []

    @property
    def view(self) -> ConfigView:
        """The view in force."""
        return self._view

    def add_listener(self, listener: Callable[[ConfigView], None]) -> None:
        """Call ``listener`` with each view that comes into force from now on."""
        with self._lock:
            self._listeners.append(listener)

    def adopt(self, document: ConfigDocument) -> bool:
        """Put a document into force if its version is higher; return whether it was adopted."""
        with self._lock:
            if document.version <= self._view.document.version:
                return False
            self._view = build_view(document)
            for listener in self._listeners:
                listener(self._view)
        return True
