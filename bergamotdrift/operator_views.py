"""JSON views of the control state for the operator API."""

from collections import Counter
from typing import Any, TypedDict

import msgspec

from bergamotdrift.audit_trail import AuditTrail
from bergamotdrift.config.schema import ServiceKind
from bergamotdrift.control_state import ControlState
from bergamotdrift.plain import plain
from bergamotdrift.replication import ReplicaStatus
from bergamotdrift.settings_log import SettingsLog


class SettingsView(TypedDict):
    """Current settings as the operator sent them."""

    revision: int
    author: str
    settings: msgspec.Raw


class AuditView(TypedDict):
    """Page of the audit trail; `next` is the `after` parameter of the next page."""

    rows: list[dict[str, Any]]
    next: int
    total: int


class StatusView(TypedDict):
    """Status of the control replicas and of the site."""

    revision: int
    feed_index: int
    control: dict[str, Any]
    nodes: list[dict[str, Any]]
    upstreams: list[dict[str, Any]]
    services: list[dict[str, Any]]
    shards: list[dict[str, Any]]
    isolated_keys: list[dict[str, Any]]
    rollouts: list[dict[str, Any]]


def settings_view(log: SettingsLog) -> SettingsView:
    """Return the current settings with their author."""
    return SettingsView(
        revision=log.revision, author=log.author, settings=msgspec.Raw(log.mapping)
    )


def audit_view(audit: AuditTrail, after: int, limit: int) -> AuditView:
    """Return up to `limit` rows with numbers above `after`."""
    rows = audit.page(after, limit)
    last = rows[-1].number if rows else max(after, 0)
    return AuditView(rows=[plain(row) for row in rows], next=last, total=len(audit))


def status_view(state: ControlState, status: ReplicaStatus) -> StatusView:
    """Return the current status; partitions are only counted by state."""
    rows = state.rows
    return StatusView(
        revision=state.settings.revision,
        feed_index=state.feed_index,
        control=plain(status),
        nodes=[plain(row) for row in rows.nodes.rows()],
        upstreams=[plain(row) for row in rows.upstreams.rows()],
        services=_service_views(state),
        shards=[plain(row) for row in rows.shards.rows()],
        isolated_keys=[plain(row) for row in rows.isolated.rows()],
        rollouts=[plain(row) for row in rows.rollouts.rows()],
    )


def _service_views(state: ControlState) -> list[dict[str, Any]]:
    settings = state.settings.current
    counts = Counter((r.service, str(r.state)) for r in state.rows.partitions.rows())
    return [
        {
            "name": service.name,
            "kind": str(service.kind),
            "partitions": {
                name: counts[service.name, name]
                for name in ("owned", "releasing", "vacant")
            },
        }
        for service in (settings.services if settings is not None else ())
        if service.kind is ServiceKind.KEYED
    ]
