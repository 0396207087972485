"""The programs of the demo and where they listen."""

import secrets
from pathlib import Path

from trefoilreach._internal.state.config import hash_key

from trefoilreach_emulator._internal.demo.http import call
from trefoilreach_emulator._internal.demo.plan import (
    DAEMONS,
    ENGINES,
    REGION,
    SLOTS,
    DaemonPlan,
    EnginePlan,
)
from trefoilreach_emulator._internal.demo.processes import Processes
from trefoilreach_emulator._internal.fleet import free_port, free_ports

EMULATOR_MODULE = "trefoilreach_emulator"
DAEMON_MODULE = "trefoilreach"
_EMULATOR_HOST = "127.0.0.1"
# Callers of the demo may keep addresses for this time, which a planned stop waits out.
_ENTRY_KEEP = "2s"


class Fleet:
    """A platform, engines, one plain service and daemons."""

    def __init__(self, folder: Path, processes: Processes) -> None:
        self._folder = folder
        self._processes = processes
        self._ports: dict[str, int] = {}
        self.operator_key = secrets.token_urlsafe(32)

    @property
    def processes(self) -> Processes:
        """The programs."""
        return self._processes

    @property
    def urls(self) -> list[str]:
        """Base URLs of the daemons."""
        return [self.daemon_url(plan) for plan in DAEMONS]

    def daemon_url(self, plan: DaemonPlan) -> str:
        """Return the base URL of a daemon."""
        return f"http://{plan.host}:{self._ports[plan.name]}"

    def endpoint(self, name: str) -> str:
        """Return IP:PORT of an emulator."""
        return f"{_EMULATOR_HOST}:{self._ports[name]}"

    def start(self) -> None:
        """Start everything, the daemons last."""
        self._start_emulator("platform", "platform")
        for engine in ENGINES:
            self._start_engine(engine)
        self._start_emulator("service1", "service")
        for daemon in DAEMONS:
            self._add_vm(daemon)
        for daemon in DAEMONS:
            self.start_daemon(daemon)

    def start_daemon(self, plan: DaemonPlan) -> None:
        """Start a daemon that was added to the platform's list."""
        path = self._folder / f"{plan.name}.ini"
        path.write_text(self._write_settings(plan))
        arguments = ["--config", str(path)]
        port = self._ports[plan.name]
        self._processes.start(plan.name, DAEMON_MODULE, arguments, plan.host, port)

    def _start_engine(self, plan: EnginePlan) -> None:
        speed = ["--token-interval", "0.005", "--first-token", "0.02", "--load-lag", "0.2"]
        models = ["--models", ",".join(plan.models), "--slots", str(SLOTS)]
        self._start_emulator(plan.name, "engine", *models, *speed, "--check-fencing")

    def _start_emulator(self, name: str, command: str, *options: str) -> None:
        port = self._ports[name] = free_port(_EMULATOR_HOST)
        arguments = [command, "--host", _EMULATOR_HOST, "--port", str(port), *options]
        self._processes.start(name, EMULATOR_MODULE, arguments, _EMULATOR_HOST, port)

    def _add_vm(self, plan: DaemonPlan) -> None:
        self._ports[plan.name], self._ports[f"{plan.name}-peer"] = free_ports(2, plan.host)
        vm = {
            "host": plan.host,
            "data_centre": plan.data_centre,
            "region": REGION,
            "state": "live",
            "http_port": self._ports[plan.name],
            "peer_port": self._ports[f"{plan.name}-peer"],
        }
        call(f"http://{self.endpoint('platform')}", "PUT", f"/vms/{plan.name}", body=vm)

    def _write_settings(self, plan: DaemonPlan) -> str:
        return (
            "[daemon]\n"
            f"name = {plan.name}\n"
            f"host = {plan.host}\n"
            f"http_port = {self._ports[plan.name]}\n"
            f"peer_port = {self._ports[f'{plan.name}-peer']}\n"
            f"data_centre = {plan.data_centre}\n"
            f"region = {REGION}\n"
            "[platform]\n"
            "kind = http\n"
            f"url = http://{self.endpoint('platform')}\n"
            f"bootstrap_operator_key_hash = {hash_key(self.operator_key)}\n"
            "[fleet]\n"
            f"entry_keep = {_ENTRY_KEEP}\n"
        )
