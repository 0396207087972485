"""Validates configuration entries and whole documents."""

import ipaddress
import math
import re
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from trefoilreach._internal.state.config import (
    Account,
    ConfigDocument,
    ConfigError,
    Key,
    Route,
    Server,
    WorkClass,
)

ROLES = ("caller", "operator", "monitor")
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_MAX_SECONDS = 30 * 86400.0
_MAX_RATE = 1_000_000.0
# Far more than one server runs at once; sums over all servers stay within the 32-bit integers of
# the datagrams.
MAX_SLOTS = 10_000
_MAX_MODELS_PER_ENGINE = 1_000


class FieldError(ConfigError):
    """A configuration field that is unknown, missing or has an invalid value.

    :param param: path of the field, for example ``rate`` or ``accounts[0]``.
    """

    def __init__(self, param: str, message: str) -> None:
        super().__init__(message)
        self.param = param


class Rule(NamedTuple):
    """Parser of one field; ``parse`` raises ValueError for a value that is not allowed.

    :param allowed: description of the allowed values for error messages.
    """

    parse: Callable[[Any], Any]
    allowed: str


def _parse_name(value: Any) -> str:
    if not isinstance(value, str) or _NAME_PATTERN.fullmatch(value) is None:
        raise ValueError(value)
    return value


def _parse_names(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list | tuple):
        raise ValueError(value)
    names = tuple(_parse_name(entry) for entry in value)
    if len(set(names)) < len(names):
        raise ValueError(value)
    return names


def _parse_optional_name(value: Any) -> str:
    return "" if value == "" else _parse_name(value)


def _parse_flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(value)
    return value


def _parse_host(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(value)
    return str(ipaddress.ip_address(value))


def _choice_rule(*names: str) -> Rule:
    def parse(value: Any) -> str:
        if value not in names:
            raise ValueError(value)
        return str(value)

    return Rule(parse, "one of " + ", ".join(names))


def _number_rule(low: float, high: float, unit: str) -> Rule:
    def parse(value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError(value)
        if not math.isfinite(value) or not low <= value <= high:
            raise ValueError(value)
        return float(value)

    return Rule(parse, f"a number from {low:.10g} to {high:.10g} ({unit})")


def _integer_rule(low: int, high: int) -> Rule:
    def parse(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            raise ValueError(value)
        return value

    return Rule(parse, f"a whole number from {low} to {high}")


_NAME = Rule(_parse_name, "1 to 63 letters, digits, '.', '_' and '-'")
_OPTIONAL_NAME = Rule(_parse_optional_name, "empty, or " + _NAME.allowed)
_NAMES = Rule(_parse_names, "a list of different names, each " + _NAME.allowed)
_FLAG = Rule(_parse_flag, "true or false")
_HOST = Rule(_parse_host, "an IP address")
_SECONDS = _number_rule(0.001, _MAX_SECONDS, "seconds")

RULES: dict[type, dict[str, Rule]] = {
    WorkClass: {
        "name": _NAME,
        "kind": _choice_rule("online", "batch"),
        "first_token_seconds": _SECONDS,
        "token_interval_seconds": _SECONDS,
        "percentile": _number_rule(1, 99.999, "percent"),
        "deadline_seconds": _SECONDS,
    },
    Account: {
        "name": _NAME,
        "rate": _number_rule(0.001, _MAX_RATE, "requests a second"),
        "burst": _number_rule(1, _MAX_RATE, "requests"),
    },
    Key: {
        "role": _choice_rule(*ROLES),
        "account": _OPTIONAL_NAME,
    },
    Route: {
        "name": _NAME,
        "kind": _choice_rule("model", "service"),
        "work_class": _OPTIONAL_NAME,
        "open_to_all": _FLAG,
        "accounts": _NAMES,
        "idempotent": _FLAG,
        "fencing_checked": _FLAG,
        "version": _OPTIONAL_NAME,
    },
    Server: {
        "name": _NAME,
        "kind": _choice_rule("engine", "service"),
        "host": _HOST,
        "port": _integer_rule(1, 65535),
        "routes": _NAMES,
        "data_centre": _OPTIONAL_NAME,
        "slots": _integer_rule(1, MAX_SLOTS),
        "state": _choice_rule("live", "leaving"),
        "model_limit": _integer_rule(0, _MAX_MODELS_PER_ENGINE),
        "role": _OPTIONAL_NAME,
    },
}


def validate_fields(kind: type, fields: dict[str, Any]) -> dict[str, Any]:
    """Validate the fields of one entry and return their parsed values.

    :raises FieldError: names the first field that is unknown, missing or not allowed.
    """
    rules = RULES[kind]
    parsed = {}
    for name, value in fields.items():
        if name not in rules:
            allowed = ", ".join(rules)
            raise FieldError(name, f"{name!r} is an unknown field; allowed: {allowed}")
        try:
            parsed[name] = rules[name].parse(value)
        except ValueError:
            message = f"{name!r} has an invalid value; allowed: {rules[name].allowed}"
            raise FieldError(name, message) from None
    for name in rules:
        if name not in parsed and name not in _default_fields(kind):
            raise FieldError(name, f"{name!r} is missing; needed: {rules[name].allowed}")
    return parsed


def parse_entry(kind: type, fields: dict[str, Any]) -> Any:
    """Return the entry with the given fields and defaults for the others.

    :raises FieldError: names the first field that is unknown, missing or not allowed.
    """
    return kind(**validate_fields(kind, fields))


def _default_fields(kind: type) -> dict[str, Any]:
    found: dict[str, Any] = getattr(kind, "_field_defaults", {})
    return found


def check_document(document: ConfigDocument) -> None:
    """Check that names and addresses are unique and that references between entries hold.

    :raises FieldError: names the first invalid field.
    """
    _check_unique(document)
    for route in document.routes:
        _check_route(route, document)
    for server in document.servers:
        _check_server(server, document)
    withdrawn = {entry.key_id for entry in document.withdrawn}
    for key in document.keys:
        # A withdrawn key must not prevent the deletion of its client account.
        if key.id not in withdrawn:
            _check_key(key, document)


def _check_unique(document: ConfigDocument) -> None:
    for section in ("classes", "accounts", "routes", "servers"):
        counts = Counter(entry.name for entry in getattr(document, section))
        for name, count in counts.items():
            if count > 1:
                raise FieldError("name", f"{section} has {name!r} twice")
    addresses = Counter((server.host, server.port) for server in document.servers)
    for (host, port), count in addresses.items():
        if count > 1:
            raise FieldError("port", f"two backend servers have the address {host}:{port}")


def _check_route(route: Route, document: ConfigDocument) -> None:
    classes = {entry.name for entry in document.classes}
    if route.work_class and route.work_class not in classes:
        message = f"route {route.name!r}: class of work {route.work_class!r} does not exist"
        raise FieldError("work_class", message)
    accounts = {entry.name for entry in document.accounts}
    for index, name in enumerate(route.accounts):
        if name not in accounts:
            message = f"route {route.name!r}: client account {name!r} does not exist"
            raise FieldError(f"accounts[{index}]", message)
    if route.open_to_all and route.accounts:
        message = f"route {route.name!r} is open to all and cannot list client accounts as well"
        raise FieldError("accounts", message)
    if route.kind != "model" and route.version:
        message = f"route {route.name!r} of kind {route.kind!r} has no model version"
        raise FieldError("version", message)


def _check_server(server: Server, document: ConfigDocument) -> None:
    routes = {entry.name: entry for entry in document.routes}
    required_kind = "model" if server.kind == "engine" else "service"
    for field in ("model_limit", "role"):
        if server.kind != "engine" and getattr(server, field):
            message = f"backend server {server.name!r} of kind {server.kind!r} has no {field!r}"
            raise FieldError(field, message)
    for index, name in enumerate(server.routes):
        if name not in routes:
            message = f"backend server {server.name!r}: route {name!r} does not exist"
            raise FieldError(f"routes[{index}]", message)
        if routes[name].kind != required_kind:
            message = f"backend server {server.name!r} of kind {server.kind!r}: "
            message += f"route {name!r} is of kind {routes[name].kind!r}"
            raise FieldError(f"routes[{index}]", message)


def _check_key(key: Key, document: ConfigDocument) -> None:
    accounts = {entry.name for entry in document.accounts}
    if key.role == "caller" and key.account not in accounts:
        message = f"client account {key.account!r} of the key does not exist"
        raise FieldError("account", message)
    if key.role != "caller" and key.account:
        message = f"a key of role {key.role!r} belongs to no client account"
        raise FieldError("account", message)


def find_references(document: ConfigDocument, section: str, name: str) -> list[str]:
    """Return descriptions of the entries that refer to the named entry of a section."""
    return list(_REFERENCE_FINDERS[section](document, name))


def _find_class_references(document: ConfigDocument, name: str) -> Iterator[str]:
    for route in document.routes:
        if route.work_class == name:
            yield f"route {route.name!r}"


def _find_account_references(document: ConfigDocument, name: str) -> Iterator[str]:
    withdrawn = {entry.key_id for entry in document.withdrawn}
    for key in document.keys:
        if key.account == name and key.id not in withdrawn:
            yield f"key {key.id!r}"
    for route in document.routes:
        if name in route.accounts:
            yield f"route {route.name!r}"


def _find_route_references(document: ConfigDocument, name: str) -> Iterator[str]:
    for server in document.servers:
        if name in server.routes:
            yield f"backend server {server.name!r}"


def _find_server_references(document: ConfigDocument, name: str) -> Iterator[str]:
    return iter(())


_REFERENCE_FINDERS: dict[str, Callable[[ConfigDocument, str], Iterator[str]]] = {
    "classes": _find_class_references,
    "accounts": _find_account_references,
    "routes": _find_route_references,
    "servers": _find_server_references,
}
