"""Two daemons with engines and a service, configured by an operator over HTTP."""

import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

from harness import OPERATOR_KEY, Address, Answer, Fleet, call, wait_until


class Site(NamedTuple):
    fleet: Fleet
    daemons: list[Address]
    keys: dict[str, str]

    def change(self, method: str, path: str, body: Any = None) -> Answer:
        """Send one configuration change, based on the version in force on the first daemon."""
        version = call(self.daemons[0], "GET", "/v1/admin/config", key=OPERATOR_KEY).json()
        headers = {"If-Match": str(version["version"])}
        return call(self.daemons[0], method, f"/v1/admin{path}", body, OPERATOR_KEY, headers)

    def grant(self, account: str, role: str = "caller") -> tuple[str, str]:
        """Return id and secret of a new key that works on every daemon."""
        answer = self.change("POST", "/keys", {"account": account, "role": role})
        self.wait_for_version(answer.json()["version"])
        return answer.json()["entry"]["id"], answer.json()["entry"]["key"]

    def wait_for_quota(self) -> None:
        """Wait until both daemons own slots of the quota and serve requests."""
        wait_until(self._both_own_slots, what="slots of both daemons")
        for daemon in self.daemons:
            wait_until(lambda at=daemon: self._serves(at), what="a served request")

    def _both_own_slots(self) -> bool:
        platform = self.fleet.addresses["platform"]
        slots = call(platform, "POST", "/table/get", {"key": "quota/slots"}).data
        return b'"vm1/' in slots and b'"vm2/' in slots

    def _serves(self, daemon: Address) -> bool:
        body = {"model": "m", "max_tokens": 1, "messages": [{"role": "user", "content": "hi"}]}
        path = "/v1/chat/completions"
        return call(daemon, "POST", path, body, self.keys["shop"]).status == 200

    def wait_for_version(self, version: int) -> None:
        """Wait until a version is in force on every daemon."""
        for daemon in self.daemons:
            wait_until(
                lambda at=daemon: _read_config_version(at) >= version, what=f"version {version}"
            )

    def ctl(self, key: str, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run trefoilctl with the addresses of all daemons."""
        urls = ",".join(f"http://{host}:{port}" for host, port in self.daemons)
        environment = {**os.environ, "TREFOILREACH_URL": urls, "TREFOILREACH_KEY": key}
        command = [sys.executable, "-m", "trefoilctl", *arguments]
        return subprocess.run(
            command, env=environment, capture_output=True, text=True, timeout=60, check=False
        )


def _read_config_version(daemon: Address) -> int:
    return int(call(daemon, "GET", "/healthz").json()["config_version"])


@contextmanager
def open_site(folder: Path) -> Iterator[Site]:
    """Start and configure a site; account ``shop`` has a high rate, the others a low one."""
    with Fleet(folder) as fleet:
        fleet.start_emulator("platform", "platform")
        options = ("--models", "m,private", "--token-interval", "0.005", "--first-token", "0.01")
        engines = [fleet.start_emulator("engine", f"engine{n}", *options) for n in (1, 2)]
        service = fleet.start_emulator("service", "service1")
        daemons = [fleet.start_daemon(f"vm{number}", number) for number in (1, 2)]
        site = Site(fleet, daemons, {})
        _configure(site, engines, service)
        for account in ("shop", "kiosk", "stall"):
            site.keys[account] = site.grant(account)[1]
        yield site


def _configure(site: Site, engines: list[Address], service: Address) -> None:
    entries: list[tuple[str, dict[str, Any]]] = [
        ("/classes/chat", {"first_token_seconds": 2}),
        ("/accounts/shop", {"rate": 200, "burst": 400}),
        ("/accounts/kiosk", {"rate": 1, "burst": 12}),
        ("/accounts/stall", {"rate": 1, "burst": 12}),
        ("/routes/m", {"work_class": "chat"}),
        ("/routes/private", {"work_class": "chat", "accounts": ["shop"]}),
        ("/routes/till", {"kind": "service", "idempotent": False}),
    ]
    for number, engine in enumerate(engines, 1):
        fields = {"host": engine.host, "port": engine.port, "routes": ["m", "private"]}
        entries.append((f"/servers/engine{number}", {"kind": "engine", **fields}))
    endpoint = {"host": service.host, "port": service.port, "routes": ["till"]}
    entries.append(("/servers/service1", {"kind": "service", **endpoint}))
    for path, body in entries:
        answer = site.change("PUT", path, body)
        assert answer.status == 200, answer
