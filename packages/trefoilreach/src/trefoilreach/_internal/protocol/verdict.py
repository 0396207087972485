"""Verdicts on whether a refused request may have run, and the refusals that carry them."""

from enum import Enum


class Verdict(Enum):
    """Whether a request without a complete answer may have run."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class Refusal(Exception):
    """A final answer other than the result that the caller asked for.

    :param status: HTTP status code.
    :param code: machine-readable error code.
    :param verdict: whether the request may have run.
    :param retry_after: seconds after which trying again can help, or None.
    :param param: name of the field at fault, or None.
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


def refuse_bad_request(message: str, param: str | None = None) -> Refusal:
    """Return a refusal for invalid input."""
    return Refusal(400, "invalid_request", message, param=param)


def refuse_unavailable(message: str, retry_after: float) -> Refusal:
    """Return a refusal for a request that found no capacity or no store."""
    return Refusal(503, "unavailable", message, retry_after=retry_after)
