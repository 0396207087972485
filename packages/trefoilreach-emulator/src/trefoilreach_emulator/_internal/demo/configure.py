"""Configures the fleet through ``trefoilctl``."""

import time

from trefoilreach_emulator._internal.demo.ctl import Ctl
from trefoilreach_emulator._internal.demo.errors import DemoError
from trefoilreach_emulator._internal.demo.fleet import Fleet
from trefoilreach_emulator._internal.demo.http import call
from trefoilreach_emulator._internal.demo.plan import (
    ACCOUNTS,
    ENGINES,
    MODELS,
    OPEN_SERVICE,
    SERVICE,
    SLOTS,
)

# An accepted configuration must be in force everywhere within this time.
_IN_FORCE_SECONDS = 10.0
_POLL_SECONDS = 0.1


def configure(fleet: Fleet, ctl: Ctl) -> None:
    """Set up classes, accounts, routes and backend servers, and wait until all are in force."""
    ctl.run("class", "set", "chat", "--kind", "online", "--first-token", "2")
    ctl.run("class", "set", "overnight", "--kind", "batch", "--deadline", "28800")
    for account in ACCOUNTS:
        limits = ("--rate", f"{account.rate:g}", "--burst", f"{account.burst:g}")
        ctl.run("account", "set", account.name, *limits)
    for model in MODELS:
        ctl.run("route", "set", model, "--class", "chat", "--fencing-checked", "yes")
    ctl.run("route", "set", SERVICE, "--kind", "service", "--idempotent", "no")
    ctl.run("route", "set", OPEN_SERVICE, "--kind", "service", "--open-to-all", "yes")
    _add_servers(fleet, ctl)
    _wait_until_in_force(fleet, ctl)


def _add_servers(fleet: Fleet, ctl: Ctl) -> None:
    for engine in ENGINES:
        served = [word for model in engine.models for word in ("--route", model)]
        place = ("--data-centre", engine.data_centre, "--slots", str(SLOTS))
        endpoint = fleet.endpoint(engine.name)
        ctl.run("server", "add", engine.name, endpoint, "--kind", "engine", *served, *place)
    served = ["--route", SERVICE, "--route", OPEN_SERVICE]
    endpoint = fleet.endpoint("service1")
    ctl.run("server", "add", "service1", endpoint, "--kind", "service", *served)


def grant_keys(ctl: Ctl) -> tuple[dict[str, str], str]:
    """Return a key for each client account, and the monitor's key."""
    keys = {account.name: grant_key(ctl, account.name)[1] for account in ACCOUNTS}
    monitor = ctl.run("key", "grant", "--role", "monitor")["entry"]["key"]
    return keys, str(monitor)


def grant_key(ctl: Ctl, account: str) -> tuple[str, str]:
    """Return the id and the secret of a new caller key."""
    entry = ctl.run("key", "grant", account)["entry"]
    return str(entry["id"]), str(entry["key"])


def _wait_until_in_force(fleet: Fleet, ctl: Ctl) -> None:
    wanted = int(ctl.run("class", "list")["version"])
    wait_for_version(fleet, wanted)


def wait_for_version(fleet: Fleet, version: int) -> None:
    """Wait until a configuration version is in force on every daemon.

    :raises DemoError: when it takes longer than the target.
    """
    end = time.monotonic() + _IN_FORCE_SECONDS
    for url in fleet.urls:
        while call(url, "GET", "/healthz").json["config_version"] < version:
            if time.monotonic() > end:
                raise DemoError(f"version {version} is not in force at {url}")
            time.sleep(_POLL_SECONDS)
