"""A batch job with texts that are not ASCII: its pages of results exceed their limit."""

import http.client
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_3 as standins

ITEMS, EVENTS, PADDING = 45, 60, 230
# A Gujarati letter takes three bytes in UTF-8.
LETTER = {True: "\u0a95", False: "k"}
# A page has at most 1 MB; the caller takes a tenth more.
LIMIT_BYTES = 1_048_576 + 104_857
DUE_SECONDS, FINISH_SECONDS = 18.0, 18.0


def read_page(site, host, job, after):
    """Read one page; return it, or None if it is larger than the caller can take."""
    connection = http.client.HTTPConnection(host, site.ports["front"], timeout=6.0)
    try:
        path = f"/trefoilreach/lots/{job}?after={after}"
        connection.request("GET", path, headers=standins.job_headers(job, **{"X-Wait-Ms": "1000"}))
        response = connection.getresponse()
        body = response.read(LIMIT_BYTES + 1)
        length = response.getheader("Content-Length")
        if response.status != 200:
            site.record.write(f"page after {after} at {host}: {response.status} {body[:60]!r}")
            return None
        if len(body) > LIMIT_BYTES:
            site.record.write(f"page after {after} at {host}: larger than 1 MB ({length} bytes)")
            return None
        page = standins.json.loads(body)
        if page["results"]:
            found = len(page["results"])
            site.record.write(f"page after {after} at {host}: {found} results, {len(body)} bytes")
        return page
    except (OSError, http.client.HTTPException) as error:
        site.record.write(f"page after {after} at {host}: {error!r}")
        return None
    finally:
        connection.close()


def check(stack, folder, trouble):
    site = standins.Site(stack, folder)
    routes = [standins.make_route("r-batch", "/b/", "pool", "batch")]
    site.store.put("op", "config", standins.make_config(7, routes, ["pool"]))
    padding = PADDING if trouble else 3 * PADDING
    options = {"events": EVENTS, "interval": 0.01, "padding": padding, "letter": LETTER[trouble]}
    for number in range(2):
        site.start_worker(f"w-{number}", **options)
    site.start_daemons()
    site.wait_ready()
    time.sleep(3.0)
    job = "7c41e09b52d6a3f8"
    items = [standins.make_item(f"item{number:03d}", f"/b/{number}") for number in range(ITEMS)]
    if standins.submit(site, job, items)[-1] != 202:
        return None
    # The caller fetches the results when they are due.
    time.sleep(DUE_SECONDS)
    listed = sum(name[0] == "results" for name in list(site.store.rows))
    site.record.write(f"listed in the store: {listed} of {ITEMS}")
    if listed < ITEMS:
        return None
    results, calls, end = [], 0, time.monotonic() + FINISH_SECONDS
    while len(results) < ITEMS and time.monotonic() < end:
        host = site.hosts[calls % len(site.hosts)]
        page = read_page(site, host, job, len(results))
        calls += 1
        if page is None:
            time.sleep(0.5)
        else:
            results += page["results"]
    site.record.write(f"read: {len(results)} of {ITEMS}")
    for result in results:
        whole = standins.whole_output(result["id"], EVENTS, None, padding, LETTER[trouble])
        if result["output"] != whole:
            return None
    return len(results) == ITEMS


standins.main(check)
