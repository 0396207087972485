"""A path is split off a route and the rest moves: waiting requests go to a service that never had it."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_3 as standins

SLOTS = 4
LONG_STREAMS = 4
WAITING = 3
BUDGET_SECONDS = 5.0


def call(site, host, path, name, attempts_of):
    """Send a request as callers do: one retry after a promise, at another daemon."""
    begun = time.monotonic()
    for attempt in range(2):
        left = BUDGET_SECONDS - (time.monotonic() - begun)
        request_id = f"{name}-{attempt}"
        attempts_of[request_id] = path
        headers = standins.stream_headers(request_id, int(left * 1000))
        status, body = site.call(host, "POST", path, b"prompt", headers)
        events = body.count(b"\n\n")
        site.record.write(f"{request_id} {path} at {host}: {status} events={events} {body[:60]!r}")
        if status != 503:
            return
        host = next(other for other in site.hosts if other != host)
        time.sleep(0.1)


def check(stack, folder, trouble):
    site = standins.Site(stack, folder)
    routes = [standins.make_route("r-5ieispu", "/s/", "small", "stream")]
    site.store.put("op", "config", standins.make_config(7, routes, ["small", "large"]))
    site.start_worker("w-small", "small", slots=SLOTS, events=50)
    site.start_worker("w-large", "large", slots=SLOTS, events=50)
    site.start_daemons()
    site.wait_ready()
    time.sleep(3.0)
    attempts_of, callers = {}, []

    def start(number, path, name):
        arguments = (site, site.hosts[number % 3], path, name, attempts_of)
        callers.append(threading.Thread(target=call, args=arguments))
        callers[-1].start()

    # All slots of the service are taken for 2.5 s.
    for number in range(LONG_STREAMS):
        start(number, f"/s/cold/{number}", f"cold{number}")
    time.sleep(0.4)
    for number in range(WAITING):
        start(number, f"/s/hot/{number}", f"hot{number}")
    time.sleep(0.6)
    if trouble:
        routes = [
            standins.make_route("r-5ieispu", "/s/", "large", "stream"),
            standins.make_route("r-da9rgy3", "/s/hot/", "small", "stream"),
        ]
        site.store.put("op", "config", standins.make_config(9, routes, ["small", "large"]))
        site.record.write(
            "version 9: /s/hot/ stays at small as a route of its own, /s/ moves to large"
        )
    for caller in callers:
        caller.join()
    held, hot_runs = True, 0
    for line in site.runs():
        _, request_id, path, _, service = line.split()
        hot = path.startswith("/s/hot/")
        hot_runs += hot
        # Version 7 sends /s/hot/ to small as a part of /s/, version 9 by the route /s/hot/.
        sound = not hot or service == "service=small"
        site.record.write(f"run {line} sound={sound}")
        held = held and sound
    return held if hot_runs else None


standins.main(check)
