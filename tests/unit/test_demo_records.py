"""Guards against processes of a killed demo that the next run does not recognise as its own."""

from pathlib import Path

import orjson
import pytest
from trefoilreach_emulator._internal.demo import records
from trefoilreach_emulator._internal.demo.records import Record, RunRecords


def test_record_waits_for_the_command_line(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Right after a start, the kernel may show an empty command line."""
    found = iter([[], [], ["python", "-m", "trefoilreach"]])
    monkeypatch.setattr(
        records, "read_process", lambda name, pid: Record(name, pid, 7, next(found))
    )
    RunRecords(tmp_path).add("vm1", 123)
    saved = orjson.loads((tmp_path / "processes.json").read_bytes())
    assert saved[0]["command"] == ["python", "-m", "trefoilreach"]
