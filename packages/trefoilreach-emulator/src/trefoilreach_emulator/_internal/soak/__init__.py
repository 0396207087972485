"""Randomized soak: real daemons, faults from outside, and checks of what is seen there."""
