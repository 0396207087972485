"""Cancels a job: changes its row, then notifies every daemon."""

import threading
from collections.abc import Callable

from result import Err

from trefoilreach._internal.coordination.batch.accept import build_store_refusal
from trefoilreach._internal.coordination.batch.chunks import ChunkStore
from trefoilreach._internal.coordination.batch.reader import BatchReader
from trefoilreach._internal.coordination.membership.peers import Peers
from trefoilreach._internal.protocol.verdict import Refusal, build_unavailable_refusal
from trefoilreach._internal.state.jobs import IN_PROGRESS, JobRecord, decode_job, job_key
from trefoilreach._internal.state.table import RevisionConflict

_PEER_CALL_TIMEOUT_SECONDS = 1.0


class BatchCanceller:
    """Cancels jobs of client accounts.

    :param stop_locally: stops the items of a job on this daemon.
    """

    def __init__(
        self,
        store: ChunkStore,
        reader: BatchReader,
        peers: Peers,
        stop_locally: Callable[[str], None],
    ) -> None:
        self._store = store
        self._reader = reader
        self._peers = peers
        self._stop_locally = stop_locally

    def cancel(self, account: str, job_id: str) -> JobRecord:
        """Cancel a job that is not final; return its record afterwards.

        :raises Refusal: 404 for an unknown job, 503 when the store does not answer.
        """
        job = self._change_row(account, job_id)
        if job.status != IN_PROGRESS:
            self._notify_daemons(job_id)
        return job

    def _change_row(self, account: str, job_id: str) -> JobRecord:
        found = self._store.table.get(job_key(account, job_id))
        if isinstance(found, Err):
            raise build_store_refusal(found.err_value)
        if found.ok_value is None:
            raise Refusal(404, "batch_not_found", f"the batch {job_id!r} does not exist")
        job = decode_job(found.ok_value)
        if job.status != IN_PROGRESS:
            return job
        done = self._store.begin_cancel(job, found.ok_value.revision)
        if not isinstance(done, Err):
            return done.ok_value
        if not isinstance(done.err_value, RevisionConflict):
            raise build_store_refusal(done.err_value)
        # The row leaves the state in_progress only once, so it is cancelling or final now.
        job = self._reader.find_job(account, job_id)
        if job.status == IN_PROGRESS:
            raise build_unavailable_refusal("the job's row is being changed", 1.0)
        return job

    def _notify_daemons(self, job_id: str) -> None:
        self._stop_locally(job_id)
        thread = threading.Thread(
            target=self._notify_peers, args=(job_id,), name="cancel-job", daemon=True
        )
        thread.start()

    def _notify_peers(self, job_id: str) -> None:
        """Notify the peers; one that is not reached sees the open row at its next read."""
        self._peers.broadcast(lambda client: client.cancel_job(job_id), _PEER_CALL_TIMEOUT_SECONDS)
