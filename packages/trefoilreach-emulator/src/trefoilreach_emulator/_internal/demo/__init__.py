"""The demo: a small fleet on loopback, configured and exercised as a user would."""
