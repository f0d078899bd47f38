"""Decisions of one workspace shard: rate tokens and idempotency records.

`WorkspaceArbitration` is pure and is driven like `arbitration.Arbitration`: methods
return the messages to deliver. Until every entry has reported (`resume`), it leases
no tokens and holds claims back, since an earlier arbiter's leases and records may
be missing. A `Mirror` output asks the driver to store a record at the arbiter on
another VM that would take the shard over. `tick` is called every 40 ms or so.
"""

from collections.abc import Callable
from typing import NamedTuple

from bergamotdrift.arbiter_messages import (
    RecordBegin,
    RecordEnd,
    Resume,
    TokenRequest,
    TokenReturn,
    TokensSpent,
)
from bergamotdrift.clock import Clock
from bergamotdrift.constants import TOKEN_LEASE_MS
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.idempotency import RECORDS_MAX, RecordStore
from bergamotdrift.messages import Failure
from bergamotdrift.outputs import Mirror, Output, Reply, Ticket
from bergamotdrift.record_mirror import MirroredRecord
from bergamotdrift.shard_view import WorkspaceView
from bergamotdrift.takeover import EntryId, TakeoverGate
from bergamotdrift.token_bucket import TokenBucket

_EARLY_MAX = 1024


class _EarlyClaim(NamedTuple):
    """Hold a claim that came before the takeover was complete."""

    entry: EntryId
    msg: RecordBegin
    ticket: Ticket
    expires_ms: float


class WorkspaceArbitration:
    """Lease tokens and keep records of one workspace; see the module's text."""

    def __init__(
        self,
        shard: str,
        view: WorkspaceView,
        clock: Clock,
        may_act: Callable[[], bool] = lambda: True,
        records_max: int = RECORDS_MAX,
    ):
        self.shard = shard
        self.view = view
        self._clock = clock
        self._may_act = may_act
        self._gate = TakeoverGate(view.entries)
        self._early: list[_EarlyClaim] = []
        self._spent: dict[EntryId, TokensSpent | None] = {}
        limits = view.workspace
        self.bucket = TokenBucket(limits.rate_per_s, limits.burst)
        self.records = RecordStore(limits.name, clock, records_max)
        if self._gate.is_open:
            self._open()

    @property
    def is_waiting(self) -> bool:
        """Tell whether any claim waits."""
        return bool(self._early) or self.records.has_waiters

    @property
    def is_granting(self) -> bool:
        """Tell whether tokens and claims may be given now."""
        return self._gate.is_open and self._may_act()

    @property
    def missing_entries(self) -> frozenset[EntryId]:
        """Return the entries whose report the takeover waits for."""
        return self._gate.missing

    def take_tokens(
        self, entry: EntryId, msg: TokenRequest, ticket: Ticket
    ) -> list[Output]:
        """Lease tokens of the workspace."""
        if msg.shard_epoch != self.view.epoch:
            return [Reply(ticket, _stale())]
        now_ms = self._clock.now_ms()
        if not self.is_granting or not self.bucket.is_open(now_ms):
            # Not a grant of 0 tokens: the rate isn't what holds the request back.
            return [Reply(ticket, _stale())]
        if entry not in self.view.entries:
            return [Reply(ticket, _stale())]
        return [Reply(ticket, self.bucket.take(entry, msg.wanted, now_ms))]

    def return_tokens(self, entry: EntryId, msg: TokenReturn) -> list[Output]:
        """Take unused tokens back."""
        if msg.shard_epoch == self.view.epoch:
            self.bucket.give_back(entry, msg.tokens, self._clock.now_ms())
        return []

    def begin_record(
        self, entry: EntryId, msg: RecordBegin, ticket: Ticket
    ) -> list[Output]:
        """Claim an idempotency key."""
        if msg.shard_epoch != self.view.epoch or entry not in self.view.entries:
            return [Reply(ticket, _stale())]
        if self.is_granting:
            return self.records.begin(entry, msg, ticket)
        if len(self._early) >= _EARLY_MAX:
            return [Reply(ticket, Failure(ErrorKind.QUEUE_FULL))]
        expires_ms = self._clock.now_ms() + max(0, msg.wait_ms)
        self._early.append(_EarlyClaim(entry, msg, ticket, expires_ms))
        return []

    def end_record(self, entry: EntryId, msg: RecordEnd) -> list[Output]:
        """Close a claim, or withdraw one that still waits."""
        self._early = [
            claim
            for claim in self._early
            if claim.entry != entry or claim.msg.request != msg.request
        ]
        return self.records.end(entry, msg)

    def resume(self, entry: EntryId, msg: Resume) -> list[Output]:
        """Take the records that an entry holds."""
        if msg.shard_epoch != self.view.epoch or entry not in self.view.entries:
            return []
        for row in msg.records:
            if row.workspace == self.view.workspace.name:
                self.records.merge(entry, row)
        was_open = self._gate.is_open
        if not was_open:
            self._spent[entry] = msg.tokens
        self._gate.report(entry)
        return self._open_if_complete(was_open)

    def take_mirrored(self, items: list[MirroredRecord]) -> None:
        """Take records that entries mirrored here.

        Those of an entry that is no member have no owner who could close them.
        """
        for item in items:
            owner = item.entry if item.entry in self.view.entries else None
            self.records.merge(owner, item.row)
        if self._gate.is_open:
            self.records.close_unowned()

    def disconnect(self, entry: EntryId) -> list[Output]:
        """Withdraw what waits for an entry whose stream was lost."""
        self._early = [claim for claim in self._early if claim.entry != entry]
        self.records.disconnect(entry)
        return []

    def update(self, view: WorkspaceView) -> list[Output]:
        """Apply changed settings and members."""
        before, self.view = self.view, view
        now_ms = self._clock.now_ms()
        limits = view.workspace
        if limits != before.workspace:
            self.bucket.configure(limits.rate_per_s, limits.burst, now_ms)
        outputs: list[Output] = []
        lost = before.entries - view.entries
        for entry in lost:
            self.disconnect(entry)
            outputs += self.records.forget_entry(entry)
        if lost and self._gate.is_open:
            outputs += self.mirror_single()
        was_open = self._gate.is_open
        self._gate.keep_members(view.entries)
        return outputs + self._open_if_complete(was_open)

    def mirror_single(self) -> list[Output]:
        """Return the records that stand on no other VM: their entry is gone or local.

        The entry itself mirrors the claims that begin later.
        """
        rows = self.records.rows_of_others(self.view.remote_entries)
        return [Mirror(self.shard, row) for row in rows]

    def tick(self) -> list[Output]:
        """Answer the resends and claims that waited long enough."""
        outputs = self.records.expire_waiters()
        if not self._early:
            return outputs
        now_ms = self._clock.now_ms()
        if self.is_granting:
            return outputs + self._run_early()
        expired = [claim for claim in self._early if claim.expires_ms <= now_ms]
        self._early = [claim for claim in self._early if claim.expires_ms > now_ms]
        return outputs + [Reply(claim.ticket, _stale()) for claim in expired]

    def close(self, kind: ErrorKind = ErrorKind.ARBITER_UNREACHABLE) -> list[Output]:
        """Refuse all that waits, and give nothing more."""
        self._may_act = lambda: False
        early, self._early = self._early, []
        outputs: list[Output] = [Reply(c.ticket, Failure(kind)) for c in early]
        return outputs + self.records.refuse_waiters(kind)

    def _open_if_complete(self, was_open: bool) -> list[Output]:
        if was_open or not self._gate.is_open:
            return []
        self._open()
        outputs = self.mirror_single()
        return outputs + self._run_early() if self._may_act() else outputs

    def _open(self) -> None:
        now_ms = self._clock.now_ms()
        reports = self._usable_reports(now_ms)
        if reports is None:
            self.bucket.open(now_ms, self.view.limits_since_ms)
        else:
            self.bucket.open_with_reports(reports, now_ms)
        self._spent.clear()
        self.records.close_unowned()

    def _usable_reports(self, now_ms: float) -> list[TokensSpent] | None:
        """Return what all entries spent within the bucket's fill time, or None.

        An entry that left within that time, or other limits, leave it unknown.
        """
        needed_ms = self.bucket.fill_ms
        settled_ms = max(self.view.entries_left_ms, self.view.limits_since_ms)
        if not now_ms - settled_ms >= needed_ms + 2 * TOKEN_LEASE_MS:
            return None
        reports = []
        for spent in self._spent.values():
            if spent is None or spent.window_ms < needed_ms:
                return None
            reports.append(spent)
        return reports

    def _run_early(self) -> list[Output]:
        early, self._early = self._early, []
        outputs: list[Output] = []
        for claim in early:
            outputs += self.records.begin(claim.entry, claim.msg, claim.ticket)
        return outputs


def _stale() -> Failure:
    return Failure(ErrorKind.ARBITER_UNREACHABLE, "the shard is not settled here")
