"""Persistent storage of the Raft log, hard state and snapshot in a data folder."""

import errno
import fcntl
import os
import secrets
from pathlib import Path
from typing import NamedTuple, TypeVar

import msgspec

from bergamotdrift import raft_records
from bergamotdrift.exceptions import DiskFullError, StorageError
from bergamotdrift.raft_messages import (
    EMPTY_HARD_STATE,
    EMPTY_SNAPSHOT,
    Entry,
    EntryKind,
    HardState,
    Snapshot,
    SyncBatch,
)

_FORMAT_VERSION = 1
_LOCK_FILE = "lock"
_IDENTITY_FILE = "identity"
_LOG_FILE = "log"
_SNAPSHOT_FILE = "snapshot"
_DISK_FULL = frozenset({errno.ENOSPC, errno.EDQUOT})
_T = TypeVar("_T")


class _Identity(NamedTuple):
    format: int
    name: str
    replica: str


class _LogHeader(NamedTuple):
    """Identify the replica of a log file, and the snapshot before its first entry."""

    format: int
    replica: str
    snapshot_index: int
    snapshot_term: int


class _LoggedEntry(NamedTuple):
    term: int
    kind: EntryKind
    data: bytes


class _LoggedBatch(NamedTuple):
    """Hold one synced batch; its entries overwrite the log from `first` on."""

    hard_state: HardState
    first: int
    entries: list[_LoggedEntry]


class RecoveredState(NamedTuple):
    """Hold the state recovered from a data folder; entries follow the snapshot."""

    hard_state: HardState
    snapshot: Snapshot
    entries: list[Entry]


class RaftLog:
    """Store the identity, hard state, entries and snapshot of one replica.

    All calls block on disk I/O. Every method raises StorageError; after a failed
    write the log must not be used again, since the kernel may have dropped dirty
    pages. Only DiskFullError leaves the log unchanged, so that the write can be
    retried.
    """

    def __init__(self, folder: str | Path, name: str):
        self._folder = Path(folder)
        self._name = name
        self._lock_fd = -1
        self._log_fd = -1
        self._log_bytes = 0
        self._next_sequence = 0
        self._unfinished: RecoveredState | None = None
        self.replica = ""

    def open(self) -> RecoveredState:
        """Lock the folder and recover its state; if empty, generate an identity.

        All that is returned is synced, since replies rely on it without another sync.
        A process that was killed may have left writes and renames that are not.
        """
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._lock()
            self._load_identity()
            return self._load()
        except OSError as exc:
            self.close()
            raise StorageError(f"{self._folder}: {exc}") from exc
        except StorageError:
            self.close()
            raise

    def write(self, batch: SyncBatch) -> None:
        """Append a batch to the log, or save its snapshot and rewrite the log."""
        try:
            if batch.snapshot is None:
                self._finish_rewrite()
                self._append(batch.hard_state, batch.entries)
            else:
                self._write_snapshot(batch.snapshot)
                self._rewrite_log(batch.hard_state, batch.snapshot, batch.entries)
        except OSError as exc:
            raise StorageError(f"{self._folder}: {exc}") from exc

    def close(self) -> None:
        """Close the log file and unlock the folder."""
        for fd in (self._log_fd, self._lock_fd):
            if fd >= 0:
                os.close(fd)
        self._log_fd = self._lock_fd = -1

    def _lock(self) -> None:
        fd = os.open(
            self._folder / _LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600
        )
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            raise StorageError(f"{self._folder} is locked by another process") from None
        self._lock_fd = fd

    def _load_identity(self) -> None:
        path = self._folder / _IDENTITY_FILE
        if not path.exists():
            self._create_identity()
            return
        if not (self._folder / _LOG_FILE).exists():
            raise StorageError(f"{self._folder} contains an identity file but no log")
        identity = _decode(_read_single(path), _Identity, path)
        if identity.format != _FORMAT_VERSION:
            raise StorageError(
                f"{path} has unsupported format version {identity.format}"
            )
        if identity.name != self._name:
            raise StorageError(f"{path} belongs to replica {identity.name!r}")
        self.replica = identity.replica

    def _create_identity(self) -> None:
        """Generate an identity and create the log file.

        A log that contains only its header is left by a crash before the identity
        file was written, and is overwritten.
        """
        if (self._folder / _SNAPSHOT_FILE).exists() or self._log_has_batches():
            raise StorageError(f"{self._folder} contains data but no identity file")
        self.replica = f"{self._name}-{secrets.token_hex(8)}"
        header = _LogHeader(_FORMAT_VERSION, self.replica, 0, 0)
        self._replace_file(
            _LOG_FILE, raft_records.frame(0, msgspec.msgpack.encode(header))
        )
        identity = _Identity(_FORMAT_VERSION, self._name, self.replica)
        self._replace_file(
            _IDENTITY_FILE, raft_records.frame(0, msgspec.msgpack.encode(identity))
        )

    def _log_has_batches(self) -> bool:
        path = self._folder / _LOG_FILE
        if not path.exists():
            return False
        return len(raft_records.scan(path.read_bytes(), str(path)).payloads) > 1

    def _load(self) -> RecoveredState:
        snapshot = self._load_snapshot()
        path = self._folder / _LOG_FILE
        data = path.read_bytes()
        scanned = raft_records.scan(data, str(path))
        if not scanned.payloads:
            raise StorageError(f"{path} has no header record")
        header = _decode(scanned.payloads[0], _LogHeader, path)
        if header.format != _FORMAT_VERSION or header.replica != self.replica:
            raise StorageError(f"{path} has a header of another format or replica")
        if header.snapshot_index > snapshot.log_index:
            raise StorageError(f"{path} starts after a snapshot that is missing")
        batches = [_decode(p, _LoggedBatch, path) for p in scanned.payloads[1:]]
        self._open_log(scanned.end, len(data), len(scanned.payloads))
        os.fsync(self._log_fd)
        _fsync_directory(self._folder)
        recovered = _replay(header, snapshot, batches, path)
        if header.snapshot_index < snapshot.log_index:
            self._unfinished = recovered
        return recovered

    def _load_snapshot(self) -> Snapshot:
        path = self._folder / _SNAPSHOT_FILE
        if not path.exists():
            return EMPTY_SNAPSHOT
        return _decode(_read_single(path), Snapshot, path)

    def _open_log(self, end: int, size: int, count: int) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
        self._log_fd = os.open(self._folder / _LOG_FILE, flags)
        self._log_bytes = end
        self._next_sequence = count
        if end < size:
            os.ftruncate(self._log_fd, end)

    def _append(self, hard_state: HardState, entries: list[Entry]) -> None:
        payload = msgspec.msgpack.encode(_to_logged_batch(hard_state, entries))
        record = raft_records.frame(self._next_sequence, payload)
        try:
            _write_all(self._log_fd, record)
        except OSError as exc:
            _reraise_unless_disk_full(exc)
            # A partial record would make the next one unreadable.
            os.ftruncate(self._log_fd, self._log_bytes)
            raise DiskFullError(f"{self._folder}: {exc}") from exc
        os.fsync(self._log_fd)
        self._log_bytes += len(record)
        self._next_sequence += 1

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        payload = msgspec.msgpack.encode(snapshot)
        self._replace_file(_SNAPSHOT_FILE, raft_records.frame(0, payload))

    def _finish_rewrite(self) -> None:
        """Rewrite a log that is older than its snapshot, so that it can be continued.

        A crash between saving the snapshot and rewriting the log leaves such a pair.
        The log may end before the snapshot, or conflict with it. This waits for the
        next write, so that a replica can start while its disk is full.
        """
        if self._unfinished is not None:
            self._rewrite_log(*self._unfinished)

    def _rewrite_log(
        self, hard_state: HardState, snapshot: Snapshot, entries: list[Entry]
    ) -> None:
        header = _LogHeader(
            _FORMAT_VERSION, self.replica, snapshot.log_index, snapshot.term
        )
        records = [
            raft_records.frame(0, msgspec.msgpack.encode(header)),
            raft_records.frame(
                1, msgspec.msgpack.encode(_to_logged_batch(hard_state, entries))
            ),
        ]
        data = b"".join(records)
        self._replace_file(_LOG_FILE, data)
        os.close(self._log_fd)
        self._open_log(len(data), len(data), len(records))
        self._unfinished = None

    def _replace_file(self, name: str, data: bytes) -> None:
        """Replace a file atomically."""
        temporary = self._folder / f"{name}.tmp"
        try:
            fd = os.open(
                temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600
            )
            try:
                _write_all(fd, data)
                os.fsync(fd)
            finally:
                os.close(fd)
        except OSError as exc:
            _reraise_unless_disk_full(exc)
            temporary.unlink(missing_ok=True)
            raise DiskFullError(f"{temporary}: {exc}") from exc
        temporary.rename(self._folder / name)
        _fsync_directory(self._folder)


def _to_logged_batch(hard_state: HardState, entries: list[Entry]) -> _LoggedBatch:
    first = entries[0].log_index if entries else 0
    logged = [_LoggedEntry(e.term, e.kind, e.data) for e in entries]
    return _LoggedBatch(hard_state, first, logged)


def _replay(
    header: _LogHeader, snapshot: Snapshot, batches: list[_LoggedBatch], path: Path
) -> RecoveredState:
    """Replay all batches and return the resulting state."""
    hard_state = EMPTY_HARD_STATE
    first = header.snapshot_index + 1
    entries: list[Entry] = []
    for batch in batches:
        hard_state = batch.hard_state
        if not batch.entries:
            continue
        kept = batch.first - first
        if not 0 <= kept <= len(entries):
            raise StorageError(f"{path} has missing entries before {batch.first}")
        del entries[kept:]
        entries.extend(
            Entry(batch.first + number, *logged)
            for number, logged in enumerate(batch.entries)
        )
    return RecoveredState(
        hard_state, snapshot, _after_snapshot(header, snapshot, entries)
    )


def _after_snapshot(
    header: _LogHeader, snapshot: Snapshot, entries: list[Entry]
) -> list[Entry]:
    """Return the entries that follow a snapshot newer than the log's header.

    A crash between saving a snapshot and rewriting the log leaves such a pair. If the
    log conflicts with the snapshot, none of its entries is returned.
    """
    skipped = snapshot.log_index - header.snapshot_index
    if skipped == 0:
        return entries
    if len(entries) < skipped or entries[skipped - 1].term != snapshot.term:
        return []
    return entries[skipped:]


def _decode(payload: bytes, cls: type[_T], path: Path) -> _T:
    try:
        return msgspec.msgpack.decode(payload, type=cls)
    except msgspec.MsgspecError as exc:
        raise StorageError(f"{path} has an invalid record: {exc}") from exc


def _read_single(path: Path) -> bytes:
    scanned = raft_records.scan(path.read_bytes(), str(path))
    if len(scanned.payloads) != 1:
        raise StorageError(f"{path} is corrupt: it must contain one complete record")
    return scanned.payloads[0]


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


def _reraise_unless_disk_full(exc: OSError) -> None:
    """Re-raise an error unless it reports a full disk or an exceeded quota."""
    if exc.errno not in _DISK_FULL:
        raise exc


def _fsync_directory(folder: Path) -> None:
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
