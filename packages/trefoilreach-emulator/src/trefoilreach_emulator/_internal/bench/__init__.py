"""Measurements of the daemons against emulators on loopback."""
