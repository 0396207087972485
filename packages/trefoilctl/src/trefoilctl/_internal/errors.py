"""Errors that end a command with one line."""


class CtlError(Exception):
    """A command that cannot go on; the message fits on one line."""
