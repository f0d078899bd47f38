"""Syncing batches in the hub's thread pool, one at a time."""

from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from bergamotdrift.exceptions import DiskFullError, StorageError
from bergamotdrift.log import log_event
from bergamotdrift.raft_log import RaftLog
from bergamotdrift.raft_messages import SyncBatch

# A batch that a full disk refused is written again after this pause.
DISK_FULL_RETRY_S = 0.25


class BatchWriter:
    """Sync batches without blocking the loop; what arrives meanwhile is the next.

    While the disk is full the batch waits, and nothing that depends on it is sent. The
    replica goes on without a vote, since the others still need its answers.
    """

    def __init__(self, storage: RaftLog, wake: Callable[[], None]):
        self._storage = storage
        self._wake = wake
        self._batch: SyncBatch | None = None
        self._job: AsyncResult | None = None
        self._retry: gevent.Greenlet | None = None
        self._disk_full = False

    def start(self, batch: SyncBatch) -> None:
        """Start to sync a batch; the last one must have been taken."""
        self._batch = batch
        if not batch.changed:
            self._wake()
            return
        self._spawn(batch)

    def take_finished(self) -> SyncBatch | None:
        """Return the batch if it has been synced, or raise StorageError."""
        if self._batch is None or self._retry is not None:
            return None
        if self._job is not None and not self._job.ready():
            return None
        error = self._job.get() if self._job is not None else None
        if isinstance(error, DiskFullError):
            self._note_disk_full(True, str(error))
            self._retry = gevent.spawn_later(
                DISK_FULL_RETRY_S, self._spawn, self._batch
            )
            return None
        if error is not None:
            raise error
        if self._job is not None:
            self._note_disk_full(False, "")
        batch, self._batch, self._job = self._batch, None, None
        return batch

    def wait(self) -> None:
        """Wait until nothing is being written."""
        if self._retry is not None:
            self._retry.kill()
        if self._job is not None:
            self._job.wait()

    def _spawn(self, batch: SyncBatch) -> None:
        self._retry = None
        self._job = gevent.get_hub().threadpool.spawn(self._write, batch)
        self._job.rawlink(lambda _: self._wake())

    def _note_disk_full(self, is_full: bool, reason: str) -> None:
        """Log the first refusal and the first success after it."""
        if is_full is not self._disk_full:
            self._disk_full = is_full
            log_event("disk_full" if is_full else "disk_writable", reason=reason)

    def _write(self, batch: SyncBatch) -> StorageError | None:
        """Return the error, since the thread pool prints what is raised."""
        try:
            self._storage.write(batch)
        except StorageError as exc:
            return exc
        return None
