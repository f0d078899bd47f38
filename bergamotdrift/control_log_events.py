"""Log lines and metrics of what the control log's commands change."""

from typing import Any

from prometheus_client import Counter, Gauge

from bergamotdrift import commands_log as cmd
from bergamotdrift.control_state import ControlState
from bergamotdrift.log import log_event
from bergamotdrift.messages import Message

# A zone that goes out changes thousands of rows; one line each would stall the loop.
_ROWS_LOGGED = 32

LEADER = Gauge("bergamotdrift_control_leader", "1 while this replica leads")
SESSIONS = Gauge("bergamotdrift_control_sessions", "Registered entries and arbiters")
UPSTREAMS = Gauge("bergamotdrift_control_upstreams", "Registered upstreams")
UNOWNED = Gauge(
    "bergamotdrift_control_unowned_partitions",
    "Partitions that are vacant or under release",
)
REVISION = Gauge("bergamotdrift_control_settings_revision", "Current revision")
ASSIGNMENTS = Counter(
    "bergamotdrift_control_partition_assignments_total",
    "Partitions given to an upstream",
)
SHARD_MOVES = Counter(
    "bergamotdrift_control_shard_assignments_total", "Shards given to an arbiter"
)
CHANGES = Counter(
    "bergamotdrift_control_settings_changes_total",
    "Settings changes by outcome",
    ["outcome"],
)
REFUSED_ANNOUNCEMENTS = Counter(
    "bergamotdrift_control_refused_announcements_total", "Announcements refused"
)


def update_gauges(state: ControlState, leads: bool) -> None:
    """Set the gauges to the present state."""
    LEADER.set(1 if leads else 0)
    SESSIONS.set(len(state.rows.nodes))
    UPSTREAMS.set(len(state.rows.upstreams))
    UNOWNED.set(len(state.rows.unowned))
    REVISION.set(state.settings.revision)


def log_command(command: Message, outcome: Message) -> None:
    """Log what a command changed, and count it."""
    name = _EVENTS.get(type(command))
    if isinstance(outcome, cmd.ChangeOutcome):
        _log_change(command, outcome)
    elif name is not None and outcome.changed:
        rows = _rows(command)
        for row in rows[:_ROWS_LOGGED]:
            log_event(name, **_fields(row))
        if len(rows) > _ROWS_LOGGED:
            log_event(name, rows=len(rows), changed=outcome.changed)
        _count(command, outcome.changed)


def _log_change(command: Message, outcome: cmd.ChangeOutcome) -> None:
    CHANGES.labels(outcome=outcome.kind or "accepted").inc()
    log_event(
        "settings_change",
        request=command.request,
        author=command.author,
        base_revision=command.base_revision,
        outcome=outcome.kind or "accepted",
        revision=outcome.revision,
    )


def _count(command: Message, changed: int) -> None:
    if isinstance(command, cmd.AssignPartitions):
        ASSIGNMENTS.inc(changed)
    if isinstance(command, cmd.AssignShards):
        SHARD_MOVES.inc(changed)


def _rows(command: Message) -> list[Any]:
    if isinstance(command, cmd.ReplaceRanges):
        return command.replacement
    first = command[0]
    return first if isinstance(first, list) else [command]


def _fields(row: Any) -> dict[str, Any]:
    return row._asdict() if hasattr(row, "_asdict") else {"shard": row}


_EVENTS: dict[type, str] = {
    cmd.RegisterNodes: "node_registered",
    cmd.ExpireNodes: "node_expired",
    cmd.PutUpstreams: "upstream_registered",
    cmd.ExpireUpstreams: "upstream_expired",
    cmd.ReleasePartitions: "partition_releasing",
    cmd.AssignPartitions: "partition_assigned",
    cmd.AssignShards: "shard_assigned",
    cmd.RemoveShards: "shard_removed",
    cmd.IsolateKey: "key_isolated",
    cmd.RestoreKey: "key_restored",
    cmd.SetEvacuation: "zone_evacuation_changed",
    cmd.ReplaceRanges: "ranges_changed",
}
