"""Changes of the replicated rows of partitions and isolated keys by commands."""

from bergamotdrift import control_commands as cmd
from bergamotdrift.config.schema import ServiceKind, ServiceSettings
from bergamotdrift.control_commands import ReassignmentWait
from bergamotdrift.control_rows import ControlRows
from bergamotdrift.feed_tables import IsolatedKeyId, PartitionId, UpstreamId
from bergamotdrift.hashing import partition_of_hash
from bergamotdrift.messages import (
    IsolatedKeyRow,
    PartitionRef,
    PartitionRow,
    PartitionState,
)

MAX_ISOLATED_KEYS_PER_SERVICE = 64


def parent_partition(service: ServiceSettings, key_hash: int) -> PartitionId:
    """Return the hash partition of a key, regardless of key isolation."""
    number = partition_of_hash(key_hash, service.partitions)
    return PartitionId(service.name, number)


def differs(before: ServiceSettings, after: ServiceSettings) -> bool:
    """Return whether the partitions of two versions of a service differ."""
    return (before.kind, before.partitions) != (after.kind, after.partitions)


def create(rows: ControlRows, index: int, service: ServiceSettings) -> None:
    """Create the partitions of a service, if it has keys."""
    if service.kind is not ServiceKind.KEYED:
        return
    last_used_epoch = rows.last_used_epochs.get(service.name, 0)
    rows.next_isolated_partition[service.name] = service.partitions
    for number in range(service.partitions):
        row = PartitionRow(
            service.name, number, "", last_used_epoch, PartitionState.VACANT
        )
        rows.put_partition(index, row)
        if last_used_epoch:
            # Upstreams may still hold leases on the earlier partitions.
            key = PartitionId(service.name, number)
            rows.reassignment_waits[key] = ReassignmentWait.LEASE


def drop(rows: ControlRows, index: int, service: str) -> None:
    """Remove all partitions and isolated keys of a service."""
    for isolated in rows.isolated.list_keys():
        if isolated.service == service:
            rows.isolated.remove(isolated, index)
    for partition in rows.partitions.list_keys():
        if partition.service == service:
            rows.remove_partition(index, partition)


def release(rows: ControlRows, index: int, item: PartitionRef) -> bool:
    """Start to release an owned partition; return whether it did."""
    row = rows.partitions.get(PartitionId(item.service, item.partition))
    if row is None or row.epoch != item.epoch or row.state is not PartitionState.OWNED:
        return False
    return rows.put_partition(index, row._replace(state=PartitionState.RELEASING))


def assign(rows: ControlRows, index: int, item: cmd.PartitionAssignment) -> bool:
    """Assign a partition that has no owner; return whether it changed."""
    key = PartitionId(item.service, item.partition)
    row = rows.partitions.get(key)
    if row is None or row.epoch != item.epoch or row.state is PartitionState.OWNED:
        return False
    if not item.upstream:
        return rows.vacate(index, key, ReassignmentWait.NONE)
    upstream = rows.upstreams.get(UpstreamId(item.service, item.upstream))
    if upstream is None or upstream.incarnation != item.incarnation:
        return False
    rows.reassignment_waits.pop(key, None)
    owned = row._replace(
        upstream=item.upstream, epoch=row.epoch + 1, state=PartitionState.OWNED
    )
    return rows.put_partition(index, owned)


def isolate_key(
    rows: ControlRows, index: int, service: ServiceSettings, key_hash: int
) -> bool:
    """Move a key to a partition of its own; return whether it did."""
    key = IsolatedKeyId(service.name, key_hash)
    if service.kind is not ServiceKind.KEYED:
        return False
    isolated_count = sum(row.service == service.name for row in rows.isolated.rows())
    if key in rows.isolated or isolated_count >= MAX_ISOLATED_KEYS_PER_SERVICE:
        return False
    parent = rows.partitions.get(parent_partition(service, key_hash))
    if parent is None or parent.state is not PartitionState.OWNED:
        return False
    number = rows.next_isolated_partition[service.name]
    rows.next_isolated_partition[service.name] = number + 1
    last_used_epoch = rows.last_used_epochs.get(service.name, 0)
    epoch = max(parent.epoch, last_used_epoch) + 1
    rows.put_partition(index, parent._replace(partition=number, epoch=epoch))
    rows.isolated.put(key, IsolatedKeyRow(service.name, key_hash, number), index)
    return True


def restore_key(rows: ControlRows, index: int, command: cmd.RestoreKey) -> bool:
    """Return an isolated key to its parent partition; return whether it did."""
    key = IsolatedKeyId(command.service, command.key_hash)
    partition = PartitionId(command.service, command.partition)
    isolated = rows.isolated.get(key)
    row = rows.partitions.get(partition)
    if isolated is None or isolated.partition != command.partition:
        return False
    if row is None or row.epoch != command.epoch:
        return False
    if row.state is PartitionState.OWNED:
        return False
    rows.isolated.remove(key, index)
    rows.remove_partition(index, partition)
    return True
