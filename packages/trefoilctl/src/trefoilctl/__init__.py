"""Command line for operators, batch callers and the monitor."""

__version__ = "0.1.0"
