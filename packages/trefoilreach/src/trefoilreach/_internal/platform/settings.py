"""Reads the settings file that the platform provides: lines of the form ``a.b=value``."""

import os
from pathlib import Path

from trefoilreach._internal.coordination.quota.fleet_buckets import QuotaBound
from trefoilreach._internal.deployment import Address, Deployment
from trefoilreach._internal.settings import SettingsError

SETTINGS_VARIABLE = "TREFOILREACH_CONFIG"
_DEFAULT_PATH = "/etc/trefoilreach/boot.conf"
_MILLISECONDS_PER_SECOND = 1000.0
# Revocation bound where the operator does not ask for a strict one.
_UNBOUNDED_SECONDS = 1e9
# The settings file has no metrics port; deploy/system.toml declares this one to the platform.
_METRICS_PORT = 9464


def settings_path() -> Path:
    """Return the path of the settings file: the environment variable or the default."""
    return Path(os.environ.get(SETTINGS_VARIABLE) or _DEFAULT_PATH)


def load_deployment(path: Path) -> Deployment:
    """Read and check the settings.

    :raises SettingsError: names the file and the field at fault.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    return parse_deployment(text, str(path))


def parse_deployment(text: str, path: str = "<settings>") -> Deployment:
    """Parse the text of a settings file; unknown fields are ignored.

    :raises SettingsError: names the field that is missing or not allowed.
    """
    fields = _Fields(text, path)
    ports = fields.text("portRange").split(",")
    control = fields.address("listen.control")
    checks = [fields.address(f"listen.{name}") for name in ("ready", "directory")]
    strict = fields.text("bounds.strictRevoke", "false") == "true"
    return Deployment(
        vm=fields.text("node"),
        host=fields.text("ip"),
        data_centre=fields.text("zone"),
        region=fields.text("region"),
        # The usable share of each core, times the speed of all cores relative to one core.
        cores=fields.number("limits.cpuShare", "1") * fields.number("limits.cores", "1"),
        first_start=fields.text("bootstrap", "false") == "true",
        front=fields.address("listen.front"),
        checks=tuple(dict.fromkeys([*checks, control])),
        control_port=control[1],
        metrics_port=_METRICS_PORT,
        peer_port=int(fields.number("portRange", ports[0])),
        seeds=tuple(
            entry.rpartition(":")[0] for entry in fields.text("seeds", "").split(",") if entry
        ),
        store=fields.address("provider.address"),
        revocation_seconds=(
            fields.number("bounds.revokeMs", "5000") / _MILLISECONDS_PER_SECOND
            if strict
            else _UNBOUNDED_SECONDS
        ),
        stop_seconds=fields.number("bounds.graceS", "8"),
        entry_keep_seconds=fields.number("bounds.ttl_max_s", "5"),
        results_keep_seconds=fields.number("bounds.statusS", str(_UNBOUNDED_SECONDS)),
        quota_bound=QuotaBound(
            fields.number("bounds.quotaWindowS", "5"),
            fields.number("bounds.quotaExcess", "0.1"),
            fields.number("bounds.quotaSlack", "20"),
        ),
    )


class _Fields:
    """Settings by name, with typed access."""

    def __init__(self, text: str, path: str) -> None:
        self._path = path
        self._values: dict[str, str] = {}
        for line in text.splitlines():
            name, equals, value = line.partition("=")
            if equals:
                self._values[name.strip()] = value.strip()

    def text(self, name: str, default: str | None = None) -> str:
        """Return the value of a field, or its default.

        :raises SettingsError: when it is missing and has no default.
        """
        value = self._values.get(name) or default
        if value is None:
            raise SettingsError(f"{self._path}: {name}: missing; allowed: any text")
        return value

    def number(self, name: str, default: str) -> float:
        """Return a number; of a comma-separated list, the first entry.

        :raises SettingsError: when it is not a number.
        """
        value = self.text(name, default).split(",")[0]
        try:
            return float(value)
        except ValueError:
            message = f"{self._path}: {name}: {value!r} is not allowed; allowed: a number"
            raise SettingsError(message) from None

    def address(self, name: str) -> Address:
        """Return an address of the form IP:PORT.

        :raises SettingsError: when it has another form.
        """
        value = self.text(name)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit():
            message = f"{self._path}: {name}: {value!r} is not allowed; allowed: IP:PORT"
            raise SettingsError(message)
        return host, int(port)
