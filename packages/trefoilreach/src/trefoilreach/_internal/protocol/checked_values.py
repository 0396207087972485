"""Checks of single values that other processes have written.

Messages of errors name no value, which may be as large as a row of the store and deeply nested.
"""

import math
from functools import lru_cache
from ipaddress import IPv4Address
from typing import Any

MAX_PORT = 65535
# Limits of the integers in datagrams.
MAX_INT32 = 2**31 - 1
MAX_INT64 = 2**63 - 1
# Names go into request headers, log lines and datagrams, which carry many of them. The keys of the
# store's rows are limited to the same length.
MAX_NAME_BYTES = 200
# More than the daemons and workers of a large fleet.
_CACHED_HOSTS = 4096


def check_integer(value: Any, low: int, high: int) -> int:
    """Return an integer within limits.

    :raises ValueError: for any other value, also for a boolean, a fraction or a text.
    """
    if type(value) is not int or not low <= value <= high:
        raise ValueError(f"not a whole number from {low} to {high}")
    return value


def check_number(value: Any, low: float, high: float) -> float:
    """Return a number within limits.

    :raises ValueError: for any other value, also for a boolean, NaN or a text.
    """
    if type(value) not in (int, float) or not low <= value <= high or not math.isfinite(value):
        raise ValueError(f"not a number from {low} to {high}")
    return float(value)


def check_name(value: Any) -> str:
    """Return a text that is not empty, has printable characters only and is not too long.

    :raises ValueError: for any other value.
    """
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError("not a printable text")
    # The length in characters comes first, as encoding a large text takes time and memory.
    if len(value) > MAX_NAME_BYTES or len(value.encode()) > MAX_NAME_BYTES:
        raise ValueError(f"longer than {MAX_NAME_BYTES} bytes")
    return value


def check_token(value: Any) -> str:
    """Return a name of visible ASCII characters without spaces, as a header may carry it.

    :raises ValueError: for any other value.
    """
    name = check_name(value)
    if not name.isascii() or " " in name:
        raise ValueError("not visible ASCII")
    return name


def check_host(value: Any) -> str:
    """Return the IPv4 address of one host in dotted decimal form.

    Host names are not allowed: the lookup of a name blocks its thread for seconds.

    :raises ValueError: for any other value.
    """
    # ``IPv4Address`` also takes integers.
    if not isinstance(value, str):
        raise ValueError("not an IPv4 address")
    return _check_host_text(value)


# Each full report of each daemon repeats the same addresses.
@lru_cache(maxsize=_CACHED_HOSTS)
def _check_host_text(text: str) -> str:
    try:
        address = IPv4Address(text)
    except ValueError:
        raise ValueError("not an IPv4 address") from None
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        raise ValueError("not the address of one host")
    return text


def check_port(value: Any) -> int:
    """Return the number of a port.

    :raises ValueError: for any other value.
    """
    return check_integer(value, 1, MAX_PORT)


def check_address(value: Any) -> tuple[str, int]:
    """Return host and port of a text ``IP:PORT``.

    :raises ValueError: for any other value.
    """
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    # ``int`` also takes signs, spaces, underscores and the digits of other scripts.
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        raise ValueError("not an address IP:PORT")
    return check_host(host), check_port(int(port))
