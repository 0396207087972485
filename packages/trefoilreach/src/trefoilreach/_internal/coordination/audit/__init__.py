"""Records for the monitor."""
