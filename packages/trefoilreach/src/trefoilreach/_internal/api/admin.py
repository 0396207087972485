"""Operator API: imports its modules, which register the handlers of one kind of resource each."""

from trefoilreach._internal.api import (  # noqa: F401 - each registers its routes
    admin_config,
    admin_entries,
    admin_keys,
)
