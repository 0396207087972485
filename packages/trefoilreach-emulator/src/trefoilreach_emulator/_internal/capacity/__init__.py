"""Cost of each role against the size of the fleet, from measured slopes."""
