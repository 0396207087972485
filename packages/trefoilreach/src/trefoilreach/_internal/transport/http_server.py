"""HTTP server for callers, operators and the monitor."""

import threading
from collections.abc import Callable
from typing import Any

import waitress
from waitress.server import BaseWSGIServer

# Deliver every yielded chunk at once; the default gathers 18,000 bytes.
_SEND_BYTES = 1
_CONNECTION_LIMIT = 2000
# Reading on during a request is how a caller that went away is noticed.
_REQUEST_LOOKAHEAD = 1


class HttpServer:
    """A waitress server that runs in a thread of its own."""

    def __init__(self, app: Callable[..., Any], host: str, port: int, threads: int) -> None:
        self._server: BaseWSGIServer = waitress.create_server(
            app,
            host=host,
            port=port,
            threads=threads,
            send_bytes=_SEND_BYTES,
            connection_limit=_CONNECTION_LIMIT,
            channel_request_lookahead=_REQUEST_LOOKAHEAD,
            # waitress's own limit would answer without the API's error shape.
            max_request_body_size=8 * 1024**3,
            ident="trefoilreach",
            clear_untrusted_proxy_headers=True,
        )
        self._thread = threading.Thread(target=self._server.run, name="http", daemon=True)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self._server.effective_port)

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start()

    def close(self) -> None:
        """Stop listening and drop the connections."""
        self._server.close()
