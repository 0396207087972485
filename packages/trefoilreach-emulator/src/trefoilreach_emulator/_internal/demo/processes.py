"""Starts and ends the programs of the demo."""

import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from trefoilreach_emulator._internal.demo.errors import DemoError
from trefoilreach_emulator._internal.demo.records import RunRecords

_START_TIMEOUT_SECONDS = 20.0
_END_TIMEOUT_SECONDS = 3.0
_POLL_SECONDS = 0.05


class Processes:
    """The programs that this run started, by name."""

    def __init__(self, folder: Path, records: RunRecords) -> None:
        self._folder = folder
        self._records = records
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    @property
    def pids(self) -> dict[str, int]:
        """Process ids by name."""
        return {name: process.pid for name, process in self._processes.items()}

    def start(self, name: str, module: str, arguments: list[str], host: str, port: int) -> None:
        """Start a program and wait until it takes connections."""
        with (self._folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                # Ctrl-C reaches the demo only, which then ends its programs by id.
                start_new_session=True,
            )
        self._processes[name] = process
        self._records.add(name, process.pid)
        self._wait_until_open(name, host, port)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one program."""
        self._processes[name].send_signal(number)

    def wait(self, name: str, timeout: float) -> int | None:
        """Return the exit code of a program, or None when it still runs after ``timeout`` s."""
        try:
            return self._processes[name].wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def close(self) -> None:
        """End every program."""
        for process in self._processes.values():
            if process.poll() is None:
                process.terminate()
        end = time.monotonic() + _END_TIMEOUT_SECONDS
        for process in self._processes.values():
            try:
                process.wait(max(0.0, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _wait_until_open(self, name: str, host: str, port: int) -> None:
        end = time.monotonic() + _START_TIMEOUT_SECONDS
        while not _connects(host, port):
            code = self._processes[name].poll()
            if code is not None:
                raise DemoError(f"{name} ended with code {code}; see {self._folder}/{name}.log")
            if time.monotonic() > end:
                raise DemoError(f"{name} takes no connections; see {self._folder}/{name}.log")
            time.sleep(_POLL_SECONDS)


def _connects(host: str, port: int) -> bool:
    try:
        with socket.create_connection((host, port), timeout=1.0):
            return True
    except OSError:
        return False
