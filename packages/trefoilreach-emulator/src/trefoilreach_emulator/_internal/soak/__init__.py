"""Randomized soak test: real daemons, injected faults and checks of the observed behaviour."""
