"""The configuration in force, its changes, and key withdrawals."""
