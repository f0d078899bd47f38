"""Changes of the replicated rows of rollouts by commands of the control log."""

from bergamotdrift import control_commands as cmd
from bergamotdrift.control_rows import ControlRows
from bergamotdrift.messages import (
    FULL_SHARE_PERMILLE,
    RolloutRow,
    RolloutState,
    UpstreamState,
)

# An order that got no clear response is sent again, maybe after its rollout has ended.
# This long after its duration, the same order starts another rollout.
REPEAT_MARGIN_MS = 30_000


def start(rows: ControlRows, index: int, order: cmd.StartRollout) -> cmd.OrderResult:
    """Start a rollout of a service unless another one of it is running.

    It has completed already if no upstream of another version is in use.
    """
    row = rows.rollouts.get(order.service)
    if row is not None and _is_repeated(row, order):
        return cmd.OrderResult.REPEATED
    if order.previous_order not in {None, last_order(rows, order.service)}:
        return cmd.OrderResult.SUPERSEDED
    if row is not None and row.state is RolloutState.RUNNING:
        return cmd.OrderResult.CONFLICT
    is_alone = versions_in_use(rows, order.service) == {order.target}
    started = RolloutRow(
        order.service,
        index,
        order.target,
        RolloutState.COMPLETED if is_alone else RolloutState.RUNNING,
        _other_versions(rows, order.service, order.target),
        order.at_ms,
        order.duration_ms,
        FULL_SHARE_PERMILLE if is_alone else order.share_permille,
    )
    rows.rollouts.put(order.service, started, index)
    return cmd.OrderResult.STARTED


def last_order(rows: ControlRows, service: str) -> int:
    """Return the log index of the order that started the last rollout, or 0."""
    row = rows.rollouts.get(service)
    return row.number if row is not None else 0


def step(rows: ControlRows, index: int, command: cmd.StepRollout) -> bool:
    """Change the share or the state of a running rollout; return whether it did."""
    row = rows.rollouts.get(command.service)
    if row is None or row.number != command.number:
        return False
    if row.state is not RolloutState.RUNNING:
        return False
    old = set(row.old_versions) | set(_other_versions(rows, row.service, row.target))
    changed = row._replace(
        state=command.state,
        share_permille=command.share_permille,
        old_versions=sorted(old),
    )
    return rows.rollouts.put(row.service, changed, index)


def versions_in_use(rows: ControlRows, service: str) -> set[str]:
    """Return the versions of a service's upstreams that are not about to leave."""
    return {
        row.version
        for row in rows.upstreams.rows()
        if row.service == service and row.state is not UpstreamState.LEAVING
    }


def is_barred(row: RolloutRow | None, version: str) -> bool:
    """Return whether upstreams of a version get no requests under a rollout."""
    if row is None:
        return False
    is_new = version == row.target
    if row.state is RolloutState.ROLLED_BACK:
        return is_new
    if row.state is RolloutState.COMPLETED:
        return version in row.old_versions
    if row.share_permille >= FULL_SHARE_PERMILLE:
        return not is_new
    return is_new and row.share_permille <= 0


def _is_repeated(row: RolloutRow, order: cmd.StartRollout) -> bool:
    if (row.target, row.duration_ms) != (order.target, order.duration_ms):
        return False
    if row.state is RolloutState.RUNNING:
        return True
    return order.at_ms - row.started_ms < row.duration_ms + REPEAT_MARGIN_MS


def _other_versions(rows: ControlRows, service: str, target: str) -> list[str]:
    found = {
        row.version
        for row in rows.upstreams.rows()
        if row.service == service and row.version != target
    }
    return sorted(found)
