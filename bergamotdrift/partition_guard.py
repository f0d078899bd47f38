"""Check permit requests against the partitions that an upstream owns."""

from bergamotdrift.arbiter_messages import (
    NO_PARTITION,
    PermitRequest,
)
from bergamotdrift.messages import (
    PartitionRef,
    PartitionRow,
    PartitionState,
)
from bergamotdrift.shard_view import ShardView


class PartitionGuard:
    """Hold the partitions of one upstream.

    The upstreams of a pool own no partitions; requests without one always pass.
    """

    def __init__(self, view: ShardView):
        self._rows: dict[int, PartitionRow] = {}
        self.update(view)

    def update(self, view: ShardView) -> None:
        """Replace the partition rows with those of a changed view."""
        self._rows = {row.partition: row for row in view.partitions}

    def refusal_reason(self, req: PermitRequest) -> str:
        """Return the reason for refusing a request, or an empty string."""
        if req.partition == NO_PARTITION:
            return ""
        row = self._rows.get(req.partition)
        if row is None:
            return "the upstream does not own the partition"
        if row.epoch != req.partition_epoch:
            return "the partition epoch is not current"
        if row.state is not PartitionState.OWNED:
            return "the partition is being released by its owner"
        return ""

    def names_newer_epoch(self, req: PermitRequest) -> bool:
        """Return whether the request names a newer epoch than this arbiter's feed."""
        if req.partition == NO_PARTITION:
            return False
        row = self._rows.get(req.partition)
        return row is None or row.epoch < req.partition_epoch

    def owned_partitions(self) -> set[int]:
        """Return the numbers of the upstream's partitions."""
        return set(self._rows)

    def releasing_partitions(self) -> list[PartitionRef]:
        """Return the partitions that are being released and need to be drained."""
        return [
            PartitionRef(row.service, row.partition, row.epoch)
            for row in self._rows.values()
            if row.state is PartitionState.RELEASING
        ]
