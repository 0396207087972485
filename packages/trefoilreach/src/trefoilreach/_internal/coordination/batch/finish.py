"""Ends jobs: cancelled ones that nobody runs, and those whose chunks have all ended."""

from collections.abc import Callable

from result import Err, Ok, Result

from trefoilreach._internal.coordination.batch.board import JobBoard
from trefoilreach._internal.coordination.batch.chunks import ChunkStore
from trefoilreach._internal.coordination.batch.share import find_sender
from trefoilreach._internal.coordination.membership.peers import Peers
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.state.jobs import OpenJob
from trefoilreach._internal.state.table import RevisionConflict, StoreError


class JobFinisher:
    """Used by the store thread only.

    :param on_final: called after a job became final.
    """

    def __init__(
        self, store: ChunkStore, board: JobBoard, peers: Peers, on_final: Callable[[], None]
    ) -> None:
        self._store = store
        self._board = board
        self._peers = peers
        self._on_final = on_final
        self._check_due: dict[str, OpenJob] = {}
        self._finalise_due: dict[str, OpenJob] = {}

    def note_ended(self, job: OpenJob) -> None:
        """Check soon whether a job is done, as one of its chunks ended."""
        self._check_due[job.id] = job

    def note_done(self, job: OpenJob) -> None:
        """Make a job final soon, as all of its chunks have ended."""
        self._finalise_due[job.id] = job

    def check_ended(self) -> Result[None, StoreError]:
        """Read whether jobs are done whose chunks ended here."""
        for job_id, job in list(self._check_due.items()):
            done = self._board.check_done(job)
            if isinstance(done, Err):
                return Err(done.err_value)
            self._check_due.pop(job_id)
            if done.ok_value or job_id in self._cancelling_ids():
                self._finalise_due[job_id] = job
        return Ok(None)

    def end_cancelled(self) -> Result[None, StoreError]:
        """End the chunks of cancelled jobs that nobody runs, then the jobs themselves."""
        for job in self._board.jobs:
            if not job.cancelling or not self._board.may_claim(job) or not self._is_ender(job):
                continue
            orphans = self._board.find_orphans(job)
            if isinstance(orphans, Err):
                return Err(orphans.err_value)
            for chunk in orphans.ok_value:
                ended = self._store.end_chunk(chunk)
                if isinstance(ended, Err) and not isinstance(ended.err_value, RevisionConflict):
                    return Err(ended.err_value)
            self._finalise_due[job.id] = job
        return Ok(None)

    def finalise(self) -> Result[None, StoreError]:
        """Make the jobs final that are due."""
        for job_id, job in list(self._finalise_due.items()):
            done = self._store.finalise(job.account, job_id)
            if isinstance(done, Err):
                return Err(done.err_value)
            self._finalise_due.pop(job_id)
            if done.ok_value is not None:
                log_event("batch:final", job=job_id, status=done.ok_value.status)
                self._on_final()
        return Ok(None)

    def _cancelling_ids(self) -> set[str]:
        return {job.id for job in self._board.jobs if job.cancelling}

    def _is_ender(self, job: OpenJob) -> bool:
        """Return whether this daemon is the one to end a cancelled job."""
        return find_sender(job.id, self._peers.live()) == self._peers.self_member.vm
