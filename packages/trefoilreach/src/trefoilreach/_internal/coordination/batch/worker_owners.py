"""Which daemon is responsible for each worker, by rendezvous hashing.

At 3,100 workers and 420 daemons, hashing every pair takes a quarter of a second, so the
results are kept and only what a change of daemons or workers affects is hashed again.
"""

import threading
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from trefoilreach._internal.coordination.membership.peers import Member
from trefoilreach._internal.state.config import Server


class _Best(NamedTuple):
    weight: int
    vm: str


class WorkerOwners:
    """Keeps the responsible daemon of each worker."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._servers: Sequence[Server] = ()
        self._vms: frozenset[str] = frozenset()
        self._best: dict[str, _Best] = {}

    def owned(self, servers: Sequence[Server], live: Sequence[Member], own: str) -> list[Server]:
        """Return the live engines among ``servers`` for which the VM ``own`` is responsible."""
        vms = frozenset(member.vm for member in live)
        with self._lock:
            if servers is not self._servers or vms != self._vms:
                self._update(servers, vms)
            return [entry for entry in servers if self._vm_of(entry) == own]

    def _vm_of(self, server: Server) -> str:
        best = self._best.get(server.name)
        return best.vm if best is not None else ""

    def _update(self, servers: Sequence[Server], vms: frozenset[str]) -> None:
        joined = vms - self._vms
        self._best = {
            entry.name: self._find_best(entry.name, vms, joined)
            for entry in servers
            if entry.kind == "engine" and entry.state == "live"
        }
        self._servers, self._vms = servers, vms

    def _find_best(self, worker: str, vms: frozenset[str], joined: frozenset[str]) -> _Best:
        best = self._best.get(worker)
        if best is None or best.vm not in vms:
            return _find_heaviest(worker, vms)
        return max(best, _find_heaviest(worker, joined)) if joined else best


def weigh(item: str, vm: str) -> int:
    """Return the weight of a VM for an item; the heaviest VM is responsible for it."""
    return xxhash.xxh64_intdigest(f"{item}\n{vm}".encode())


def _find_heaviest(worker: str, vms: frozenset[str]) -> _Best:
    vm = max(vms, key=lambda name: weigh(worker, name), default="")
    return _Best(weigh(worker, vm), vm) if vm else _Best(-1, "")
