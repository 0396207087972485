"""The items of a batch job carry headers with the name of another tenant, and a key."""

from standins import (
    JOB_ROUTE,
    KEY,
    OTHER_TENANT,
    STREAM_ROUTE,
    TENANT,
    TROUBLE,
    Site,
    main,
    make_item,
    make_job,
    read_job,
)

PLAIN, FOREIGN, KEYED = "4b1d02", "7c41e0", "9f3a55"
# Header names are case-insensitive.
EXTRA_HEADERS = {
    PLAIN: {},
    FOREIGN: {"x-tenant": OTHER_TENANT},
    KEYED: {"Authorization": f"Bearer {KEY}"},
}


def run(site: Site) -> list[str]:
    """Return the runs with another tenant than that of the client's key, or with the key."""
    worker = site.add_worker(slots=8, seconds=0.4)
    site.configure(STREAM_ROUTE, JOB_ROUTE)
    daemons = site.start_daemons(2)
    # Online requests with the same headers, for comparison.
    for number, extra in enumerate(EXTRA_HEADERS.values()):
        sent = {"X-Deadline-Ms": "5000", **(extra if TROUBLE else {})}
        daemons[0].call("POST", "/lohu930/2f", f"9c41d07be2a35f{number:02x}", b"phrase", sent)
    jobs = {}
    for prefix, extra in EXTRA_HEADERS.items():
        job, items = f"{prefix}9b52d6a3f8", [f"{prefix}14da6f{n:02x}" for n in range(3)]
        body = make_job([make_item(item, extra if TROUBLE else {}) for item in items])
        reply = daemons[0].call("POST", f"/pule252/{job}", job, body)
        if reply.status != 202 and prefix == PLAIN:
            raise OSError(f"the job was answered {reply.status}")
        if reply.status == 202:
            jobs[job] = items
    for job, items in jobs.items():
        site.wait_for(
            lambda job=job, items=items: len(read_job(daemons, job) or ()) == len(items),
            20.0,
            "the results",
        )
    breaches = []
    for _, request_id, headers in worker.runs:
        # Fields of one name are one list, joined by commas (RFC 9110, 5.2).
        tenant = ", ".join(headers.get_all("X-Tenant") or [])
        first = headers.get("X-Tenant", "")
        if tenant != TENANT:
            breaches.append(
                f"UNASKED: {request_id} ran with X-Tenant {tenant!r}, the first field is"
                f" {first!r}; the client's key is of {TENANT!r}"
            )
        if KEY in headers.get("Authorization", ""):
            breaches.append(f"UNASKED: the worker that ran {request_id} got the client's key")
    return breaches


main(run)
