"""Chunks that this daemon holds, and the progress of their items in memory."""

import uuid
from collections import deque
from typing import Any, NamedTuple

import orjson

from trefoilreach._internal.coordination.batch.chunks import Chunk
from trefoilreach._internal.coordination.batch.input import Item
from trefoilreach._internal.state.jobs import DONE, FREE, ChunkRecord, OpenJob

# An item that was in flight during this many worker crashes ends as an error.
CRASH_LIMIT = 2


class ResultLine(NamedTuple):
    """One finished item: a line of the output file or of the error file."""

    data: bytes
    failed: bool


class ItemTask:
    """One unfinished item; the feed's lock guards its fields.

    :ivar text: text generated so far, which the next attempt continues.
    :ivar failed_attempts: consecutive failed attempts that the item itself may have caused.
    :ivar isolated: whether it runs with no other batch item on its worker, as it may have
        crashed one.
    """

    def __init__(self, held: "HeldChunk", index: int, item: Item) -> None:
        self.held = held
        self.index = index
        self.item = item
        self.text = ""
        self.failed_attempts = 0
        self.crashes = 0
        self.isolated = False
        self.not_before = 0.0


class HeldChunk:
    """A claimed chunk; the feed's lock guards its fields.

    :ivar claim: the chunk's row as last written.
    :ivar unsaved_suspects: items that may have crashed a worker and must not run before their
        crash count is in the row.
    :ivar stop_state: state that the row gets when the chunk is stopped early: ``done`` when its
        job is cancelled, ``free`` when it is released; empty while items may start.
    :ivar crash_counts: crashes by item index, to be written to the row.
    :ivar stored_record: final record, set once its result object is written.
    """

    def __init__(
        self, job: OpenJob, model: str, claim: Chunk, items: list[Item], progress: bytes
    ) -> None:
        self.job = job
        self.model = model
        self.claim = claim
        self.items = items
        self.lines: dict[int, ResultLine] = _read_progress(items, claim.record, progress)
        self.pending: deque[ItemTask] = deque()
        self.suspects: deque[ItemTask] = deque()
        self.unsaved_suspects: list[ItemTask] = []
        self.running: set[ItemTask] = set()
        self.stop_state = ""
        self.crash_counts = {int(number): n for number, n in claim.record.suspects.items()}
        self.stored_record: ChunkRecord | None = None
        self._queue_unfinished()

    @property
    def key(self) -> str:
        """Key of the chunk's row."""
        return self.claim.key

    @property
    def complete(self) -> bool:
        """Whether every item has ended."""
        return len(self.lines) == len(self.items)

    @property
    def drained(self) -> bool:
        """Whether no item runs and none will start."""
        return not self.running and bool(self.stop_state or self.complete)

    def finish(self, task: ItemTask, line: ResultLine) -> None:
        """Store the result line of an item that has ended."""
        self.lines[task.index] = line
        if not line.failed:
            self.crash_counts.pop(task.index, None)

    def record_crash(self, task: ItemTask, is_culprit: bool) -> None:
        """Count a crash; the item waits until the count is in the row.

        An item that was in flight but is not known as the cause stays a suspect with a count
        of 1, however often that happens.
        """
        task.crashes = CRASH_LIMIT if is_culprit else 1
        task.isolated = True
        task.text = ""
        self.crash_counts[task.index] = task.crashes
        self.unsaved_suspects.append(task)

    def queue_saved_suspect(self, task: ItemTask) -> None:
        """Queue an item to run isolated, or end it, now that its crash count is in the row."""
        self.unsaved_suspects.remove(task)
        if task.crashes >= CRASH_LIMIT:
            self.finish(task, crash_line(task.item))
        else:
            self.suspects.append(task)

    def requeue(self, task: ItemTask) -> None:
        """Queue an unfinished item again, ahead of those that have not started."""
        (self.suspects if task.isolated else self.pending).appendleft(task)

    def running_record(self) -> ChunkRecord:
        """Return the record that a renewal of the lease writes."""
        failed = sum(line.failed for line in self.lines.values())
        return self.claim.record._replace(
            suspects=self._encode_suspects(), progress=(len(self.lines) - failed, failed)
        )

    def encode_result(self) -> bytes:
        """Return the finished items: the output lines, then the error lines."""
        return self._join_lines(failed=False) + self._join_lines(failed=True)

    def ended_record(self, state: str, result: str) -> ChunkRecord:
        """Return the record of a chunk that this daemon finishes or releases.

        :param state: ``done`` or ``free``.
        """
        failed = sum(line.failed for line in self.lines.values())
        return self.claim.record._replace(
            state=state,
            owner=self.claim.record.owner if state == DONE else "",
            result=result if self.lines else "",
            completed=len(self.lines) - failed,
            failed=failed,
            output_bytes=len(self._join_lines(failed=False)),
            error_bytes=len(self._join_lines(failed=True)),
            suspects=self._encode_suspects() if state == FREE else {},
            progress=(0, 0),
        )

    def _queue_unfinished(self) -> None:
        for index, item in enumerate(self.items):
            if index in self.lines:
                continue
            task = ItemTask(self, index, item)
            task.crashes = self.crash_counts.get(index, 0)
            if task.crashes >= CRASH_LIMIT:
                self.finish(task, crash_line(item))
            elif task.crashes:
                task.isolated = True
                self.suspects.append(task)
            else:
                self.pending.append(task)

    def _encode_suspects(self) -> dict[str, int]:
        return {str(index): count for index, count in self.crash_counts.items()}

    def _join_lines(self, failed: bool) -> bytes:
        lines = [self.lines[index] for index in sorted(self.lines)]
        return b"".join(line.data for line in lines if line.failed is failed)


def _read_progress(
    items: list[Item], record: ChunkRecord, progress: bytes
) -> dict[int, ResultLine]:
    index_by_id = {item.custom_id: index for index, item in enumerate(items)}
    lines: dict[int, ResultLine] = {}
    offset = 0
    for text in progress.splitlines(keepends=True):
        index = index_by_id[orjson.loads(text)["custom_id"]]
        lines[index] = ResultLine(text, offset >= record.output_bytes)
        offset += len(text)
    return lines


def output_line(item: Item, request_id: str, body: dict[str, Any]) -> ResultLine:
    """Return the output line of a completed item."""
    response = {"status_code": 200, "request_id": request_id, "body": body}
    return ResultLine(_encode_line(item, response, None), failed=False)


def error_line(item: Item, status: int, code: str, message: str) -> ResultLine:
    """Return the error line of an item that cannot be completed."""
    error = {"code": code, "message": message}
    body = {"error": {**error, "type": "invalid_request_error", "param": None}}
    response = {"status_code": status, "request_id": None, "body": body}
    return ResultLine(_encode_line(item, response, error), failed=True)


def crash_line(item: Item) -> ResultLine:
    """Return the error line of an item that crashed too many workers."""
    message = f"{CRASH_LIMIT} backend servers crashed while they ran this item"
    return error_line(item, 422, "server_crashed", message)


def _encode_line(item: Item, response: Any, error: Any) -> bytes:
    line = {
        "id": f"batch_req_{uuid.uuid4().hex}",
        "custom_id": item.custom_id,
        "response": response,
        "error": error,
    }
    return orjson.dumps(line) + b"\n"
