"""Bytes of one answer of the platform to a read of the list of VMs.

Counts head and body of the answer, without the request and the headers of TCP and IP.
"""

import socket

from trefoilreach_emulator._internal.capacity.slopes import Point, Slope, fit_slope, probes
from trefoilreach_emulator._internal.http_call import Address, call
from trefoilreach_emulator._internal.peers import list_places
from trefoilreach_emulator._internal.platform import PlatformEmulator
from trefoilreach_emulator._internal.server import run_server

_VM_SIZES = (12, 48, 120, 420)
_HOST = "127.0.0.1"
_READ_BYTES = 65536
_TIMEOUT_SECONDS = 10.0


@probes.register("vm-list")
def measure_vm_list(seconds: float) -> list[Slope]:
    """Measure an answer with the whole list and one that says that it has not changed."""
    whole: list[Point] = []
    unchanged: list[Point] = []
    for size in _VM_SIZES:
        with run_server(_HOST, 0, _build_platform(size).handle) as port:
            tag = call(Address(_HOST, port), "GET", "/vms").headers["etag"]
            whole.append(Point(size, _count_answer(port, "") / 1000))
            unchanged.append(Point(size, _count_answer(port, tag) / 1000))
    return [
        fit_slope("VM list", "whole answer", "KB", "VMs", whole),
        fit_slope("VM list", "unchanged answer", "KB", "VMs", unchanged),
    ]


def _build_platform(size: int) -> PlatformEmulator:
    platform = PlatformEmulator()
    with run_server(_HOST, 0, platform.handle) as port:
        for place in list_places(size):
            vm = {
                "host": place.host,
                "data_centre": place.data_centre,
                "region": "r1",
                "state": "live",
                "http_port": 18080,
                "peer_port": 18081,
            }
            call(Address(_HOST, port), "PUT", f"/vms/{place.name}", vm)
    return platform


def _count_answer(port: int, tag: str) -> int:
    condition = f"If-None-Match: {tag}\r\n" if tag else ""
    request = f"GET /vms HTTP/1.1\r\nHost: {_HOST}\r\nConnection: close\r\n{condition}\r\n"
    count = 0
    with socket.create_connection((_HOST, port), _TIMEOUT_SECONDS) as connection:
        connection.sendall(request.encode())
        while data := connection.recv(_READ_BYTES):
            count += len(data)
    return count
