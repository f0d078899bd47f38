"""Idempotency records of the requests that ran at this entry."""

from typing import NamedTuple

from cachetools import FIFOCache, TTLCache

from bergamotdrift.arbiter_messages import (
    RecordRow,
    RecordState,
    SavedAnswer,
)
from bergamotdrift.clock import Clock
from bergamotdrift.shards import workspace_shard

# Limits the size of `Resume`, which carries all records of a workspace in one frame of
# at most 16 MiB.
_ENDED_RECORDS_MAX = 20_000
_ENDED_TTL_S = 600
_ANSWER_BYTES_MAX = 4 * 1024 * 1024
_SHARD_PREFIX = workspace_shard("")


class RecordId(NamedTuple):
    """Identify a record by workspace and digest of the idempotency key."""

    workspace: str
    key_digest: str


class _StoredRecord(NamedTuple):
    """Hold a record without its age and answer."""

    fingerprint: str
    request: str
    state: RecordState
    began_at_ms: float


class LocalRecords:
    """Keep the records of requests that ran here, to report them to a new arbiter."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._running: dict[RecordId, _StoredRecord] = {}
        self._ended: TTLCache[RecordId, _StoredRecord] = TTLCache(
            _ENDED_RECORDS_MAX, _ENDED_TTL_S, timer=lambda: clock.now_ms() / 1000.0
        )
        # A full cache evicts answers but not records, so that no retry runs again.
        self._answers: FIFOCache[RecordId, SavedAnswer] = FIFOCache(
            _ANSWER_BYTES_MAX, getsizeof=lambda answer: len(answer.body) + 1
        )

    def begin(self, rid: RecordId, fingerprint: str, request: str) -> None:
        """Add the record of a request that starts to run."""
        self._running[rid] = _StoredRecord(
            fingerprint, request, RecordState.RUNNING, self._clock.now_ms()
        )

    def end(self, rid: RecordId, request: str, answer: SavedAnswer | None) -> bool:
        """Close a request's record; without an answer its outcome is unknown.

        Returns whether the record was still running.
        """
        record = self._running.get(rid)
        if record is None or record.request != request:
            return False
        del self._running[rid]
        state = RecordState.UNKNOWN if answer is None else RecordState.DONE
        self._ended[rid] = record._replace(state=state)
        if answer is not None:
            self._answers[rid] = answer
        return True

    def forget(self, rid: RecordId, request: str) -> None:
        """Remove the record of a request that was not run."""
        record = self._running.get(rid)
        if record is not None and record.request == request:
            del self._running[rid]

    def row(self, rid: RecordId) -> RecordRow | None:
        """Return a record as a row, or None."""
        record = self._running.get(rid) or self._ended.get(rid)
        return None if record is None else self._row(rid, record)

    def rows_of_shard(self, shard: str) -> list[RecordRow]:
        """Return the records of a workspace shard; other shards have none."""
        if not shard.startswith(_SHARD_PREFIX):
            return []
        workspace = shard.removeprefix(_SHARD_PREFIX)
        return [
            self._row(rid, record)
            for records in (self._running, self._ended)
            for rid, record in records.items()
            if rid.workspace == workspace
        ]

    def _row(self, rid: RecordId, record: _StoredRecord) -> RecordRow:
        done = record.state is RecordState.DONE
        return RecordRow(
            rid.workspace,
            rid.key_digest,
            record.fingerprint,
            record.request,
            record.state,
            int(self._clock.now_ms() - record.began_at_ms),
            self._answers.get(rid) if done else None,
        )
