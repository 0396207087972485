"""Tests items whose worker sends events without end."""

import itertools
from contextlib import ExitStack

from serving_fakes import EVENTS, FakeAnswer, FakeLink, Script
from test_jobs import CHECKED, OUTPUT, Fleet, make_document, read_until, stack

__all__ = ["stack"]

# A page of results, which holds at least one, has at most 1 MB.
MAX_OUTPUT_BYTES = 1_000_000
EVENT_BYTES = 60_000


class EndlessLink(FakeLink):
    """Workers whose first run sends events until the daemon closes the connection."""

    def __init__(self) -> None:
        super().__init__(decide=lambda dispatch: Script(pieces=tuple(EVENTS)))
        self.endless: FakeAnswer | None = None
        self.count = 0

    def open(self, *arguments: object) -> FakeAnswer:
        answer = super().open(*arguments)  # type: ignore[arg-type]
        if self.endless is None:
            self.endless = answer
            numbers = itertools.count(1)

            def read_chunk(timeout: float) -> bytes:
                if self.count * EVENT_BYTES > 20 * MAX_OUTPUT_BYTES:
                    raise AssertionError("the daemon keeps what it reads without a limit")
                self.count += 1
                return b"id: %d\ndata: %b\n\n" % (next(numbers), b"x" * EVENT_BYTES)

            answer.read_chunk = read_chunk  # type: ignore[method-assign]
        return answer


def test_output_without_end_is_not_kept(stack: ExitStack) -> None:
    """Guards against a daemon that one faulty worker brings out of memory."""
    fleet = Fleet(stack, lambda dispatch: Script())
    fleet.link = link = EndlessLink()
    keeper = fleet.start("d0")
    keeper.submit("j1", CHECKED, make_document(1))
    # The run is discarded, and the item runs again from its start at another worker.
    assert read_until(keeper, "j1", 1)[0].output == OUTPUT
    assert link.endless is not None and link.endless.closed
    assert link.count * EVENT_BYTES < MAX_OUTPUT_BYTES + 2 * EVENT_BYTES
    assert link.sent[0].worker.id != link.sent[1].worker.id
    assert link.sent[1].resume_after is None
