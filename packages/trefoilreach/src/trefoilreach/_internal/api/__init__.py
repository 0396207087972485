"""HTTP API: handlers for callers, operators and the monitor."""
