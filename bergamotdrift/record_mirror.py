"""Records that entries mirror to this arbiter before it owns their shard."""

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


class _Mirrored(NamedTuple):
    """Hold a record, the entry that sent it and when it came."""

    entry: EntryId
    row: RecordRow
    stored_ms: float


class MirroredRecord(NamedTuple):
    """Hand over a record with the entry that mirrored it."""

    entry: EntryId
    row: RecordRow


class RecordMirrors:
    """Hold mirrored records by workspace and key, the oldest dropped when full."""

    def __init__(self, clock: Clock, limit: int = _ROWS_MAX):
        self._clock = clock
        self._rows: TTLCache[tuple[str, str], _Mirrored] = TTLCache(
            limit, RECORD_TTL_MS, timer=clock.now_ms
        )

    def __len__(self) -> int:
        return len(self._rows)

    def store(self, entry: EntryId, row: RecordRow) -> None:
        """Store or replace a record."""
        item = _Mirrored(entry, row, self._clock.now_ms())
        self._rows[row.workspace, row.key_digest] = item

    def end(self, msg: RecordEnd) -> None:
        """Close a record, or drop it when its request was not run."""
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

    def take(self, workspace: str) -> list[MirroredRecord]:
        """Take out and return the records of a workspace, with their present age."""
        now_ms = self._clock.now_ms()
        keys = [key for key in list(self._rows) if key[0] == workspace]
        found = [self._rows.pop(key, None) for key in keys]
        return [
            MirroredRecord(item.entry, _aged(item, now_ms))
            for item in found
            if item is not None
        ]


def _aged(item: _Mirrored, now_ms: float) -> RecordRow:
    age_ms = item.row.age_ms + int(now_ms - item.stored_ms)
    return item.row._replace(age_ms=age_ms)
