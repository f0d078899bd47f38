"""Check that a permit is asked for a partition that the upstream owns."""

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
    """Hold the partitions of one upstream; a pool has none and accepts all."""

    def __init__(self, view: ShardView):
        self._rows: dict[int, PartitionRow] = {}
        self.update(view)

    def update(self, view: ShardView) -> None:
        """Take the rows of a changed view."""
        self._rows = {row.partition: row for row in view.partitions}

    def refusal(self, req: PermitRequest) -> str:
        """Return why the request may not run here, or an empty string."""
        if req.partition == NO_PARTITION:
            return ""
        row = self._rows.get(req.partition)
        if row is None:
            return "the upstream does not own the partition"
        if row.epoch != req.partition_epoch:
            return "the partition epoch is not current"
        if row.state is not PartitionState.OWNED:
            return "the partition is changing its owner"
        return ""

    def is_ahead(self, req: PermitRequest) -> bool:
        """Tell whether the request knows a newer epoch than this arbiter's feed."""
        if req.partition == NO_PARTITION:
            return False
        row = self._rows.get(req.partition)
        return row is None or row.epoch < req.partition_epoch

    def owned(self) -> set[int]:
        """Return the partitions of the upstream."""
        return set(self._rows)

    def releasing(self) -> list[PartitionRef]:
        """Return the partitions that are to be drained."""
        return [
            PartitionRef(row.service, row.partition, row.epoch)
            for row in self._rows.values()
            if row.state is PartitionState.RELEASING
        ]
