"""Errors of the demo."""


class DemoError(Exception):
    """The demo cannot go on; the message fits on one line."""


class StepFailed(Exception):
    """A step had another outcome than it must have."""


def expect(condition: bool, message: str) -> None:
    """Fail the running step unless the condition holds."""
    if not condition:
        raise StepFailed(message)
