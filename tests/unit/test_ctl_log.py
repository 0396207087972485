"""Guards against missing, foreign or unordered lines in ``trefoilctl log explain``."""

from pathlib import Path

import pytest
from trefoilctl._internal.commands.log import explain, format_line, read_lines
from trefoilctl._internal.errors import CtlError

LOG = """ 1.0 vm-a {"timestamp": 1.0, "vm": "vm-a", "message_type": "store:lost", "table": "op"}
{"timestamp": 3.0, "vm": "vm-b", "message_type": "request:refused", "request_id": "q", "status": 5}
not a line
{"timestamp": 2.0, "vm": "vm-a", "message_type": "request:admitted", "request_id": "q"}
{"timestamp": 2.5, "vm": "vm-c", "message_type": "store:lost", "table": "op"}
{"timestamp": 60.0, "vm": "vm-a", "message_type": "store:regained", "table": "op"}
{"timestamp": 2.2, "vm": "vm-a", "message_type": "request:admitted", "request_id": "other"}
"""


def test_request_is_followed_over_daemons(tmp_path: Path) -> None:
    """Guards against lines of other requests, of daemons not involved or outside the time range."""
    file = tmp_path / "log"
    file.write_text(LOG)
    found = explain(list(read_lines([str(file)])), "q", 5.0)
    assert [(line["timestamp"], line["message_type"]) for line in found] == [
        (1.0, "store:lost"),
        (2.0, "request:admitted"),
        (3.0, "request:refused"),
    ]
    assert format_line(found[2]) == "3.000 vm-b request:refused status=5"


def test_unknown_id_and_file_are_named(tmp_path: Path) -> None:
    """Guards against an error that does not name the unknown id or the missing file."""
    with pytest.raises(CtlError, match="'z'"):
        explain([], "z", 1.0)
    with pytest.raises(CtlError, match="missing"):
        list(read_lines([str(tmp_path / "missing")]))
