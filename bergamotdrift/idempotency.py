"""Records of idempotency keys of one workspace."""

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

# Resends come within minutes; a later use of the key is a new request.
RECORD_TTL_MS = 600_000.0
RECORDS_MAX = 50_000
WAITERS_MAX = 1024
ANSWER_BYTES_MAX = 8 * 1024 * 1024


class _Waiter(NamedTuple):
    """Hold a resend that waits for the first request to end."""

    entry: EntryId
    msg: RecordBegin
    ticket: Ticket
    expires_ms: float


@dataclass(slots=True)
class Record:
    """Hold what is known of the first request under one key."""

    entry: EntryId | None
    request: str
    fingerprint: str
    state: RecordState
    began_ms: float
    answer: SavedAnswer | None = None


class RecordStore:
    """Decide for each use of an idempotency key whether it may run.

    A full store refuses new keys, since forgetting one would let a resend run twice.
    Saved answers are dropped first; a resend is then told that the outcome is unknown.
    """

    def __init__(self, workspace: str, clock: Clock, limit: int = RECORDS_MAX):
        self._workspace = workspace
        self._clock = clock
        self._limit = limit
        self._records: TTLCache[str, Record] = TTLCache(
            float("inf"), RECORD_TTL_MS, timer=clock.now_ms
        )
        self._running: set[str] = set()
        self._waiters: dict[str, list[_Waiter]] = {}
        self._waiter_count = 0
        self._answers: OrderedDict[str, int] = OrderedDict()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def has_waiters(self) -> bool:
        """Tell whether any resend waits for its first request."""
        return self._waiter_count > 0

    def begin(self, entry: EntryId, msg: RecordBegin, ticket: Ticket) -> list[Output]:
        """Claim a key, answer from its record, or wait for its first request."""
        record = self._records.get(msg.key_digest)
        if record is None:
            return [Reply(ticket, self._claim(entry, msg))]
        if record.fingerprint != msg.fingerprint:
            return [Reply(ticket, RecordReply(RecordState.MISMATCH))]
        if record.state is not RecordState.RUNNING:
            return [Reply(ticket, _reply_of(record))]
        if record.request == msg.request and record.entry == entry:
            return [Reply(ticket, RecordReply(RecordState.FIRST))]
        return self._wait(entry, msg, ticket)

    def end(self, entry: EntryId, msg: RecordEnd) -> list[Output]:
        """Close the claim of a request, and answer the resends that wait for it."""
        record = self._records.get(msg.key_digest)
        if record is None or record.request != msg.request:
            # A resend that gave up must not be let run later.
            self._withdraw(entry, msg)
            return []
        if record.state is not RecordState.RUNNING or record.entry != entry:
            return []
        if msg.forget:
            self._records.pop(msg.key_digest, None)
            self._running.discard(msg.key_digest)
            return self._let_next_run(msg.key_digest)
        state = RecordState.UNKNOWN if msg.answer is None else RecordState.DONE
        self._close(msg.key_digest, record, state, msg.answer)
        return self._answer_waiters(msg.key_digest, record)

    def forget_entry(self, entry: EntryId) -> list[Output]:
        """Close the claims of an entry that is gone: their outcome is unknown."""
        outputs: list[Output] = []
        self._drop_waiters_of(entry)
        for digest, record in self._running_records():
            if record.entry == entry:
                self._close(digest, record, RecordState.UNKNOWN, None)
                outputs += self._answer_waiters(digest, record)
        return outputs

    def disconnect(self, entry: EntryId) -> None:
        """Withdraw the waiting resends of an entry whose stream was lost."""
        self._drop_waiters_of(entry)

    def expire_waiters(self) -> list[Output]:
        """Tell resends whose time is over that the first request still runs."""
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
            self._keep_waiters(digest, lambda waiter: waiter.expires_ms > now_ms)
        return expired

    def merge(self, entry: EntryId | None, row: RecordRow) -> None:
        """Take a record that an entry or a mirror holds.

        Of one request, a closed record overrides a running one, and an answer an
        unknown outcome. Of two requests under one key, the later one counts.
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
        self._running.add(row.key_digest)
        if state is not RecordState.RUNNING:
            self._close(row.key_digest, record, state, row.answer)

    def close_unowned(self) -> None:
        """Close mirrored claims that no entry reported: their outcome is unknown."""
        for digest, record in self._running_records():
            if record.entry is None:
                self._close(digest, record, RecordState.UNKNOWN, None)

    def rows_of_others(self, entries: Collection[EntryId]) -> list[RecordRow]:
        """Return the records that none of the entries holds."""
        rows = []
        for digest in list(self._records):
            record = self._records.get(digest)
            if record is not None and record.entry not in entries:
                rows.append(self._row(digest, record))
        return rows

    def refuse_waiters(self, kind: ErrorKind) -> list[Output]:
        """Refuse all resends that wait."""
        waiting = [waiter for line in self._waiters.values() for waiter in line]
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
        found = [(digest, self._records.get(digest)) for digest in self._running]
        return [(digest, record) for digest, record in found if record is not None]

    def _overrides(self, row: RecordRow, known: Record) -> bool:
        if row.request == known.request:
            return _rank(row.state) > _rank(known.state)
        return self._clock.now_ms() - row.age_ms > known.began_ms

    def _claim(self, entry: EntryId, msg: RecordBegin) -> RecordReply | Failure:
        if len(self._records) >= self._limit:
            return Failure(ErrorKind.QUEUE_FULL, "too many idempotency records")
        self._records[msg.key_digest] = Record(
            entry,
            msg.request,
            msg.fingerprint,
            RecordState.RUNNING,
            self._clock.now_ms(),
        )
        self._running.add(msg.key_digest)
        return RecordReply(RecordState.FIRST)

    def _wait(self, entry: EntryId, msg: RecordBegin, ticket: Ticket) -> list[Output]:
        if msg.wait_ms <= 0 or self._waiter_count >= WAITERS_MAX:
            return [Reply(ticket, RecordReply(RecordState.RUNNING))]
        expires_ms = self._clock.now_ms() + msg.wait_ms
        waiter = _Waiter(entry, msg, ticket, expires_ms)
        self._waiters.setdefault(msg.key_digest, []).append(waiter)
        self._waiter_count += 1
        return []

    def _let_next_run(self, digest: str) -> list[Output]:
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
        self._running.discard(digest)
        # Setting the item again counts its time to live from the end of the request.
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

    def _withdraw(self, entry: EntryId, msg: RecordEnd) -> None:
        if msg.key_digest in self._waiters:
            self._keep_waiters(
                msg.key_digest,
                lambda w: w.entry != entry or w.msg.request != msg.request,
            )

    def _drop_waiters_of(self, entry: EntryId) -> None:
        for digest in list(self._waiters):
            self._keep_waiters(digest, lambda waiter: waiter.entry != entry)

    def _keep_waiters(self, digest: str, condition: Callable[[_Waiter], bool]) -> None:
        before = self._waiters[digest]
        kept = [waiter for waiter in before if condition(waiter)]
        self._waiter_count -= len(before) - len(kept)
        if kept:
            self._waiters[digest] = kept
        else:
            del self._waiters[digest]


def _reply_of(record: Record) -> RecordReply:
    if record.state is RecordState.DONE and record.answer is not None:
        return RecordReply(RecordState.DONE, record.answer)
    return RecordReply(RecordState.UNKNOWN)


def _rank(state: RecordState) -> int:
    if state is RecordState.DONE:
        return 2
    return 1 if state is RecordState.UNKNOWN else 0


def _size_of(answer: SavedAnswer) -> int:
    headers = sum(len(h.name) + len(h.value) for h in answer.headers)
    return len(answer.body) + headers + 64
