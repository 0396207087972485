"""Open-loop load tool."""
