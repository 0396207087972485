"""Rate and burst of each client account over all VMs."""
