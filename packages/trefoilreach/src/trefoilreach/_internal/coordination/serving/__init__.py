"""Requests with opaque bodies: who waits, who is refused, and which backend server runs what."""
