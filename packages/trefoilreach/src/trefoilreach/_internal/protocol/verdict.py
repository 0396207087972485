"""Refusals of requests, each with a verdict on whether the request may have run."""

from enum import Enum


class Verdict(Enum):
    """Whether a request without a complete answer may have run."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class Refusal(Exception):
    """An error answer to a caller.

    :param status: HTTP status code.
    :param code: machine-readable error code.
    :param verdict: whether the request may have run.
    :param retry_after: seconds after which a retry may succeed, or None.
    :param param: name of the invalid field, or None.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after: float | None = None,
        param: str | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.verdict = verdict
        self.retry_after = retry_after
        self.param = param


def build_bad_request_refusal(message: str, param: str | None = None) -> Refusal:
    """Return a refusal for invalid input."""
    return Refusal(400, "invalid_request", message, param=param)


def build_unavailable_refusal(message: str, retry_after: float) -> Refusal:
    """Return a refusal for lack of capacity or an unavailable store.

    :param retry_after: seconds after which a retry may succeed.
    """
    return Refusal(503, "unavailable", message, retry_after=retry_after)
