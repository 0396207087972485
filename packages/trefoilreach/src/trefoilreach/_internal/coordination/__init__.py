"""Decisions that daemons take together: membership, quota, routing, batch, placement."""
