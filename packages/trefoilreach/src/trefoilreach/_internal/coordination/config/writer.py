"""Puts edited configurations into force by compare-and-swap on the head row."""

import random
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.config.changes import MAX_CHANGE_BYTES
from trefoilreach._internal.coordination.config.replica import ConfigReplica
from trefoilreach._internal.coordination.config.store import (
    STORE_RETRY_SECONDS,
    ConfigStore,
    build_stale_refusal,
)
from trefoilreach._internal.protocol.verdict import Refusal, build_unavailable_refusal
from trefoilreach._internal.state.config import ConfigDocument
from trefoilreach._internal.state.config_change import encode_change

_REBASE_TRIES = 8
_REBASE_PAUSE_SECONDS = 0.05
_UNREADABLE_RETRY_SECONDS = 1.0

DocumentEdit = Callable[[ConfigDocument], ConfigDocument]


class ConfigWriter:
    """Applies configuration changes, one at a time.

    :param catch_up: reads the head and adopts the version that it names.
    :param announce: called after each change that came into force.
    """

    def __init__(
        self,
        clock: Clock,
        store: ConfigStore,
        copy: ConfigReplica,
        catch_up: Callable[[], object],
        announce: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._replica = copy
        self._catch_up = catch_up
        self._announce = announce
        self._lock = threading.Lock()

    def change(
        self, base_version: int | None, edit: DocumentEdit
    ) -> Result[ConfigDocument, Refusal]:
        """Put an edited configuration into force.

        :param base_version: version that the change was made against; None applies the
            edit to the version in force, whichever it is.
        :param edit: returns the edited document, or raises :class:`Refusal`.
        :returns: the document in force; 409 when the base is no longer in force.
        """
        with self._lock:
            outcome = self._change_once(base_version, edit)
            for _ in range(_REBASE_TRIES):
                if base_version is not None or isinstance(outcome, Ok):
                    break
                if outcome.err_value.status != 409:
                    break
                self._clock.sleep(_REBASE_PAUSE_SECONDS * random.uniform(0.5, 2.0))
                outcome = self._change_once(None, edit)
        if isinstance(outcome, Ok):
            self._announce()
        return outcome

    def make_durable(self) -> Result[ConfigDocument, Refusal]:
        """Write withdrawals that the configuration in the stores lacks."""
        if not self._replica.has_unstored_withdrawals():
            return Ok(self._replica.document)
        return self.change(None, lambda document: document)

    def _change_once(
        self, base_version: int | None, edit: DocumentEdit
    ) -> Result[ConfigDocument, Refusal]:
        found = self._store.read_head()
        if isinstance(found, Err):
            message = f"table service: {found.err_value}"
            return Err(build_unavailable_refusal(message, STORE_RETRY_SECONDS))
        head = found.ok_value
        if base_version is not None and base_version != head.version:
            return Err(build_stale_refusal(base_version, head.version))
        if head.version > self._replica.version:
            self._catch_up()
        current = self._replica.document
        if current.version != head.version:
            message = "the configuration in force cannot be read"
            return Err(build_unavailable_refusal(message, _UNREADABLE_RETRY_SECONDS))
        try:
            edited = edit(current)
        except Refusal as refusal:
            return Err(refusal)
        document = self._complete(edited, head.version + 1)
        change = encode_change(current, document)
        if len(change) > MAX_CHANGE_BYTES:
            change = b""
        written = self._store.write(document, head, change)
        if isinstance(written, Err):
            return written
        self._replica.adopt(document, [change] if change else [])
        self._replica.ready = True
        return Ok(document)

    def _complete(self, edited: ConfigDocument, version: int) -> ConfigDocument:
        """Return the edited document with its version and every known withdrawal."""
        withdrawn = {entry.key_id: entry for entry in self._replica.withdrawals.entries()}
        withdrawn.update({entry.key_id: entry for entry in edited.withdrawn})
        return edited._replace(version=version, withdrawn=tuple(sorted(withdrawn.values())))
