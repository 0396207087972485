"""A worker process whose plain answers have no length and end with their connection.

Arguments: id and record file. It prints its port and answers until it is killed.
"""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from standins_2 import start_server  # noqa: E402

PIECES, PIECE_BYTES, PAUSE_SECONDS = 20, 1000, 0.1


def whole_body(request_id: str) -> bytes:
    """Return the body of the answer to a request."""
    return b"".join(
        f"{request_id} piece {number:03d} ".encode().ljust(PIECE_BYTES, b".")
        for number in range(PIECES)
    )


def main() -> None:
    name = sys.argv[1]

    def handle(call) -> None:
        request_id = call.headers.get("X-Request-Id", "")
        echo = {"X-Request-Id": request_id}
        if call.headers.get("X-Target-Instance") not in (None, name):
            call.reply(421, {}, {**echo, "X-Served-By": name})
            return
        if call.route == "/trefoilreach/report":
            call.reply(200, {"running": 0, "waiting": 0}, echo)
            return
        print("runs", request_id, flush=True)
        call.send_response(200)
        for field, text in {
            **echo,
            "X-Response-Signature": f"sig-{name}-{request_id}",
            "Content-Type": "application/octet-stream",
            "Connection": "close",
        }.items():
            call.send_header(field, text)
        call.end_headers()
        body = whole_body(request_id)
        for start in range(0, len(body), PIECE_BYTES):
            call.wfile.write(body[start : start + PIECE_BYTES])
            time.sleep(PAUSE_SECONDS)
        call.close_connection = True
        print("finished", request_id, flush=True)

    server = start_server("127.0.0.1", handle)
    print("port", server.server_address[1], flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
