"""Emulators, load tool and measurements for trefoilreach."""

__version__ = "0.1.0"
