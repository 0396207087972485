"""Probes, one module for each role; importing this package registers them."""

from trefoilreach_emulator._internal.capacity.probes import (
    audit,
    batch,
    configuration,
    entry,
    membership,
    placement,
    quota,
    routing,
    vm_list,
)

__all__ = [
    "audit",
    "batch",
    "configuration",
    "entry",
    "membership",
    "placement",
    "quota",
    "routing",
    "vm_list",
]
