"""Probes, one module for each role; importing this package registers them."""

from trefoilreach_emulator._internal.capacity.probes import configuration, entry, membership

__all__ = ["configuration", "entry", "membership"]
