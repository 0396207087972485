"""Starts the programs of a small fleet as separate processes on loopback."""

import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from http.client import HTTPConnection
from pathlib import Path
from typing import Any, NamedTuple

import orjson

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_SECONDS = 20.0
OPERATOR_KEY = "operator-secret"
MONITOR_KEY = "monitor-secret"


class Answer(NamedTuple):
    status: int
    headers: dict[str, str]
    data: bytes

    def json(self) -> Any:
        return orjson.loads(self.data)


class Address(NamedTuple):
    host: str
    port: int


def free_port(host: str = "127.0.0.1") -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def call(
    address: Address,
    method: str,
    path: str,
    body: Any = None,
    key: str | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> Answer:
    sent = dict(headers or {})
    if key is not None:
        sent["Authorization"] = f"Bearer {key}"
    data = body if isinstance(body, bytes) else b"" if body is None else orjson.dumps(body)
    connection = HTTPConnection(address.host, address.port, timeout=timeout)
    try:
        connection.request(method, path, data, sent)
        response = connection.getresponse()
        found = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, found, response.read())
    finally:
        connection.close()


def wait_until(check: Any, timeout: float = START_TIMEOUT_SECONDS, what: str = "") -> Any:
    end = time.monotonic() + timeout
    while True:
        try:
            found = check()
        except OSError:
            found = None
        if found:
            return found
        if time.monotonic() > end:
            raise AssertionError(f"timed out waiting for {what or check}")
        time.sleep(0.05)


class Process:
    """One program; killed by id when its fleet closes."""

    def __init__(self, module: str, arguments: list[str], log: Path) -> None:
        self._log = log.open("ab")
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            cwd=ROOT,
            stdout=self._log,
            stderr=subprocess.STDOUT,
            env=os.environ,
        )

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def alive(self) -> bool:
        return self._process.poll() is None

    def signal(self, number: int) -> None:
        if self.alive:
            self._process.send_signal(number)

    def wait(self, timeout: float) -> int:
        return self._process.wait(timeout)

    def close(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self._process.wait()
        self._log.close()


class Fleet:
    """A platform emulator, engines, services and daemons; each daemon has a loopback IP."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._stack = ExitStack()
        self._processes: dict[str, Process] = {}
        self.addresses: dict[str, Address] = {}

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *details: Any) -> None:
        self._stack.close()

    def process(self, name: str) -> Process:
        return self._processes[name]

    def start_emulator(self, kind: str, name: str, *options: str) -> Address:
        address = Address("127.0.0.1", free_port())
        return self._start_emulator_at(kind, name, address, *options)

    def restart_emulator(self, kind: str, name: str, *options: str) -> Address:
        return self._start_emulator_at(kind, name, self.addresses[name], *options)

    def _start_emulator_at(self, kind: str, name: str, address: Address, *options: str) -> Address:
        place = ["--host", address.host, "--port", str(address.port)]
        self._start(name, "trefoilreach_emulator", [kind, *place, *options])
        self.addresses[name] = address
        wait_until(lambda: _connects(address), what=name)
        return address

    def start_daemon(
        self,
        name: str,
        number: int,
        data_centre: str = "dc1",
        region: str = "r1",
        extra: dict[str, dict[str, str]] | None = None,
    ) -> Address:
        """Start daemon ``name`` on 127.0.7.``number`` and add it to the VM list."""
        host = f"127.0.7.{number}"
        if name in self.addresses:
            address = self.addresses[name]
            peer_port = self._peer_ports[name]
        else:
            address = Address(host, free_port(host))
            peer_port = free_port(host)
            self._peer_ports[name] = peer_port
        platform = self.addresses["platform"]
        sections: dict[str, dict[str, str]] = {
            "daemon": {
                "name": name,
                "host": host,
                "http_port": str(address.port),
                "peer_port": str(peer_port),
                "data_centre": data_centre,
                "region": region,
            },
            "platform": {
                "kind": "http",
                "url": f"http://{platform.host}:{platform.port}",
                "bootstrap_operator_key_hash": hash_secret(OPERATOR_KEY),
            },
        }
        for section, values in (extra or {}).items():
            sections.setdefault(section, {}).update(values)
        path = self._folder / f"{name}.ini"
        path.write_text(write_ini(sections))
        vm = {
            "host": host,
            "data_centre": data_centre,
            "region": region,
            "state": "live",
            "http_port": address.port,
            "peer_port": peer_port,
        }
        call(platform, "PUT", f"/vms/{name}", vm)
        self._start(name, "trefoilreach", ["--config", str(path)])
        self.addresses[name] = address
        wait_until(lambda: _connects(address), what=name)
        return address

    @property
    def _peer_ports(self) -> dict[str, int]:
        return self.__dict__.setdefault("_ports", {})

    def set_faults(self, **faults: Any) -> None:
        call(self.addresses["platform"], "POST", "/faults", faults)

    def kill(self, name: str) -> None:
        self._processes[name].close()

    def log(self, name: str) -> str:
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def _start(self, name: str, module: str, arguments: list[str]) -> None:
        process = Process(module, arguments, self._folder / f"{name}.log")
        self._processes[name] = process
        self._stack.callback(process.close)


def _connects(address: Address) -> bool:
    with socket.create_connection((address.host, address.port), timeout=1.0):
        return True


def write_ini(sections: dict[str, dict[str, str]]) -> str:
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {value}" for key, value in values.items()]
    return "\n".join(lines) + "\n"


def hash_secret(secret: str) -> str:
    from trefoilreach._internal.state.config import hash_key

    return hash_key(secret)


def publish(fleet: Fleet, document: Any, expected: int = 0) -> None:
    """Put a configuration document into force through the platform emulator."""
    from trefoilreach._internal.state.config import encode_config

    platform = fleet.addresses["platform"]
    name = f"config/{document.version}-test"
    call(platform, "PUT", f"/objects/{name}", encode_config(document))
    value = {"version": document.version, "object": name, "writer": "test"}
    write = {"key": "config/head", "value": value, "expected": expected}
    answer = call(platform, "POST", "/table/commit", {"writes": [write]})
    assert answer.status == 200, answer
