"""Writes and reads the audit records for the monitor."""
