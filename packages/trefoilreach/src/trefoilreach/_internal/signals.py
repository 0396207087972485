"""Calls functions for the signals of the process, in a thread of their own."""

import signal
import threading
from collections.abc import Callable, Mapping
from queue import SimpleQueue


def handle_signals(handlers: Mapping[signal.Signals, Callable[[], None]]) -> None:
    """Call a function for each signal of its number that arrives from now on.

    Python runs a signal handler in the main thread between any two instructions, also while that
    thread holds a lock. A handler that needs the same lock, as the one of an event, would wait for
    ever. ``SimpleQueue.put`` may interrupt itself.
    """
    received: SimpleQueue[int] = SimpleQueue()

    def run_handlers() -> None:
        while True:
            handlers[signal.Signals(received.get())]()

    threading.Thread(target=run_handlers, name="signals", daemon=True).start()
    for number in handlers:
        signal.signal(number, lambda caught, frame: received.put(caught))
