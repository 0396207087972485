"""Runs the store side of batch work: leases on chunks, their results, and what is due."""

import threading
import uuid
from contextlib import ExitStack

from result import Err, Ok, Result

from trefoilreach._internal.clock import Clock
from trefoilreach._internal.coordination.batch.board import JobBoard
from trefoilreach._internal.coordination.batch.chunks import ChunkStore, ClaimLost
from trefoilreach._internal.coordination.batch.claim import ChunkClaimer
from trefoilreach._internal.coordination.batch.feed import BatchFeed
from trefoilreach._internal.coordination.batch.finish import JobFinisher
from trefoilreach._internal.coordination.batch.held import HeldChunk
from trefoilreach._internal.coordination.batch.worker_owners import WorkerOwners
from trefoilreach._internal.coordination.config.view import ConfigHolder
from trefoilreach._internal.coordination.membership.peers import Peers
from trefoilreach._internal.logs import log_event
from trefoilreach._internal.settings import BatchSettings
from trefoilreach._internal.state.config import Server
from trefoilreach._internal.state.jobs import DONE, FREE, ChunkRecord, result_object
from trefoilreach._internal.state.objects import ObjectStore
from trefoilreach._internal.state.table import StoreError

_TICK_SECONDS = 0.25
_RENEW_SHARE = 0.3  # 6 s of a lease of 20 s
# Up to this many daemons the open jobs are read once per interval, then less often.
_FLEET_PER_INTERVAL = 24
_STORE_RETRY_SECONDS = 1.0
_STOP_WAIT_SECONDS = 5.0
_UNSERVED_SECONDS = 5.0


class BatchRunner:
    """The store side of batch work; one thread makes all its calls to the stores."""

    def __init__(
        self,
        clock: Clock,
        store: ChunkStore,
        objects: ObjectStore,
        config: ConfigHolder,
        peers: Peers,
        feed: BatchFeed,
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
        self._board = JobBoard(clock, store, settings.chunk_lease)
        self._finisher = JobFinisher(store, self._board, peers, self.refresh_soon)
        self._claimer = ChunkClaimer(store, objects, feed, self._board, self._finisher, wake.set)
        self._wake = wake
        self._stopped = threading.Event()
        self._handed_back = threading.Event()
        self._next_refresh = 0.0
        self._next_renewal = 0.0
        self._retry_at = 0.0
        self._unserved_since: dict[str, float] = {}

    def start(self, stack: ExitStack) -> None:
        """Run until the exit stack closes."""
        stack.callback(self.stop)
        threading.Thread(target=self._run, name="batch-store", daemon=True).start()

    def refresh_soon(self) -> None:
        """Read the open jobs soon, as one was accepted or became final here."""
        self._next_refresh = 0.0
        self._wake.set()

    def cancel_job(self, job_id: str) -> None:
        """Stop the items of a job that is being cancelled; called by the API and by peers."""
        self._feed.stop_chunks(lambda held: held.job.id == job_id, DONE)
        self.refresh_soon()

    def stop(self) -> None:
        """Cancel the running items and give the chunks back with their progress."""
        if self._stopped.is_set():
            return
        self._stopped.set()
        self._feed.stop_chunks(lambda held: True, FREE)
        self._wake.set()
        self._clock.wait(self._handed_back, _STOP_WAIT_SECONDS)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self.tick()
            except Exception as error:
                log_event("batch:error", error=repr(error))
            self._clock.wait(self._wake, _TICK_SECONDS)
            self._wake.clear()
        self._hand_back()
        self._handed_back.set()

    def tick(self) -> None:
        """Do what is due; one pass of the store thread."""
        now = self._clock.now()
        if now < self._retry_at:
            return
        self._feed.set_workers(self._own_workers())
        done = self._do_due(now)
        if isinstance(done, Err):
            # Results and leases are kept in memory until the store is back.
            self._retry_at = self._clock.now() + _STORE_RETRY_SECONDS
            self._board.note_outage()
            log_event("batch:store-down", error=str(done.err_value))

    def _do_due(self, now: float) -> Result[None, StoreError]:
        steps = [self._save_suspects, self._close_settled]
        if now >= self._next_renewal:
            steps.append(self._renew)
        if now >= self._next_refresh:
            steps.append(self._refresh)
        steps += [
            self._finisher.check_ended,
            self._finisher.end_cancelled,
            self._finisher.finalise,
            self._give_back_unserved,
            self._claimer.claim_needed,
        ]
        for step in steps:
            done = step()
            if isinstance(done, Err):
                return done
        return Ok(None)

    def _own_workers(self) -> list[Server]:
        servers = self._config.view.document.servers
        return self._owners.owned(servers, self._peers.live(), self._peers.self_member.vm)

    def _refresh(self) -> Result[None, StoreError]:
        done = self._board.refresh()
        if isinstance(done, Err):
            return done
        fleet = max(1.0, len(self._peers.live()) / _FLEET_PER_INTERVAL)
        self._next_refresh = self._clock.now() + self._settings.scan_interval * fleet
        open_ids = {job.id for job in self._board.jobs}
        closed = {job.id for job in self._board.jobs if job.cancelling}
        self._feed.stop_chunks(
            lambda held: held.job.id in closed or held.job.id not in open_ids, DONE
        )
        self._feed.set_urgent(self._board.is_urgent)
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
        self._next_renewal = self._clock.now() + self._settings.chunk_lease * _RENEW_SHARE
        for key, claim in outcome.ok_value.items():
            if claim is None:
                self._drop(held[key][0])
            else:
                held[key][0].claim = claim
        return Ok(None)

    def _drop(self, held: HeldChunk) -> None:
        """Forget a chunk that another daemon took over; its results here never count."""
        log_event("batch:claim-lost", chunk=held.key, fencing=held.claim.record.fencing)
        self._feed.stop_chunks(lambda entry: entry is held, DONE)
        self._feed.remove(held)
        if held.stored is not None and held.stored.result:
            self._objects.delete(held.stored.result)

    def _save_suspects(self) -> Result[None, StoreError]:
        with self._feed.lock:
            unsaved = [
                (held, [*held.unsaved], held.running_record())
                for held in self._feed.held.values()
                if held.unsaved and not held.ending
            ]
        for held, tasks, record in unsaved:
            done = self._update(held, record)
            if isinstance(done, Err):
                return done
            self._feed.note_saved(tasks)
        return Ok(None)

    def _update(self, held: HeldChunk, record: ChunkRecord) -> Result[None, StoreError]:
        done = self._store.update(held.claim, record)
        if isinstance(done, Ok):
            held.claim = done.ok_value
            return Ok(None)
        if isinstance(done.err_value, ClaimLost):
            self._drop(held)
            return Ok(None)
        return Err(done.err_value)

    def _close_settled(self) -> Result[None, StoreError]:
        with self._feed.lock:
            settled = [held for held in self._feed.held.values() if held.settled]
        for held in settled:
            done = self._store_result(held)
            if isinstance(done, Err):
                return done
            self._board.note_change(held.job.id)
            self._finisher.note_ended(held.job)
        return Ok(None)

    def _store_result(self, held: HeldChunk) -> Result[None, StoreError]:
        """Write the result object, then the row that names it, then forget the chunk."""
        if held.stored is None:
            state = DONE if held.complete else held.ending
            with self._feed.lock:
                name, data = self._encode(held)
                record = held.ended_record(state, name)
            if record.result:
                put = self._objects.put(record.result, data)
                if isinstance(put, Err):
                    return put
            held.stored = record
        done = self._update(held, held.stored)
        if isinstance(done, Ok):
            self._feed.remove(held)
        return done

    def _encode(self, held: HeldChunk) -> tuple[str, bytes]:
        claim = held.claim
        name = result_object(claim.job_id, claim.number, claim.record.fencing, uuid.uuid4().hex)
        return name, held.encode_result()

    def _give_back_unserved(self) -> Result[None, StoreError]:
        """Give chunks back whose model none of this daemon's workers serves for a while.

        A daemon that is leaving gets no worker again, so it gives them back at once.
        """
        capacity, now = self._feed.capacity(), self._clock.now()
        with self._feed.lock:
            models = {held.model for held in self._feed.held.values()}
        unserved = models - capacity.keys()
        since = {model: self._unserved_since.get(model, now) for model in unserved}
        self._unserved_since = since
        own = self._peers.self_member.vm
        stays = any(member.vm == own for member in self._peers.live())
        patience = _UNSERVED_SECONDS if stays else 0.0
        late = {model for model, start in since.items() if now - start >= patience}
        if late:
            self._feed.stop_chunks(lambda held: held.model in late, FREE)
        return Ok(None)

    def _hand_back(self) -> None:
        end = self._clock.now() + _STOP_WAIT_SECONDS
        while self._clock.now() < end:
            with self._feed.lock:
                held = list(self._feed.held.values())
            if not held:
                return
            for entry in held:
                if entry.settled and isinstance(self._store_result(entry), Err):
                    log_event("batch:not-handed-back", chunk=entry.key)
            self._clock.sleep(0.02)
