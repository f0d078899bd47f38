"""Deterministic state machine of the control log, identical on every replica."""

from collections.abc import Callable
from typing import Any

import msgpack

from bergamotdrift import control_commands as cmd
from bergamotdrift import messages, partition_changes, rollout_orders
from bergamotdrift.config.schema import ServiceKind, ServiceSettings
from bergamotdrift.control_commands import Applied, ChangeOutcome, ReassignmentWait
from bergamotdrift.control_rows import ControlRows
from bergamotdrift.ended_upstreams import EndedUpstream
from bergamotdrift.feed_tables import PartitionId, UpstreamId
from bergamotdrift.messages import (
    FeedUpdate,
    Message,
    RangeRow,
    ShardRow,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.settings_log import SettingsLog
from bergamotdrift.zone_evacuations import ZoneEvacuations


class ControlState:
    """Settings and tables; `feed_index` is the log index of the last change."""

    def __init__(self) -> None:
        self.applied_index = 0
        self.feed_index = 0
        self.settings = SettingsLog()
        self.rows = ControlRows()
        self.evacuations = ZoneEvacuations()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command at a log index and return its encoded outcome."""
        return messages.encode(self.apply_command(index, messages.decode(command)))

    def apply_command(self, index: int, command: Message) -> Message:
        """Apply a decoded command and return its outcome."""
        outcome = _HANDLERS[type(command)](self, index, command)
        self.applied_index = index
        return outcome

    def snapshot(self) -> bytes:
        """Return the whole state, encoded as msgpack."""
        return msgpack.packb([
            self.applied_index,
            self.feed_index,
            self.settings.dump(),
            self.rows.dump(),
            *self.evacuations.dump(),
        ])

    def restore(self, data: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
        fields = msgpack.unpackb(data, strict_map_key=False)
        self.applied_index, self.feed_index, settings, rows, *evacuation = fields
        self.evacuations.load(evacuation)
        self.settings.load(settings)
        self.rows.load(rows)

    def update_since(self, index: int) -> FeedUpdate:
        """Return the changes after a feed index, or everything if they are unknown."""
        rows, log = self.rows, self.settings
        full = index <= 0 or index < rows.tombstone_floor()
        since = 0 if full else index
        is_changed = log.changed_at > since
        patch = log.patch_since(since) if is_changed and not full else None
        return FeedUpdate(
            from_index=since,
            to_index=self.feed_index,
            full=full,
            revision=log.revision,
            settings=log.current if is_changed and patch is None else None,
            nodes=rows.nodes.rows_since(since),
            upstreams=rows.upstreams.rows_since(since),
            partitions=rows.partitions.rows_since(since),
            shards=rows.shards.rows_since(since),
            isolated=rows.isolated.rows_since(since),
            removed=[] if full else rows.removed_since(since),
            # Only the leader hands on the state tokens of last holders.
            ranges=[row._replace(handover="") for row in rows.ranges.rows_since(since)],
            evacuated=sorted(self.evacuations.zones)
            if full or self.evacuations.changed_at > since
            else None,
            patch=patch,
            rollouts=rows.rollouts.rows_since(since),
        )

    def service(self, name: str) -> ServiceSettings | None:
        """Return the current settings of a service, or None."""
        current = self.settings.current
        return current.service(name) if current is not None else None

    def _open_term(self, index: int, command: cmd.OpenTerm) -> Applied:
        return Applied(0)

    def _apply_settings(self, index: int, command: cmd.ApplySettings) -> ChangeOutcome:
        before = self.settings.current
        outcome = self.settings.apply(index, command)
        if self.settings.changed_at == index:
            old = before.services if before is not None else ()
            self._reconcile_services(index, old, command.settings.services)
            self.feed_index = index
        return outcome

    def _record_refusal(self, index: int, command: cmd.RecordRefusal) -> ChangeOutcome:
        return self.settings.record_refusal(command)

    def _register_nodes(self, index: int, command: cmd.RegisterNodes) -> Applied:
        nodes, changed = self.rows.nodes, 0
        for row in command.rows:
            registered = nodes.get(row.node)
            if registered is None or registered.incarnation == row.incarnation:
                changed += nodes.put(row.node, row, index)
        return self._record_changes(index, changed)

    def _expire_nodes(self, index: int, command: cmd.ExpireNodes) -> Applied:
        changed = 0
        for item in command.items:
            row = self.rows.nodes.get(item.node)
            if row is not None and row.incarnation == item.incarnation:
                self._unassign_shards(index, item.node)
                changed += self.rows.nodes.remove(item.node, index)
        return self._record_changes(index, changed)

    def _unassign_shards(self, index: int, node: str) -> None:
        # A node that registers again under this name must not regain lost shards.
        for row in list(self.rows.shards.rows()):
            if row.node == node:
                self.rows.shards.put(row.shard, ShardRow(row.shard, "", index), index)

    def _put_upstreams(self, index: int, command: cmd.PutUpstreams) -> Applied:
        changed = sum(self._put_upstream(index, row) for row in command.rows)
        return self._record_changes(index, changed)

    def _put_upstream(self, index: int, row: UpstreamRow) -> bool:
        service = self.service(row.service)
        key = UpstreamId(row.service, row.upstream)
        if service is None or self.rows.is_superseded(key, row.incarnation):
            return False
        registered = self.rows.upstreams.get(key)
        is_known = registered is not None and registered.incarnation == row.incarnation
        if not is_known and self._may_not_register(row):
            return False
        if row.born_ms:
            self._remove_predecessors(index, row)
        if registered is None:
            return self.rows.put_upstream(index, row)
        if registered.incarnation == row.incarnation:
            # A change that was planned before an upstream began to leave must not
            # bring it back.
            leaves = registered.state is UpstreamState.LEAVING
            changed = registered._replace(
                state=registered.state if leaves else row.state,
                slots=row.slots,
                limit_per_s=row.limit_per_s,
                version=row.version,
            )
            return self.rows.put_upstream(index, changed)
        if row.born_ms < registered.born_ms:
            return False
        if service.kind is ServiceKind.KEYED:
            # The earlier incarnation may still hold a lease and has to expire first.
            return False
        return self.rows.put_upstream(index, row)

    def _may_not_register(self, row: UpstreamRow) -> bool:
        ended = self.rows.ended.includes(row.upstream, row.incarnation, row.born_ms)
        return ended and row.state is not UpstreamState.LEAVING

    def _end_upstreams(self, index: int, command: cmd.EndUpstreams) -> Applied:
        added = sum(self.rows.ended.add(item) for item in command.items)
        changed = sum(self._mark_leaving(index, item) for item in command.items)
        self._record_changes(index, changed)
        return Applied(added + changed)

    def _mark_leaving(self, index: int, item: EndedUpstream) -> int:
        """Let an upstream's rows leave that belong to an ended process."""
        rows = [
            row
            for row in self.rows.upstreams.rows()
            if row.upstream == item.upstream
            and item.includes(row.incarnation, row.born_ms)
            and row.state is not UpstreamState.LEAVING
        ]
        for row in rows:
            leaving = row._replace(state=UpstreamState.LEAVING)
            self.rows.put_upstream(index, leaving)
        return len(rows)

    def _remove_predecessors(self, index: int, row: UpstreamRow) -> None:
        """Remove earlier upstreams at an address that a later process now uses."""
        for other in list(self.rows.upstreams.rows()):
            key = UpstreamId(other.service, other.upstream)
            same = key == UpstreamId(row.service, row.upstream)
            if same or other.address != row.address:
                continue
            if 0 < other.born_ms < row.born_ms:
                # Its process has ended, so its grants are void.
                self.rows.free_ranges(index, other)
                self.rows.upstreams.remove(key, index)

    def _set_evacuation(
        self, index: int, command: cmd.SetEvacuation
    ) -> cmd.EvacuationOutcome:
        outcome = self.evacuations.apply(index, command)
        if outcome.changed:
            self.feed_index = index
        return outcome

    def _replace_ranges(self, index: int, command: cmd.ReplaceRanges) -> Applied:
        if self.service(command.service) is None or not _covers_same_keys(command):
            return Applied(0)
        done = self.rows.replace_ranges(index, command.expected, command.replacement)
        return self._record_changes(index, len(command.replacement) if done else 0)

    def _start_rollout(
        self, index: int, command: cmd.StartRollout
    ) -> cmd.RolloutOutcome:
        if self.service(command.service) is None:
            return cmd.RolloutOutcome(cmd.OrderResult.UNKNOWN_SERVICE)
        result = rollout_orders.start(self.rows, index, command)
        if result is cmd.OrderResult.STARTED:
            self.feed_index = index
        return cmd.RolloutOutcome(result)

    def _step_rollout(self, index: int, command: cmd.StepRollout) -> Applied:
        changed = rollout_orders.step(self.rows, index, command)
        return self._record_changes(index, int(changed))

    def _expire_upstreams(self, index: int, command: cmd.ExpireUpstreams) -> Applied:
        changed = 0
        for item in command.items:
            key = UpstreamId(item.service, item.upstream)
            row = self.rows.upstreams.get(key)
            if row is None or row.incarnation != item.incarnation:
                continue
            self._remove_upstream(index, key, ReassignmentWait.PERMITS)
            changed += 1
        return self._record_changes(index, changed)

    def _release_partitions(
        self, index: int, command: cmd.ReleasePartitions
    ) -> Applied:
        changed = sum(
            partition_changes.release(self.rows, index, item) for item in command.items
        )
        return self._record_changes(index, changed)

    def _assign_partitions(self, index: int, command: cmd.AssignPartitions) -> Applied:
        changed = sum(
            partition_changes.assign(self.rows, index, item) for item in command.items
        )
        return self._record_changes(index, changed)

    def _assign_shards(self, index: int, command: cmd.AssignShards) -> Applied:
        shards, changed = self.rows.shards, 0
        for item in command.items:
            row = shards.get(item.shard)
            if item.epoch != (row.epoch if row is not None else 0):
                continue
            if item.node and item.node not in self.rows.nodes:
                continue
            # The log index as epoch increases even if the row was removed meanwhile.
            next_row = ShardRow(item.shard, item.node, index)
            changed += shards.put(item.shard, next_row, index)
        return self._record_changes(index, changed)

    def _remove_shards(self, index: int, command: cmd.RemoveShards) -> Applied:
        shards = self.rows.shards
        changed = sum(shards.remove(shard, index) for shard in command.shards)
        return self._record_changes(index, changed)

    def _isolate_key(self, index: int, command: cmd.IsolateKey) -> Applied:
        service = self.service(command.service)
        if service is None:
            return Applied(0)
        changed = partition_changes.isolate_key(
            self.rows, index, service, command.key_hash
        )
        return self._record_changes(index, int(changed))

    def _restore_key(self, index: int, command: cmd.RestoreKey) -> Applied:
        changed = partition_changes.restore_key(self.rows, index, command)
        return self._record_changes(index, int(changed))

    def _reconcile_services(
        self,
        index: int,
        before: tuple[ServiceSettings, ...],
        after: tuple[ServiceSettings, ...],
    ) -> None:
        old = {service.name: service for service in before}
        new = {service.name: service for service in after}
        for name, service in old.items():
            current_service = new.get(name)
            if current_service is None:
                self.rows.rollouts.remove(name, index)
            if current_service is None or current_service.kind is not service.kind:
                self._drop_upstreams(index, name)
            if current_service is None or partition_changes.differs(
                service, current_service
            ):
                partition_changes.drop(self.rows, index, name)
        for name, service in new.items():
            previous = old.get(name)
            if previous is None or partition_changes.differs(previous, service):
                partition_changes.create(self.rows, index, service)

    def _drop_upstreams(self, index: int, service: str) -> None:
        for key in self.rows.upstreams.list_keys():
            if key.service == service:
                self._remove_upstream(index, key, ReassignmentWait.LEASE)

    def _remove_upstream(
        self, index: int, key: UpstreamId, wait: ReassignmentWait
    ) -> None:
        for row in self.rows.partitions_of(key):
            self.rows.vacate(index, PartitionId(row.service, row.partition), wait)
        self.rows.upstreams.remove(key, index)

    def _record_changes(self, index: int, changed: int) -> Applied:
        if changed:
            self.feed_index = index
        return Applied(changed)


def _covers_same_keys(command: cmd.ReplaceRanges) -> bool:
    """Return whether the replacement covers the same keys without gap or overlap."""
    if any(row.service != command.service for row in command.replacement):
        return False
    expected = _spans(command.expected)
    return not command.expected or expected == _spans(command.replacement)


def _spans(rows: list[RangeRow]) -> list[tuple[int, int]]:
    """Return the key spans of the rows, sorted, with adjacent spans merged."""
    spans: list[tuple[int, int]] = []
    for row in sorted(rows):
        if spans and spans[-1][1] + 1 == row.first:
            spans[-1] = (spans[-1][0], row.last)
        else:
            spans.append((row.first, row.last))
    return spans


_HANDLERS: dict[type, Callable[[ControlState, int, Any], Message]] = {
    cmd.OpenTerm: ControlState._open_term,
    cmd.ApplySettings: ControlState._apply_settings,
    cmd.RecordRefusal: ControlState._record_refusal,
    cmd.RegisterNodes: ControlState._register_nodes,
    cmd.ExpireNodes: ControlState._expire_nodes,
    cmd.PutUpstreams: ControlState._put_upstreams,
    cmd.EndUpstreams: ControlState._end_upstreams,
    cmd.ExpireUpstreams: ControlState._expire_upstreams,
    cmd.ReleasePartitions: ControlState._release_partitions,
    cmd.AssignPartitions: ControlState._assign_partitions,
    cmd.AssignShards: ControlState._assign_shards,
    cmd.RemoveShards: ControlState._remove_shards,
    cmd.IsolateKey: ControlState._isolate_key,
    cmd.RestoreKey: ControlState._restore_key,
    cmd.SetEvacuation: ControlState._set_evacuation,
    cmd.ReplaceRanges: ControlState._replace_ranges,
    cmd.StartRollout: ControlState._start_rollout,
    cmd.StepRollout: ControlState._step_rollout,
}
