"""Remembers the processes of a run, so that the next run can end those that are left."""

import os
import signal
import time
from pathlib import Path
from typing import NamedTuple

import orjson

from trefoilreach_emulator._internal.demo.errors import DemoError

SELF_NAME = "demo"
_FILE = "processes.json"
_END_TIMEOUT_SECONDS = 5.0
_POLL_SECONDS = 0.05
_EXEC_POLL_SECONDS = 0.001
# How long a new process may take to replace the program that started it.
_EXEC_TIMEOUT_SECONDS = 5.0
# Position of the start time in /proc/PID/stat, counted behind the program name.
_START_TIME_FIELD = 19


class Record(NamedTuple):
    """One process; the start time tells it from a later process with the same id.

    :param start_time: clock ticks since boot.
    """

    name: str
    pid: int
    start_time: int
    command: list[str]


def read_process(name: str, pid: int) -> Record | None:
    """Return the record of a running process, or None when there is none."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
        command = Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")
    except OSError:
        return None
    fields = stat.rpartition(")")[2].split()
    if fields[0] == "Z":
        return None
    words = [word.decode(errors="replace") for word in command if word]
    return Record(name, pid, int(fields[_START_TIME_FIELD]), words)


class RunRecords:
    """The file that names the processes of the present run."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / _FILE
        self._records: dict[str, Record] = {}

    def add(self, name: str, pid: int) -> None:
        """Remember a process that was just started."""
        record = _read_started(name, pid)
        if record is not None:
            self._records[name] = record
            self._save()

    def clear(self) -> None:
        """Forget all processes; they have ended."""
        self._path.unlink(missing_ok=True)

    def end_earlier_run(self) -> list[str]:
        """End what an earlier run left behind; return the names.

        :raises DemoError: when the earlier run is still going on.
        """
        left = [record for record in self._load() if _is_same_process(record)]
        for record in left:
            if record.name == SELF_NAME and record.pid != os.getpid():
                raise DemoError(f"a demo already runs here as process {record.pid}")
        for record in left:
            _end_process(record)
        return [record.name for record in left]

    def _load(self) -> list[Record]:
        try:
            return [Record(**fields) for fields in orjson.loads(self._path.read_bytes())]
        except (OSError, orjson.JSONDecodeError, TypeError):
            return []

    def _save(self) -> None:
        data = orjson.dumps([record._asdict() for record in self._records.values()])
        temporary = self._path.with_suffix(".new")
        temporary.write_bytes(data)
        temporary.replace(self._path)


def _read_started(name: str, pid: int) -> Record | None:
    """Return the record of a process that was just started.

    The kernel reports the start of a program before it shows its command line, which is
    empty until then. A record without it would match no process of a later run.
    """
    end = time.monotonic() + _EXEC_TIMEOUT_SECONDS
    record = read_process(name, pid)
    while record is not None and not record.command and time.monotonic() < end:
        time.sleep(_EXEC_POLL_SECONDS)
        record = read_process(name, pid)
    return record


def _is_same_process(record: Record) -> bool:
    return read_process(record.name, record.pid) == record


def _end_process(record: Record) -> None:
    end = time.monotonic() + _END_TIMEOUT_SECONDS
    os.kill(record.pid, signal.SIGKILL)
    while _is_same_process(record):
        if time.monotonic() > end:
            raise DemoError(f"process {record.pid} ({record.name}) of an earlier run does not end")
        time.sleep(_POLL_SECONDS)
