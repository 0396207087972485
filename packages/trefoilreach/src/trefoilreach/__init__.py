"""Daemon of the trefoilreach serving system."""

__version__ = "0.1.0"
