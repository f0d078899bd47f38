"""Store of the idempotency records of one workspace."""

from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import NamedTuple

from cachetools import TTLCache

from bergamotdrift.arbiter_messages import (
    RecordBegin,
    RecordEnd,
    RecordReply,
    RecordRow,
    RecordState,
    SavedAnswer,
)
from bergamotdrift.clock import Clock
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.messages import Failure
from bergamotdrift.outputs import Output, Reply, Ticket
from bergamotdrift.takeover import EntryId

# Retries arrive within minutes; a later use of the key is a new request.
RECORD_TTL_MS = 600_000.0
RECORDS_MAX = 50_000
WAITERS_MAX = 1024
ANSWER_BYTES_MAX = 8 * 1024 * 1024


class _Waiter(NamedTuple):
    """Hold a retry that waits for the first request with its key to complete."""

    entry: EntryId
    msg: RecordBegin
    ticket: Ticket
    expires_ms: float


@dataclass(slots=True)
class Record:
    """Hold the state of the first request with an idempotency key."""

    entry: EntryId | None
    request: str
    fingerprint: str
    state: RecordState
    began_ms: float
    answer: SavedAnswer | None = None


class RecordStore:
    """Decide for each use of an idempotency key whether the request may run.

    A full store refuses new keys, since evicting a record would let a retry run a
    second time. Saved answers are evicted when they exceed their size limit; a retry
    then gets an unknown outcome.
    """

    def __init__(self, workspace: str, clock: Clock, limit: int = RECORDS_MAX):
        self._workspace = workspace
        self._clock = clock
        self._limit = limit
        self._records: TTLCache[str, Record] = TTLCache(
            float("inf"), RECORD_TTL_MS, timer=clock.now_ms
        )
        self._running_digests: set[str] = set()
        self._waiters: dict[str, list[_Waiter]] = {}
        self._waiter_count = 0
        self._answers: OrderedDict[str, int] = OrderedDict()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def has_waiters(self) -> bool:
        """Return whether any retry waits for the first request with its key."""
        return self._waiter_count > 0

    def begin(self, entry: EntryId, msg: RecordBegin, ticket: Ticket) -> list[Output]:
        """Claim a key, reply from its record, or queue behind the running request."""
        record = self._records.get(msg.key_digest)
        if record is None:
            return [Reply(ticket, self._claim_key(entry, msg))]
        if record.fingerprint != msg.fingerprint:
            return [Reply(ticket, RecordReply(RecordState.MISMATCH))]
        if record.state is not RecordState.RUNNING:
            return [Reply(ticket, _reply_of(record))]
        if record.request == msg.request and record.entry == entry:
            return [Reply(ticket, RecordReply(RecordState.FIRST))]
        return self._enqueue_waiter(entry, msg, ticket)

    def end(self, entry: EntryId, msg: RecordEnd) -> list[Output]:
        """Close the claim of a request and reply to the retries that wait for it."""
        record = self._records.get(msg.key_digest)
        if record is None or record.request != msg.request:
            # A retry whose caller gave up must not run later.
            self._remove_waiter(entry, msg)
            return []
        if record.state is not RecordState.RUNNING or record.entry != entry:
            return []
        if msg.forget:
            self._records.pop(msg.key_digest, None)
            self._running_digests.discard(msg.key_digest)
            return self._requeue_waiters(msg.key_digest)
        state = RecordState.UNKNOWN if msg.answer is None else RecordState.DONE
        self._close(msg.key_digest, record, state, msg.answer)
        return self._answer_waiters(msg.key_digest, record)

    def remove_entry(self, entry: EntryId) -> list[Output]:
        """Close the claims of a removed entry with an unknown outcome."""
        outputs: list[Output] = []
        self._remove_waiters_of(entry)
        for digest, record in self._running_records():
            if record.entry == entry:
                self._close(digest, record, RecordState.UNKNOWN, None)
                outputs += self._answer_waiters(digest, record)
        return outputs

    def disconnect(self, entry: EntryId) -> None:
        """Remove the waiting retries of an entry whose stream was lost."""
        self._remove_waiters_of(entry)

    def expire_waiters(self) -> list[Output]:
        """Reply to retries whose wait timed out that the first request still runs."""
        if not self._waiter_count:
            return []
        now_ms = self._clock.now_ms()
        expired: list[Output] = []
        for digest in list(self._waiters):
            expired += [
                Reply(waiter.ticket, RecordReply(RecordState.RUNNING))
                for waiter in self._waiters[digest]
                if waiter.expires_ms <= now_ms
            ]
            self._filter_waiters(digest, lambda waiter: waiter.expires_ms > now_ms)
        return expired

    def merge(self, entry: EntryId | None, row: RecordRow) -> None:
        """Merge a record from an entry or a mirror.

        For the same request, a closed record overrides a running one, and a saved
        answer overrides an unknown outcome. For different requests with the same key,
        the later one wins.
        """
        known = self._records.get(row.key_digest)
        if known is not None and not self._overrides(row, known):
            if known.entry is None and known.request == row.request:
                known.entry = entry
            return
        began_ms = self._clock.now_ms() - row.age_ms
        state = RecordState.RUNNING if row.state is RecordState.FIRST else row.state
        record = Record(entry, row.request, row.fingerprint, state, began_ms)
        self._records[row.key_digest] = record
        self._running_digests.add(row.key_digest)
        if state is not RecordState.RUNNING:
            self._close(row.key_digest, record, state, row.answer)

    def close_unowned(self) -> None:
        """Close mirrored claims that no entry reported, with an unknown outcome."""
        for digest, record in self._running_records():
            if record.entry is None:
                self._close(digest, record, RecordState.UNKNOWN, None)

    def rows_not_held_by(self, entries: Collection[EntryId]) -> list[RecordRow]:
        """Return the records that none of the given entries holds."""
        rows = []
        for digest in list(self._records):
            record = self._records.get(digest)
            if record is not None and record.entry not in entries:
                rows.append(self._row(digest, record))
        return rows

    def refuse_waiters(self, kind: ErrorKind) -> list[Output]:
        """Refuse all waiting retries."""
        waiting = [waiter for waiters in self._waiters.values() for waiter in waiters]
        self._waiters.clear()
        self._waiter_count = 0
        return [Reply(waiter.ticket, Failure(kind)) for waiter in waiting]

    def _row(self, digest: str, record: Record) -> RecordRow:
        return RecordRow(
            self._workspace,
            digest,
            record.fingerprint,
            record.request,
            record.state,
            int(self._clock.now_ms() - record.began_ms),
            record.answer,
        )

    def _running_records(self) -> list[tuple[str, Record]]:
        found = [
            (digest, self._records.get(digest)) for digest in self._running_digests
        ]
        return [(digest, record) for digest, record in found if record is not None]

    def _overrides(self, row: RecordRow, known: Record) -> bool:
        if row.request == known.request:
            return _state_precedence(row.state) > _state_precedence(known.state)
        return self._clock.now_ms() - row.age_ms > known.began_ms

    def _claim_key(self, entry: EntryId, msg: RecordBegin) -> RecordReply | Failure:
        if len(self._records) >= self._limit:
            return Failure(ErrorKind.QUEUE_FULL, "too many idempotency records")
        self._records[msg.key_digest] = Record(
            entry,
            msg.request,
            msg.fingerprint,
            RecordState.RUNNING,
            self._clock.now_ms(),
        )
        self._running_digests.add(msg.key_digest)
        return RecordReply(RecordState.FIRST)

    def _enqueue_waiter(
        self, entry: EntryId, msg: RecordBegin, ticket: Ticket
    ) -> list[Output]:
        if msg.wait_ms <= 0 or self._waiter_count >= WAITERS_MAX:
            return [Reply(ticket, RecordReply(RecordState.RUNNING))]
        expires_ms = self._clock.now_ms() + msg.wait_ms
        waiter = _Waiter(entry, msg, ticket, expires_ms)
        self._waiters.setdefault(msg.key_digest, []).append(waiter)
        self._waiter_count += 1
        return []

    def _requeue_waiters(self, digest: str) -> list[Output]:
        waiting = self._waiters.pop(digest, [])
        self._waiter_count -= len(waiting)
        outputs: list[Output] = []
        for waiter in waiting:
            outputs += self.begin(waiter.entry, waiter.msg, waiter.ticket)
        return outputs

    def _answer_waiters(self, digest: str, record: Record) -> list[Output]:
        waiting = self._waiters.pop(digest, [])
        self._waiter_count -= len(waiting)
        return [Reply(waiter.ticket, _reply_of(record)) for waiter in waiting]

    def _close(
        self,
        digest: str,
        record: Record,
        state: RecordState,
        answer: SavedAnswer | None,
    ) -> None:
        record.state = state
        record.answer = answer
        self._running_digests.discard(digest)
        # Setting the item again restarts its time to live at the end of the request.
        self._records[digest] = record
        self._answer_bytes -= self._answers.pop(digest, 0)
        if answer is not None:
            self._answers[digest] = _size_of(answer)
            self._answer_bytes += self._answers[digest]
            self._drop_oldest_answers()

    def _drop_oldest_answers(self) -> None:
        while self._answer_bytes > ANSWER_BYTES_MAX:
            digest, size = self._answers.popitem(last=False)
            self._answer_bytes -= size
            record = self._records.get(digest)
            if record is not None:
                record.answer = None

    def _remove_waiter(self, entry: EntryId, msg: RecordEnd) -> None:
        if msg.key_digest in self._waiters:
            self._filter_waiters(
                msg.key_digest,
                lambda w: w.entry != entry or w.msg.request != msg.request,
            )

    def _remove_waiters_of(self, entry: EntryId) -> None:
        for digest in list(self._waiters):
            self._filter_waiters(digest, lambda waiter: waiter.entry != entry)

    def _filter_waiters(
        self, digest: str, condition: Callable[[_Waiter], bool]
    ) -> None:
        waiters = self._waiters[digest]
        kept = [waiter for waiter in waiters if condition(waiter)]
        self._waiter_count -= len(waiters) - len(kept)
        if kept:
            self._waiters[digest] = kept
        else:
            del self._waiters[digest]


def _reply_of(record: Record) -> RecordReply:
    if record.state is RecordState.DONE and record.answer is not None:
        return RecordReply(RecordState.DONE, record.answer)
    return RecordReply(RecordState.UNKNOWN)


def _state_precedence(state: RecordState) -> int:
    if state is RecordState.DONE:
        return 2
    return 1 if state is RecordState.UNKNOWN else 0


def _size_of(answer: SavedAnswer) -> int:
    headers = sum(len(h.name) + len(h.value) for h in answer.headers)
    return len(answer.body) + headers + 64
