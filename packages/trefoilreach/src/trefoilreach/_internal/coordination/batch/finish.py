"""Ends cancelled jobs whose chunks have no owner, and jobs whose chunks have all ended."""

from collections.abc import Callable

from result import Err, Ok, Result

from trefoilreach._internal.coordination.batch.chunks import ChunkStore
from trefoilreach._internal.coordination.batch.open_jobs import OpenJobCache
from trefoilreach._internal.coordination.batch.worker_limit import find_responsible_vm
from trefoilreach._internal.coordination.membership.peers import Peers
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.state.jobs import OpenJob
from trefoilreach._internal.state.table import RevisionConflict, StoreError


class JobFinisher:
    """Ends jobs; called by the store thread only.

    :param on_final: called after a job became final.
    """

    def __init__(
        self, store: ChunkStore, open_jobs: OpenJobCache, peers: Peers, on_final: Callable[[], None]
    ) -> None:
        self._store = store
        self._open_jobs = open_jobs
        self._peers = peers
        self._on_final = on_final
        self._jobs_to_check: dict[str, OpenJob] = {}
        self._jobs_to_finalise: dict[str, OpenJob] = {}

    def schedule_done_check(self, job: OpenJob) -> None:
        """Schedule a check whether a job is done, as one of its chunks ended."""
        self._jobs_to_check[job.id] = job

    def schedule_finalise(self, job: OpenJob) -> None:
        """Schedule the change of a job to final, as all of its chunks have ended."""
        self._jobs_to_finalise[job.id] = job

    def check_ended(self) -> Result[None, StoreError]:
        """Scan the jobs of which a chunk ended here; schedule the end of those that are done."""
        for job_id, job in list(self._jobs_to_check.items()):
            done = self._open_jobs.scan_and_check_done(job)
            if isinstance(done, Err):
                return Err(done.err_value)
            self._jobs_to_check.pop(job_id)
            if done.ok_value or job_id in self._cancelling_ids():
                self._jobs_to_finalise[job_id] = job
        return Ok(None)

    def end_cancelled(self) -> Result[None, StoreError]:
        """End the chunks without an owner of cancelled jobs, then the jobs themselves."""
        for job in self._open_jobs.jobs:
            if (
                not job.cancelling
                or not self._open_jobs.is_scan_due(job)
                or not self._is_responsible(job)
            ):
                continue
            unowned = self._open_jobs.find_unowned(job)
            if isinstance(unowned, Err):
                return Err(unowned.err_value)
            for chunk in unowned.ok_value:
                ended = self._store.end_chunk(chunk)
                if isinstance(ended, Err) and not isinstance(ended.err_value, RevisionConflict):
                    return Err(ended.err_value)
            self._jobs_to_finalise[job.id] = job
        return Ok(None)

    def finalise(self) -> Result[None, StoreError]:
        """Make the scheduled jobs final."""
        for job_id, job in list(self._jobs_to_finalise.items()):
            done = self._store.finalise(job.account, job_id)
            if isinstance(done, Err):
                return Err(done.err_value)
            self._jobs_to_finalise.pop(job_id)
            if done.ok_value is not None:
                log_event("batch:final", job=job_id, status=done.ok_value.status)
                self._on_final()
        return Ok(None)

    def _cancelling_ids(self) -> set[str]:
        return {job.id for job in self._open_jobs.jobs if job.cancelling}

    def _is_responsible(self, job: OpenJob) -> bool:
        """Return whether this daemon is responsible for ending a cancelled job."""
        return find_responsible_vm(job.id, self._peers.list_live()) == self._peers.own_member.vm
