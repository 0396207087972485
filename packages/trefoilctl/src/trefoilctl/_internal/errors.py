"""Error that ends a command."""


class CtlError(Exception):
    """A command failed; its message is printed on one line."""
