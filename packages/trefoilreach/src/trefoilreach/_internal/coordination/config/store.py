"""Reads and writes the configuration in the platform's table and object stores."""

import uuid
from typing import Any, NamedTuple

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.protocol.verdict import Refusal, Verdict, build_unavailable_refusal
from trefoilreach._internal.state.config import (
    ConfigDocument,
    ConfigError,
    decode_config,
    encode_compressed_config,
)
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import (
    OutcomeUnknown,
    RevisionConflict,
    Row,
    StoreError,
    StoreUnavailable,
    TableService,
    Write,
)

# Row with the version in force and the name of its document object.
HEAD_KEY = "config/head"
# One row for each version that was ever in force, written together with the head.
HISTORY_PREFIX = "config/history/"
_VERSION_DIGITS = 12
STORE_RETRY_SECONDS = 2.0
# Number of recent document names in the head row, so that a writer whose answer was lost
# finds its write even after other writes.
_MAX_RECENT_NAMES = 32
# A change is stored under the name of the document that it produces plus this suffix.
CHANGE_SUFFIX = ".change"
# A daemon that is further behind reads the whole document. With a higher limit, 420 daemons
# catching up after an outage would approach the stores' limit of 2000 reads per second.
_MAX_CHANGES_READ = 4
_RESOLVE_TRIES = 4
_RESOLVE_PAUSE_SECONDS = 0.2


class Head(NamedTuple):
    """Decoded head row; version and revision are 0 before the first configuration.

    :param recent: names of the latest document objects, oldest first.
    """

    version: int
    object_name: str
    revision: int
    recent: tuple[str, ...]


def format_history_key(version: int) -> str:
    """Return the key of a version's history row; the rows sort by version."""
    return f"{HISTORY_PREFIX}{version:0{_VERSION_DIGITS}}"


def build_stale_refusal(base: int, in_force: int) -> Refusal:
    """Return the refusal of a change that was made against an old version."""
    message = f"the change was made against version {base}, but version {in_force} is in force"
    return Refusal(409, "version_conflict", message)


def _decode_head(row: Row | None) -> Head:
    if row is None:
        return Head(0, "", 0, ())
    recent = tuple(row.value.get("recent", ()))
    return Head(int(row.value["version"]), str(row.value["object"]), row.revision, recent)


class ConfigStore:
    """Reads and commits configuration versions in the platform's stores."""

    def __init__(self, clock: Clock, table: TableService, objects: ObjectStore) -> None:
        self._clock = clock
        self._table = table
        self._objects = objects

    def read_head(self) -> Result[Head, StoreError]:
        """Read the head row."""
        return self._table.get(HEAD_KEY).map(_decode_head)

    def read_document(self, head: Head) -> Result[ConfigDocument, StoreError | ConfigError]:
        """Read the document that the head names."""
        found = self._objects.get(head.object_name)
        if isinstance(found, Err):
            return found
        if found.ok_value is None:
            return Err(StoreUnavailable(f"object {head.object_name!r} is not readable yet"))
        try:
            document = decode_config(found.ok_value)
        except ConfigError as error:
            return Err(error)
        if document.version != head.version:
            message = f"object {head.object_name!r} holds version {document.version}"
            return Err(ConfigError(message))
        return Ok(document)

    def read_changes(self, head: Head, base: int) -> Result[list[bytes], StoreError]:
        """Read the changes that lead from version ``base`` to the head.

        :returns: an empty list when the base is too far behind or a change is missing.
        """
        missing = head.version - base
        if not 0 < missing <= min(_MAX_CHANGES_READ, len(head.recent)):
            return Ok([])
        changes: list[bytes] = []
        for name in head.recent[-missing:]:
            found = self._objects.get(name + CHANGE_SUFFIX)
            if isinstance(found, Err):
                return found
            if found.ok_value is None:
                return Ok([])
            changes.append(found.ok_value)
        return Ok(changes)

    def write(
        self, document: ConfigDocument, head: Head, change: bytes = b""
    ) -> Result[None, Refusal]:
        """Put a document into force if ``head`` is still the head.

        :param change: encoded difference to the head's document; empty for none.
        """
        writer = uuid.uuid4().hex
        name = f"config/{document.version}-{writer}"
        stored = self._put(name, encode_compressed_config(document))
        if isinstance(stored, Err):
            message = f"object store: {stored.err_value}"
            return Err(build_unavailable_refusal(message, STORE_RETRY_SECONDS))
        self._put_change(name, change)
        value = {
            "version": document.version,
            "object": name,
            "writer": writer,
            "recent": [*head.recent, name][-_MAX_RECENT_NAMES:],
        }
        history: dict[str, Any] = {"version": document.version, "object": name}
        history["wall_time"] = self._clock.wall_time()
        writes = [
            Write(HEAD_KEY, value, head.revision),
            Write(format_history_key(document.version), history, None),
        ]
        return self._commit(writes, name, document.version)

    def _put_change(self, name: str, change: bytes) -> None:
        # Not fatal: daemons that do not find the change read the document.
        if change and isinstance(self._put(name + CHANGE_SUFFIX, change), Err):
            log_event("config:change-unwritten", object=name)

    def _put(self, name: str, data: bytes) -> Result[None, StoreError]:
        outcome = self._objects.put(name, data)
        for _ in range(_RESOLVE_TRIES):
            if isinstance(outcome, Ok) or not isinstance(outcome.err_value, OutcomeUnknown):
                break
            found = self._objects.get(name)
            if isinstance(found, Ok) and found.ok_value == data:
                return Ok(None)
            # The name is unique and the bytes are the same, so the retry is idempotent.
            outcome = self._objects.put(name, data)
        return outcome

    def _commit(self, writes: list[Write], name: str, version: int) -> Result[None, Refusal]:
        outcome = self._table.commit(writes)
        for _ in range(_RESOLVE_TRIES):
            if isinstance(outcome, Ok):
                return Ok(None)
            failure = outcome.err_value
            if isinstance(failure, RevisionConflict):
                return self._resolve_conflict(name, version)
            if not isinstance(failure, OutcomeUnknown):
                message = f"table service: {failure}"
                return Err(build_unavailable_refusal(message, STORE_RETRY_SECONDS))
            resolved = self._read_back(writes[0], name, version)
            if resolved is not None:
                return resolved
            self._clock.sleep(_RESOLVE_PAUSE_SECONDS)
            # The expected revision prevents a retry from taking effect twice.
            repeated = self._table.commit(writes)
            if isinstance(repeated, Ok) or isinstance(repeated.err_value, RevisionConflict):
                outcome = repeated
        return Err(_refuse_unresolved())

    def _read_back(self, write: Write, name: str, version: int) -> Result[None, Refusal] | None:
        """Return the outcome of a write whose answer was lost, or None while it is unknown."""
        found = self.read_head()
        if isinstance(found, Err):
            return None
        if name in found.ok_value.recent:
            return Ok(None)
        if found.ok_value.revision == write.expected:
            return None
        return self._classify_lost_write(found.ok_value, version)

    def _resolve_conflict(self, name: str, version: int) -> Result[None, Refusal]:
        """Determine whether a conflict comes from this writer's own earlier attempt."""
        for _ in range(_RESOLVE_TRIES):
            found = self.read_head()
            if isinstance(found, Ok):
                if name in found.ok_value.recent:
                    return Ok(None)
                return self._classify_lost_write(found.ok_value, version)
            self._clock.sleep(_RESOLVE_PAUSE_SECONDS)
        return Err(_refuse_unresolved())

    def _classify_lost_write(self, head: Head, version: int) -> Result[None, Refusal]:
        # Every later head names this writer's object, unless too many versions followed.
        if head.version - version >= _MAX_RECENT_NAMES:
            return Err(_refuse_unresolved())
        return Err(build_stale_refusal(version - 1, head.version))


def _refuse_unresolved() -> Refusal:
    message = "the table service does not tell whether the change is in force"
    return Refusal(503, "unavailable", message, Verdict.MAY_HAVE_RUN, STORE_RETRY_SECONDS)
