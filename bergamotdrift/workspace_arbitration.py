"""Arbitration of one workspace shard: rate token leases and idempotency records.

`WorkspaceArbitration` does no I/O and is driven like `arbitration.Arbitration`: its
methods return the messages to deliver. Until every entry has reported (`resume`), it
leases no tokens and holds claims back, since it may not know all leases and records
of the previous arbiter. A `Mirror` output asks the driver to store a record at the
arbiter on another VM that would take the shard over. `tick` is called about every
40 ms.
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

_PENDING_CLAIMS_MAX = 1024


class _PendingClaim(NamedTuple):
    """Hold a claim that arrived before the takeover was complete."""

    entry: EntryId
    msg: RecordBegin
    ticket: Ticket
    expires_ms: float


class WorkspaceArbitration:
    """Lease tokens and keep records of one workspace; see the module docstring."""

    def __init__(
        self,
        shard: str,
        view: WorkspaceView,
        clock: Clock,
        may_grant: Callable[[], bool] = lambda: True,
        records_max: int = RECORDS_MAX,
    ):
        self.shard = shard
        self.view = view
        self._clock = clock
        self._may_grant = may_grant
        self._gate = TakeoverGate(view.entries)
        self._pending_claims: list[_PendingClaim] = []
        self._usage_reports: dict[EntryId, TokensSpent | None] = {}
        limits = view.workspace
        self.bucket = TokenBucket(limits.rate_per_s, limits.burst)
        self.records = RecordStore(limits.name, clock, records_max)
        if self._gate.is_open:
            self._open()

    @property
    def is_waiting(self) -> bool:
        """Return whether any claim or retry waits."""
        return bool(self._pending_claims) or self.records.has_waiters

    @property
    def is_granting(self) -> bool:
        """Return whether tokens and claims may be granted now."""
        return self._gate.is_open and self._may_grant()

    @property
    def missing_entries(self) -> frozenset[EntryId]:
        """Return the entries whose reports the takeover waits for."""
        return self._gate.missing

    def lease_tokens(
        self, entry: EntryId, msg: TokenRequest, ticket: Ticket
    ) -> list[Output]:
        """Lease tokens of the workspace."""
        if msg.shard_epoch != self.view.epoch:
            return [Reply(ticket, _shard_not_ready())]
        now_ms = self._clock.now_ms()
        if not self.is_granting or not self.bucket.is_open(now_ms):
            # A grant of 0 tokens would be taken for a lack of rate.
            return [Reply(ticket, _shard_not_ready())]
        if entry not in self.view.entries:
            return [Reply(ticket, _shard_not_ready())]
        return [Reply(ticket, self.bucket.take(entry, msg.wanted, now_ms))]

    def return_tokens(self, entry: EntryId, msg: TokenReturn) -> list[Output]:
        """Return unused tokens to the bucket."""
        if msg.shard_epoch == self.view.epoch:
            self.bucket.return_tokens(entry, msg.tokens, self._clock.now_ms())
        return []

    def begin_record(
        self, entry: EntryId, msg: RecordBegin, ticket: Ticket
    ) -> list[Output]:
        """Claim an idempotency key."""
        if msg.shard_epoch != self.view.epoch or entry not in self.view.entries:
            return [Reply(ticket, _shard_not_ready())]
        if self.is_granting:
            return self.records.begin(entry, msg, ticket)
        if len(self._pending_claims) >= _PENDING_CLAIMS_MAX:
            return [Reply(ticket, Failure(ErrorKind.QUEUE_FULL))]
        expires_ms = self._clock.now_ms() + max(0, msg.wait_ms)
        self._pending_claims.append(_PendingClaim(entry, msg, ticket, expires_ms))
        return []

    def end_record(self, entry: EntryId, msg: RecordEnd) -> list[Output]:
        """Close a claim, or remove one that still waits."""
        self._pending_claims = [
            claim
            for claim in self._pending_claims
            if claim.entry != entry or claim.msg.request != msg.request
        ]
        return self.records.end(entry, msg)

    def resume(self, entry: EntryId, msg: Resume) -> list[Output]:
        """Apply an entry's report: its records and, in a takeover, its token usage."""
        if msg.shard_epoch != self.view.epoch or entry not in self.view.entries:
            return []
        for row in msg.records:
            if row.workspace == self.view.workspace.name:
                self.records.merge(entry, row)
        was_open = self._gate.is_open
        if not was_open:
            self._usage_reports[entry] = msg.tokens
        self._gate.report(entry)
        return self._open_if_complete(was_open)

    def merge_mirrored(self, items: list[MirroredRecord]) -> None:
        """Merge records that entries mirrored to this arbiter.

        Records of an entry that isn't a member any more have no owner to close them.
        """
        for item in items:
            owner = item.entry if item.entry in self.view.entries else None
            self.records.merge(owner, item.row)
        if self._gate.is_open:
            self.records.close_unowned()

    def disconnect(self, entry: EntryId) -> list[Output]:
        """Remove the waiting claims of an entry whose stream was lost."""
        self._pending_claims = [
            claim for claim in self._pending_claims if claim.entry != entry
        ]
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
        removed = before.entries - view.entries
        for entry in removed:
            self.disconnect(entry)
            outputs += self.records.remove_entry(entry)
        if removed and self._gate.is_open:
            outputs += self.mirror_single_copies()
        was_open = self._gate.is_open
        self._gate.keep_members(view.entries)
        return outputs + self._open_if_complete(was_open)

    def mirror_single_copies(self) -> list[Output]:
        """Return `Mirror` outputs for the records that have no copy on another VM.

        Their entry has been removed or runs on this VM. A local entry mirrors its
        later claims itself.
        """
        rows = self.records.rows_not_held_by(self.view.remote_entries)
        return [Mirror(self.shard, row) for row in rows]

    def tick(self) -> list[Output]:
        """Reply to claims that timed out, and begin waiting claims once granting."""
        outputs = self.records.expire_waiters()
        if not self._pending_claims:
            return outputs
        now_ms = self._clock.now_ms()
        if self.is_granting:
            return outputs + self._begin_pending_claims()
        expired = [
            claim for claim in self._pending_claims if claim.expires_ms <= now_ms
        ]
        self._pending_claims = [
            claim for claim in self._pending_claims if claim.expires_ms > now_ms
        ]
        return outputs + [Reply(claim.ticket, _shard_not_ready()) for claim in expired]

    def close(self, kind: ErrorKind = ErrorKind.ARBITER_UNREACHABLE) -> list[Output]:
        """Refuse all waiting claims and stop granting."""
        self._may_grant = lambda: False
        claims, self._pending_claims = self._pending_claims, []
        outputs: list[Output] = [Reply(c.ticket, Failure(kind)) for c in claims]
        return outputs + self.records.refuse_waiters(kind)

    def _open_if_complete(self, was_open: bool) -> list[Output]:
        if was_open or not self._gate.is_open:
            return []
        self._open()
        outputs = self.mirror_single_copies()
        return outputs + self._begin_pending_claims() if self._may_grant() else outputs

    def _open(self) -> None:
        now_ms = self._clock.now_ms()
        reports = self._complete_usage_reports(now_ms)
        if reports is None:
            self.bucket.open(now_ms, self.view.limits_since_ms)
        else:
            self.bucket.open_with_reports(reports, now_ms)
        self._usage_reports.clear()
        self.records.close_unowned()

    def _complete_usage_reports(self, now_ms: float) -> list[TokensSpent] | None:
        """Return the usage reports if they cover the bucket's fill time, or None.

        The usage is unknown if an entry left or the limits changed within that time.
        """
        fill_ms = self.bucket.fill_ms
        changed_ms = max(self.view.entries_left_ms, self.view.limits_since_ms)
        if not now_ms - changed_ms >= fill_ms + 2 * TOKEN_LEASE_MS:
            return None
        reports = []
        for spent in self._usage_reports.values():
            if spent is None or spent.window_ms < fill_ms:
                return None
            reports.append(spent)
        return reports

    def _begin_pending_claims(self) -> list[Output]:
        claims, self._pending_claims = self._pending_claims, []
        outputs: list[Output] = []
        for claim in claims:
            outputs += self.records.begin(claim.entry, claim.msg, claim.ticket)
        return outputs


def _shard_not_ready() -> Failure:
    return Failure(
        ErrorKind.ARBITER_UNREACHABLE, "the shard is not ready at this arbiter"
    )
