"""Keeps the configuration of this daemon up to date with the platform's service."""

import random
import threading
import uuid
from collections.abc import Callable
from contextlib import ExitStack
from typing import NamedTuple

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config_view import ConfigHolder
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.verdict import Refusal, refuse_unavailable
from trefoilreach._internal.state.config import (
    ConfigDocument,
    ConfigError,
    Withdrawn,
    decode_config,
    encode_config,
)
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import RevisionConflict, TableService, Write

# Row that names the version and the document object in force.
HEAD_KEY = "config/head"
# One row for each version that was ever in force, written together with the head.
HISTORY_PREFIX = "config/history/"
_VERSION_DIGITS = 12


_STORE_RETRY_SECONDS = 2.0


def format_history_key(version: int) -> str:
    """Return the key of a version's history row; the rows sort by version."""
    return f"{HISTORY_PREFIX}{version:0{_VERSION_DIGITS}}"


class WithdrawReport(NamedTuple):
    """Where a withdrawal is in force.

    :param version: configuration version that names it, or None.
    :param durable: whether the platform's service keeps it.
    :param daemons: names of the daemons on which it is in force.
    """

    version: int | None
    durable: bool
    daemons: list[str]


def refuse_stale(base: int, in_force: int) -> Refusal:
    """Return the refusal of a change that was made against an old version."""
    message = f"the change was made against version {base}, but version {in_force} is in force"
    return Refusal(409, "version_conflict", message)


class ConfigSync:
    """Polls the head row and adopts higher versions."""

    def __init__(
        self,
        clock: Clock,
        table: TableService,
        objects: ObjectStore,
        holder: ConfigHolder,
        interval: float,
    ) -> None:
        self._clock = clock
        self._table = table
        self._objects = objects
        self._holder = holder
        self._interval = interval
        self._stop = threading.Event()

    def start(self, stack: ExitStack) -> None:
        """Poll in a thread until the exit stack closes."""
        stack.callback(self._stop.set)
        threading.Thread(target=self._run, name="config-sync", daemon=True).start()

    def poll(self) -> bool:
        """Read the head once; return whether a higher version came into force."""
        head = self._table.get(HEAD_KEY)
        if isinstance(head, Err) or head.ok_value is None:
            return False
        value = head.ok_value.value
        if value["version"] <= self._holder.view.document.version:
            return False
        document = self._objects.get(value["object"])
        if isinstance(document, Err) or document.ok_value is None:
            return False
        try:
            return self._holder.adopt(decode_config(document.ok_value))
        except ConfigError as error:
            log_event("config:undecodable", object=value["object"], error=str(error))
            return False

    def change(
        self, base_version: int | None, edit: Callable[[ConfigDocument], ConfigDocument]
    ) -> Result[ConfigDocument, Refusal]:
        """Put an edited configuration into force by compare-and-swap on the head row.

        :param base_version: version that the change was made against; None applies the
            edit to the version in force, whichever it is.
        :param edit: returns the edited document, or raises :class:`Refusal`.
        :returns: the document in force; 409 when the base is not in force any more.
        """
        head = self._table.get(HEAD_KEY)
        if isinstance(head, Err):
            return Err(refuse_unavailable(f"table service: {head.err_value}", _STORE_RETRY_SECONDS))
        row = head.ok_value
        in_force = 0 if row is None else int(row.value["version"])
        if base_version is not None and base_version != in_force:
            return Err(refuse_stale(base_version, in_force))
        self.poll()
        current = self._holder.view.document
        if current.version != in_force:
            return Err(refuse_unavailable("the configuration in force cannot be read", 1.0))
        try:
            document = edit(current)._replace(version=in_force + 1)
        except Refusal as refusal:
            return Err(refusal)
        written = self._write(document, 0 if row is None else row.revision)
        if isinstance(written, Err):
            return written
        self._holder.adopt(document)
        return Ok(document)

    def withdraw(self, key_id: str) -> Result[WithdrawReport, Refusal]:
        """Withdraw a key, whichever version is in force."""
        entry = Withdrawn(key_id, self._clock.wall_time())

        def edit(document: ConfigDocument) -> ConfigDocument:
            known = {each.key_id for each in document.withdrawn}
            if key_id in known:
                return document
            return document._replace(withdrawn=(*document.withdrawn, entry))

        outcome = self.change(None, edit)
        if isinstance(outcome, Err):
            return outcome
        return Ok(WithdrawReport(outcome.ok_value.version, True, []))

    def versions_in_force(self) -> dict[str, int]:
        """Return the configuration version of each daemon."""
        return {}

    def _write(self, document: ConfigDocument, revision: int) -> Result[None, Refusal]:
        writer = uuid.uuid4().hex
        name = f"config/{document.version}-{writer}"
        stored = self._objects.put(name, encode_config(document))
        if isinstance(stored, Err):
            message = f"object store: {stored.err_value}"
            return Err(refuse_unavailable(message, _STORE_RETRY_SECONDS))
        value = {"version": document.version, "object": name, "writer": writer}
        history = {**value, "wall_time": self._clock.wall_time()}
        writes = [
            Write(HEAD_KEY, value, revision),
            Write(format_history_key(document.version), history, None),
        ]
        done = self._table.commit(writes)
        if isinstance(done, Ok):
            return Ok(None)
        if isinstance(done.err_value, RevisionConflict):
            return Err(refuse_stale(document.version - 1, document.version))
        message = f"table service: {done.err_value}"
        return Err(refuse_unavailable(message, _STORE_RETRY_SECONDS))

    def _run(self) -> None:
        while not self._stop.is_set():
            self.poll()
            self._clock.wait(self._stop, self._interval * random.uniform(0.75, 1.25))
