"""What the daemons of a deployment tell each other by datagrams."""
