"""Starts the programs of a small fleet as separate processes on loopback."""

import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import ExitStack, suppress
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import psutil
from trefoilreach._internal.state.config import ConfigDocument, encode_config, hash_key

from trefoilreach_emulator._internal.http_call import Address, call

T = TypeVar("T")

START_TIMEOUT_SECONDS = 20.0
_POLL_SECONDS = 0.05
OPERATOR_KEY = "operator-secret"
# Below the range from which outgoing connections get theirs, so that none takes a port between its
# choice and its use.
_PORTS = range(20_000, 32_768)


class Usage(NamedTuple):
    """What a process has used: processor seconds and resident bytes."""

    processor_seconds: float
    resident_bytes: int


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that nothing listens on."""
    return free_ports(1, host)[0]


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return different ports that are free; one by one, two of them may be the same."""
    found: list[int] = []
    with ExitStack() as stack:
        while len(found) < count:
            port = random.choice(_PORTS)
            probe = stack.enter_context(socket.socket())
            with suppress(OSError):  # the port is in use
                probe.bind((host, port))
                found.append(port)
    return found


def wait_until(check: Callable[[], T], timeout: float = START_TIMEOUT_SECONDS, what: str = "") -> T:
    """Repeat a check until it gives something true.

    :raises TimeoutError: after ``timeout`` seconds.
    """
    end = time.monotonic() + timeout
    while True:
        try:
            found = check()
            if found:
                return found
        except OSError:
            # The program does not listen yet.
            pass
        if time.monotonic() > end:
            raise TimeoutError(f"timed out after {timeout:g} s waiting for {what or check}")
        time.sleep(_POLL_SECONDS)


class Program:
    """One started program; ended by its process id."""

    def __init__(self, module: str, arguments: list[str], log: Path) -> None:
        self._log = log.open("ab")
        command = [sys.executable, "-m", module, *arguments]
        self._process = subprocess.Popen(command, stdout=self._log, stderr=self._log)

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def alive(self) -> bool:
        """Whether the process still runs."""
        return self._process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal while the process runs."""
        if self.alive:
            self._process.send_signal(number)

    def wait(self, timeout: float) -> int:
        """Wait for the end and return the exit code."""
        return self._process.wait(timeout)

    def usage(self) -> Usage:
        """Return what the process has used so far."""
        process = psutil.Process(self.pid)
        times = process.cpu_times()
        return Usage(times.user + times.system, process.memory_info().rss)

    def close(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self._process.wait()
        self._log.close()


class Fleet:
    """A platform emulator, engines, services and daemons; each daemon has a loopback IP.

    :param subnet: the daemons listen on 127.0.``subnet``.N.
    """

    def __init__(self, folder: Path, subnet: int = 8) -> None:
        self._folder = folder
        self._subnet = subnet
        self._stack = ExitStack()
        self._programs: dict[str, Program] = {}
        self._peer_ports: dict[str, int] = {}
        self.addresses: dict[str, Address] = {}

    def __enter__(self) -> "Fleet":
        """Own the programs that are started."""
        return self

    def __exit__(self, *details: object) -> None:
        """End all programs."""
        self._stack.close()

    def program(self, name: str) -> Program:
        """Return a started program."""
        return self._programs[name]

    def peer_address(self, name: str) -> Address:
        """Return where a daemon talks to its peers."""
        return Address(self.addresses[name].host, self._peer_ports[name])

    def start_emulator(self, kind: str, name: str, *options: str) -> Address:
        """Start an emulator on a free port, or again where it was before."""
        address = self.addresses.get(name) or Address("127.0.0.1", free_port())
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
        """Start a daemon, or start it again where it was before, and list its VM.

        :param extra: settings by section, beside those of place and platform.
        """
        host = f"127.0.{self._subnet}.{number}"
        http_port, peer_port = free_ports(2, host)
        address = self.addresses.get(name) or Address(host, http_port)
        peer_port = self._peer_ports.get(name) or peer_port
        self.addresses[name], self._peer_ports[name] = address, peer_port
        sections = self._build_settings(name, address, peer_port, data_centre, region)
        for section, values in (extra or {}).items():
            sections.setdefault(section, {}).update(values)
        path = self._folder / f"{name}.ini"
        path.write_text(format_ini(sections))
        vm = {
            "host": host,
            "data_centre": data_centre,
            "region": region,
            "state": "live",
            "http_port": address.port,
            "peer_port": peer_port,
        }
        call(self.addresses["platform"], "PUT", f"/vms/{name}", vm)
        self._start(name, "trefoilreach", ["--config", str(path)])
        wait_until(lambda: _connects(address), what=name)
        return address

    def put_config(self, document: ConfigDocument, expected: int = 0) -> None:
        """Put a configuration into force through the platform emulator.

        :param expected: revision of the head row.
        """
        platform = self.addresses["platform"]
        name = f"config/{document.version}-fleet"
        call(platform, "PUT", f"/objects/{name}", encode_config(document))
        value = {"version": document.version, "object": name, "writer": "fleet"}
        write = {"key": "config/head", "value": value, "expected": expected}
        answer = call(platform, "POST", "/table/commit", {"writes": [write]})
        if answer.status != 200:
            raise RuntimeError(f"the platform emulator refused the configuration: {answer}")

    def publish(self, document: ConfigDocument) -> None:
        """Put the first configuration into force and wait until all daemons have it."""
        self.put_config(document)
        for daemon in self._peer_ports:
            wait_until(partial(self._has_version, daemon, document.version), what=daemon)

    def set_faults(self, **faults: Any) -> None:
        """Set the faults of the platform emulator; none ends them."""
        call(self.addresses["platform"], "POST", "/faults", faults)

    def kill(self, name: str) -> None:
        """Kill a program."""
        self._programs[name].close()

    def log(self, name: str) -> str:
        """Return what a program has written so far."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def _has_version(self, name: str, version: int) -> bool:
        answer = call(self.addresses[name], "GET", "/healthz")
        return answer.status == 200 and answer.json()["config_version"] >= version

    def _build_settings(
        self, name: str, address: Address, peer_port: int, data_centre: str, region: str
    ) -> dict[str, dict[str, str]]:
        return {
            "daemon": {
                "name": name,
                "host": address.host,
                "http_port": str(address.port),
                "peer_port": str(peer_port),
                "data_centre": data_centre,
                "region": region,
            },
            "platform": {
                "kind": "http",
                "url": f"http://{self.addresses['platform'].entry}",
                "bootstrap_operator_key_hash": hash_key(OPERATOR_KEY),
            },
        }

    def _start(self, name: str, module: str, arguments: list[str]) -> None:
        program = Program(module, arguments, self._folder / f"{name}.log")
        self._programs[name] = program
        self._stack.callback(program.close)


def _connects(address: Address) -> bool:
    with socket.create_connection((address.host, address.port), timeout=1.0):
        return True


def format_ini(sections: dict[str, dict[str, Any]]) -> str:
    """Return the text of a settings file."""
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {value}" for key, value in values.items()]
    return "\n".join(lines) + "\n"
