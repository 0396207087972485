"""Runs the store side of batch work: claims, leases, results and the end of jobs."""

import threading
import uuid
from contextlib import ExitStack

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch.chunks import ChunkStore, ClaimLost
from trefoilreach._internal.coordination.batch.claim import ChunkClaimer
from trefoilreach._internal.coordination.batch.finish import JobFinisher
from trefoilreach._internal.coordination.batch.held_chunk import HeldChunk
from trefoilreach._internal.coordination.batch.open_jobs import OpenJobCache
from trefoilreach._internal.coordination.batch.scheduler import BatchScheduler
from trefoilreach._internal.coordination.batch.worker_owners import WorkerOwners
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.membership.peers import Peers
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.settings import BatchSettings
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.state.jobs import DONE, FREE, ChunkRecord, result_object
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import StoreError

_TICK_SECONDS = 0.25
_RENEWAL_LEASE_FRACTION = 0.3  # 6 s of a lease of 20 s
# Up to this many daemons, each reads the open jobs once per interval; in a larger fleet less
# often, so that the reads a second stay bounded.
_DAEMONS_PER_SCAN_INTERVAL = 24
_STORE_RETRY_SECONDS = 1.0
# Pause between two looks at the chunks that still run at a planned stop.
_RELEASE_POLL_SECONDS = 0.02
_STOP_TIMEOUT_SECONDS = 5.0
# Time without a worker for its model after which a chunk is released.
_UNSERVED_GRACE_SECONDS = 5.0


class BatchCoordinator:
    """Runs the store side of batch work in one thread, which makes all its calls to the stores."""

    def __init__(
        self,
        clock: Clock,
        store: ChunkStore,
        objects: ObjectStore,
        config: ActiveConfig,
        peers: Peers,
        feed: BatchScheduler,
        settings: BatchSettings,
        wake: threading.Event,
    ) -> None:
        self._clock = clock
        self._store = store
        self._objects = objects
        self._owners = WorkerOwners()
        self._config = config
        self._peers = peers
        self._feed = feed
        self._settings = settings
        self._open_jobs = OpenJobCache(clock, store, settings.chunk_lease)
        self._finisher = JobFinisher(store, self._open_jobs, peers, self.request_refresh)
        self._claimer = ChunkClaimer(
            store, objects, feed, self._open_jobs, self._finisher, wake.set
        )
        self._wake = wake
        self._stopped = threading.Event()
        self._chunks_released = threading.Event()
        self._next_refresh = 0.0
        self._next_renewal = 0.0
        self._retry_at = 0.0
        self._unserved_since: dict[str, float] = {}

    def start(self, stack: ExitStack) -> None:
        """Run until the exit stack closes."""
        stack.callback(self.stop)
        threading.Thread(target=self._run, name="batch-store", daemon=True).start()

    def request_refresh(self) -> None:
        """Read the open jobs in the next pass, as this daemon changed one of them."""
        self._next_refresh = 0.0
        self._wake.set()

    def cancel_job(self, job_id: str) -> None:
        """Stop the items of a job that is being cancelled; called by the API and by peers."""
        self._feed.stop_chunks(lambda held: held.job.id == job_id, DONE)
        self.request_refresh()

    def stop(self) -> None:
        """Cancel the running items and release the chunks with their progress."""
        if self._stopped.is_set():
            return
        self._stopped.set()
        self._feed.stop_chunks(lambda held: True, FREE)
        self._wake.set()
        self._clock.wait(self._chunks_released, _STOP_TIMEOUT_SECONDS)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self.tick()
            except Exception as error:
                log_event("batch:error", error=repr(error))
            self._clock.wait(self._wake, _TICK_SECONDS)
            self._wake.clear()
        self._release_chunks()
        self._chunks_released.set()

    def tick(self) -> None:
        """Make one pass of the store thread over the steps that are due."""
        now = self._clock.now()
        if now < self._retry_at:
            return
        self._feed.set_workers(self._own_workers())
        done = self._run_due_steps(now)
        if isinstance(done, Err):
            # Results and claims stay in memory until the store is back.
            self._retry_at = self._clock.now() + _STORE_RETRY_SECONDS
            self._open_jobs.restart_leases()
            log_event("batch:store-down", error=str(done.err_value))

    def _run_due_steps(self, now: float) -> Result[None, StoreError]:
        steps = [self._save_crash_counts, self._close_drained]
        if now >= self._next_renewal:
            steps.append(self._renew)
        if now >= self._next_refresh:
            steps.append(self._refresh)
        steps += [
            self._finisher.check_ended,
            self._finisher.end_cancelled,
            self._finisher.finalise,
            self._release_unserved,
            self._claimer.claim_needed,
        ]
        for step in steps:
            done = step()
            if isinstance(done, Err):
                return done
        return Ok(None)

    def _own_workers(self) -> list[Server]:
        servers = self._config.view.document.servers
        return self._owners.list_owned(servers, self._peers.list_live(), self._peers.own_member.vm)

    def _refresh(self) -> Result[None, StoreError]:
        done = self._open_jobs.refresh()
        if isinstance(done, Err):
            return done
        interval_factor = max(1.0, len(self._peers.list_live()) / _DAEMONS_PER_SCAN_INTERVAL)
        self._next_refresh = self._clock.now() + self._settings.scan_interval * interval_factor
        open_ids = {job.id for job in self._open_jobs.jobs}
        closed = {job.id for job in self._open_jobs.jobs if job.cancelling}
        self._feed.stop_chunks(
            lambda held: held.job.id in closed or held.job.id not in open_ids, DONE
        )
        self._feed.set_urgent(self._open_jobs.is_urgent)
        return Ok(None)

    def _renew(self) -> Result[None, StoreError]:
        with self._feed.lock:
            held = {
                entry.key: (entry, entry.claim._replace(record=entry.running_record()))
                for entry in self._feed.held.values()
            }
        if not held:
            return Ok(None)
        outcome = self._store.renew([claim for _, claim in held.values()])
        if isinstance(outcome, Err):
            return Err(outcome.err_value)
        self._next_renewal = (
            self._clock.now() + self._settings.chunk_lease * _RENEWAL_LEASE_FRACTION
        )
        for key, claim in outcome.ok_value.items():
            if claim is None:
                self._drop_lost_chunk(held[key][0])
            else:
                held[key][0].claim = claim
        return Ok(None)

    def _drop_lost_chunk(self, held: HeldChunk) -> None:
        """Remove a chunk that another daemon took over; its results here are discarded."""
        log_event("batch:claim-lost", chunk=held.key, fencing=held.claim.record.fencing)
        self._feed.stop_chunks(lambda entry: entry is held, DONE)
        self._feed.remove(held)
        if held.stored_record is not None and held.stored_record.result:
            self._objects.delete(held.stored_record.result)

    def _save_crash_counts(self) -> Result[None, StoreError]:
        with self._feed.lock:
            unsaved_suspects = [
                (held, [*held.unsaved_suspects], held.running_record())
                for held in self._feed.held.values()
                if held.unsaved_suspects and not held.stop_state
            ]
        for held, tasks, record in unsaved_suspects:
            done = self._update(held, record)
            if isinstance(done, Err):
                return done
            self._feed.queue_saved_suspects(tasks)
        return Ok(None)

    def _update(self, held: HeldChunk, record: ChunkRecord) -> Result[None, StoreError]:
        done = self._store.update(held.claim, record)
        if isinstance(done, Ok):
            held.claim = done.ok_value
            return Ok(None)
        if isinstance(done.err_value, ClaimLost):
            self._drop_lost_chunk(held)
            return Ok(None)
        return Err(done.err_value)

    def _close_drained(self) -> Result[None, StoreError]:
        with self._feed.lock:
            drained = [held for held in self._feed.held.values() if held.drained]
        for held in drained:
            done = self._store_result(held)
            if isinstance(done, Err):
                return done
            self._open_jobs.schedule_scan(held.job.id)
            self._finisher.schedule_done_check(held.job)
        return Ok(None)

    def _store_result(self, held: HeldChunk) -> Result[None, StoreError]:
        """Write the result object, then the row that names it, then remove the chunk here."""
        if held.stored_record is None:
            state = DONE if held.complete else held.stop_state
            with self._feed.lock:
                name, data = self._encode(held)
                record = held.ended_record(state, name)
            if record.result:
                put = self._objects.put(record.result, data)
                if isinstance(put, Err):
                    return put
            held.stored_record = record
        done = self._update(held, held.stored_record)
        if isinstance(done, Ok):
            self._feed.remove(held)
        return done

    def _encode(self, held: HeldChunk) -> tuple[str, bytes]:
        claim = held.claim
        name = result_object(claim.job_id, claim.number, claim.record.fencing, uuid.uuid4().hex)
        return name, held.encode_result()

    def _release_unserved(self) -> Result[None, StoreError]:
        """Release chunks whose model no worker of this daemon has served for the grace period.

        A daemon that is leaving is not assigned workers again, so it releases them at once.
        """
        capacity, now = self._feed.capacity(), self._clock.now()
        with self._feed.lock:
            models = {held.model for held in self._feed.held.values()}
        unserved = models - capacity.keys()
        since = {model: self._unserved_since.get(model, now) for model in unserved}
        self._unserved_since = since
        own_vm = self._peers.own_member.vm
        is_member = any(member.vm == own_vm for member in self._peers.list_live())
        grace_seconds = _UNSERVED_GRACE_SECONDS if is_member else 0.0
        expired_models = {model for model, start in since.items() if now - start >= grace_seconds}
        if expired_models:
            self._feed.stop_chunks(lambda held: held.model in expired_models, FREE)
        return Ok(None)

    def _release_chunks(self) -> None:
        end = self._clock.now() + _STOP_TIMEOUT_SECONDS
        while self._clock.now() < end:
            with self._feed.lock:
                held = list(self._feed.held.values())
            if not held:
                return
            for entry in held:
                if entry.drained and isinstance(self._store_result(entry), Err):
                    log_event("batch:not-handed-back", chunk=entry.key)
            self._clock.sleep(_RELEASE_POLL_SECONDS)
