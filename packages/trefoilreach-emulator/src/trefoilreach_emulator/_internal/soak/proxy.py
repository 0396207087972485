"""Loopback TCP proxies that harm the connections between two programs."""

import asyncio
import threading
from collections.abc import Coroutine
from contextlib import ExitStack, suppress
from typing import Any

_READ_BYTES = 65536
_HOLD_STEP_SECONDS = 0.02
_CALL_SECONDS = 5.0


class _Pair:
    """One proxied connection."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.silent = False


class Link:
    """Proxy to one address, with the harm that it does at present.

    :ivar delay: seconds by which bytes come later.
    :ivar hold_requests: whether bytes towards the server wait, as in a cut.
    :ivar hold_answers: the same for the other direction.
    :ivar refusing: whether new connections are closed at once.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, target: tuple[str, int]) -> None:
        self.delay = 0.0
        self.hold_requests = False
        self.hold_answers = False
        self.refusing = False
        self.port = 0
        self._loop = loop
        self._target = target
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None

    def reset(self) -> None:
        """Reset the open connections."""
        self._loop.call_soon_threadsafe(self._abort_all)

    def silence(self) -> None:
        """Let the open connections deliver nothing any more; new ones work."""
        self._loop.call_soon_threadsafe(self._silence_all)

    async def open(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def _abort_all(self) -> None:
        for pair in self._pairs:
            for writer in pair.writers:
                writer.transport.abort()

    def _silence_all(self) -> None:
        for pair in self._pairs:
            pair.silent = True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refusing:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            # The caller of the proxy sees the refusal as a reset.
            writer.transport.abort()
            return
        pair = _Pair((writer, far_writer))
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(pair, reader, far_writer, "hold_requests"),
                self._pump(pair, far_reader, writer, "hold_answers"),
            )
        except OSError:
            # One side has reset its connection; the other one sees the same.
            for each in pair.writers:
                each.transport.abort()
        except asyncio.CancelledError:
            # The run ends; the server's callback would print a cancelled task.
            pass
        finally:
            self._pairs.discard(pair)
            for each in pair.writers:
                each.close()

    async def _pump(
        self, pair: _Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, held: str
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            if self.delay:
                await asyncio.sleep(self.delay)
            while pair.silent or getattr(self, held):
                await asyncio.sleep(_HOLD_STEP_SECONDS)
                if writer.transport.is_closing():
                    return
            writer.write(data)
            await writer.drain()
        if not pair.silent and writer.can_write_eof():
            with suppress(OSError):
                writer.write_eof()


class Proxies:
    """All proxies of a run, on an event loop in a thread of its own."""

    def __init__(self, stack: ExitStack) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="proxies", daemon=True)
        self._thread.start()
        stack.callback(self._close)

    def add(self, host: str, port: int) -> Link:
        """Start a proxy to an address."""
        link = Link(self._loop, (host, port))
        self._run(link.open())
        return link

    def _close(self) -> None:
        self._run(_cancel_others())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_CALL_SECONDS)

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result(_CALL_SECONDS)


async def _cancel_others() -> None:
    """End the tasks of all open connections."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
