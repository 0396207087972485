"""Starts daemons with the users' settings format against stand-ins of platform and workers."""

from trefoilreach_emulator._internal.deployment import (
    Daemon,
    Deployment,
    Reply,
    wait_for_results,
)

__all__ = ["Daemon", "Deployment", "Reply", "wait_for_results"]
