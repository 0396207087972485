"""Starts daemons with the users' settings format, with emulated platform and workers."""

from trefoilreach_emulator._internal.deployment import (
    Daemon,
    Deployment,
    Reply,
    wait_for_results,
)

__all__ = ["Daemon", "Deployment", "Reply", "wait_for_results"]
