"""The configuration document: classes of work, accounts, keys, routes and backend servers."""

import hashlib
import zlib
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import orjson

_COMPRESSION_LEVEL = 1


class ConfigError(ValueError):
    """A configuration document that cannot be decoded or is invalid."""


# Id of the first operator key, whose hash is in the settings.
BOOTSTRAP_KEY_ID = "bootstrap"


class WorkClass(NamedTuple):
    """Latency or deadline targets of one class of work; ``kind`` is ``online`` or ``batch``.

    :param first_token_seconds: target for the time to the first token (online classes).
    :param token_interval_seconds: target for the time between tokens (online classes).
    :param percentile: percentage of requests that must meet both targets.
    :param deadline_seconds: time in which a job must finish (batch classes).
    """

    name: str
    kind: str = "online"
    first_token_seconds: float = 2.0
    token_interval_seconds: float = 0.2
    percentile: float = 95.0
    deadline_seconds: float = 86400.0


class Account(NamedTuple):
    """A client account with its agreed rate (requests a second) and burst (requests)."""

    name: str
    rate: float
    burst: float


class Key(NamedTuple):
    """An API key, stored as a hash; ``role`` is ``caller``, ``operator`` or ``monitor``."""

    id: str
    hash: str
    role: str
    account: str = ""


class Route(NamedTuple):
    """A model or plain service that callers address by name.

    ``accounts`` lists the client accounts that may use it; empty means all of them. A route
    that is ``open_to_all`` needs no key. ``version`` names the version of a model's weights
    or the adapter that engines should have loaded; empty means any.
    """

    name: str
    kind: str = "model"
    work_class: str = ""
    open_to_all: bool = False
    accounts: tuple[str, ...] = ()
    idempotent: bool = True
    fencing_checked: bool = False
    version: str = ""


class Server(NamedTuple):
    """A backend server; ``kind`` is ``engine`` or ``service``, ``state`` ``live`` or ``leaving``.

    ``routes`` are the model or service routes that it can serve, ``slots`` is the number of
    requests that it runs concurrently without queuing. ``model_limit`` is the number of
    models that an engine can hold at once, 0 for all of its routes; ``role`` is the role
    that an engine is to take, empty to leave it unchanged.
    """

    name: str
    kind: str
    host: str
    port: int
    routes: tuple[str, ...]
    data_centre: str = ""
    slots: int = 8
    state: str = "live"
    model_limit: int = 0
    role: str = ""


class WithdrawnKey(NamedTuple):
    """The id of a withdrawn key and the wall-clock time of its withdrawal in seconds."""

    key_id: str
    wall_time: float


class ConfigDocument(NamedTuple):
    """One immutable version of the configuration."""

    version: int = 0
    classes: tuple[WorkClass, ...] = ()
    accounts: tuple[Account, ...] = ()
    keys: tuple[Key, ...] = ()
    routes: tuple[Route, ...] = ()
    servers: tuple[Server, ...] = ()
    withdrawn: tuple[WithdrawnKey, ...] = ()


# Class of the entries in each section of the document.
SECTIONS: dict[str, Callable[..., Any]] = {
    "classes": WorkClass,
    "accounts": Account,
    "keys": Key,
    "routes": Route,
    "servers": Server,
    "withdrawn": WithdrawnKey,
}


def hash_key(secret: str) -> str:
    """Return the SHA-256 hash under which a key is stored."""
    return hashlib.sha256(secret.encode()).hexdigest()


def encode_config(document: ConfigDocument) -> bytes:
    """Encode a document as JSON."""
    fields: dict[str, Any] = {"version": document.version}
    for name in SECTIONS:
        fields[name] = [entry._asdict() for entry in getattr(document, name)]
    return orjson.dumps(fields)


def encode_compressed_config(document: ConfigDocument) -> bytes:
    """Encode a document as compressed JSON, for the stores and for peers.

    At the target size the JSON has 622 KB and its compressed form 104 KB. Level 1 takes
    4 ms for that; higher levels compress little better.
    """
    return zlib.compress(encode_config(document), _COMPRESSION_LEVEL)


def decode_config(data: bytes) -> ConfigDocument:
    """Decode a document from JSON, compressed or not.

    :raises ConfigError: when the bytes are not a valid document.
    """
    try:
        plain = data if data.startswith(b"{") else zlib.decompress(data)
        fields = orjson.loads(plain)
        sections = {
            name: tuple(decode_entry(kind, entry) for entry in fields.get(name, ()))
            for name, kind in SECTIONS.items()
        }
        return ConfigDocument(version=int(fields["version"]), **sections)
    except (zlib.error, orjson.JSONDecodeError, KeyError, TypeError, AttributeError) as error:
        raise ConfigError(f"configuration document cannot be decoded: {error}") from error


def decode_entry(kind: Callable[..., Any], entry: dict[str, Any]) -> Any:
    """Decode one entry of a section.

    :raises TypeError: when a field is unknown or missing.
    """
    return kind(**{key: _list_to_tuple(value) for key, value in entry.items()})


def _list_to_tuple(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value


def find_by_name(entries: Sequence[Any], name: str) -> Any:
    """Return the entry with the given ``name`` field, or None."""
    return next((entry for entry in entries if entry.name == name), None)
