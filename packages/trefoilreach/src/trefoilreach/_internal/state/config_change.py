"""Encodes and applies the difference between two versions of the configuration document.

A change is compressed JSON: ``base`` and ``version`` are the versions of the two documents,
``digest`` is the checksum of the resulting document, and ``sections`` maps the name of a
section to splices ``[start, removed, added]``: at position ``start`` of the base's section,
``removed`` entries are replaced by the entries in ``added``.
"""

import zlib
from collections.abc import Callable, Sequence
from difflib import SequenceMatcher
from typing import Any

import orjson
import xxhash

from trefoilreach._internal.state.config import (
    SECTIONS,
    ConfigDocument,
    ConfigError,
    decode_entry,
    encode_config,
)

_COMPRESSION_LEVEL = 6  # changes are a few hundred bytes, so a higher level costs little time
# Regions with more entries are replaced as a whole, because the time of the search for
# common entries grows with the square of their size.
_MAX_DIFFED_ENTRIES = 256


def digest_config(document: ConfigDocument) -> str:
    """Return the checksum of a document."""
    return xxhash.xxh3_128_hexdigest(encode_config(document))


def encode_change(base: ConfigDocument, document: ConfigDocument) -> bytes:
    """Encode the change from ``base`` to ``document``."""
    sections = {}
    for name in SECTIONS:
        splices = _find_splices(getattr(base, name), getattr(document, name))
        if splices:
            sections[name] = splices
    fields = {
        "base": base.version,
        "version": document.version,
        "digest": digest_config(document),
        "sections": sections,
    }
    return zlib.compress(orjson.dumps(fields), _COMPRESSION_LEVEL)


def apply_changes(base: ConfigDocument, changes: Sequence[bytes]) -> ConfigDocument:
    """Return the document that results from applying successive changes to ``base``.

    :raises ConfigError: when a change cannot be decoded, is for another version than the one
        before it leads to, or the result does not have the checksum in the last change.
    """
    document, digest = base, ""
    try:
        for data in changes:
            fields = orjson.loads(zlib.decompress(data))
            digest = fields["digest"]
            document = _apply(document, fields)
    except (zlib.error, KeyError, TypeError, AttributeError, ValueError) as error:
        raise ConfigError(f"configuration change cannot be applied: {error}") from error
    if changes and digest_config(document) != digest:
        message = f"the changes up to version {document.version} give a wrong checksum"
        raise ConfigError(message)
    return document


def _find_splices(old: Sequence[Any], new: Sequence[Any]) -> list[list[Any]]:
    start = _count_common_prefix(old, new)
    end = _count_common_prefix(old[start:][::-1], new[start:][::-1])
    old_part, new_part = old[start : len(old) - end], new[start : len(new) - end]
    if not old_part and not new_part:
        return []
    if len(old_part) + len(new_part) > _MAX_DIFFED_ENTRIES:
        return [_make_splice(start, len(old_part), new_part)]
    matcher = SequenceMatcher(None, old_part, new_part, autojunk=False)
    return [
        _make_splice(start + first, last - first, new_part[new_first:new_last])
        for tag, first, last, new_first, new_last in matcher.get_opcodes()
        if tag != "equal"
    ]


def _count_common_prefix(old: Sequence[Any], new: Sequence[Any]) -> int:
    count = 0
    for first, second in zip(old, new, strict=False):
        if first != second:
            break
        count += 1
    return count


def _make_splice(start: int, removed: int, added: Sequence[Any]) -> list[Any]:
    return [start, removed, [entry._asdict() for entry in added]]


def _apply(base: ConfigDocument, fields: dict[str, Any]) -> ConfigDocument:
    if fields["base"] != base.version:
        raise ConfigError(f"the change is for version {fields['base']}, not {base.version}")
    changed: dict[str, Any] = {
        name: _splice(getattr(base, name), splices, SECTIONS[name])
        for name, splices in fields["sections"].items()
    }
    return base._replace(version=int(fields["version"]), **changed)


def _splice(
    entries: tuple[Any, ...], splices: list[list[Any]], kind: Callable[..., Any]
) -> tuple[Any, ...]:
    result: list[Any] = []
    position = 0
    for start, removed, added in splices:
        if not position <= start <= start + removed <= len(entries):
            raise ConfigError(f"entries {start} to {start + removed} are not in the base")
        result += entries[position:start]
        result += [decode_entry(kind, entry) for entry in added]
        position = start + removed
    return (*result, *entries[position:])
