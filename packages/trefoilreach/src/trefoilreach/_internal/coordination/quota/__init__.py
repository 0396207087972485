"""Enforcement of each client account's rate and burst over all VMs."""
