"""HTTP handlers for callers, operators and the monitor."""
