"""Blocks outgoing connections of a daemon to the hosts listed in the file ``CUT_FILE`` names.

Python loads this module at the start of a process whose ``PYTHONPATH`` contains its folder. A
blocked connection attempt times out, as in a network partition between two regions, and open
connections to these hosts are shut down.
"""

import os
import socket
import threading
import time
import weakref
from pathlib import Path
from typing import Any

_POLL_SECONDS = 0.05
_FILE = Path(os.environ["CUT_FILE"])
_connect = socket.socket.connect
_open: "weakref.WeakSet[socket.socket]" = weakref.WeakSet()


def _cut_hosts() -> set[str]:
    return set(_FILE.read_text().split()) if _FILE.exists() else set()


def _is_cut(address: Any, hosts: set[str]) -> bool:
    return address[0] in hosts or f"{address[0]}:{address[1]}" in hosts


def _guarded_connect(self: socket.socket, address: Any) -> None:
    if isinstance(address, tuple) and _is_cut(address, _cut_hosts()):
        time.sleep(self.gettimeout() or 1.0)
        raise TimeoutError("the test cut this connection")
    _connect(self, address)
    _open.add(self)


def _close_cut() -> None:
    while True:
        hosts = _cut_hosts()
        for connection in list(_open) if hosts else ():
            try:
                if _is_cut(connection.getpeername(), hosts):
                    connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        time.sleep(_POLL_SECONDS)


socket.socket.connect = _guarded_connect  # type: ignore[method-assign, assignment]
threading.Thread(target=_close_cut, name="test-cut", daemon=True).start()
