"""Guards against signal handlers that wait for a lock of the thread that they interrupt."""

import os
import signal
import threading
from collections.abc import Iterator

import pytest
from trefoilreach._internal.signals import handle_signals

_SIGNALS = (signal.SIGUSR1, signal.SIGUSR2)


@pytest.fixture(autouse=True)
def _restored_handlers() -> Iterator[None]:
    handlers = {number: signal.getsignal(number) for number in _SIGNALS}
    yield
    for number, handler in handlers.items():
        signal.signal(number, handler)


def test_handler_may_take_a_lock_of_the_interrupted_thread() -> None:
    """Guards against a handler that never returns, such as one that sets an event."""
    lock, done = threading.Lock(), threading.Event()

    def handle() -> None:
        with lock:
            done.set()

    handle_signals({signal.SIGUSR1: handle})
    with lock:
        os.kill(os.getpid(), signal.SIGUSR1)
        assert not done.wait(0.05)
    assert done.wait(5.0)


def test_signals_are_handled_in_their_order_and_none_is_lost_while_another_is_handled() -> None:
    handled: list[str] = []
    busy, resume, done = threading.Event(), threading.Event(), threading.Event()

    def handle_first() -> None:
        busy.set()
        resume.wait(5.0)
        handled.append("first")

    def handle_second() -> None:
        handled.append("second")
        done.set()

    handle_signals({signal.SIGUSR1: handle_first, signal.SIGUSR2: handle_second})
    os.kill(os.getpid(), signal.SIGUSR1)
    assert busy.wait(5.0)
    os.kill(os.getpid(), signal.SIGUSR2)
    resume.set()
    assert done.wait(5.0)
    assert handled == ["first", "second"]
