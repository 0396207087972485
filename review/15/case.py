"""A worker sends line feeds without end: streams get no final answer at their route's timeout."""

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_3 as standins

TIMEOUT_MS, AIM_MS, BUDGET_MS = 3000, 1250, 5000
# A caller leaves after a gap of two seconds, four times the objective or eight times the longest
# pause that is on time (250 ms), whichever is longest.
PATIENCE_SECONDS = 5.0
LATE_SECONDS = 0.5
REQUESTS = 36


def ask(site, number, outcomes):
    """Send a stream; note when its answer ended and its number of events."""
    host = site.hosts[number % len(site.hosts)]
    fields = standins.stream_headers(f"stream{number:02d}", BUDGET_MS)
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    caller = socket.create_connection((host, site.ports["front"]))
    begun = time.monotonic()
    caller.sendall(f"POST /s/{number} HTTP/1.1\r\n{head}Content-Length: 1\r\n\r\nx".encode())
    heard_at, tail, events, size, ended = begun, b"", 0, 0, False
    while not ended and time.monotonic() - heard_at < PATIENCE_SECONDS:
        caller.settimeout(max(0.01, heard_at + PATIENCE_SECONDS - time.monotonic()))
        try:
            data = caller.recv(65536)
        except TimeoutError:
            break
        except OSError:
            data = b""
        size += len(data)
        found = (tail + data).count(b"data: ") - tail.count(b"data: ")
        if found:
            events, heard_at = events + found, time.monotonic()
        # An answer of the system itself is short, and the last chunk of a stream is empty.
        ended = not data or b"\r\n0\r\n\r\n" in tail + data or b"HTTP/1.1 5" in data
        tail = (tail + data)[-6:]
    outcomes[number] = ended, time.monotonic() - begun
    caller.close()
    end = "ended" if ended else "no end until its caller left"
    site.record.write(
        f"stream{number:02d} at {host}: {end} after {outcomes[number][1]:.3f} s, "
        f"{events} events, {size} bytes"
    )


def check(stack, folder, trouble):
    site = standins.Site(stack, folder)
    route = standins.make_route(
        "r-stream", "/s/", "pool", "stream", timeoutMs=TIMEOUT_MS, targetLatencyMs=AIM_MS
    )
    site.store.put("op", "config", standins.make_config(7, [route], ["pool"]))
    for number in range(2):
        # One of two workers sends no events.
        site.start_worker(
            f"w-{number}", slots=16, events=20, framing="none", endless=trouble and not number
        )
    site.start_daemons()
    site.wait_ready()
    time.sleep(3.0)
    outcomes = {}
    callers = []
    for number in range(REQUESTS):
        callers.append(threading.Thread(target=ask, args=(site, number, outcomes)))
        callers[-1].start()
        time.sleep(0.05)
    for caller in callers:
        caller.join()
    limit = TIMEOUT_MS / 1000 + LATE_SECONDS
    overdue = [n for n, (ended, seconds) in outcomes.items() if not ended and seconds >= limit]
    # Requests that were still unanswered at the timeout.
    open_then = [n for n, (_, seconds) in outcomes.items() if seconds > TIMEOUT_MS / 1000]
    site.record.write(
        f"open at the timeout: {len(open_then)}, {LATE_SECONDS} s later: {len(overdue)}"
    )
    return len(overdue) < 8 or 4 * len(overdue) <= len(open_then)


standins.main(check)
