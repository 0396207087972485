"""Plain service emulator: echoes calls and counts how often each one ran."""

import os
import threading
import time
from collections import Counter

from trefoilreach_emulator._internal.server import Exchange

_CRASH_EXIT_CODE = 70


class ServiceEmulator:
    """One service; :meth:`handle` answers its HTTP requests.

    A call is known by its ``X-Call`` header or its body. The query parameter
    ``drop=1`` runs the call and closes the connection without an answer,
    ``crash=1`` ends the process,
    ``delay=SECONDS`` answers late.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._calls: Counter[str] = Counter()

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == "/_calls":
            with self._lock:
                calls = dict(self._calls)
            exchange.reply(calls)
            return
        call = exchange.headers.get("X-Call") or exchange.body.decode(errors="replace")
        with self._lock:
            self._calls[call] += 1
            number = self._calls[call]
        time.sleep(float(exchange.query.get("delay", "0")))
        if exchange.query.get("crash") == "1":
            os._exit(_CRASH_EXIT_CODE)
        if exchange.query.get("drop") == "1":
            exchange.drop()
            return
        reply = {"path": exchange.path, "call": call, "run": number}
        exchange.reply({**reply, "headers": dict(exchange.headers.items())})
