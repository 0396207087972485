"""Scenarios, one module each; importing this package registers them."""

from trefoilreach_emulator._internal.bench.scenarios import (
    contention,
    latency,
    mixed,
    quota,
    relay,
    routing,
)

__all__ = ["contention", "latency", "mixed", "quota", "relay", "routing"]
