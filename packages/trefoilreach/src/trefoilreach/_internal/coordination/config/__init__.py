"""The configuration in force, its changes, and the keys."""
