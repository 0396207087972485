"""Loopback TCP proxies that inject faults into the connections between two programs."""

import asyncio
import threading
from collections.abc import Coroutine
from contextlib import ExitStack, suppress
from typing import Any

_READ_BYTES = 65536
_HOLD_POLL_SECONDS = 0.02
_CALL_TIMEOUT_SECONDS = 5.0


class _ProxiedConnection:
    """The writers of both sides of one proxied connection.

    :ivar silent: whether it forwards nothing any more while it stays open.
    """

    def __init__(self, writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.silent = False


class TcpProxy:
    """Proxy to one address, with the faults that it injects at present.

    :ivar delay: seconds by which each chunk of bytes is delayed.
    :ivar hold_requests: whether bytes to the server are held back, as in a network partition.
    :ivar hold_answers: the same for bytes from the server.
    :ivar refusing: whether new connections are aborted at once.
    :ivar port: port on which the proxy listens; 0 before :meth:`open`.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, target: tuple[str, int]) -> None:
        self.delay = 0.0
        self.hold_requests = False
        self.hold_answers = False
        self.refusing = False
        self.port = 0
        self._loop = loop
        self._target = target
        self._connections: set[_ProxiedConnection] = set()
        self._server: asyncio.Server | None = None

    def reset(self) -> None:
        """Reset the open connections."""
        self._loop.call_soon_threadsafe(self._abort_connections)

    def silence(self) -> None:
        """Forward nothing more on the open connections; new ones work."""
        self._loop.call_soon_threadsafe(self._silence_connections)

    async def open(self) -> None:
        """Start to listen on a free port."""
        self._server = await asyncio.start_server(self._handle_connection, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def _abort_connections(self) -> None:
        for connection in self._connections:
            for writer in connection.writers:
                writer.transport.abort()

    def _silence_connections(self) -> None:
        for connection in self._connections:
            connection.silent = True

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refusing:
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(*self._target)
        except OSError:
            # The client of the proxy sees a reset instead of the refusal.
            writer.transport.abort()
            return
        connection = _ProxiedConnection((writer, server_writer))
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(connection, reader, server_writer, "hold_requests"),
                self._forward(connection, server_reader, writer, "hold_answers"),
            )
        except OSError:
            # One side has reset its connection; the other side is reset too.
            for side_writer in connection.writers:
                side_writer.transport.abort()
        except asyncio.CancelledError:
            # The run ends; asyncio's server callback would print an error for a cancelled task.
            pass
        finally:
            self._connections.discard(connection)
            for side_writer in connection.writers:
                side_writer.close()

    async def _forward(
        self,
        connection: _ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hold_attribute: str,
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            if self.delay:
                await asyncio.sleep(self.delay)
            while connection.silent or getattr(self, hold_attribute):
                await asyncio.sleep(_HOLD_POLL_SECONDS)
                if writer.transport.is_closing():
                    return
            writer.write(data)
            await writer.drain()
        if not connection.silent and writer.can_write_eof():
            with suppress(OSError):
                writer.write_eof()


class Proxies:
    """All proxies of a run, on an event loop in a separate thread."""

    def __init__(self, stack: ExitStack) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="proxies", daemon=True)
        self._thread.start()
        stack.callback(self._close)

    def add(self, host: str, port: int) -> TcpProxy:
        """Start a proxy to an address."""
        proxy = TcpProxy(self._loop, (host, port))
        self._run_on_loop(proxy.open())
        return proxy

    def _close(self) -> None:
        self._run_on_loop(_cancel_other_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_CALL_TIMEOUT_SECONDS)

    def _run_on_loop(self, coroutine: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(_CALL_TIMEOUT_SECONDS)


async def _cancel_other_tasks() -> None:
    """Cancel all tasks of the loop except the present one: those of the open connections."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
