"""Settings of the daemon: an INI file, checked as a whole at start."""

import ipaddress
import re
import socket
from collections.abc import Callable
from configparser import ConfigParser
from configparser import Error as IniError
from pathlib import Path
from typing import Annotated, Any, NamedTuple, get_args, get_type_hints


class SettingsError(ValueError):
    """A settings file is invalid or cannot be read; the message is one line."""


class Option(NamedTuple):
    """How one kind of value is parsed, and what the error message says is allowed."""

    parse: Callable[[str], Any]
    allowed: str


_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
_BYTES_PER_UNIT = {"B": 1, "KB": 1024, "MB": 1024**2, "GB": 1024**3}


def _parse_quantity(text: str, units: dict[str, Any]) -> float:
    match = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)", text)
    if match is None or match.group(2) not in units:
        raise ValueError(text)
    return float(match.group(1)) * units[match.group(2)]


def duration(low: float, high: float) -> Option:
    """Return an option for a time with a unit, between ``low`` and ``high`` seconds."""

    def parse(text: str) -> float:
        return _check_range(_parse_quantity(text, _SECONDS_PER_UNIT), low, high)

    return Option(parse, f"a time of {low:g}s to {high:g}s with a unit of ms, s, min or h")


def size(low: int, high: int) -> Option:
    """Return an option for a number of bytes with a unit."""

    def parse(text: str) -> int:
        return int(_check_range(_parse_quantity(text, _BYTES_PER_UNIT), low, high))

    return Option(parse, f"a size of {low} to {high} bytes with a unit of B, KB, MB or GB")


def integer(low: int, high: int) -> Option:
    """Return an option for a whole number."""
    return Option(
        lambda text: int(_check_range(int(text), low, high)),
        f"a whole number from {low} to {high}",
    )


def choice(*names: str) -> Option:
    """Return an option for one of a few names."""

    def parse(text: str) -> str:
        if text not in names:
            raise ValueError(text)
        return text

    return Option(parse, "one of " + ", ".join(names))


def _check_range(value: float, low: float, high: float) -> float:
    if not low <= value <= high:
        raise ValueError(value)
    return value


def _parse_name(text: str) -> str:
    if re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", text) is None:
        raise ValueError(text)
    return text


def _parse_host(text: str) -> str:
    return str(ipaddress.ip_address(text))


def _parse_text(text: str) -> str:
    return text


def _parse_key_hash(text: str) -> str:
    if re.fullmatch(r"([0-9a-f]{64})?", text) is None:
        raise ValueError(text)
    return text


def _parse_endpoint(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return _parse_host(host.strip("[]")), int(_check_range(int(port), 1, 65535))


def _parse_endpoints(text: str) -> tuple[tuple[str, int], ...]:
    return tuple(_parse_endpoint(part.strip()) for part in text.split(",") if part.strip())


NAME = Option(_parse_name, "a name of letters, digits, '.', '_' and '-'")
HOST = Option(_parse_host, "an IP address")
TEXT = Option(_parse_text, "any text")
KEY_HASH = Option(_parse_key_hash, "the SHA-256 of a key as 64 lower-case hexadecimal digits")
RETENTION_PERIOD = Option(
    lambda text: _check_range(_parse_quantity(text, _SECONDS_PER_UNIT), 1.0, 87_600.0 * 3600),
    "a time of 1s to 87600h with a unit of ms, s, min or h",
)
PORT = integer(1, 65535)
ENDPOINTS = Option(_parse_endpoints, "a comma-separated list of IP:PORT")


class DaemonSettings(NamedTuple):
    """Section ``[daemon]``: identity, addresses and limits of this daemon."""

    name: Annotated[str, NAME] = socket.gethostname().split(".")[0]
    host: Annotated[str, HOST] = "127.0.0.1"
    http_port: Annotated[int, PORT] = 8080
    peer_port: Annotated[int, PORT] = 8081
    data_centre: Annotated[str, NAME] = "default"
    region: Annotated[str, NAME] = "default"
    threads: Annotated[int, integer(8, 4096)] = 160
    body_limit: Annotated[int, size(1024, 1024**3)] = 16 * 1024**2
    file_limit: Annotated[int, size(1024, 4 * 1024**3)] = 200 * 1024**2


class PlatformSettings(NamedTuple):
    """Section ``[platform]``: the table, object, weight stores and the VM list."""

    kind: Annotated[str, choice("memory", "http")] = "memory"
    url: Annotated[str, TEXT] = ""
    timeout: Annotated[float, duration(0.05, 60)] = 2.0
    bootstrap_operator_key_hash: Annotated[str, KEY_HASH] = ""


class FleetSettings(NamedTuple):
    """Section ``[fleet]``: peers, their probes and the times of a planned stop."""

    seeds: Annotated[tuple[tuple[str, int], ...], ENDPOINTS] = ()
    probe_interval: Annotated[float, duration(0.05, 60)] = 1.0
    probe_timeout: Annotated[float, duration(0.01, 10)] = 0.5
    suspicion: Annotated[float, duration(0.1, 60)] = 3.0
    poll_interval: Annotated[float, duration(0.1, 60)] = 2.0
    entry_keep: Annotated[float, duration(0.1, 600)] = 10.0
    isolation: Annotated[float, duration(0.5, 60)] = 3.0
    stream_grace: Annotated[float, duration(1, 3600)] = 120.0


class QuotaSettings(NamedTuple):
    """Section ``[quota]``: rate and burst across the fleet; equal on all VMs."""

    policy: Annotated[str, choice("loans", "static")] = "loans"
    shards: Annotated[int, integer(1, 100)] = 1
    loan: Annotated[float, duration(0.5, 60)] = 3.0
    take_over: Annotated[float, duration(0.5, 600)] = 10.0


class RoutingSettings(NamedTuple):
    """Section ``[routing]``: choice of backend server and retries."""

    policy: Annotated[str, choice("estimate", "least-own", "random")] = "estimate"
    fairness: Annotated[str, choice("fleet", "local")] = "fleet"
    load_interval: Annotated[float, duration(0.05, 60)] = 1.0
    connect_timeout: Annotated[float, duration(0.05, 60)] = 1.0
    request_timeout: Annotated[float, duration(1, 3600)] = 120.0
    retry_share: Annotated[int, integer(0, 100)] = 10


class BatchSettings(NamedTuple):
    """Section ``[batch]``: batch jobs beside online requests."""

    enabled: Annotated[str, choice("yes", "no")] = "yes"
    yielding: Annotated[str, choice("yes", "no")] = "yes"
    chunk_items: Annotated[int, integer(1, 10000)] = 200
    chunk_lease: Annotated[float, duration(2, 600)] = 20.0
    scan_interval: Annotated[float, duration(0.1, 60)] = 2.0


class RetentionSettings(NamedTuple):
    """Section ``[retention]``: how long data is kept; equal on all VMs."""

    history: Annotated[float, RETENTION_PERIOD] = 720.0 * 3600
    batches: Annotated[float, RETENTION_PERIOD] = 720.0 * 3600
    audit: Annotated[float, RETENTION_PERIOD] = 168.0 * 3600
    interval: Annotated[float, duration(0.1, 24 * 3600)] = 600.0


class PlacementSettings(NamedTuple):
    """Section ``[placement]``: placement of models on engines; equal on all VMs."""

    enabled: Annotated[str, choice("yes", "no")] = "yes"
    interval: Annotated[float, duration(0.1, 60)] = 1.0
    lease: Annotated[float, duration(14, 600)] = 20.0
    drain: Annotated[float, duration(0.1, 5)] = 5.0
    patience: Annotated[float, duration(1, 600)] = 10.0


class LogSettings(NamedTuple):
    """Section ``[log]``: where the JSON log lines go; ``-`` is standard error."""

    path: Annotated[str, TEXT] = "-"
    decisions: Annotated[str, choice("yes", "no")] = "yes"


class MetricsSettings(NamedTuple):
    """Section ``[metrics]``: statsd server; port 0 sends nothing."""

    host: Annotated[str, HOST] = "127.0.0.1"
    port: Annotated[int, integer(0, 65535)] = 0
    prefix: Annotated[str, NAME] = "trefoilreach"


class Settings(NamedTuple):
    """All sections."""

    daemon: DaemonSettings = DaemonSettings()
    platform: PlatformSettings = PlatformSettings()
    fleet: FleetSettings = FleetSettings()
    quota: QuotaSettings = QuotaSettings()
    routing: RoutingSettings = RoutingSettings()
    batch: BatchSettings = BatchSettings()
    retention: RetentionSettings = RetentionSettings()
    placement: PlacementSettings = PlacementSettings()
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()


def load_settings(path: str) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: names file, section and key, what is wrong and what is allowed.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    return parse_settings(text, path)


def parse_settings(text: str, path: str = "<settings>") -> Settings:
    """Parse and check the text of a settings file."""
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(text, path)
    except IniError as error:
        message = " ".join(str(error).split())
        raise SettingsError(f"{path}: is not valid INI: {message}") from error
    sections = get_type_hints(Settings)
    for name in parser.sections():
        if name not in sections:
            allowed = ", ".join(sections)
            raise SettingsError(f"{path}: [{name}]: unknown section; allowed: {allowed}")
    values = {
        name: _parse_section(kind, name, dict(parser[name]) if name in parser else {}, path)
        for name, kind in sections.items()
    }
    settings = Settings(**values)
    _check_combinations(settings, path)
    return settings


def _parse_section(kind: Any, section: str, found: dict[str, str], path: str) -> Any:
    hints = get_type_hints(kind, include_extras=True)
    values = {}
    for key, text in found.items():
        where = f"{path}: [{section}] {key}"
        if key not in hints:
            raise SettingsError(f"{where}: unknown key; allowed: {', '.join(hints)}")
        option: Option = get_args(hints[key])[1]
        try:
            values[key] = option.parse(text.strip())
        except ValueError:
            message = f"{where}: {text!r} is not allowed; allowed: {option.allowed}"
            raise SettingsError(message) from None
    return kind(**values)


def _check_combinations(settings: Settings, path: str) -> None:
    if settings.platform.kind == "http" and not settings.platform.url.startswith("http://"):
        message = f"{path}: [platform] url: needed with kind = http; allowed: http://IP:PORT"
        raise SettingsError(message)
    if settings.daemon.http_port == settings.daemon.peer_port:
        message = f"{path}: [daemon] peer_port: must differ from http_port; allowed: another port"
        raise SettingsError(message)
