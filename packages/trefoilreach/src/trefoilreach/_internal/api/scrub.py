"""Removes callers' keys from what goes to backend servers."""

from collections.abc import Container
from typing import Any
from urllib.parse import parse_qsl, urlencode

import orjson

from trefoilreach._internal.api.web import WebRequest
from trefoilreach._internal.state.config import hash_key

REMOVED = "[removed]"
# A field value longer than this cannot be a key by itself.
_KEY_CHARACTERS = 512
_KEY_HEADERS = {"authorization", "proxy-authorization", "cookie", "x-api-key", "api-key"}
_KEY_PARAMETERS = {"api_key", "api-key", "apikey", "access_token"}
_MIN_SECRET_CHARACTERS = 4


class Secrets:
    """The keys that a request carries.

    :param found: keys that the request names as such.
    :param known: hashes of all granted keys, to find them in any field.
    """

    def __init__(self, found: set[str], known: Container[str]) -> None:
        self._found = {secret for secret in found if len(secret) >= _MIN_SECRET_CHARACTERS}
        self._known = known

    def carries(self, text: str) -> bool:
        """Return whether a field value carries a key."""
        return self.clean(text) != text

    def clean(self, text: str) -> str:
        """Return a field value without keys."""
        for secret in self._found:
            if secret in text:
                text = text.replace(secret, REMOVED)
        if len(text) <= _KEY_CHARACTERS:
            for word in set(text.split()):
                if hash_key(word) in self._known:
                    text = text.replace(word, REMOVED)
        return text

    def clean_bytes(self, data: bytes) -> bytes:
        """Return a body of unknown form without the request's own keys."""
        for secret in self._found:
            data = data.replace(secret.encode(), REMOVED.encode())
        return data


def find_secrets(request: WebRequest, known: Container[str]) -> Secrets:
    """Collect the keys that a request carries in any field meant for them."""
    found = {value for name, value in request.headers.items() if name in _KEY_HEADERS}
    # "Bearer KEY" carries KEY; the whole value is kept as well for other forms.
    found |= {word for value in set(found) for word in value.split() if word.lower() != "bearer"}
    found |= {value for name, value in request.query.items() if name.lower() in _KEY_PARAMETERS}
    return Secrets(found, known)


def scrub_json(value: Any, secrets: Secrets) -> Any:
    """Return a JSON value without keys."""
    if isinstance(value, str):
        return secrets.clean(value)
    if isinstance(value, list):
        return [scrub_json(entry, secrets) for entry in value]
    if isinstance(value, dict):
        return {secrets.clean(name): scrub_json(entry, secrets) for name, entry in value.items()}
    return value


def scrub_body(data: bytes, content_type: str, secrets: Secrets) -> bytes:
    """Return a body without keys; one that carries none is returned as it is."""
    kind = content_type.partition(";")[0].strip().lower()
    if kind == "application/x-www-form-urlencoded":
        return scrub_query(data.decode("latin-1"), secrets).encode("latin-1")
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError:
        return secrets.clean_bytes(data)
    clean = scrub_json(value, secrets)
    return data if clean == value else orjson.dumps(clean)


def scrub_query(query: str, secrets: Secrets) -> str:
    """Return a query string without the parameters that carry a key."""
    pairs = parse_qsl(query, keep_blank_values=True)
    kept = [pair for pair in pairs if not any(secrets.carries(part) for part in pair)]
    return query if len(kept) == len(pairs) else urlencode(kept)


def scrub_headers(headers: dict[str, str], secrets: Secrets) -> dict[str, str]:
    """Return header fields without those that carry a key."""
    return {
        name: value
        for name, value in headers.items()
        if name not in _KEY_HEADERS and not secrets.carries(value)
    }
