"""Exchange of reports between the daemons of a deployment, by UDP datagrams."""
