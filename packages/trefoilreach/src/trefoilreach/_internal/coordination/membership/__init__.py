"""Fleet membership, entry points, leases, isolation and planned shutdown."""
