"""A large batch job: its last result is never listed."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_3 as standins

ITEMS = 200
# Bytes of one item's body; the documents have about 6 MB and 3 MB.
BODY_BYTES = {True: 22_500, False: 11_000}
# After the job's results are due (runAimMs), the site's calm seconds (finishS).
DUE_SECONDS = 18.0
FINISH_SECONDS = 18.0
EVENTS = 10


def check(stack, folder, trouble):
    site = standins.Site(stack, folder)
    routes = [standins.make_route("r-batch", "/b/", "pool", "batch")]
    # The largest document that the store takes as one object.
    config = standins.make_config(7, routes, ["pool"], maxBodyBytes=standins.BLOB_BYTES)
    site.store.put("op", "config", config)
    for number in range(2):
        site.start_worker(f"w-{number}", events=EVENTS, interval=0.02)
    site.start_daemons()
    site.wait_ready()
    time.sleep(3.0)
    job, body = "1a26e10b", b"p" * BODY_BYTES[trouble]
    items = [
        standins.make_item(f"item{number:03d}", f"/b/{number}", body=body)
        for number in range(ITEMS)
    ]
    size = len(standins.json.dumps({"items": items}))
    site.record.write(f"document of {size} bytes")
    if standins.submit(site, job, items)[-1] != 202:
        return None
    results = standins.read_results(site, job, ITEMS, DUE_SECONDS + FINISH_SECONDS)
    listed = {result["id"] for result in results}
    missing = [item["id"] for item in items if item["id"] not in listed]
    runs = [line.split()[1] for line in site.runs()]
    site.record.write(f"not listed: {missing}")
    for item in missing:
        site.record.write(f"{item} has run {runs.count(item)} times")
    refused = site.store.refused
    site.record.write(f"transactions over a limit of the store (entries, bytes): {refused[:3]}")
    site.record.write(f"number of these: {len(refused)}")
    if len(missing) > 1:
        return None
    return not missing


standins.main(check)
