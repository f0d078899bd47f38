"""The entry's own copy of idempotency records."""

from typing import NamedTuple

from cachetools import FIFOCache, TTLCache

from bergamotdrift.arbiter_messages import (
    RecordRow,
    RecordState,
    SavedAnswer,
)
from bergamotdrift.clock import Clock
from bergamotdrift.shards import workspace_shard

# A resume carries all records of a workspace in one frame of at most 16 MiB.
_ENDED_RECORDS = 20_000
_ENDED_TTL_S = 600
_ANSWER_BYTES_MAX = 4 * 1024 * 1024
_SHARD_PREFIX = workspace_shard("")


class RecordId(NamedTuple):
    """Identify a record by workspace and digest of the idempotency key."""

    workspace: str
    key_digest: str


class _Entry(NamedTuple):
    """Hold a record without its age and answer."""

    fingerprint: str
    request: str
    state: RecordState
    began_at_ms: float


class RecordBook:
    """Keep the records of requests that ran here, for a new arbiter to learn."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._running: dict[RecordId, _Entry] = {}
        self._ended: TTLCache[RecordId, _Entry] = TTLCache(
            _ENDED_RECORDS, _ENDED_TTL_S, timer=lambda: clock.now_ms() / 1000.0
        )
        # A full cache forgets answers, not records, so that no resend runs again.
        self._answers: FIFOCache[RecordId, SavedAnswer] = FIFOCache(
            _ANSWER_BYTES_MAX, getsizeof=lambda answer: len(answer.body) + 1
        )

    def begin(self, rid: RecordId, fingerprint: str, request: str) -> None:
        """Store a running record."""
        self._running[rid] = _Entry(
            fingerprint, request, RecordState.RUNNING, self._clock.now_ms()
        )

    def end(self, rid: RecordId, request: str, answer: SavedAnswer | None) -> bool:
        """Close a request's record, as unknown without an answer.

        Tells whether the record was still running.
        """
        entry = self._running.get(rid)
        if entry is None or entry.request != request:
            return False
        del self._running[rid]
        state = RecordState.UNKNOWN if answer is None else RecordState.DONE
        self._ended[rid] = entry._replace(state=state)
        if answer is not None:
            self._answers[rid] = answer
        return True

    def forget(self, rid: RecordId, request: str) -> None:
        """Drop the record of a request that was not run."""
        entry = self._running.get(rid)
        if entry is not None and entry.request == request:
            del self._running[rid]

    def row(self, rid: RecordId) -> RecordRow | None:
        """Return a record as a row, or None."""
        entry = self._running.get(rid) or self._ended.get(rid)
        return None if entry is None else self._row(rid, entry)

    def rows_of_shard(self, shard: str) -> list[RecordRow]:
        """Return the records of a workspace's shard, none for other shards."""
        if not shard.startswith(_SHARD_PREFIX):
            return []
        workspace = shard.removeprefix(_SHARD_PREFIX)
        return [
            self._row(rid, entry)
            for records in (self._running, self._ended)
            for rid, entry in records.items()
            if rid.workspace == workspace
        ]

    def _row(self, rid: RecordId, entry: _Entry) -> RecordRow:
        done = entry.state is RecordState.DONE
        return RecordRow(
            rid.workspace,
            rid.key_digest,
            entry.fingerprint,
            entry.request,
            entry.state,
            int(self._clock.now_ms() - entry.began_at_ms),
            self._answers.get(rid) if done else None,
        )
