"""All shards of one arbiter: created, updated and dropped by control's feed.

`ShardSet` does no I/O. Its caller passes each entry message to `handle` and delivers
the outputs, which `arbitration` describes.
"""

import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from bergamotdrift.arbiter_messages import (
    ConnectionDropped,
    PermitCancel,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
    RecordBegin,
    RecordEnd,
    RecordMirror,
    Resume,
    TokenRequest,
    TokenReturn,
)
from bergamotdrift.arbitration import Arbitration
from bergamotdrift.clock import Clock
from bergamotdrift.early_messages import EARLY_WAIT_MS, EarlyMessage, EarlyMessages
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.feed_tables import FeedTables
from bergamotdrift.hot_keys import LoadCounter
from bergamotdrift.messages import (
    Done,
    Failure,
    LoadReport,
    Message,
    PartitionRef,
    ShardRow,
)
from bergamotdrift.outputs import Output, Reply, Ticket
from bergamotdrift.record_mirror import MirroredRecord, MirroredRecordStore
from bergamotdrift.shard_view import TableIndex, is_workspace_shard, parse_permit_shard
from bergamotdrift.shards import workspace_shard
from bergamotdrift.takeover import EntryId
from bergamotdrift.upstream_ages import LimitAges, UpstreamAges
from bergamotdrift.workspace_arbitration import WorkspaceArbitration

Shard = Arbitration | WorkspaceArbitration

_WORKSPACE_MESSAGES = (TokenRequest, TokenReturn, RecordBegin, RecordEnd)


class _Route(NamedTuple):
    """Hold the shard of a message, and its epoch if the message carries one."""

    shard: str
    epoch: int | None


class ShardSet:
    """Hold the shards that control leased to this arbiter."""

    def __init__(
        self,
        node: str,
        clock: Clock,
        rng: random.Random,
        may_grant: Callable[[], bool] = lambda: True,
    ):
        self._node = node
        self._clock = clock
        self._rng = rng
        self._may_grant = may_grant
        self._entries: frozenset[EntryId] = frozenset()
        # Entries may have left unnoticed before the first feed update.
        self._entries_left_ms = float("inf")
        self._rows: Mapping[str, ShardRow] = {}
        self._early = EarlyMessages()
        self._ages = UpstreamAges()
        self._limit_ages = LimitAges()
        self._mirrors = MirroredRecordStore(clock)
        self._counters: dict[str, LoadCounter] = {}
        self.permits: dict[str, Arbitration] = {}
        self.workspaces: dict[str, WorkspaceArbitration] = {}

    def update(self, tables: FeedTables) -> list[Output]:
        """Apply changed tables to the shards."""
        now_ms = self._clock.now_ms()
        self._ages.update(tables.upstreams, now_ms)
        if tables.settings is not None:
            self._limit_ages.update(tables.settings.workspaces, now_ms)
        index = TableIndex(tables, self._ages, self._limit_ages)
        if self._entries - index.entries or self._entries_left_ms == float("inf"):
            self._entries_left_ms = now_ms
        self._entries = index.entries
        self._rows = tables.shards
        own_rows = {
            row.shard: row for row in tables.shards.values() if row.node == self._node
        }
        outputs: list[Output] = []
        for shard in [*self.permits, *self.workspaces]:
            if self._epoch_of(shard) != getattr(own_rows.get(shard), "epoch", None):
                outputs += self._drop_shard(shard, index)
        for row in own_rows.values():
            outputs += self._apply_row(row, index)
        return outputs + self._retry_early()

    def handle(self, entry: EntryId, msg: Message, ticket: Ticket) -> list[Output]:
        """Handle a message of an entry; the reply to a request carries its ticket."""
        if isinstance(msg, RecordMirror):
            self._store_mirror(entry, msg)
            return [Reply(ticket, Done())]
        route = _route_of(msg)
        if route is None:
            return [Reply(ticket, Failure(ErrorKind.MALFORMED_REQUEST))]
        if self._is_early(entry, route):
            if isinstance(msg, RecordEnd):
                self._mirrors.end(msg)
            expires_ms = self._clock.now_ms() + EARLY_WAIT_MS
            item = EarlyMessage(entry, route.shard, msg, ticket, expires_ms)
            return self._hold_early(item, route)
        return self._dispatch(entry, route, msg, ticket)

    def disconnect(self, entry: EntryId) -> list[Output]:
        """Handle the loss of an entry's stream."""
        self._early.remove_entry(entry)
        outputs: list[Output] = []
        for shard in self._all_shards():
            outputs += shard.disconnect(entry)
        return outputs

    def tick(self) -> list[Output]:
        """Run the time-driven work of all shards."""
        outputs: list[Output] = []
        for shard in self._all_shards():
            outputs += shard.tick()
        for item in self._early.take_expired(self._clock.now_ms()):
            outputs += _refuse_early(item)
        return outputs

    def is_waiting(self) -> bool:
        """Return whether any message or request waits."""
        return bool(self._early) or any(
            shard.is_waiting for shard in self._all_shards()
        )

    def drained(self) -> list[PartitionRef]:
        """Return the partitions to report as drained."""
        return [ref for shard in self.permits.values() for ref in shard.drained()]

    def take_load_reports(self) -> list[LoadReport]:
        """Return the request counts per keyed service since the last call."""
        now_ms = self._clock.now_ms()
        reports = [item.take_report(now_ms) for item in self._counters.values()]
        return [report for report in reports if report is not None]

    def count(self) -> int:
        """Return how many shards this arbiter holds."""
        return len(self.permits) + len(self.workspaces)

    def epochs(self) -> dict[str, int]:
        """Return the epoch of each shard that this arbiter holds."""
        return {shard.shard: shard.view.epoch for shard in self._all_shards()}

    def awaiting_reports(self) -> list[Shard]:
        """Return the shards that wait for reports of entries after a takeover."""
        return [shard for shard in self._all_shards() if shard.missing_entries]

    def close(self) -> list[Output]:
        """Refuse all waiting requests, and grant nothing more."""
        outputs: list[Output] = []
        for shard in self._all_shards():
            outputs += shard.close()
        for item in self._early.take_all():
            outputs += _refuse_early(item)
        return outputs

    def _all_shards(self) -> list[Shard]:
        return [*self.permits.values(), *self.workspaces.values()]

    def _find_shard(self, shard: str) -> Shard | None:
        return self.permits.get(shard) or self.workspaces.get(shard)

    def _epoch_of(self, shard: str) -> int | None:
        found = self._find_shard(shard)
        return found.view.epoch if found is not None else None

    def _drop_shard(self, shard: str, index: TableIndex) -> list[Output]:
        workspace = self.workspaces.pop(shard, None)
        if workspace is not None:
            return workspace.close() + workspace.mirror_single_copies()
        permits = self.permits.pop(shard, None)
        if permits is None:
            return []
        return permits.close() + permits.revoke_unlisted(index.is_listed)

    def _apply_row(self, row: ShardRow, index: TableIndex) -> list[Output]:
        if is_workspace_shard(row.shard):
            return self._apply_workspace(row, index)
        view = index.view(row)
        if view is None:
            return self._drop_shard(row.shard, index)
        known = self.permits.get(row.shard)
        if known is not None:
            return known.update(view) if known.view != view else []
        self.permits[row.shard] = Arbitration(
            row.shard, view, self._clock, self._rng, self._may_grant
        )
        return []

    def _apply_workspace(self, row: ShardRow, index: TableIndex) -> list[Output]:
        view = index.workspace_view(row)
        if view is None:
            return self._drop_shard(row.shard, index)
        view = view._replace(entries_left_ms=self._entries_left_ms)
        known = self.workspaces.get(row.shard)
        if known is not None:
            return known.update(view) if known.view != view else []
        created = WorkspaceArbitration(row.shard, view, self._clock, self._may_grant)
        created.merge_mirrored(self._mirrors.pop_workspace(view.workspace.name))
        self.workspaces[row.shard] = created
        return []

    def _is_early(self, entry: EntryId, route: _Route) -> bool:
        if self._early.has_any(entry, route.shard) or entry not in self._entries:
            return True
        epoch = self._epoch_of(route.shard)
        return epoch is None or (route.epoch is not None and route.epoch > epoch)

    def _hold_early(self, item: EarlyMessage, route: _Route) -> list[Output]:
        if self._is_misrouted(route) or not self._early.hold(item):
            return _refuse_early(item)
        return []

    def _retry_early(self) -> list[Output]:
        outputs: list[Output] = []
        for item in self._early.take_all():
            route = _route_of(item.message)
            if route is None:
                continue
            if self._is_early(item.entry, route):
                outputs += self._hold_early(item, route)
            else:
                outputs += self._dispatch(item.entry, route, item.message, item.ticket)
        return outputs

    def _is_misrouted(self, route: _Route) -> bool:
        """Return whether a message is for an assignment of another arbiter or epoch."""
        row = self._rows.get(route.shard)
        if row is None or route.epoch is None or route.epoch > row.epoch:
            return False
        return route.epoch < row.epoch or row.node != self._node

    def _dispatch(
        self, entry: EntryId, route: _Route, msg: Message, ticket: Ticket
    ) -> list[Output]:
        permits = self.permits.get(route.shard)
        if permits is not None:
            return self._dispatch_permit(permits, entry, msg, ticket)
        workspace = self.workspaces.get(route.shard)
        if workspace is not None:
            return _dispatch_workspace(workspace, entry, msg, ticket)
        return []

    def _dispatch_permit(
        self, shard: Arbitration, entry: EntryId, msg: Message, ticket: Ticket
    ) -> list[Output]:
        if isinstance(msg, PermitRequest):
            self._count_load(shard, msg)
            return shard.request(entry, msg, ticket)
        if isinstance(msg, PermitRelease):
            return shard.release(entry, msg)
        if isinstance(msg, PermitCancel):
            return shard.cancel(entry, msg)
        if isinstance(msg, ConnectionDropped):
            return shard.drop_connections(entry, msg)
        if isinstance(msg, Resume):
            return shard.resume(entry, msg)
        return []

    def _count_load(self, shard: Arbitration, msg: PermitRequest) -> None:
        service = shard.view.service.name
        counter = self._counters.get(service)
        if counter is None:
            counter = LoadCounter(service, self._clock.now_ms())
            self._counters[service] = counter
        counter.add(msg.partition, msg.key_hash)

    def _store_mirror(self, entry: EntryId, msg: RecordMirror) -> None:
        owned = self.workspaces.get(workspace_shard(msg.row.workspace))
        if owned is not None:
            owned.merge_mirrored([MirroredRecord(entry, msg.row)])
        else:
            self._mirrors.store(entry, msg.row)


def _dispatch_workspace(
    shard: WorkspaceArbitration, entry: EntryId, msg: Message, ticket: Ticket
) -> list[Output]:
    if isinstance(msg, TokenRequest):
        return shard.lease_tokens(entry, msg, ticket)
    if isinstance(msg, TokenReturn):
        return shard.return_tokens(entry, msg)
    if isinstance(msg, RecordBegin):
        return shard.begin_record(entry, msg, ticket)
    if isinstance(msg, RecordEnd):
        return shard.end_record(entry, msg)
    if isinstance(msg, Resume):
        return shard.resume(entry, msg)
    return []


def _route_of(msg: Message) -> _Route | None:
    if isinstance(msg, (PermitRequest, Resume)):
        return _Route(msg.shard, msg.shard_epoch)
    if isinstance(msg, (PermitRelease, PermitCancel, ConnectionDropped)):
        return _Route(msg.shard, None)
    if isinstance(msg, _WORKSPACE_MESSAGES):
        epoch = getattr(msg, "shard_epoch", None)
        return _Route(workspace_shard(msg.workspace), epoch)
    return None


def _refuse_early(item: EarlyMessage) -> list[Output]:
    detail = (
        f"{parse_permit_shard(item.shard).service[:64]!r} is not served by this arbiter"
    )
    if isinstance(item.message, PermitRequest):
        refusal = PermitRefusal(ErrorKind.ARBITER_UNREACHABLE, detail)
        return [Reply(item.ticket, refusal)]
    if isinstance(item.message, (TokenRequest, RecordBegin)):
        return [Reply(item.ticket, Failure(ErrorKind.ARBITER_UNREACHABLE, detail))]
    return []
