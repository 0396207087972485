"""Names of the objects of batch jobs, and the writes under them.

Callers choose the ids of jobs and items freely, so that names which join ids can be equal: those of
item "07-01" of job "r-12" and of item "01" of job "r-12-07". A digest over each id with its length
differs for them, and has one length for all ids.
"""

import hashlib
import secrets

from result import Err, Ok, Result

from trefoilreach._internal.coordination.jobs.ids import digest_texts
from trefoilreach._internal.coordination.jobs.records import JobRecord
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.state.rows import BlobStore
from trefoilreach._internal.state.table import StoreError, StoreUnavailable

_SUFFIX_BYTES = 8
_MAX_NAMES = 3


def name_input(account: str, job: str, data: bytes) -> str:
    """Return the name of the object with the document of a job."""
    return f"job-{digest_texts(account, job, hashlib.sha256(data).hexdigest())}"


def name_output(record: JobRecord, item: str) -> str:
    """Return the name of the object with the output of an item.

    An id may be used again after its job was removed, so that the time of acceptance counts.
    """
    ids = record.account, record.job, repr(record.accepted_ms), item
    return f"output-{digest_texts(*ids)}"


def store_object(blobs: BlobStore, name: str, data: bytes) -> Result[str, StoreError]:
    """Write an object; return its name, which is another one if the given one is taken.

    An object that exists may be that of an earlier write whose answer was lost, if it is the same.
    """
    chosen = name
    for _ in range(_MAX_NAMES):
        written = blobs.put(chosen, data)
        if isinstance(written, Err):
            return written
        if written.ok_value:
            return Ok(chosen)
        found = blobs.get(chosen)
        if isinstance(found, Err):
            return found
        if found.ok_value == data:
            return Ok(chosen)
        log_event("object:name-taken", object=chosen, bytes=len(found.ok_value or b""))
        chosen = f"{name}-{secrets.token_hex(_SUFFIX_BYTES)}"
    return Err(StoreUnavailable(f"all names tried for the object {name!r} are taken"))
