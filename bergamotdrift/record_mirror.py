"""Idempotency records mirrored to this arbiter while it doesn't own their shard."""

from typing import NamedTuple

from cachetools import TTLCache

from bergamotdrift.arbiter_messages import (
    RecordEnd,
    RecordRow,
    RecordState,
)
from bergamotdrift.clock import Clock
from bergamotdrift.idempotency import RECORD_TTL_MS
from bergamotdrift.takeover import EntryId

_ROWS_MAX = 100_000


class _StoredRecord(NamedTuple):
    """Hold a record, the entry that sent it and its arrival time."""

    entry: EntryId
    row: RecordRow
    stored_ms: float


class MirroredRecord(NamedTuple):
    """Hold a record and the entry that mirrored it."""

    entry: EntryId
    row: RecordRow


class MirroredRecordStore:
    """Hold mirrored records by workspace and key; the oldest is evicted when full."""

    def __init__(self, clock: Clock, limit: int = _ROWS_MAX):
        self._clock = clock
        self._rows: TTLCache[tuple[str, str], _StoredRecord] = TTLCache(
            limit, RECORD_TTL_MS, timer=clock.now_ms
        )

    def __len__(self) -> int:
        return len(self._rows)

    def store(self, entry: EntryId, row: RecordRow) -> None:
        """Add or replace a record."""
        item = _StoredRecord(entry, row, self._clock.now_ms())
        self._rows[row.workspace, row.key_digest] = item

    def end(self, msg: RecordEnd) -> None:
        """Close a record, or remove it if its request was not run."""
        key = (msg.workspace, msg.key_digest)
        known = self._rows.get(key)
        if known is None or known.row.request != msg.request:
            return
        if msg.forget:
            self._rows.pop(key, None)
            return
        state = RecordState.UNKNOWN if msg.answer is None else RecordState.DONE
        row = known.row._replace(state=state, answer=msg.answer)
        self._rows[key] = known._replace(row=row)

    def pop_workspace(self, workspace: str) -> list[MirroredRecord]:
        """Remove and return the records of a workspace, with their current age."""
        now_ms = self._clock.now_ms()
        keys = [key for key in list(self._rows) if key[0] == workspace]
        found = [self._rows.pop(key, None) for key in keys]
        return [
            MirroredRecord(item.entry, _with_current_age(item, now_ms))
            for item in found
            if item is not None
        ]


def _with_current_age(item: _StoredRecord, now_ms: float) -> RecordRow:
    age_ms = item.row.age_ms + int(now_ms - item.stored_ms)
    return item.row._replace(age_ms=age_ms)
