"""Operators' HTTP interface: one module per kind of resource."""

from trefoilreach._internal.api import (  # noqa: F401 - each registers its routes
    admin_config,
    admin_entries,
    admin_keys,
)
