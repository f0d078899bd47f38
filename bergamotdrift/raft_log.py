"""Storage of the replicated log in one data folder."""

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

_FORMAT = 1
_LOCK = "lock"
_IDENTITY = "identity"
_LOG = "log"
_SNAPSHOT = "snapshot"
_DISK_FULL = frozenset({errno.ENOSPC, errno.EDQUOT})
_T = TypeVar("_T")


class _Identity(NamedTuple):
    format: int
    name: str
    replica: str


class _LogBase(NamedTuple):
    """Open a log file: its replica and the snapshot that it follows."""

    format: int
    replica: str
    snapshot_index: int
    snapshot_term: int


class _LoggedEntry(NamedTuple):
    term: int
    kind: EntryKind
    data: bytes


class _LoggedBatch(NamedTuple):
    """Hold what was synced together; entries replace those from `first` on."""

    hard_state: HardState
    first: int
    entries: list[_LoggedEntry]


class Loaded(NamedTuple):
    """Hold what a data folder remembers; entries follow the snapshot."""

    hard_state: HardState
    snapshot: Snapshot
    entries: list[Entry]


class RaftLog:
    """Keep identity, hard state, entries and snapshot of one replica.

    All calls block on the disk. Every method raises StorageError; after a failed
    write the log must not be used again, since the kernel may have dropped the
    data. Only a DiskFullError leaves it as it was, so that the write can be repeated.
    """

    def __init__(self, folder: str | Path, name: str):
        self._folder = Path(folder)
        self._name = name
        self._lock_fd = -1
        self._log_fd = -1
        self._log_bytes = 0
        self._sequence = 0
        self.replica = ""

    def open(self) -> Loaded:
        """Lock the folder and return what it remembers; draw an identity if empty."""
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._lock()
            self._identify()
            return self._load()
        except OSError as exc:
            self.close()
            raise StorageError(f"{self._folder}: {exc}") from exc
        except StorageError:
            self.close()
            raise

    def write(self, batch: SyncBatch) -> None:
        """Write a batch and sync it."""
        try:
            if batch.snapshot is None:
                self._append(batch.hard_state, batch.entries)
            else:
                self._write_snapshot(batch.snapshot)
                self._rewrite_log(batch.hard_state, batch.snapshot, batch.entries)
        except OSError as exc:
            raise StorageError(f"{self._folder}: {exc}") from exc

    def close(self) -> None:
        """Release the folder."""
        for fd in (self._log_fd, self._lock_fd):
            if fd >= 0:
                os.close(fd)
        self._log_fd = self._lock_fd = -1

    def _lock(self) -> None:
        fd = os.open(self._folder / _LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            raise StorageError(f"{self._folder} is used by another process") from None
        self._lock_fd = fd

    def _identify(self) -> None:
        path = self._folder / _IDENTITY
        if not path.exists():
            self._create()
            return
        if not (self._folder / _LOG).exists():
            raise StorageError(f"{self._folder} has an identity, but no log")
        identity = _decode(_read_single(path), _Identity, path)
        if identity.format != _FORMAT:
            raise StorageError(f"{path} has the unknown format {identity.format}")
        if identity.name != self._name:
            raise StorageError(f"{path} belongs to replica {identity.name!r}")
        self.replica = identity.replica

    def _create(self) -> None:
        """Draw an identity; a log with nothing but its base is left by a crash."""
        if (self._folder / _SNAPSHOT).exists() or self._log_has_batches():
            raise StorageError(f"{self._folder} has data, but no identity")
        self.replica = f"{self._name}-{secrets.token_hex(8)}"
        base = _LogBase(_FORMAT, self.replica, 0, 0)
        self._replace(_LOG, raft_records.frame(0, msgspec.msgpack.encode(base)))
        identity = _Identity(_FORMAT, self._name, self.replica)
        self._replace(
            _IDENTITY, raft_records.frame(0, msgspec.msgpack.encode(identity))
        )

    def _log_has_batches(self) -> bool:
        path = self._folder / _LOG
        if not path.exists():
            return False
        return len(raft_records.scan(path.read_bytes(), str(path)).payloads) > 1

    def _load(self) -> Loaded:
        snapshot = self._load_snapshot()
        path = self._folder / _LOG
        data = path.read_bytes()
        found = raft_records.scan(data, str(path))
        if not found.payloads:
            raise StorageError(f"{path} has no base record")
        base = _decode(found.payloads[0], _LogBase, path)
        if base.format != _FORMAT or base.replica != self.replica:
            raise StorageError(f"{path} has a foreign base record")
        if base.snapshot_index > snapshot.log_index:
            raise StorageError(f"{path} follows a snapshot that is missing")
        batches = [_decode(p, _LoggedBatch, path) for p in found.payloads[1:]]
        self._open_log(found.end, len(data), len(found.payloads))
        return _replay(base, snapshot, batches, path)

    def _load_snapshot(self) -> Snapshot:
        path = self._folder / _SNAPSHOT
        if not path.exists():
            return EMPTY_SNAPSHOT
        return _decode(_read_single(path), Snapshot, path)

    def _open_log(self, end: int, size: int, count: int) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
        self._log_fd = os.open(self._folder / _LOG, flags)
        self._log_bytes = end
        self._sequence = count
        if end < size:
            os.ftruncate(self._log_fd, end)
            os.fsync(self._log_fd)

    def _append(self, hard: HardState, entries: list[Entry]) -> None:
        payload = msgspec.msgpack.encode(_logged(hard, entries))
        record = raft_records.frame(self._sequence, payload)
        try:
            _write_all(self._log_fd, record)
        except OSError as exc:
            _require_disk_full(exc)
            # What was written of the record would hide the next one.
            os.ftruncate(self._log_fd, self._log_bytes)
            raise DiskFullError(f"{self._folder}: {exc}") from exc
        os.fsync(self._log_fd)
        self._log_bytes += len(record)
        self._sequence += 1

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        payload = msgspec.msgpack.encode(snapshot)
        self._replace(_SNAPSHOT, raft_records.frame(0, payload))

    def _rewrite_log(
        self, hard: HardState, snapshot: Snapshot, entries: list[Entry]
    ) -> None:
        base = _LogBase(_FORMAT, self.replica, snapshot.log_index, snapshot.term)
        records = [
            raft_records.frame(0, msgspec.msgpack.encode(base)),
            raft_records.frame(1, msgspec.msgpack.encode(_logged(hard, entries))),
        ]
        data = b"".join(records)
        self._replace(_LOG, data)
        os.close(self._log_fd)
        self._open_log(len(data), len(data), len(records))

    def _replace(self, name: str, data: bytes) -> None:
        """Put a file into place whole or not at all."""
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
            _require_disk_full(exc)
            temporary.unlink(missing_ok=True)
            raise DiskFullError(f"{temporary}: {exc}") from exc
        temporary.rename(self._folder / name)
        _sync_folder(self._folder)


def _logged(hard: HardState, entries: list[Entry]) -> _LoggedBatch:
    first = entries[0].log_index if entries else 0
    logged = [_LoggedEntry(e.term, e.kind, e.data) for e in entries]
    return _LoggedBatch(hard, first, logged)


def _replay(
    base: _LogBase, snapshot: Snapshot, batches: list[_LoggedBatch], path: Path
) -> Loaded:
    """Return the state after all batches, with the entries after the snapshot."""
    hard = EMPTY_HARD_STATE
    first = base.snapshot_index + 1
    entries: list[Entry] = []
    for batch in batches:
        hard = batch.hard_state
        if not batch.entries:
            continue
        kept = batch.first - first
        if not 0 <= kept <= len(entries):
            raise StorageError(f"{path} has a gap before entry {batch.first}")
        del entries[kept:]
        entries.extend(
            Entry(batch.first + number, *logged)
            for number, logged in enumerate(batch.entries)
        )
    return Loaded(hard, snapshot, _after_snapshot(base, snapshot, entries))


def _after_snapshot(
    base: _LogBase, snapshot: Snapshot, entries: list[Entry]
) -> list[Entry]:
    """Return the entries that continue a snapshot saved after the log's base."""
    skipped = snapshot.log_index - base.snapshot_index
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
    found = raft_records.scan(path.read_bytes(), str(path))
    if len(found.payloads) != 1:
        raise StorageError(f"{path} is damaged")
    return found.payloads[0]


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


def _require_disk_full(exc: OSError) -> None:
    """Raise any other error than that of a full disk."""
    if exc.errno not in _DISK_FULL:
        raise exc


def _sync_folder(folder: Path) -> None:
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
