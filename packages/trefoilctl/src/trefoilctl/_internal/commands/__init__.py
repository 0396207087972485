"""Commands; each module registers the commands that start with one word."""

from importlib import import_module

MODULES = (
    "account",
    "audit",
    "batch",
    "batch_submit",
    "config",
    "entrypoints",
    "key",
    "log",
    "route",
    "server",
    "vm",
    "work_class",
)


def load_commands() -> None:
    """Import the modules, which registers their commands."""
    for name in MODULES:
        import_module(f"{__name__}.{name}")
