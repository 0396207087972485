"""Tests what the entry point of the daemon does before the imports that take most of a start."""

import signal
import sys
from types import ModuleType

import pytest
from trefoilreach import __main__ as entry_point


@pytest.mark.parametrize("command", ["serve", "run"])
def test_reload_during_a_start_does_not_end_the_daemon(
    command: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a daemon that SIGHUP ends, as it does not handle the signal yet."""
    seen = []
    command_line = ModuleType("main")
    command_line.run = lambda arguments: seen.append(signal.getsignal(signal.SIGHUP)) or 0
    monkeypatch.setitem(sys.modules, "trefoilreach._internal.main", command_line)
    monkeypatch.setattr(sys, "argv", ["trefoilreachd", command])
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        assert entry_point.main() == 0
    finally:
        signal.signal(signal.SIGHUP, before)
    assert seen == [signal.SIG_IGN if command == "serve" else signal.SIG_DFL]
