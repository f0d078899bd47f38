"""Log events and metrics of changes made by control log commands."""

from typing import Any

from prometheus_client import Counter, Gauge, Histogram

from bergamotdrift import control_commands as cmd
from bergamotdrift.control_state import ControlState
from bergamotdrift.log import log_event
from bergamotdrift.messages import Message

# Taking a zone out changes thousands of rows; one log line each would block the event
# loop.
_MAX_ROW_EVENTS = 32

LEADER_GAUGE = Gauge("bergamotdrift_control_leader", "1 while this replica leads")
SESSIONS = Gauge("bergamotdrift_control_sessions", "Registered entries and arbiters")
UPSTREAMS = Gauge("bergamotdrift_control_upstreams", "Registered upstreams")
UNOWNED_PARTITIONS = Gauge(
    "bergamotdrift_control_unowned_partitions",
    "Partitions that are vacant or under release",
)
SETTINGS_REVISION = Gauge("bergamotdrift_control_settings_revision", "Current revision")
PARTITION_ASSIGNMENTS = Counter(
    "bergamotdrift_control_partition_assignments_total",
    "Partitions given to an upstream",
)
SHARD_ASSIGNMENTS = Counter(
    "bergamotdrift_control_shard_assignments_total", "Shards given to an arbiter"
)
SETTINGS_CHANGES = Counter(
    "bergamotdrift_control_settings_changes_total",
    "Settings changes by outcome",
    ["outcome"],
)
ROLLOUT_SHARE = Gauge(
    "bergamotdrift_control_rollout_share",
    "Part of a service's requests that the version being rolled out may get",
    ["service"],
)
ROLLOUT_ORDERS = Counter(
    "bergamotdrift_control_rollout_orders_total",
    "Orders to start a rollout by result",
    ["result"],
)
ROLLOUT_STEPS = Counter(
    "bergamotdrift_control_rollout_steps_total",
    "Changes of rollouts by state and reason",
    ["state", "reason"],
)
PLANNING_TIME = Histogram(
    "bergamotdrift_control_planning_seconds",
    "Time to plan the commands of a round of the leader",
    buckets=(0.001, 0.005, 0.02, 0.075, 0.15, 0.3, 1.0, 3.0),
)
REFUSED_ANNOUNCEMENTS = Counter(
    "bergamotdrift_control_refused_announcements_total", "Announcements refused"
)


def update_gauges(state: ControlState, leads: bool) -> None:
    """Set the gauges from the current state."""
    LEADER_GAUGE.set(1 if leads else 0)
    SESSIONS.set(len(state.rows.nodes))
    UPSTREAMS.set(len(state.rows.upstreams))
    UNOWNED_PARTITIONS.set(len(state.rows.unowned))
    SETTINGS_REVISION.set(state.settings.revision)
    for row in state.rows.rollouts.rows():
        ROLLOUT_SHARE.labels(service=row.service).set(row.share_permille / 1000.0)


def log_command(command: Message, outcome: Message) -> None:
    """Log the changes that a command made and update the counters."""
    name = _EVENT_NAMES.get(type(command))
    if isinstance(outcome, cmd.RolloutOutcome):
        ROLLOUT_ORDERS.labels(result=outcome.result.value).inc()
        log_event("rollout_ordered", result=outcome.result.value, **_fields(command))
        return
    if isinstance(outcome, cmd.ChangeOutcome):
        _log_settings_change(command, outcome)
    elif name is not None and outcome.changed:
        rows = _changed_rows(command)
        for row in rows[:_MAX_ROW_EVENTS]:
            log_event(name, **_fields(row))
        if len(rows) > _MAX_ROW_EVENTS:
            log_event(name, rows=len(rows), changed=outcome.changed)
        _count_assignments(command, outcome.changed)


def _log_settings_change(command: Message, outcome: cmd.ChangeOutcome) -> None:
    SETTINGS_CHANGES.labels(outcome=outcome.kind or "accepted").inc()
    log_event(
        "settings_change",
        request=command.request,
        author=command.author,
        base_revision=command.base_revision,
        outcome=outcome.kind or "accepted",
        revision=outcome.revision,
    )


def _count_assignments(command: Message, changed: int) -> None:
    if isinstance(command, cmd.AssignPartitions):
        PARTITION_ASSIGNMENTS.inc(changed)
    if isinstance(command, cmd.StepRollout):
        ROLLOUT_STEPS.labels(
            state=command.state.value, reason=command.reason.partition(":")[0]
        ).inc(changed)
    if isinstance(command, cmd.AssignShards):
        SHARD_ASSIGNMENTS.inc(changed)


def _changed_rows(command: Message) -> list[Any]:
    if isinstance(command, cmd.ReplaceRanges):
        return command.replacement
    first = command[0]
    return first if isinstance(first, list) else [command]


def _fields(row: Any) -> dict[str, Any]:
    return row._asdict() if hasattr(row, "_asdict") else {"shard": row}


_EVENT_NAMES: dict[type, str] = {
    cmd.RegisterNodes: "node_registered",
    cmd.ExpireNodes: "node_expired",
    cmd.PutUpstreams: "upstream_registered",
    cmd.EndUpstreams: "upstream_ended",
    cmd.ExpireUpstreams: "upstream_expired",
    cmd.ReleasePartitions: "partition_releasing",
    cmd.AssignPartitions: "partition_assigned",
    cmd.AssignShards: "shard_assigned",
    cmd.RemoveShards: "shard_removed",
    cmd.IsolateKey: "key_isolated",
    cmd.RestoreKey: "key_restored",
    cmd.SetEvacuation: "zone_evacuation_changed",
    cmd.ReplaceRanges: "ranges_changed",
    cmd.StepRollout: "rollout_step",
}
