"""Writing log batches to disk in the hub's thread pool, one at a time."""

from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from bergamotdrift.exceptions import DiskFullError, StorageError
from bergamotdrift.log import log_event
from bergamotdrift.raft_log import RaftLog
from bergamotdrift.raft_messages import SyncBatch

# Delay before a batch that failed with a full disk is written again.
DISK_FULL_RETRY_S = 0.25


class BatchWriter:
    """Sync one batch at a time without blocking the event loop.

    While the disk is full, the batch is retried and no message that depends on it is
    sent. The replica keeps running without counting towards a quorum, since the others
    still need its replies.
    """

    def __init__(self, storage: RaftLog, wake: Callable[[], None]):
        self._storage = storage
        self._wake = wake
        self._batch: SyncBatch | None = None
        self._write_result: AsyncResult | None = None
        self._retry: gevent.Greenlet | None = None
        self._disk_full = False

    def start(self, batch: SyncBatch) -> None:
        """Start to sync a batch; `take_synced` must have returned the previous one."""
        self._batch = batch
        if not batch.must_sync:
            self._wake()
            return
        self._submit(batch)

    def take_synced(self) -> SyncBatch | None:
        """Return the batch once it is synced, else None; raises StorageError."""
        if self._batch is None or self._retry is not None:
            return None
        if self._write_result is not None and not self._write_result.ready():
            return None
        error = self._write_result.get() if self._write_result is not None else None
        if isinstance(error, DiskFullError):
            self._log_disk_state_change(True, str(error))
            self._retry = gevent.spawn_later(
                DISK_FULL_RETRY_S, self._submit, self._batch
            )
            return None
        if error is not None:
            raise error
        if self._write_result is not None:
            self._log_disk_state_change(False, "")
        batch, self._batch, self._write_result = self._batch, None, None
        return batch

    def wait(self) -> None:
        """Cancel a pending retry and wait for a running write."""
        if self._retry is not None:
            self._retry.kill()
        if self._write_result is not None:
            self._write_result.wait()

    def _submit(self, batch: SyncBatch) -> None:
        self._retry = None
        self._write_result = gevent.get_hub().threadpool.spawn(self._write, batch)
        self._write_result.rawlink(lambda _: self._wake())

    def _log_disk_state_change(self, is_full: bool, reason: str) -> None:
        """Log an event when the disk becomes full and when it is writable again."""
        if is_full is not self._disk_full:
            self._disk_full = is_full
            log_event("disk_full" if is_full else "disk_writable", reason=reason)

    def _write(self, batch: SyncBatch) -> StorageError | None:
        """Write a batch; return the error, as the thread pool prints raised ones."""
        try:
            self._storage.write(batch)
        except StorageError as exc:
            return exc
        return None
