"""Threads on a simulated time that passes only while all of them wait.

One thread runs at a time, so that a run is the same each time, and processor time takes none of the
simulated time.
"""

import threading
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Any

_START_SECONDS = 1000.0


class _Task:
    """A thread and what it waits for; a deadline of infinity is none."""

    def __init__(self, work: Callable[[], None]) -> None:
        self.work = work
        self.resumed = threading.Semaphore(0)
        self.is_ready: Callable[[], bool] = lambda: True
        self.deadline = float("inf")
        self.thread: threading.Thread | None = None


class VirtualTime:
    """Runs tasks, each a thread, and advances the time when all of them wait; is their clock."""

    def __init__(self) -> None:
        self._now = _START_SECONDS
        self._tasks: list[_Task] = []
        self._current: _Task | None = None
        self._paused = threading.Semaphore(0)
        self._errors: list[BaseException] = []
        self._closing = False

    def now(self) -> float:
        """Return the simulated time."""
        return self._now

    def wall_time(self) -> float:
        """Return the simulated time as seconds since the epoch."""
        return self._now

    def sleep(self, seconds: float) -> None:
        """Block the calling task for a time."""
        self.block(lambda: False, self._now + seconds)

    def wait(self, event: threading.Event, timeout: float) -> bool:
        """Block the calling task until an event or the timeout."""
        self.block(event.is_set, self._now + timeout)
        return event.is_set()

    def block(self, is_ready: Callable[[], bool], deadline: float = float("inf")) -> None:
        """Block the calling task until a condition holds or the deadline has passed."""
        task = self._current
        assert task is not None, "only tasks can wait"
        task.is_ready, task.deadline = is_ready, deadline
        self._paused.release()
        task.resumed.acquire()
        if self._closing:
            raise SystemExit

    def spawn(self, work: Callable[[], None]) -> None:
        """Start a task, which begins when the present one waits."""
        self._tasks.append(_Task(work))

    def run(self, seconds: float) -> None:
        """Run the tasks for a time.

        :raises BaseException: when a task raised it.
        """
        end = self._now + seconds
        while not self._errors:
            task = next((t for t in self._tasks if t.deadline <= self._now or t.is_ready()), None)
            if task is not None:
                self._resume(task)
                continue
            deadline = min((t.deadline for t in self._tasks), default=float("inf"))
            if deadline > end:
                self._now = end
                return
            self._now = deadline
        raise self._errors[0]

    def close(self) -> None:
        """End the threads of all tasks."""
        self._closing = True
        for task in list(self._tasks):
            if task.thread is not None:
                self._resume(task)

    def _resume(self, task: _Task) -> None:
        self._tasks.remove(task)
        self._tasks.append(task)
        self._current = task
        if task.thread is None:
            task.thread = threading.Thread(target=self._run_task, args=(task,), daemon=True)
            task.thread.start()
        else:
            task.resumed.release()
        self._paused.acquire()
        self._current = None

    def _run_task(self, task: _Task) -> None:
        try:
            task.work()
        except BaseException as error:
            if not self._closing:
                self._errors.append(error)
        finally:
            self._tasks.remove(task)
            self._paused.release()


class VirtualLock:
    """A lock on which tasks wait in simulated time."""

    def __init__(self, time: VirtualTime) -> None:
        self._time = time
        self._held = False

    def __enter__(self) -> None:
        """Wait until the lock is free and take it."""
        if self._held:
            self._time.block(lambda: not self._held)
        self._held = True

    def __exit__(self, *details: object) -> None:
        """Release the lock."""
        self._held = False


class VirtualExecutor(Executor):
    """Runs each submitted call as a task.

    :param limit: maximum number of calls that run at once.
    """

    def __init__(self, time: VirtualTime, limit: int) -> None:
        self._time = time
        self._free = limit

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        """Start a task for a call."""
        future: Future[Any] = Future()

        def work() -> None:
            if not self._free:
                self._time.block(lambda: self._free > 0)
            self._free -= 1
            try:
                result = fn(*args, **kwargs)
            finally:
                self._free += 1
            future.set_result(result)

        self._time.spawn(work)
        return future
