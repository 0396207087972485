"""Which daemons are live, entry points, leases and the planned stop."""
