"""Finds out how the body of a worker's answer ended."""

from trefoilreach._internal.coordination.serving.request import ServingDependencies
from trefoilreach._internal.coordination.serving.worker_client import WorkerAnswer
from trefoilreach._internal.protocol.completeness import AnswerEnd, Framing
from trefoilreach._internal.state.serving import WorkerEntry

# A worker gets its time in whole milliseconds, and stops a run some milliseconds after or before.
_DEADLINE_MARGIN_SECONDS = 0.05


def find_answer_end(
    tools: ServingDependencies, worker: WorkerEntry, answer: WorkerAnswer, deadline: float
) -> AnswerEnd:
    """Return how a body ended that has no more bytes.

    Where only the connection marks the end, a worker that stops a run, or whose process ends
    between two events, leaves the same bytes as one that has sent everything.

    :param deadline: time until which the worker was to run the request, by the daemon's clock.
    """
    framing = answer.framing
    if framing is not Framing.CONNECTION:
        return AnswerEnd(framing)
    out_of_time = tools.clock.now() >= deadline - _DEADLINE_MARGIN_SECONDS
    # The worker is asked with a connection, which may take a slot for a moment.
    worker_ended = not out_of_time and tools.worker_client.has_ended(worker)
    return AnswerEnd(framing, out_of_time, worker_ended)
