"""Removes callers' keys from requests before they reach backend servers."""

from collections.abc import Container
from typing import Any
from urllib.parse import parse_qsl, urlencode

import orjson

from trefoilreach._internal.api.web import WebRequest
from trefoilreach._internal.state.config import hash_key

REMOVED = "[removed]"
# A longer field value cannot be a key by itself and is not searched for granted keys.
_MAX_KEY_CHARACTERS = 512
_KEY_HEADERS = {"authorization", "proxy-authorization", "cookie", "x-api-key", "api-key"}
_KEY_QUERY_PARAMETERS = {"api_key", "api-key", "apikey", "access_token"}
_MIN_SECRET_CHARACTERS = 4


class Secrets:
    """The keys to remove from one request.

    :param request_keys: values of the request's header fields and query parameters meant for keys.
    :param granted_hashes: hashes of all granted keys, to detect them in any field.
    """

    def __init__(self, request_keys: set[str], granted_hashes: Container[str]) -> None:
        self._request_keys = {
            secret for secret in request_keys if len(secret) >= _MIN_SECRET_CHARACTERS
        }
        self._granted_hashes = granted_hashes

    def occur_in(self, text: str) -> bool:
        """Return whether a field value contains a key."""
        return self.remove_from(text) != text

    def remove_from(self, text: str) -> str:
        """Return a field value with each key replaced by :data:`REMOVED`."""
        for secret in self._request_keys:
            if secret in text:
                text = text.replace(secret, REMOVED)
        if len(text) <= _MAX_KEY_CHARACTERS:
            for word in set(text.split()):
                if hash_key(word) in self._granted_hashes:
                    text = text.replace(word, REMOVED)
        return text

    def remove_from_bytes(self, data: bytes) -> bytes:
        """Return a body of unknown format with the request's own keys replaced."""
        for secret in self._request_keys:
            data = data.replace(secret.encode(), REMOVED.encode())
        return data


def find_secrets(request: WebRequest, granted_hashes: Container[str]) -> Secrets:
    """Collect the keys from the header fields and query parameters meant for them."""
    request_keys = {value for name, value in request.headers.items() if name in _KEY_HEADERS}
    # "Bearer KEY" contains KEY; the whole value is also included, for other schemes.
    request_keys |= {
        word for value in set(request_keys) for word in value.split() if word.lower() != "bearer"
    }
    request_keys |= {
        value for name, value in request.query.items() if name.lower() in _KEY_QUERY_PARAMETERS
    }
    return Secrets(request_keys, granted_hashes)


def scrub_json(value: Any, secrets: Secrets) -> Any:
    """Return a JSON value with the keys replaced in all its strings."""
    if isinstance(value, str):
        return secrets.remove_from(value)
    if isinstance(value, list):
        return [scrub_json(entry, secrets) for entry in value]
    if isinstance(value, dict):
        return {
            secrets.remove_from(name): scrub_json(entry, secrets) for name, entry in value.items()
        }
    return value


def scrub_body(data: bytes, content_type: str, secrets: Secrets) -> bytes:
    """Return a body with its keys replaced; a body without keys is returned unchanged."""
    media_type = content_type.partition(";")[0].strip().lower()
    if media_type == "application/x-www-form-urlencoded":
        return scrub_query(data.decode("latin-1"), secrets).encode("latin-1")
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError:
        return secrets.remove_from_bytes(data)
    scrubbed = scrub_json(value, secrets)
    return data if scrubbed == value else orjson.dumps(scrubbed)


def scrub_query(query: str, secrets: Secrets) -> str:
    """Return a query string without the parameters that contain a key."""
    pairs = parse_qsl(query, keep_blank_values=True)
    kept = [pair for pair in pairs if not any(secrets.occur_in(part) for part in pair)]
    return query if len(kept) == len(pairs) else urlencode(kept)


def scrub_headers(headers: dict[str, str], secrets: Secrets) -> dict[str, str]:
    """Return header fields without those that are meant for keys or contain one."""
    return {
        name: value
        for name, value in headers.items()
        if name not in _KEY_HEADERS and not secrets.occur_in(value)
    }
